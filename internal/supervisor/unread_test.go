package supervisor

import (
	"testing"
	"time"
)

// TestRowsThatCannotBeReadDecideNothing checks that a worker whose lists can't be read is
// followed on: its task is neither lost nor started again, its lease is renewed, and it
// keeps the ends that the leader couldn't read until it can.
func TestRowsThatCannotBeReadDecideNothing(t *testing.T) {
	tests := map[string]struct{ finishes bool }{
		"the task runs on":           {},
		"the task ends at this time": {finishes: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				h.startNext()
				time.Sleep(500 * time.Millisecond)
				h.worker.set(func(f *fakeWorker) { f.garbled = true })
				if tt.finishes {
					h.worker.finish(onlyTask)
				}
				before := h.worker.pollCount()
				time.Sleep(10 * time.Second)
				if task := h.task(); !task.HoldsResources() || task.Attempt != 1 || h.worker.startCount() != 1 {
					t.Errorf("task is %+v after %d starts, want the first attempt to go on", task, h.worker.startCount())
				}
				if !tt.finishes && !h.worker.runs(onlyTask) {
					t.Error("task does not run: its lease was not renewed")
				}
				if polls := h.worker.pollCount() - before; polls < 5 || polls > 110 {
					t.Errorf("worker was polled %d times in 10 s", polls)
				}
				h.worker.set(func(f *fakeWorker) { f.garbled = false })
				h.worker.finish(onlyTask)
				time.Sleep(2 * time.Second)
				if !h.hasFinished() || h.worker.unacknowledgedEnds() != 0 {
					t.Errorf("task has finished: %t; the worker keeps %d ends", h.hasFinished(), h.worker.unacknowledgedEnds())
				}
			})
		})
	}
}
