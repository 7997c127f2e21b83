package coordinator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// membershipChanges begin a change of the membership, which takes some seconds to finish.
// Each returns the machines that may lose their disks meanwhile, so that no more than one
// disk is lost: the one that has lost it already, or any if none has, or none after a machine
// is gone with its disk.
var membershipChanges = map[string]func(s *site, m *machine) func() []*machine{
	"wiped": func(s *site, m *machine) func() []*machine {
		s.kill(m)
		s.wipe(m)
		s.later(downTime, func() { s.start(m) })
		return func() []*machine { return []*machine{m} }
	},
	"replaced": func(s *site, m *machine) func() []*machine {
		s.kill(m)
		m.isGone = true
		s.later(newMachineAfter, s.addMachine)
		return func() []*machine { return nil }
	},
	"joined by a new one": func(s *site, _ *machine) func() []*machine {
		s.addMachine()
		return s.present
	},
	"replaced as planned": func(s *site, m *machine) func() []*machine {
		s.addMachine()
		s.later(s.catchUpTime(), func() {
			m.isGone = true
			s.terminate(m)
		})
		return func() []*machine {
			if m.isGone {
				return nil
			}
			return s.present()
		}
	},
	"restarted": func(s *site, m *machine) func() []*machine {
		s.terminate(m)
		s.later(downTime, func() { s.start(m) })
		return s.present
	},
}

// linkFaults are ways in which messages between two machines get lost.
var linkFaults = map[string]func(from, to *machine) func(from, to *machine, m replicator.Message) bool{
	"none": func(_, _ *machine) func(from, to *machine, m replicator.Message) bool { return nil },
	"one way": func(a, b *machine) func(from, to *machine, m replicator.Message) bool {
		return func(from, to *machine, _ replicator.Message) bool { return from != a || to != b }
	},
	"small ones only": func(a, _ *machine) func(from, to *machine, m replicator.Message) bool {
		return func(from, to *machine, m replicator.Message) bool {
			return (from != a && to != a) || (len(m.Entries) == 0 && m.Snapshot == nil)
		}
	},
	"no answers": func(a, _ *machine) func(from, to *machine, m replicator.Message) bool {
		return func(from, _ *machine, m replicator.Message) bool {
			return from != a || (m.Kind != replicator.MessageAppendReply && m.Kind != replicator.MessageSnapshotReply)
		}
	},
	"no votes": func(a, _ *machine) func(from, to *machine, m replicator.Message) bool {
		return func(from, _ *machine, m replicator.Message) bool {
			return from != a || (m.Kind != replicator.MessageVoteReply && m.Kind != replicator.MessagePreVoteReply)
		}
	},
}

// closing is a final fault at a moment of a membership change that is not finished.
type closing struct {
	seed      uint64
	change    step
	linkFault string
	// after is when all machines lose power, counted from the beginning of the change, or,
	// if isAtVote is set, from when a member first knows of other voters than before.
	after    time.Duration
	isAtVote bool
	// isKill is set if all processes are killed instead, so that the disks keep all writes.
	isKill bool
	// wipes is set if one machine loses its disk; which one is drawn.
	wipes bool
	// healsAfter is when the links pass all messages again, counted from when the machines
	// are back.
	healsAfter time.Duration
}

func randomClosing(seed uint64) closing {
	const latest, latestHeal = 6 * time.Second, 3 * time.Second
	random := rand.New(rand.NewPCG(seed, 3))
	changes, faults := sortedNames(membershipChanges), sortedNames(linkFaults)
	c := closing{
		seed:      seed,
		change:    step{changes[seed%uint64(len(changes))], random.IntN(2) == 0, random.IntN(2)},
		linkFault: "none",
		after:     time.Duration(random.Int64N(int64(latest))),
		isKill:    random.IntN(4) == 0,
		wipes:     random.IntN(4) > 0,
	}
	if random.IntN(2) == 0 {
		c.linkFault = faults[random.IntN(len(faults))]
		c.healsAfter = time.Duration(random.Int64N(int64(latestHeal)))
	}
	return c
}

func (c closing) String() string {
	return fmt.Sprintf("seed %d, %v, links %q, closing after %v (from the vote on %t, kill %t, wipe %t), links heal after %v",
		c.seed, c.change, c.linkFault, c.after, c.isAtVote, c.isKill, c.wipes, c.healsAfter)
}

func sortedNames[T any](table map[string]T) []string { return slices.Sorted(maps.Keys(table)) }

// setPasses sets which messages get through; nil means all.
func (s *site) setPasses(passes func(from, to *machine, m replicator.Message) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passes = passes
}

// checkLeaders records the leader of each term, and fails if a term has two.
func (s *site) checkLeaders(leaders map[uint64]string) {
	for _, p := range s.processes() {
		l := p.Leadership()
		if !l.IsLeader {
			continue
		}
		if other, ok := leaders[l.Term]; ok && other != l.ID {
			s.t.Errorf("%s and %s both lead in term %d", other, l.ID, l.Term)
		}
		leaders[l.Term] = l.ID
	}
}

