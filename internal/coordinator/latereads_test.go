package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// TestFollowersOfLateLeaderKnowRecentState guards against a leader that takes the replies that
// wait for it for ones that arrive after its lease.
func TestFollowersOfLateLeaderKnowRecentState(t *testing.T) {
	t.Parallel()
	const (
		syncTime, latency = 850 * time.Millisecond, 20 * time.Millisecond
		// maxAge is two turns of the leader, with two syncs in each, and what messages take.
		maxAge = 4*syncTime + 4*latency
	)
	synctest.Test(t, func(t *testing.T) {
		var slow [3]atomic.Bool
		disks := make([]journaler.Disk, len(slow))
		for i := range disks {
			disks[i] = faker.NewDisk(uint64(i)).Open()
			sync := disks[i].Sync
			disks[i].Sync = func(name string) error {
				if slow[i].Load() {
					time.Sleep(syncTime)
				}
				return sync(name)
			}
		}
		g := newTestCellOf(t, disks, identityInCell, []replicator.Member{
			{ID: "m0", Address: "0", Voter: true}, {ID: "m1", Address: "1", Voter: true}, {ID: "m2", Address: "2", Voter: true},
		}, latency)
		leader := g.leader(t)
		mustPropose(t, leader, reducer.Command{Kind: reducer.KindNoop})
		for i, c := range g.members {
			slow[i].Store(c == leader)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				_, _ = leader.Propose(ctx, reducer.Command{Kind: reducer.KindNoop})
			}
		}()
		time.Sleep(maxAge)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i, c := range g.members {
				if c != leader && !c.IsStateRecent(maxAge) {
					t.Fatalf("member m%d has no state of the last %s", i, maxAge)
				}
			}
		}
	})
}
