package tracker_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

var errUnavailable = errors.New("control is unavailable")

// runTracker runs a tracker that gets one of the answers for each watch, each
// delayed by slow. After the last answer every watch fails.
func runTracker(t *testing.T, slow time.Duration, answers ...messenger.WatchAnswer) (*tracker.Tracker, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tr := tracker.New(tracker.Options{
		Entry: modeler.Entry{ID: "e0"},
		Watch: func(context.Context, messenger.WatchCall) (messenger.WatchAnswer, error) {
			time.Sleep(slow)
			if len(answers) == 0 {
				return messenger.WatchAnswer{}, errUnavailable
			}
			answer := answers[0]
			answers = answers[1:]
			return answer, nil
		},
		Loads:    func() []messenger.Load { return nil },
		OnChange: func(tracker.Table) {},
		NewID:    func() string { return "e1" },
		Log:      zap.NewNop(),
	})
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	return tr, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// fullAnswer returns an answer with a full view.
func fullAnswer(revision uint64, queueLimit int) messenger.WatchAnswer {
	a := messenger.WatchAnswer{Cell: "cell", Lease: 2 * time.Second, View: viewer.View{Revision: revision, Full: true}}
	a.View.Policies = []viewer.Policy{{Service: "toll-desk", Spec: modeler.PolicySpec{QueueLimit: queueLimit}}}
	a.View.Backends = []viewer.Backend{{ID: "w0", Service: "toll-desk", Owner: "e0", OwnerEpoch: revision, Serving: true}}
	return a
}

func TestLeaseCountsFromTheTimeOfTheRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		tr, stop := runTracker(t, time.Second, fullAnswer(1, 1))
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		if !tr.Leased() || !tr.Owns("w0", 1) {
			t.Error("the entry has no lease 1.5 s after the request for a lease of 2 s")
		}
		time.Sleep(600 * time.Millisecond)
		if tr.Leased() || tr.Owns("w0", 1) {
			t.Error("the lease is still valid 2.1 s after the request for a lease of 2 s")
		}
	})
}

func TestLoadsOfEntryThatLeftAreDropped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		first, second := fullAnswer(1, 1), messenger.WatchAnswer{Cell: "cell", Lease: 2 * time.Second}
		first.View.Entries = []modeler.Entry{{ID: "e0"}, {ID: "e2"}}
		first.Loads = []messenger.EntryLoad{{Entry: "e2", Loads: []messenger.Load{{Service: "toll-desk", Free: 4}}}}
		second.View = viewer.View{Revision: 2, RemovedEntries: []string{"e2"}}
		tr, stop := runTracker(t, 100*time.Millisecond, first, second)
		defer stop()
		time.Sleep(150 * time.Millisecond)
		if got := tr.Headroom("e2", "toll-desk"); got != 4 {
			t.Errorf("headroom of the entry is %d, want 4", got)
		}
		time.Sleep(100 * time.Millisecond)
		if got := tr.Headroom("e2", "toll-desk"); got != 0 {
			t.Errorf("headroom of the entry that left is %d, want 0", got)
		}
	})
}

func TestOlderViewIsRejected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		other := fullAnswer(9, 5)
		other.Cell = "another"
		tr, stop := runTracker(t, 10*time.Millisecond, fullAnswer(7, 3), fullAnswer(6, 2), other)
		defer stop()
		time.Sleep(time.Second)
		if got := tr.Table(); got.Revision != 7 || got.Policy("toll-desk").QueueLimit != 3 {
			t.Errorf("the table has revision %d with queue limit %d, want 7 with 3", got.Revision, got.Policy("toll-desk").QueueLimit)
		}
	})
}

func TestDifferenceIsMergedIntoTheTable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		change := messenger.WatchAnswer{Cell: "cell", Lease: 2 * time.Second, View: viewer.View{
			Revision: 8, RemovedBackends: []string{"w0"}, Backends: []viewer.Backend{{ID: "w1", Service: "toll-desk", Owner: "e9"}},
		}}
		tr, stop := runTracker(t, 10*time.Millisecond, fullAnswer(7, 3), change)
		defer stop()
		time.Sleep(time.Second)
		table := tr.Table()
		_, has0 := table.Backends["w0"]
		_, has1 := table.Backends["w1"]
		if has0 || !has1 || table.Policy("toll-desk").QueueLimit != 3 || table.Revision != 8 {
			t.Errorf("after an incremental view the table is %+v", table)
		}
	})
}