func (c closing) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const settled, usualSyncTime, startsWithin = 5 * time.Second, 6 * time.Millisecond, 300 * time.Millisecond
		s := newSite(t, c.seed, 1, 3)
		defer s.close()
		for _, m := range s.machines {
			m.syncTime.Store(int64(usualSyncTime))
		}
		time.Sleep(settled)
		if !s.isRepaired() {
			t.Fatalf("%v: the cell is not complete %v after its start\n%s", c, settled, s.memberships())
		}
		leaders := map[uint64]string{}
		changed := c.change.target(s)
		machines := s.present()
		a, b := machines[s.random.IntN(len(machines))], machines[s.random.IntN(len(machines))]
		s.setPasses(linkFaults[c.linkFault](a, b))
		mayLose := membershipChanges[c.change.disruption](s, changed)
		if c.isAtVote {
			s.awaitOtherVoters()
		}
		for until := s.now() + c.after; s.now() < until; time.Sleep(min(sitePoll, until-s.now())) {
			s.checkLeaders(leaders)
		}
		before := s.memberships()
		victims := mayLose()
		s.endAll(!c.isKill)
		if c.wipes && len(victims) > 0 {
			s.wipe(victims[s.random.IntN(len(victims))])
		}
		time.Sleep(downTime)
		for _, m := range s.present() {
			s.start(m)
			time.Sleep(time.Duration(s.random.Int64N(int64(startsWithin / 4))))
		}
		if len(s.present()) < len(machines) {
			s.addMachine()
		}
		time.Sleep(c.healsAfter)
		s.setPasses(nil)
		answered := s.answered.Load()
		isServing := func() bool {
			s.checkLeaders(leaders)
			return s.leader() != nil && s.answered.Load() > answered
		}
		if !s.await(s.recoveryTime(), isServing) {
			t.Fatalf("%v: nothing is answered %v after the machines were back\nbefore:\n%s\nafter:\n%s",
				c, s.recoveryTime(), before, s.memberships())
		}
		if lost := s.lostChanges(); len(lost) > 0 {
			t.Errorf("%v: %d committed changes are lost, the first is %s", c, len(lost), lost[0])
		}
		if !s.await(s.recoveryTime(), s.isRepaired) {
			t.Errorf("%v: the cell is not complete %v after its recovery\nbefore:\n%s\nafter:\n%s",
				c, s.recoveryTime(), before, s.memberships())
		}
	})
}

// later calls the function after the delay, unless all machines end before.
func (s *site) later(delay time.Duration, f func()) { s.planned = time.AfterFunc(delay, f) }

// awaitOtherVoters waits until a member knows of other voters than the founders.
func (s *site) awaitOtherVoters() {
	const poll = time.Millisecond
	areOthers := func(members []replicator.Member) bool {
		voters := slices.DeleteFunc(slices.Clone(members), func(m replicator.Member) bool { return !m.Voter })
		return len(voters) > 0 && !slices.Equal(voters, s.seeds)
	}
	for !slices.ContainsFunc(s.processes(), func(p *process) bool { return areOthers(p.MemberList()) }) {
		time.Sleep(poll)
	}
}

// endAll ends all processes, and with the power drops what they had not synced.
func (s *site) endAll(losesPower bool) {
	if s.planned != nil {
		s.planned.Stop()
	}
	s.starting.Wait()
	for _, m := range s.machines {
		s.kill(m)
		if losesPower {
			m.disk.Crash()
		}
	}
}

// TestCellServesAfterPowerLossAmidMembershipChange checks final faults at any moment of a
// change of the membership, with all links whole and with ones that pass part of the
// messages. A soak test plays ten times as many, from 100000 times SAMPHIREWICK_SOAK_SEED on.
func TestCellServesAfterPowerLossAmidMembershipChange(t *testing.T) {
	t.Parallel()
	first, closings := uint64(0), uint64(30)
	if text := os.Getenv("SAMPHIREWICK_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, closings = seed*100000, 10*closings
	}
	for seed := first; seed < first+closings; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			randomClosing(seed).play(t)
		})
	}
}

// TestMachineThatLosesItsDiskAgainDoesNotStopTheCell checks that a member that replaces one
// without its disk is not needed for a majority before the lost one is gone.
func TestMachineThatLosesItsDiskAgainDoesNotStopTheCell(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		for _, ofLeader := range []bool{true, false} {
			for _, after := range []time.Duration{0, 5, 10, 15, 20, 30, 40, 60} {
				c := closing{
					seed: seed, change: step{"wiped", ofLeader, 0}, linkFault: "none",
					after: after * time.Millisecond, isAtVote: true, wipes: true,
				}
				t.Run(c.String(), func(t *testing.T) {
					t.Parallel()
					c.play(t)
				})
			}
		}
	}
}
