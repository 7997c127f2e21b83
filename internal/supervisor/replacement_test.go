package supervisor

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// TestStartOnLaterLifeRunsOnce guards against a task that is started elsewhere while it
// runs on a later life of its worker, which got a start that was meant for the earlier one.
func TestStartOnLaterLifeRunsOnce(t *testing.T) {
	tests := map[string]struct {
		// before and after change the worker when it starts again and once it got the start.
		before, after func(f *fakeWorker)
		// announce awaits the end of the session, as a heartbeat of the later life does.
		announce bool
		// finishes makes the task finish as soon as it runs.
		finishes bool
		// ticket is a permit that was issued once the later life was up.
		ticket string
	}{
		"the start is answered":               {},
		"the start's answer is lost":          {before: func(f *fakeWorker) { f.loseStartAnswers = true }},
		"the start takes effect late":         {before: func(f *fakeWorker) { f.delayStarts = 900 * time.Millisecond }},
		"the later life announces itself":     {announce: true},
		"the task finishes on the later life": {finishes: true},
		"the later life is cut off":           {after: func(f *fakeWorker) { f.disconnected = true }},
		"the later life is cut off, and the start has its permit": {
			after: func(f *fakeWorker) { f.disconnected = true }, ticket: "k",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(20 * time.Second)
				h.worker.set(func(f *fakeWorker) { f.disconnected = true })
				time.Sleep(10 * time.Millisecond)
				h.worker.set(func(f *fakeWorker) {
					f.disconnected = false
					f.startAgain()
					if tt.before != nil {
						tt.before(f)
					}
				})
				h.supervisor.Start(context.Background(), StartOrder{Attempt: h.commitStart(), Ticket: tt.ticket})
				time.Sleep(10 * time.Millisecond)
				if tt.finishes {
					h.worker.finish(onlyTask)
				}
				h.worker.set(func(f *fakeWorker) {
					if tt.after != nil {
						tt.after(f)
					}
				})
				if tt.announce {
					if err := h.supervisor.AwaitEnd(t.Context(), onlySession); err != nil {
						t.Fatal(err)
					}
				}
				for end := time.Now().Add(h.longestHold()); time.Now().Before(end); {
					if !h.task().HoldsResources() && h.worker.runs(onlyTask) {
						t.Fatal("attempt was committed as ended while the worker ran it")
					}
					time.Sleep(5 * time.Millisecond)
				}
				if h.task().HoldsResources() || h.hasFinished() != tt.finishes {
					t.Errorf("task is %+v and has finished: %t, want %t", h.task(), h.hasFinished(), tt.finishes)
				}
			})
		})
	}
}

// TestLaterLifeKeepsEndsOfEarlierOrders guards against a poll that acknowledges ends
// of a later life by the position of the earlier one: a task that had finished was run again.
func TestLaterLifeKeepsEndsOfEarlierOrders(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(100 * time.Millisecond)
		h.worker.finish(onlyTask)
		time.Sleep(time.Second)
		h.apply(reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &modeler.WorkflowSpec{
			ID: "second", Queue: "q", Steps: []modeler.StepSpec{{Count: 1, Need: modeler.Resources{Processors: 1}}},
		}})
		h.worker.set(func(f *fakeWorker) { f.disconnected = true })
		time.Sleep(10 * time.Millisecond)
		h.worker.set(func(f *fakeWorker) { f.startAgain(); f.disconnected = false })
		a := modeler.Attempt{Task: modeler.TaskName{Workflow: "second"}, Session: onlySession, Number: 1}
		h.apply(reducer.Command{Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{a}})
		h.supervisor.Start(context.Background(), StartOrder{Attempt: a})
		time.Sleep(10 * time.Millisecond)
		h.worker.finish(a.Task)
		time.Sleep(5 * time.Second)
		if w, _ := h.snapshot().Workflows.Get("second"); w.Phase != modeler.WorkflowFinished {
			t.Errorf("workflow is %s, want it finished", w.Phase)
		}
	})
}

// TestWorkerThatStartedAgainGetsNoStarts checks that a link whose worker has started again
// takes no starts for the earlier life, and that its session's end is awaited in time only.
func TestWorkerThatStartedAgainGetsNoStarts(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		time.Sleep(time.Second)
		h.worker.set(func(f *fakeWorker) { f.disconnected = true })
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if err := h.supervisor.AwaitEnd(ctx, onlySession); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("awaiting the end of a session whose worker gives no answer: got %v", err)
		}
		if h.supervisor.Reachability()(onlySession) {
			t.Error("worker that is said to have started again counts as reachable")
		}
		if err := h.supervisor.AwaitEnd(t.Context(), "another@1"); err != nil {
			t.Errorf("awaiting the end of a session that does not exist: %v", err)
		}
	})
}
