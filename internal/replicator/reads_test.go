package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// readAge is how old the state may be by which a follower answers a read.
const readAge = 4 * electionTimeout / 5

// answeredRead is the index that a read was answered by, and when.
type answeredRead struct {
	at    time.Duration
	index uint64
}

// readers read at all members and compare the answers.
type readers struct {
	cell *cell
	// maxAge is how old the state may be by which a follower answers.
	maxAge time.Duration
	// newest holds the reads that were answered by a higher index than all before them.
	newest []answeredRead
	// byFollowers counts the answers of followers.
	byFollowers int
}

// startReaders makes the cell read at all members before and after each step.
func startReaders(c *cell) *readers {
	r := &readers{cell: c, maxAge: readAge}
	c.onStep = r.read
	return r
}

func (r *readers) read() {
	r.cell.t.Helper()
	for _, n := range r.cell.instances {
		if n.pausedUntil > r.cell.now {
			continue
		}
		clock := r.cell.clock(n)
		asOf := n.core.CurrentAsOf()
		switch {
		case n.core.LeaseUntil() > clock && n.core.CommittedInTerm():
			r.check(n, r.cell.now)
		case asOf > 0 && clock-asOf <= r.maxAge:
			r.byFollowers++
			r.check(n, n.simulatedTime(asOf))
		}
	}
}

// check checks that the member answers by no lower index than any read that was
// answered before the time, and records the answer.
func (r *readers) check(n *instance, since time.Duration) {
	r.cell.t.Helper()
	for i := len(r.newest) - 1; i >= 0; i-- {
		if earlier := r.newest[i]; earlier.at < since {
			if n.applied < earlier.index {
				r.cell.t.Fatalf("at %s member %s answers by index %d, although a read was answered by %d at %s",
					r.cell.now, n.id, n.applied, earlier.index, earlier.at)
			}
			break
		}
	}
	if len(r.newest) == 0 || n.applied > r.newest[len(r.newest)-1].index {
		r.newest = append(r.newest, answeredRead{r.cell.now, n.applied})
	}
}

// TestReadsStayCurrentAfterRestartOfAllMembers guards against a restarted follower that
// answers reads without changes which its new leader does not know to be committed yet.
func TestReadsStayCurrentAfterRestartOfAllMembers(t *testing.T) {
	t.Parallel()
	const crashPoints = 30
	for _, seed := range seeds(t, 3) {
		for point := range crashPoints {
			t.Run(fmt.Sprintf("seed %d, step %d", seed, point), func(t *testing.T) {
				t.Parallel()
				c := newCell(t, seed, 3)
				startReaders(c)
				c.awaitLeader()
				c.run(time.Second)
				c.propose()
				c.run(time.Duration(point) * stepInterval)
				for _, n := range c.instances {
					c.crashAndRestart(n)
				}
				c.run(6 * electionTimeout)
			})
		}
	}
}

// TestFollowerOfDeposedLeaderTakesNoStateForCurrent guards against a follower that answers
// reads by the word of a leader that has lost its lease and does not know of its successor.
func TestFollowerOfDeposedLeaderTakesNoStateForCurrent(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, seed, 5)
			c.lossPercent = 0
			c.ordered = true
			startReaders(c)
			leader := c.awaitLeader()
			c.run(time.Second)
			follower := c.instances[0]
			if follower == leader {
				follower = c.instances[1]
			}
			for _, n := range c.instances {
				if n == leader || n == follower {
					continue
				}
				for _, cut := range []*instance{leader, follower} {
					c.blocked[[2]string{n.id, cut.id}] = true
					c.blocked[[2]string{cut.id, n.id}] = true
				}
			}
			for range 500 {
				c.run(stepInterval)
				c.propose()
			}
		})
	}
}

// TestReadsNeverGoBack guards against members that answer reads by a state that is
// older than they take it for.
func TestReadsNeverGoBack(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 10) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					c := newCell(t, seed, size)
					r := startReaders(c)
					for round := range 40 {
						for range 1 + c.random.IntN(30) {
							c.run(stepInterval)
							c.propose()
						}
						c.changeMembers(round)
						c.injectFailure()
						if c.random.IntN(10) == 0 {
							for _, n := range c.instances {
								c.crashAndRestart(n)
							}
						}
					}
					c.healAndVerify()
					if r.byFollowers == 0 {
						t.Error("no follower has answered a read")
					}
				})
			}
		})
	}
}

// TestFollowersAnswerReadsInNormalWork guards against followers that leave all reads to
// the leader.
func TestFollowersAnswerReadsInNormalWork(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, 3)
	c.lossPercent = 0
	leader := c.awaitLeader()
	c.run(electionTimeout)
	c.onStep = func() {
		for _, n := range c.instances {
			if n == leader {
				continue
			}
			if age := c.clock(n) - n.core.CurrentAsOf(); age > readAge {
				t.Fatalf("at %s member %s takes its state for %s old", c.now, n.id, age)
			}
		}
	}
	for range 500 {
		c.run(stepInterval)
		c.propose()
	}
	c.run(2 * time.Second)
	if leader.core.Role() != replicator.RoleLeader {
		t.Error("the leader has changed")
	}
}
