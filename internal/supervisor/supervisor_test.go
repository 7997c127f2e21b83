package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// supervised runs the test in a bubble, with a supervisor that is ended after it.
func supervised(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		test(t, b)
		b.stop()
		// Calls that are still under way end with their time-outs.
		time.Sleep(10 * time.Second)
	})
}

func TestATaskRunsAndItsEndIsCommitted(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(6 * time.Second)
		if !b.worker.runs(onlyTask) {
			t.Fatal("the task does not run; its lease was not renewed")
		}
		b.worker.finish(onlyTask)
		time.Sleep(100 * time.Millisecond)
		if phase := b.task().Phase; phase != modeler.TaskFinished || b.task().IsHeld() {
			t.Errorf("the task is %s", phase)
		}
		time.Sleep(2 * time.Second)
		if b.worker.unforgotten() != 0 {
			t.Error("the worker was not told to forget a committed end")
		}
	})
}

func TestAnEndIsForgottenOnlyOnceItIsCommitted(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(100 * time.Millisecond)
		b.setLeads(false)
		b.worker.finish(onlyTask)
		time.Sleep(2 * time.Second)
		b.stop()
		b.setLeads(true)
		b.lead(2)
		time.Sleep(500 * time.Millisecond)
		if b.task().Phase != modeler.TaskFinished {
			t.Errorf("the end is lost: the task is %s", b.task().Phase)
		}
	})
}

func TestAStartWhoseAnswerIsLostGoesOn(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.worker.set(func(f *fakeWorker) { f.loseStarts = true })
		b.startNext()
		time.Sleep(3 * time.Second)
		if !b.worker.runs(onlyTask) || b.task().Attempt != 1 || b.worker.starts() != 1 {
			t.Errorf("running %v after %d starts", b.worker.runs(onlyTask), b.worker.starts())
		}
	})
}

func TestAStartThatComesLateNeverTakesEffect(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			supervised(t, func(t *testing.T, b *bench) {
				b.worker.set(func(f *fakeWorker) { f.delayStarts = delay })
				b.startNext()
				for b.task().IsHeld() && !b.worker.runs(onlyTask) {
					time.Sleep(10 * time.Millisecond)
				}
				if b.worker.runs(onlyTask) {
					return // It came in time and is known to run.
				}
				b.worker.set(func(f *fakeWorker) { f.delayStarts = 0 })
				before := b.worker.starts()
				time.Sleep(10 * time.Second)
				if b.worker.starts() != before {
					t.Error("a start took effect after its attempt was given up")
				}
			})
		})
	}
}

func TestALeaseLapsesAtTheWorkerFirst(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(2500 * time.Millisecond)
		b.worker.set(func(f *fakeWorker) { f.cut = true })
		for cut := time.Now(); b.task().IsHeld(); {
			time.Sleep(5 * time.Millisecond)
			if !b.task().IsHeld() && b.worker.runs(onlyTask) {
				t.Fatal("the attempt was given up while the worker ran it")
			}
			if time.Since(cut) > 3*workerLease {
				t.Fatal("the attempt of a silent worker is not given up")
			}
		}
		if b.task().Phase != modeler.TaskWaiting || b.task().Checkpoint != "saved" {
			t.Errorf("the task is %+v", b.task())
		}
		if b.supervisor.IsReachable(onlySession) {
			t.Error("a silent worker counts as reachable")
		}
		b.worker.set(func(f *fakeWorker) { f.cut = false })
		time.Sleep(2 * time.Second)
		if !b.supervisor.IsReachable(onlySession) {
			t.Error("the worker that came back does not count as reachable")
		}
	})
}

