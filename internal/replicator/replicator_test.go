package replicator_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// seeds returns the seeds of a randomized test: count of them from 1 on, or, in
// a soak test, ten times as many from 100000 times SAMPHIREWICK_SOAK_SEED on.
func seeds(t *testing.T, count int) []uint64 {
	t.Helper()
	var list []uint64
	first := uint64(1)
	if text := os.Getenv("SAMPHIREWICK_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, count = seed*100000, count*10
	}
	for i := range count {
		list = append(list, first+uint64(i))
	}
	return list
}

func TestCommittedEntriesSurviveFailures(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 100) {
				c := newCell(t, seed, size)
				for range 60 {
					c.run(time.Duration(50+c.random.IntN(400)) * time.Millisecond)
					c.propose()
					c.injectFailure()
				}
				c.healAndVerify()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func TestMembershipChangesUnderFailuresLoseNoEntries(t *testing.T) {
	t.Parallel()
	// A soak test found with this seed that a leader no longer sent a member
	// anything after the reply to a snapshot was lost.
	const lostSnapshotReply = 2000248
	for _, seed := range append(seeds(t, 100), lostSnapshotReply) {
		c := newCell(t, seed, 3)
		for round := range 40 {
			c.run(time.Duration(100+c.random.IntN(500)) * time.Millisecond)
			c.propose()
			c.changeMembers(round)
			if c.random.IntN(2) == 0 {
				c.injectFailure()
			}
		}
		c.healAndVerify()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// changeMembers adds a learner, promotes one that has caught up to a voter, or
// removes a member.
func (c *cell) changeMembers(round int) {
	leader := c.leader()
	if leader == nil {
		return
	}
	members := slices.Clone(leader.core.Members())
	voters := 0
	for i, m := range members {
		if m.Voter {
			voters++
			continue
		}
		if lag, active := leader.core.Lag(m.ID); active && lag < 5 {
			members[i].Voter = true
			c.proposeMembers(leader, members)
			return
		}
	}
	if len(members) < 5 && c.random.IntN(2) == 0 {
		id := fmt.Sprintf("n%d", round)
		c.addInstance(id, c.random.Uint64(), nil)
		c.proposeMembers(leader, append(members, replicator.Member{ID: id}))
		return
	}
	if voters > 2 && c.random.IntN(3) == 0 {
		c.proposeMembers(leader, slices.Delete(members, 0, 1))
	}
}

func (c *cell) proposeMembers(leader *instance, members []replicator.Member) {
	if _, err := leader.core.ProposeMembers(members); err == nil {
		c.handleReady(leader)
	}
}

// awaitLeader runs the cell until a leader holds the lease and has committed an
// entry of its term.
func (c *cell) awaitLeader() *instance {
	c.t.Helper()
	for range 1000 {
		c.run(stepInterval)
		if n := c.leader(); n != nil {
			return n
		}
	}
	c.t.Fatal("no leader was elected")
	return nil
}

func TestLeaderCutOffFromReceivingStepsDown(t *testing.T) {
	t.Parallel()
	c := newCell(t, 7, 3)
	c.lossPercent = 0
	old := c.awaitLeader()
	for _, n := range c.instances {
		c.blocked[[2]string{n.id, old.id}] = true
	}
	c.run(6 * electionTimeout)
	if old.core.Role() == replicator.RoleLeader {
		t.Error("a leader that receives no messages did not step down")
	}
	if next := c.awaitLeader(); next == old {
		t.Error("no other leader was elected")
	}
}

func TestMemberCutOffForLongDoesNotDeposeTheLeader(t *testing.T) {
	t.Parallel()
	c := newCell(t, 8, 3)
	c.lossPercent = 0
	leader := c.awaitLeader()
	term := leader.core.Term()
	var isolated *instance
	for _, n := range c.instances {
		if n != leader {
			isolated = n
		}
	}
	for _, n := range c.instances {
		c.blocked[[2]string{n.id, isolated.id}] = true
		c.blocked[[2]string{isolated.id, n.id}] = true
	}
	c.run(time.Hour / 60)
	clear(c.blocked)
	c.run(4 * electionTimeout)
	if got := c.awaitLeader(); got != leader || got.core.Term() != term {
		t.Errorf("after the member reconnected, %s leads in term %d; before, %s led in term %d",
			got.id, got.core.Term(), leader.id, term)
	}
}

func TestLeaderPausedForLongHasNoLease(t *testing.T) {
	t.Parallel()
	c := newCell(t, 9, 3)
	c.lossPercent = 0
	old := c.awaitLeader()
	old.pausedUntil = c.now + time.Minute
	c.run(5 * electionTimeout)
	next := c.awaitLeader()
	if next == old {
		t.Fatal("the paused leader is still considered leader")
	}
	// The paused leader resumes and checks its lease before it has received
	// any message.
	if old.core.Role() != replicator.RoleLeader {
		t.Fatal("the paused leader has already stepped down; the test needs one that has not")
	}
	if old.core.LeaseUntil() > c.clock(old) {
		t.Error("a leader that was paused for longer than its lease still holds it")
	}
}

func TestCellCommitsAfterLossFollowingReplacement(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 20) {
		c := newCell(t, seed, 3)
		leader := c.awaitLeader()
		for range 50 {
			c.propose()
			c.run(50 * time.Millisecond)
		}
		lost := c.instances[(slices.Index(c.instances, leader)+1)%3]
		c.instances = slices.DeleteFunc(c.instances, func(n *instance) bool { return n == lost })
		c.replaceMember(lost.id, "fresh", seed)
		// Another member is lost as soon as the replacement is a voter.
		leader = c.awaitLeader()
		second := c.instances[(slices.Index(c.instances, leader)+1)%len(c.instances)]
		if second.id == "fresh" {
			second = leader
		}
		c.instances = slices.DeleteFunc(c.instances, func(n *instance) bool { return n == second })
		acked := len(c.acknowledged)
		c.awaitLeader()
		c.propose()
		c.run(2 * time.Second)
		if len(c.acknowledged) == acked {
			t.Fatalf("seed %d: no proposal was committed after the second member was lost", seed)
		}
	}
}

// commitMembers proposes the membership, and reports whether it was committed
// under the same leader. Only then is a step of replaceMember complete.
func (c *cell) commitMembers(leader *instance, members []replicator.Member) bool {
	index, err := leader.core.ProposeMembers(members)
	if err != nil {
		return false
	}
	c.handleReady(leader)
	c.run(time.Second)
	return c.leader() == leader && leader.core.Commit() >= index
}

// replaceMember replaces a lost member by a new one with an empty disk.
func (c *cell) replaceMember(lost, replacement string, seed uint64) {
	c.t.Helper()
	c.addInstance(replacement, seed+100, nil)
	steps := []func([]replicator.Member) []replicator.Member{
		func(m []replicator.Member) []replicator.Member {
			return slices.DeleteFunc(m, func(x replicator.Member) bool { return x.ID == lost })
		},
		func(m []replicator.Member) []replicator.Member { return append(m, replicator.Member{ID: replacement}) },
		func(m []replicator.Member) []replicator.Member {
			m[slices.IndexFunc(m, func(x replicator.Member) bool { return x.ID == replacement })].Voter = true
			return m
		},
	}
	for number, change := range steps {
		for tries := 0; ; tries++ {
			leader := c.awaitLeader()
			lag, active := leader.core.Lag(replacement)
			caughtUp := number < 2 || (active && lag == 0)
			if caughtUp && c.commitMembers(leader, change(slices.Clone(leader.core.Members()))) {
				break
			}
			if tries > 1000 {
				c.t.Fatalf("step %d of the replacement was not committed after 1000 attempts", number)
			}
			c.run(stepInterval)
		}
	}
}
