package replicator_test

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// TestSlowMemberIsNotSentTheSameEntriesAgain checks that a member whose answers are late
// is not sent what is on its way to it: it would have to read that too, and answer later.
func TestSlowMemberIsNotSentTheSameEntriesAgain(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// latency of all messages to the member, and for how long it is suspended once.
		latency, pause time.Duration
	}{
		"answers later than after the time-out of a heartbeat": {latency: 7 * electionTimeout / 10},
		"answers within the time-out":                          {latency: electionTimeout / 10},
		"is suspended, and reads on where it was":              {pause: 2 * electionTimeout},
		"is suspended and slow":                                {latency: electionTimeout / 2, pause: electionTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, 5, 3)
			c.lossPercent, c.ordered = 0, true
			leader := c.awaitLeader()
			slow := c.instances[0]
			if slow == leader {
				slow = c.instances[1]
			}
			c.run(time.Second)
			before := leader.core.Stats()
			c.extraLatency = map[string]time.Duration{slow.id: tt.latency}
			slow.pausedUntil = c.now + tt.pause
			for range 500 {
				c.propose()
				c.run(stepInterval)
			}
			c.run(2*tt.latency + time.Second)
			if stats := leader.core.Stats().Since(before); stats.RepeatedEntries > 0 || stats.Rejections > 0 {
				t.Errorf("on a network that loses nothing: %+v, want no repeated entries and no rejections", stats)
			}
			// It is silent once at most: when the latency or the pause begins.
			if probes := leader.core.Stats().Since(before).Probes; probes > 1 {
				t.Errorf("the slow member was taken for silent %d times, want at most once", probes)
			}
			if slow.core.Commit() != leader.core.Commit() {
				t.Errorf("the commit index of the slow member is %d, want %d", slow.core.Commit(), leader.core.Commit())
			}
		})
	}
}

// TestMemberCatchesUpWhileTheCellIsBusy checks that a member that was suspended catches up
// although it can read only one and a half times as much as the cell commits.
func TestMemberCatchesUpWhileTheCellIsBusy(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 10) {
		c := newCell(t, seed, 5)
		c.lossPercent, c.ordered = 0, true
		leader := c.awaitLeader()
		suspended := c.instances[0]
		if suspended == leader {
			suspended = c.instances[1]
		}
		c.messageBudget = 6
		suspended.pausedUntil = c.now + 2*time.Second
		for range 600 {
			c.propose()
			c.propose()
			c.run(stepInterval)
		}
		const maxBehind = 50
		if commit := suspended.core.Commit(); commit+maxBehind < leader.core.Commit() {
			t.Errorf("seed %d: 4 s after the suspension the member is at %d, the leader at %d", seed, commit, leader.core.Commit())
		}
		c.messageBudget = 0
		c.healAndVerify()
	}
}

// TestLostSnapshotIsSentAgainInTime checks that a member that has lost its disk does not
// wait for a snapshot that was lost on the way, for longer than it may take to catch up.
func TestLostSnapshotIsSentAgainInTime(t *testing.T) {
	t.Parallel()
	core := elect(t, replicator.RestoredState{
		HardState: replicator.HardState{Term: 1},
		Snapshot:  replicator.Snapshot{Index: 5, Term: 1, Members: threeVoters},
	})
	reply := replicator.Message{
		Kind: replicator.MessageAppendReply, From: "m1", To: "m0", Term: core.Term(),
		Reject: true, Rejected: 5, SentAt: 4 * electionTimeout,
	}
	core.Step(4*electionTimeout, reply)
	drainReady(core)
	// The member answers the messages after the snapshot, and has not got it.
	reply.Reject, reply.Rejected = false, 0
	snapshotsAt := map[time.Duration]int{}
	for now := 4 * electionTimeout; now < 7*electionTimeout; now += electionTimeout / 10 {
		reply.SentAt = now
		core.Step(now, reply)
		core.Tick(now)
		for core.HasReady() {
			for _, m := range core.Ready().MessagesBeforeSync {
				if m.To == "m1" && m.Kind == replicator.MessageSnapshot {
					snapshotsAt[now]++
				}
			}
			core.Advance()
		}
	}
	if len(snapshotsAt) == 0 || len(snapshotsAt) > 3 {
		t.Errorf("snapshots were sent again at %v, want some within three election timeouts, one a timeout at most", snapshotsAt)
	}
}
