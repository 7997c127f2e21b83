package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const testLease = 5 * time.Second

// newTestLeaderState returns the volatile state of a leader, with nothing committed.
func newTestLeaderState(t *testing.T) *LeaderState {
	t.Helper()
	return newTestLeaderStateWith(t, Options{WorkerLease: testLease, EntryLease: testLease})
}

func newTestLeaderStateWith(t *testing.T, options Options) *LeaderState {
	t.Helper()
	disk := faker.NewDisk(1).Open()
	journal, restored, err := journaler.Open(disk, nil)
	if err != nil {
		t.Fatal(err)
	}
	c, err := coordinator.New(coordinator.Options{
		Identity: journaler.Identity{Member: "m0"}, Journal: journal, Restored: restored,
		Core: replicator.Config{ID: "m0", ElectionTimeout: time.Second}, FreeBytes: disk.FreeBytes, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return newLeaderState(c, options, zap.NewNop(), coordinator.Leadership{IsLeader: true})
}

func stateWithWorker(t *testing.T) reducer.State {
	t.Helper()
	state, result, _ := reducer.Apply(reducer.NewState(), 1, reducer.Command{
		Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{ID: "w0", Schema: 2, Address: "a", Incarnation: "i"},
	})
	if result.Refusal != nil {
		t.Fatal(result.Refusal)
	}
	return state
}

func TestEndingLeaseIsNotRenewed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l, state := newTestLeaderState(t), stateWithWorker(t)
		time.Sleep(testLease)
		if ended := l.markExpiredWorkerLeases(state); len(ended) != 0 {
			t.Fatalf("leases of %v ended before the margin had passed", ended)
		}
		if !l.RenewWorker("w0", 1) {
			t.Fatal("lease within its margin was not renewed")
		}
		time.Sleep(2 * testLease)
		if ended := l.markExpiredWorkerLeases(state); len(ended) != 1 {
			t.Fatalf("leases of %v ended, want only w0", ended)
		}
		// A late renewal arrives while the end of the lease is being committed.
		if l.RenewWorker("w0", 1) {
			t.Error("lease was renewed while its end was being committed")
		}
		if ended := l.markExpiredWorkerLeases(state); len(ended) != 1 {
			t.Error("end of the lease is not proposed again although it is not committed")
		}
		if !l.RenewWorker("w0", 2) {
			t.Error("next session of the worker got no lease")
		}
	})
}
