package supervisor

import (
	"context"
	"testing"
	"time"
)

// testOrderDelay is how long after it was sent the fake worker may carry out an order that got no
// answer.
const testOrderDelay = 12 * time.Second

// TestTaskRunsOnceAfterLateOrder guards against a task that is started elsewhere while a later life
// of its worker, which has answered no poll, may still run it by an order that is carried out late.
func TestTaskRunsOnceAfterLateOrder(t *testing.T) {
	tests := map[string]struct {
		// startDelay is how late the start is carried out, pollDelays how late the earlier life's
		// last poll is, again and again.
		startDelay time.Duration
		pollDelays []time.Duration
		// isLeaderLost is true if another leader follows before the start is carried out.
		isLeaderLost bool
	}{
		"a start":                       {startDelay: 11 * time.Second},
		"a start under the next leader": {startDelay: 11 * time.Second, isLeaderLost: true},
		"polls after a start":           {pollDelays: []time.Duration{5 * time.Second, 10 * time.Second, testOrderDelay}},
		"polls under the next leader": {
			// The earlier leader has given up its last poll at the end of maxOrderTime.
			pollDelays:   []time.Duration{5 * time.Second, 10 * time.Second, maxOrderTime + testOrderDelay - 200*time.Millisecond},
			isLeaderLost: true,
		},
		"a start and the poll before it": {startDelay: 10 * time.Second, pollDelays: []time.Duration{11 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(_ *testing.T, h *harness) {
				time.Sleep(20 * time.Second)
				lastPoll := h.worker.leasePoll()
				h.worker.set(func(f *fakeWorker) { f.delayStarts = tt.startDelay })
				h.restartWorker()
				h.supervisor.Start(context.Background(), StartOrder{Attempt: h.commitStart()})
				time.Sleep(10 * time.Millisecond)
				for _, delay := range tt.pollDelays {
					time.AfterFunc(delay, func() { h.worker.pollOnce(lastPoll) })
				}
				h.worker.set(func(f *fakeWorker) { f.disconnected = true })
				if tt.isLeaderLost {
					h.stop()
					h.startLeader(2)
				}
				h.cutOffUntilReleased()
				if h.worker.startCount() != 1 {
					h.t.Errorf("the later life has carried out %d starts, want 1", h.worker.startCount())
				}
			})
		})
	}
}

// TestTaskRunsOnceAfterStoppedStart guards against a task that is started elsewhere once its worker has
// stopped a start that got no answer: a later life of the worker, which knows of no stop, may
// still carry the start out.
func TestTaskRunsOnceAfterStoppedStart(t *testing.T) {
	tests := map[string]struct {
		// isLeaderLost is true if another leader follows right after the start.
		isLeaderLost bool
	}{
		"the leader stops it":              {},
		"the next leader knows nothing of": {isLeaderLost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(_ *testing.T, h *harness) {
				time.Sleep(time.Minute)
				h.worker.set(func(f *fakeWorker) { f.delayStarts = 11 * time.Second })
				ctx, cancel := context.WithCancel(h.t.Context())
				defer cancel()
				h.supervisor.Start(ctx, StartOrder{Attempt: h.commitStart()})
				time.Sleep(10 * time.Millisecond)
				if tt.isLeaderLost {
					h.stop()
					h.startLeader(2)
				}
				polls := h.worker.pollCount()
				time.Sleep(5 * time.Second)
				if polls = h.worker.pollCount() - polls; polls > 25 {
					h.t.Errorf("%d polls in 5 s while the start is waited for, want few", polls)
				}
				h.restartWorker()
				h.cutOffUntilReleased()
				if h.worker.startCount() != 1 {
					h.t.Errorf("the later life has carried out %d starts, want 1", h.worker.startCount())
				}
			})
		})
	}
}

