package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// runSupervised runs the test in a synctest bubble, with a supervisor that is
// stopped at the end.
func runSupervised(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer func() {
			h.stop()
			// Calls that are still in progress end with their time-outs.
			time.Sleep(10 * time.Second)
		}()
		test(t, h)
	})
}

func TestTaskRunsAndItsEndIsCommitted(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(6 * time.Second)
		if !h.worker.runs(onlyTask) {
			t.Fatal("task does not run after 6 s: its lease was not renewed")
		}
		h.worker.finish(onlyTask)
		time.Sleep(100 * time.Millisecond)
		if session, _ := h.snapshot().Sessions.Get(onlySession); !h.hasFinished() || len(session.Tasks) > 0 {
			t.Errorf("task has finished: %t; the session holds %v, want none", h.hasFinished(), session.Tasks)
		}
		time.Sleep(2 * time.Second)
		if h.worker.unacknowledgedEnds() != 0 {
			t.Error("worker still keeps a committed end after the next poll")
		}
	})
}

func TestWorkerKeepsEndUntilItIsCommitted(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(100 * time.Millisecond)
		h.setIsLeader(false)
		h.worker.finish(onlyTask)
		time.Sleep(2 * time.Second)
		h.stop()
		h.setIsLeader(true)
		h.startLeader(2)
		time.Sleep(500 * time.Millisecond)
		if !h.hasFinished() {
			t.Error("end was lost: the task has not finished")
		}
	})
}

func TestStartWithLostAnswerKeepsRunning(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.worker.set(func(f *fakeWorker) { f.loseStartAnswers = true })
		h.startNext()
		time.Sleep(3 * time.Second)
		if !h.worker.runs(onlyTask) || h.task().Attempt != 1 || h.worker.startCount() != 1 {
			t.Errorf("task running is %v after %d starts, want one start that goes on", h.worker.runs(onlyTask), h.worker.startCount())
		}
	})
}

// TestStartIsSentOnceALapsedLeaseIsRenewed guards against starts that a leader, which is
// late, neither sends nor plans again before a poll has shown that they never ran.
func TestStartIsSentOnceALapsedLeaseIsRenewed(t *testing.T) {
	tests := map[string]struct {
		lapse time.Duration
		runs  bool
	}{
		"after a moment":                        {lapse: 200 * time.Millisecond, runs: true},
		"not after the time for which it waits": {lapse: 1500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(100 * time.Millisecond)
				h.setIsLeader(false)
				h.startNext()
				time.Sleep(tt.lapse)
				h.setIsLeader(true)
				time.Sleep(50 * time.Millisecond)
				if got := h.worker.runs(onlyTask); got != tt.runs {
					t.Errorf("task runs: %t, want %t", got, tt.runs)
				}
				if got := h.task().HoldsResources(); got != tt.runs {
					t.Errorf("task is started in the state: %t, want %t", got, tt.runs)
				}
			})
		})
	}
}

// TestWorkersArePolledOnceALapsedLeaseIsRenewed guards against a late leader that wakes
// for each worker again and again, and polls each of them later than it could.
func TestWorkersArePolledOnceALapsedLeaseIsRenewed(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		time.Sleep(100 * time.Millisecond)
		h.setIsLeader(false)
		time.Sleep(950 * time.Millisecond)
		before := h.worker.pollCount()
		h.setIsLeader(true)
		time.Sleep(5 * time.Millisecond)
		if got := h.worker.pollCount() - before; got != 1 {
			t.Errorf("%d polls right after the lease is renewed, want 1", got)
		}
	})
}

func TestLateStartNeverTakesEffect(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				h.worker.set(func(f *fakeWorker) { f.delayStarts = delay })
				h.startNext()
				for h.task().HoldsResources() && !h.worker.runs(onlyTask) {
					time.Sleep(10 * time.Millisecond)
				}
				if h.worker.runs(onlyTask) {
					return // The start arrived in time, and the leader knows that it runs.
				}
				h.worker.set(func(f *fakeWorker) { f.delayStarts = 0 })
				before := h.worker.startCount()
				time.Sleep(10 * time.Second)
				if h.worker.startCount() != before {
					t.Error("start took effect after its attempt was committed as ended")
				}
			})
		})
	}
}

