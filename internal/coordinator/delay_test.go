package coordinator_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// slowDisk returns a disk, and a function that makes its next sync take the delay.
func slowDisk(seed uint64, delay time.Duration) (journaler.Disk, func()) {
	var slow atomic.Bool
	disk := faker.NewDisk(seed).Open()
	sync := disk.Sync
	disk.Sync = func(name string) error {
		if slow.CompareAndSwap(true, false) {
			time.Sleep(delay)
		}
		return sync(name)
	}
	return disk, func() { slow.Store(true) }
}

// TestDelayedFollowerDoesNotTakeItsLeaderForSilent checks that a follower whose disk was
// slow handles the messages that arrived meanwhile before it starts an election.
func TestDelayedFollowerDoesNotTakeItsLeaderForSilent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const delay, members, interval = 2500 * time.Millisecond, 3, 5 * time.Millisecond
		disks, slowDown := make([]journaler.Disk, members), make([]func(), members)
		for i := range disks {
			disks[i], slowDown[i] = slowDisk(uint64(i), delay)
		}
		cell := newTestCell(t, disks, identityInCell)
		leader, number := cell.leader(t), 0
		if cell.members[number] == leader {
			number = 1
		}
		follower := cell.members[number]
		for range 30 {
			slowDown[number]()
			mustPropose(t, leader, reducer.Command{Kind: reducer.KindNoop})
			for range 2 * delay / interval {
				time.Sleep(interval)
				if follower.Leadership().ID == "" {
					t.Fatal("follower has lost its leader, whose messages were waiting")
				}
			}
		}
	})
}
