package supervisor

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// outlastsLeases is longer than any lease of a worker that is lost.
const outlastsLeases = 20 * time.Second

// reportedPhase returns the phase of the only workflow that callers are told.
func (h *harness) reportedPhase() modeler.WorkflowPhase {
	w, _ := h.snapshot().Workflows.Get("job")
	return w.ReportedPhase()
}

// startAfter starts the task on a worker that is changed just before.
func (h *harness) startAfter(change func(*fakeWorker)) modeler.Attempt {
	time.Sleep(100 * time.Millisecond)
	h.worker.set(change)
	a := h.commitStart()
	h.supervisor.Start(h.t.Context(), StartOrder{Attempt: a})
	return a
}

func disconnect(f *fakeWorker) { f.disconnected = true }

func loseStartAnswers(f *fakeWorker) { f.loseStartAnswers = true }

// TestWorkflowIsNotShownAsRunningByUnconfirmedStarts guards against callers that are told of
// fewer waiting workflows than there are, because starts were committed that no worker
// carried out.
func TestWorkflowIsNotShownAsRunningByUnconfirmedStarts(t *testing.T) {
	tests := map[string]struct {
		act  func(*harness)
		want modeler.WorkflowPhase
	}{
		"the start is under way": {
			act: func(h *harness) {
				h.startAfter(disconnect)
				time.Sleep(2 * time.Second)
			},
			want: modeler.WorkflowWaiting,
		},
		"the worker is lost before the start": {
			act: func(h *harness) {
				h.startAfter(disconnect)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowWaiting,
		},
		"the worker is lost before the start, and the leader changes": {
			act: func(h *harness) {
				h.startAfter(disconnect)
				time.Sleep(time.Second)
				h.stop()
				h.startLeader(2)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowWaiting,
		},
		"the worker refuses the start": {
			act: func(h *harness) {
				h.startAfter(func(f *fakeWorker) { f.full = true })
				time.Sleep(time.Second)
			},
			want: modeler.WorkflowWaiting,
		},
		"the start arrives after it was given up": {
			act: func(h *harness) {
				h.startAfter(func(f *fakeWorker) { f.delayStarts = 5 * time.Second })
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowWaiting,
		},
		"the worker starts again before it gets the start": {
			act: func(h *harness) {
				h.startAfter(disconnect)
				time.Sleep(time.Second)
				h.worker.set(func(f *fakeWorker) {
					f.startAgain()
					f.disconnected = false
				})
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowWaiting,
		},
		"the worker confirms the start": {
			act: func(h *harness) {
				h.startNext()
				time.Sleep(time.Second)
			},
			want: modeler.WorkflowRunning,
		},
		"the start is carried out late": {
			act: func(h *harness) {
				h.startAfter(func(f *fakeWorker) { f.delayStarts = 310 * time.Millisecond })
				time.Sleep(2 * time.Second)
			},
			want: modeler.WorkflowRunning,
		},
		"the answer is lost, and the worker lists the attempt": {
			act: func(h *harness) {
				h.startAfter(loseStartAnswers)
				time.Sleep(2 * time.Second)
			},
			want: modeler.WorkflowRunning,
		},
		"the worker is lost after it has confirmed the start": {
			act: func(h *harness) {
				h.startNext()
				time.Sleep(time.Second)
				h.worker.set(disconnect)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowRunning,
		},
		"the worker is lost after it has listed the attempt": {
			act: func(h *harness) {
				h.startAfter(loseStartAnswers)
				time.Sleep(2 * time.Second)
				h.worker.set(disconnect)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowRunning,
		},
		"the worker starts again after it has confirmed the start": {
			act: func(h *harness) {
				h.startNext()
				time.Sleep(time.Second)
				h.worker.set((*fakeWorker).startAgain)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowRunning,
		},
		"the attempt is stopped after it has begun": {
			act: func(h *harness) {
				a := h.startAfter(func(*fakeWorker) {})
				time.Sleep(50 * time.Millisecond)
				h.supervisor.Stop(h.t.Context(), a)
				time.Sleep(time.Second)
			},
			want: modeler.WorkflowRunning,
		},
		"the attempt fails at once": {
			act: func(h *harness) {
				h.startNext()
				time.Sleep(50 * time.Millisecond)
				h.worker.set(func(f *fakeWorker) { f.endLocked(onlyTask, 1, reducer.AttemptFailed) })
				time.Sleep(time.Second)
			},
			want: modeler.WorkflowRunning,
		},
		"the leader changes after the start was confirmed": {
			act: func(h *harness) {
				h.startNext()
				time.Sleep(time.Second)
				h.stop()
				h.startLeader(2)
				h.worker.set(disconnect)
				time.Sleep(outlastsLeases)
			},
			want: modeler.WorkflowRunning,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				tt.act(h)
				if got := h.reportedPhase(); got != tt.want {
					t.Errorf("workflow is shown as %s, want %s", got, tt.want)
				}
			})
		})
	}
}