// TestTaskRunsOnceAfterStartStoppedOnLaterLife guards against a task that is started elsewhere once a
// later life of its worker has answered a stop: a third life may still carry the start out.
func TestTaskRunsOnceAfterStartStoppedOnLaterLife(t *testing.T) {
	tests := map[string]struct {
		// isLeaderLost is true if another leader follows while the second life is up.
		isLeaderLost bool
	}{
		"under one leader":             {},
		"the next leader meets a life": {isLeaderLost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(_ *testing.T, h *harness) {
				time.Sleep(time.Minute)
				h.worker.set(func(f *fakeWorker) { f.delayStarts = 11 * time.Second })
				ctx, cancel := context.WithCancel(h.t.Context())
				defer cancel()
				h.supervisor.Start(ctx, StartOrder{Attempt: h.commitStart()})
				time.Sleep(10 * time.Millisecond)
				h.restartWorker()
				if tt.isLeaderLost {
					h.stop()
					h.startLeader(2)
				}
				polls := h.worker.pollCount()
				time.Sleep(5 * time.Second)
				if polls = h.worker.pollCount() - polls; polls > 15 {
					h.t.Errorf("%d polls in 5 s while the start is waited for, want few", polls)
				}
				h.restartWorker()
				h.cutOffUntilReleased()
				if h.worker.startCount() != 1 {
					h.t.Errorf("the third life has carried out %d starts, want 1", h.worker.startCount())
				}
			})
		})
	}
}

// TestLaterLifeReleasesWhatCannotStart guards against tasks that wait for the late start of another one
// on their worker, and against a worker that is kept out for longer than the start may be late.
func TestLaterLifeReleasesWhatCannotStart(t *testing.T) {
	tests := map[string]struct {
		ticket  string
		longest time.Duration
	}{
		"the start has a ticket": {ticket: "k", longest: maxOrderTime + time.Second},
		"the start has none":     {longest: callTimeout + testOrderDelay + lostPollDelay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				h.startFirst()
				h.worker.set(func(f *fakeWorker) { f.delayStarts = time.Hour })
				h.supervisor.Start(t.Context(), StartOrder{Attempt: h.commitStart(), Ticket: tt.ticket})
				began := time.Now()
				time.Sleep(10 * time.Millisecond)
				h.restartWorker()
				time.Sleep(maxOrderTime + time.Second)
				if w, _ := h.snapshot().Workflows.Get(firstTask.Workflow); w.HoldsResources() {
					t.Error("a task that runs nowhere waits for the start of another one")
				}
				time.Sleep(tt.longest - time.Since(began))
				if _, isKept := h.snapshot().Sessions.Get(onlySession); isKept {
					t.Errorf("the session was kept for longer than %v", tt.longest)
				}
			})
		})
	}
}

// TestStoppedStartIsReleasedSoon guards against tasks that wait for a late start which no later life
// can carry out, and against tasks that wait for good.
func TestStoppedStartIsReleasedSoon(t *testing.T) {
	tests := map[string]struct {
		ticket  string
		longest time.Duration
	}{
		"the start has a ticket": {ticket: "k", longest: time.Second},
		"the start has none":     {longest: maxStartTime + testOrderDelay + maxOrderTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(time.Minute)
				h.worker.set(func(f *fakeWorker) { f.delayStarts = 11 * time.Second })
				h.supervisor.Start(t.Context(), StartOrder{Attempt: h.commitStart(), Ticket: tt.ticket})
				began := time.Now()
				for h.task().HoldsResources() && time.Since(began) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if held := time.Since(began); held > tt.longest {
					t.Errorf("the task was held for %v, want at most %v", held, tt.longest)
				}
				if h.worker.startCount() != 0 {
					t.Error("the start was carried out after it had been stopped")
				}
			})
		})
	}
}

// TestFrozenLeaderSendsNoOrder guards against a leader that was frozen while it sent an order, and
// sends it when it wakes: the worker has started again meanwhile, and the next leader has ended the
// attempt.
func TestFrozenLeaderSendsNoOrder(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		time.Sleep(time.Minute)
		h.worker.set(func(f *fakeWorker) { f.frozenFor = 25 * time.Second })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.supervisor.Start(ctx, StartOrder{Attempt: h.commitStart()})
		time.Sleep(10 * time.Millisecond)
		h.worker.set(func(f *fakeWorker) { f.frozenFor, f.disconnected = 0, true; f.startAgain() })
		h.setIsLeader(false)
		h.stop()
		h.setIsLeader(true)
		h.startLeader(2)
		h.cutOffUntilReleased()
		time.Sleep(20 * time.Second)
		if h.worker.startCount() != 0 {
			t.Errorf("the later life has carried out %d starts of the frozen leader, want none", h.worker.startCount())
		}
	})
}