func TestLeaseExpiresAtWorkerFirst(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		// No order for another life can have set a lease any more.
		time.Sleep(2 * testLongestLease)
		h.startNext()
		time.Sleep(2500 * time.Millisecond)
		h.worker.set(func(f *fakeWorker) { f.disconnected = true })
		for disconnectedAt := time.Now(); h.task().HoldsResources(); {
			time.Sleep(5 * time.Millisecond)
			if !h.task().HoldsResources() && h.worker.runs(onlyTask) {
				t.Fatal("attempt was committed as ended while the worker ran it")
			}
			if time.Since(disconnectedAt) > 3*workerLease {
				t.Fatal("attempt on an unresponsive worker was not committed as ended")
			}
		}
		if h.task().Phase != modeler.TaskWaiting || h.task().Checkpoint != "saved" {
			t.Errorf("task is %+v, want it waiting with its checkpoint", h.task())
		}
		if h.supervisor.Reachability()(onlySession) {
			t.Error("unresponsive worker counts as reachable")
		}
		h.worker.set(func(f *fakeWorker) { f.disconnected = false })
		time.Sleep(2 * time.Second)
		if !h.supervisor.Reachability()(onlySession) {
			t.Error("worker that answers again does not count as reachable")
		}
	})
}

// TestWorkersThatWereTakenAwayDoNotLoadTheLeader checks that a worker whose leases have
// expired is polled once a second, and used again soon after it answers.
func TestWorkersThatWereTakenAwayDoNotLoadTheLeader(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		time.Sleep(100 * time.Millisecond)
		h.worker.set(func(f *fakeWorker) { f.refusing = true })
		time.Sleep(testLongestLease + workerLease)
		before := h.worker.pollCount()
		time.Sleep(10 * time.Second)
		if polls := h.worker.pollCount() - before; polls < 9 || polls > 11 {
			t.Errorf("%d polls in 10 s, want one a second", polls)
		}
		h.worker.set(func(f *fakeWorker) { f.refusing = false })
		time.Sleep(1100 * time.Millisecond)
		if !h.supervisor.Reachability()(onlySession) {
			t.Error("worker that answers again is not reachable after a second")
		}
	})
}

func TestNewLeaderReconcilesInheritedAttempt(t *testing.T) {
	tests := map[string]struct {
		sent, disconnected bool
		want               modeler.TaskPhase
	}{
		"the start was sent":                           {sent: true, want: modeler.TaskStarted},
		"the start was never sent":                     {want: modeler.TaskWaiting},
		"the worker is disconnected from both leaders": {sent: true, disconnected: true, want: modeler.TaskWaiting},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(100 * time.Millisecond)
				a := h.commitStart()
				if tt.sent {
					h.worker.acceptStart(StartOrder{Attempt: a, Fence: Fence(1, 0), Deadline: h.worker.clock() + workerLease})
				}
				h.worker.set(func(f *fakeWorker) { f.disconnected = tt.disconnected })
				h.stop()
				h.startLeader(2)
				for end := time.Now().Add(h.longestHold()); time.Now().Before(end); {
					time.Sleep(5 * time.Millisecond)
					if !h.task().HoldsResources() && h.worker.runs(onlyTask) {
						t.Fatal("attempt was committed as ended while the worker ran it")
					}
				}
				if h.task().Phase != tt.want {
					t.Errorf("task phase is %s, want %s", h.task().Phase, tt.want)
				}
				late := StartOrder{Attempt: a, Fence: Fence(1, 0), Deadline: time.Hour}
				if !tt.disconnected && h.worker.acceptStart(late) == ResultStarted {
					t.Error("late order of the earlier leader took effect")
				}
			})
		})
	}
}

