package replicator_test

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// TestLateLeaderIsNotReplacedWhileItIsBusy checks that the other members wait longer for
// a leader that has said that it is late, and replace it all the same if it stays silent.
func TestLateLeaderIsNotReplacedWhileItIsBusy(t *testing.T) {
	tests := map[string]struct {
		delay, silence time.Duration
		replaced       bool
	}{
		"late by one and a half timeouts":       {delay: electionTimeout, silence: 3 * electionTimeout / 2},
		"not late, and silent for two timeouts": {silence: 5 * electionTimeout / 2, replaced: true},
		"late, and silent for good":             {delay: 10 * electionTimeout, silence: 5 * electionTimeout, replaced: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 20) {
				c := newCell(t, seed, 3)
				c.lossPercent = 0
				c.run(10 * time.Second)
				leader := c.leader()
				if leader == nil {
					t.Fatalf("seed %d: no leader", seed)
				}
				term := leader.core.Term()
				leader.core.RecordDelay(tt.delay)
				c.run(electionTimeout / 4)
				leader.pausedUntil = c.now + tt.silence
				c.run(tt.silence + electionTimeout/2)
				if now := c.leader(); (now == nil || now.core.Term() != term) != tt.replaced {
					t.Errorf("seed %d: the leader was replaced: %t, want %t", seed, !tt.replaced, tt.replaced)
				}
				c.healAndVerify()
			}
		})
	}
}

// TestMemberVotesAgainstNoLeaderItWasAskedToWaitFor checks that the patience holds for
// votes too: otherwise a member that did not hear of it would replace the leader.
func TestMemberVotesAgainstNoLeaderItWasAskedToWaitFor(t *testing.T) {
	t.Parallel()
	core := replicator.New(replicator.Config{
		ID: "m0", ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5,
		LeaseDuration: electionTimeout / 2, MaxBatch: 16,
	}, replicator.RestoredState{Snapshot: replicator.Snapshot{Members: threeVoters}}, 0)
	core.Step(0, replicator.Message{
		Kind: replicator.MessageAppend, From: "m1", To: "m0", Term: 1, Patience: electionTimeout,
	})
	vote := replicator.Message{Kind: replicator.MessageVote, From: "m2", To: "m0", Term: 2}
	core.Step(2*electionTimeout-1, vote)
	if core.Term() != 1 {
		t.Error("the member has voted while it waits for its leader")
	}
	core.Step(2*electionTimeout, vote)
	if core.Term() != 2 {
		t.Error("the member has not voted after it has waited for its leader")
	}
}
