package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// TestLeaderLogsThatNothingIsCommitted guards against a leader that commits nothing while a
// quorum renews its lease, and says nothing of it.
func TestLeaderLogsThatNothingIsCommitted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const settled, stalled = 4 * time.Second, 5 * time.Second
		logCore, logs := observer.New(zapcore.InfoLevel)
		members := []replicator.Member{{ID: "m0", Voter: true}, {ID: "m1", Voter: true}}
		journal, restored, err := journaler.Open(faker.NewDisk(1).Open(), members)
		if err != nil {
			t.Fatal(err)
		}
		var leader *coordinator.Coordinator
		leader, err = coordinator.New(coordinator.Options{
			Identity: journaler.Identity{Cell: "cell", Member: "m0"}, Journal: journal, Restored: restored,
			Core: replicator.Config{
				ID: "m0", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
				LeaseDuration: 800 * time.Millisecond, MaxBatch: 16,
			},
			SnapshotEvery: 1 << 40, FreeBytes: func() (uint64, error) { return 1 << 40, nil },
			// m1 votes for m0, answers its messages, and takes no entry.
			Send: func(_ replicator.Member, cell string, messages []replicator.Message) {
				for _, m := range messages {
					reply := replicator.Message{From: "m1", To: "m0", Term: m.Term, SentAt: m.SentAt}
					switch m.Kind {
					case replicator.MessagePreVote:
						reply.Kind = replicator.MessagePreVoteReply
					case replicator.MessageVote:
						reply.Kind = replicator.MessageVoteReply
					default:
						reply.Kind, reply.Reject, reply.Rejected = replicator.MessageAppendReply, true, m.Index
					}
					leader.Deliver(cell, []replicator.Message{reply})
				}
			},
			Log: zap.New(logCore),
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- leader.Run(ctx) }()
		time.Sleep(settled)
		before := logs.FilterMessage("nothing is committed although a quorum answers").Len()
		time.Sleep(stalled)
		lines := logs.FilterMessage("nothing is committed although a quorum answers").Len() - before
		if most := int(stalled / time.Second); lines < most-1 || lines > most {
			t.Errorf("%d lines in %v, want one a second", lines, stalled)
		}
		if got := leader.CommitStalledFor(); got < stalled {
			t.Errorf("commits stalled for %v, want %v at least", got, stalled)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}