// TestLeaseOfEarlierLeaderEndsInTime guards against a new leader, which took over in
// a moment, that takes the leases of the earlier one for ended while tasks still run by them.
func TestLeaseOfEarlierLeaderEndsInTime(t *testing.T) {
	const (
		offsets = 40
		offset  = 25 * time.Millisecond
	)
	for i := range time.Duration(offsets) {
		t.Run((i * offset).String(), func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				h.startNext()
				time.Sleep(2*time.Second + i*offset)
				h.worker.set(func(f *fakeWorker) { f.refusing = true })
				h.stop()
				h.startLeader(2)
				for handedOverAt := time.Now(); h.task().HoldsResources(); {
					time.Sleep(time.Millisecond)
					if !h.task().HoldsResources() && h.worker.runs(onlyTask) {
						t.Fatalf("attempt was committed as ended %v after the change of leader while the worker ran it",
							time.Since(handedOverAt))
					}
					if time.Since(handedOverAt) > 3*workerLease {
						t.Fatal("attempt on an unresponsive worker was not committed as ended")
					}
				}
			})
		})
	}
}

func TestNonLeaderSendsNoOrders(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		time.Sleep(100 * time.Millisecond)
		a := h.commitStart()
		h.setIsLeader(false)
		h.supervisor.Start(t.Context(), StartOrder{Attempt: a})
		time.Sleep(3 * time.Second)
		if h.worker.startCount() != 0 {
			t.Error("member that does not lead sent a start")
		}
	})
}

func TestCancelledTaskIsStopped(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(100 * time.Millisecond)
		h.apply(reducer.Command{Kind: reducer.KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: "job", Queue: "q"}})
		time.Sleep(1500 * time.Millisecond)
		if h.worker.runs(onlyTask) || h.task().HoldsResources() {
			t.Error("task of a cancelled workflow still runs")
		}
	})
}

func TestNewIncarnationEndsSession(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(100 * time.Millisecond)
		h.worker.set(func(f *fakeWorker) {
			f.session.StartedAtMillis = 2
			f.running = map[modeler.TaskName]int{}
		})
		time.Sleep(2 * time.Second)
		if _, ok := h.snapshot().Sessions.Get(onlySession); ok || h.task().HoldsResources() {
			t.Error("session of the earlier incarnation has not ended")
		}
	})
}

func TestReaderWaitsForEndBeingCommitted(t *testing.T) {
	runSupervised(t, func(t *testing.T, h *harness) {
		h.startNext()
		time.Sleep(100 * time.Millisecond)
		h.worker.finish(onlyTask)
		// The worker answers the poll within 5 ms, and the commit takes 10 ms more.
		time.Sleep(7 * time.Millisecond)
		if h.hasFinished() {
			t.Fatal("end is committed before the reader waits")
		}
		h.supervisor.AwaitEnds(t.Context(), "job")
		if !h.hasFinished() {
			t.Error("reader saw the task before its end was committed")
		}
		h.supervisor.AwaitEnds(t.Context(), "another job")
	})
}

func TestPollIntervalIsLongWithoutUnconfirmedOrders(t *testing.T) {
	tests := map[string]func(f *fakeWorker){
		"a start was refused":   func(f *fakeWorker) { f.full = true },
		"a start got no answer": func(f *fakeWorker) { f.delayStarts = time.Hour },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(100 * time.Millisecond)
				h.worker.set(fault)
				// A start without a ticket is waited for, see TestStoppedStartIsReleasedSoon.
				h.supervisor.Start(t.Context(), StartOrder{Attempt: h.commitStart(), Ticket: "k"})
				time.Sleep(5 * time.Second)
				if h.task().HoldsResources() {
					t.Fatal("attempt was not committed as ended")
				}
				before := h.worker.pollCount()
				time.Sleep(10 * time.Second)
				if polls := h.worker.pollCount() - before; polls > 21 {
					t.Errorf("%d polls in 10 s, want one each %s", polls, minPollWait)
				}
			})
		})
	}
}
