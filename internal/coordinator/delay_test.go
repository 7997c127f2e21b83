package coordinator_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
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
		const delay, members = 2500 * time.Millisecond, 3
		disks, slowDown := make([]journaler.Disk, members), make([]func(), members)
		for i := range disks {
			disks[i], slowDown[i] = slowDisk(uint64(i), delay)
		}
		cell := newTestCell(t, disks, identityInCell)
		leader, number := cell.leader(t), 0
		if cell.members[number] == leader {
			number = 1
		}
		before := cell.preVotes.Load()
		for range 30 {
			slowDown[number]()
			mustPropose(t, leader, reducer.Command{Kind: reducer.KindNoop})
			time.Sleep(2 * delay)
		}
		if elections := cell.preVotes.Load() - before; elections > 0 {
			t.Errorf("%d requests for votes, though the messages of the leader were waiting", elections)
		}
	})
}

// TestLearnerOfABusyCellBecomesAVoter checks that a member that keeps up becomes a voter
// while hundreds of entries are on their way to it and back.
func TestLearnerOfABusyCellBecomesAVoter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const latency, delay, proposals, interval = 200 * time.Millisecond, 5 * time.Second, 4000, 2 * time.Millisecond
		members := []replicator.Member{
			{ID: "m0", Address: "0", Voter: true}, {ID: "m1", Address: "1", Voter: true}, {ID: "m2", Address: "2"},
		}
		disks := make([]journaler.Disk, len(members))
		for i := range disks {
			disks[i] = faker.NewDisk(uint64(i)).Open()
		}
		// The learner does not answer before the cell is busy.
		slow, slowDown := slowDisk(uint64(len(disks)), delay)
		slowDown()
		disks[len(disks)-1] = slow
		cell := newTestCellOf(t, disks, identityInCell, members, latency)
		leader := cell.leader(t)
		isVoter := func() bool { return leader.MemberList()[2].Voter }
		if isVoter() {
			t.Fatal("the learner is a voter before the cell is busy")
		}
		results := make(chan error, proposals)
		for range proposals {
			time.Sleep(interval)
			go func() {
				_, err := leader.Propose(t.Context(), reducer.Command{Kind: reducer.KindNoop})
				results <- err
			}()
		}
		if !isVoter() {
			t.Error("the learner has not become a voter")
		}
		for range proposals {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
	})
}