func TestANewLeaderReconcilesBeforeItGivesUp(t *testing.T) {
	tests := map[string]struct {
		sent, cut bool
		want      modeler.TaskPhase
	}{
		"the start was sent":                      {sent: true, want: modeler.TaskStarted},
		"the start was never sent":                {want: modeler.TaskWaiting},
		"the worker is cut off from both leaders": {sent: true, cut: true, want: modeler.TaskWaiting},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			supervised(t, func(t *testing.T, b *bench) {
				time.Sleep(100 * time.Millisecond)
				a := b.commit()
				if tt.sent {
					b.worker.take(StartOrder{Attempt: a, Epoch: 1, Deadline: b.worker.clock() + workerLease})
				}
				b.worker.set(func(f *fakeWorker) { f.cut = tt.cut })
				b.stop()
				b.lead(2)
				for range 800 {
					time.Sleep(5 * time.Millisecond)
					if !b.task().IsHeld() && b.worker.runs(onlyTask) {
						t.Fatal("the attempt was given up while the worker ran it")
					}
				}
				if b.task().Phase != tt.want {
					t.Errorf("the task is %s, want %s", b.task().Phase, tt.want)
				}
				late := StartOrder{Attempt: a, Epoch: 1, Deadline: time.Hour}
				if !tt.cut && b.worker.take(late) == ResultStarted {
					t.Error("a late order of the earlier leader took effect")
				}
			})
		})
	}
}

func TestAMemberThatDoesNotLeadGivesNoOrders(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		time.Sleep(100 * time.Millisecond)
		a := b.commit()
		b.setLeads(false)
		b.supervisor.Start(t.Context(), StartOrder{Attempt: a})
		time.Sleep(3 * time.Second)
		if b.worker.starts() != 0 {
			t.Error("a start was sent")
		}
	})
}

func TestACancelledTaskIsStopped(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(100 * time.Millisecond)
		b.apply(reducer.Command{Kind: reducer.KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: "job", Queue: "q"}})
		time.Sleep(1500 * time.Millisecond)
		if b.worker.runs(onlyTask) || b.task().IsHeld() {
			t.Error("the task of a cancelled workflow runs on")
		}
	})
}

func TestAnotherLifeEndsTheSession(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(100 * time.Millisecond)
		b.worker.set(func(f *fakeWorker) {
			f.session.Born = 2
			f.running = map[modeler.TaskName]int{}
		})
		time.Sleep(2 * time.Second)
		if _, ok := b.snapshot().Sessions.Get(onlySession); ok || b.task().IsHeld() {
			t.Error("the session of the earlier life goes on")
		}
	})
}

func TestAReaderSeesAnEndThatIsBeingCommitted(t *testing.T) {
	supervised(t, func(t *testing.T, b *bench) {
		b.startNext()
		time.Sleep(100 * time.Millisecond)
		b.worker.finish(onlyTask)
		// The look is answered within 5 ms, and the commit takes 10 ms more.
		time.Sleep(7 * time.Millisecond)
		if b.task().Phase == modeler.TaskFinished {
			t.Fatal("the end is committed already")
		}
		b.supervisor.AwaitEnds(t.Context(), "job")
		if b.task().Phase != modeler.TaskFinished {
			t.Errorf("the reader saw the task as %s", b.task().Phase)
		}
		b.supervisor.AwaitEnds(t.Context(), "another job")
	})
}

func TestLooksAreRareOnceNothingIsUnclear(t *testing.T) {
	tests := map[string]func(f *fakeWorker){
		"a start was refused":   func(f *fakeWorker) { f.full = true },
		"a start had no answer": func(f *fakeWorker) { f.delayStarts = time.Hour },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			supervised(t, func(t *testing.T, b *bench) {
				b.worker.set(fault)
				b.startNext()
				time.Sleep(5 * time.Second)
				if b.task().IsHeld() {
					t.Fatal("the attempt was not given up")
				}
				before := b.worker.looks()
				time.Sleep(10 * time.Second)
				if looks := b.worker.looks() - before; looks > 21 {
					t.Errorf("%d looks in 10 s, want one each %s", looks, lookWait)
				}
			})
		})
	}
}
