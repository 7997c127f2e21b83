package planner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	urgentWaitLimit = 4100 * time.Millisecond
	// stopTime is how long a worker takes to confirm a stop.
	stopTime           = 500 * time.Millisecond
	urgentTick         = 100 * time.Millisecond
	urgentReplayLength = 4 * time.Minute
)

// urgentReplay replays a pool that is full of batch work. An urgent job arrives
// every two seconds, and a fault is injected halfway.
type urgentReplay struct {
	*batchReplay
	stopping      map[modeler.TaskReference]time.Time
	pendingUrgent map[string]time.Time
	waits         []time.Duration
	// failingWorkers holds the workers that fail every task at once.
	failingWorkers map[string]bool
}

func newUrgentReplay(t *testing.T) *urgentReplay {
	t.Helper()
	r := newBatchReplay(t, 48, modeler.PlacementBestFit, false)
	r.random = rand.New(rand.NewPCG(5, 5))
	return &urgentReplay{
		batchReplay: r, stopping: map[modeler.TaskReference]time.Time{}, pendingUrgent: map[string]time.Time{},
		failingWorkers: map[string]bool{},
	}
}

func (h *urgentReplay) run(fault func(h *urgentReplay)) {
	start := h.cell.now
	for tick := 0; h.cell.now.Before(start.Add(urgentReplayLength)); tick++ {
		h.cell.now = h.cell.now.Add(urgentTick)
		if h.cell.now.Sub(start) == urgentReplayLength/2 {
			fault(h)
		}
		if tick%20 == 0 {
			h.submitLoad(tick)
		}
		h.confirmStops()
		h.endDue()
		h.planOnce()
	}
}

// submitLoad tops up the waiting batch jobs to 40 and submits one urgent job.
func (h *urgentReplay) submitLoad(tick int) {
	for h.cell.state.WaitingJobs.Len() < 40 {
		h.jobs++
		h.cell.submit(modeler.JobSpec{
			ID: fmt.Sprintf("j%06d", h.jobs), Department: "kowhai", Count: 8,
			Need: modeler.Resources{Processors: 1000 * (1 + h.random.Int64N(4)), Memory: 1 << 30},
		})
	}
	id := fmt.Sprintf("urgent-%d", tick)
	h.pendingUrgent[id] = h.cell.now
	h.cell.submit(modeler.JobSpec{
		ID: id, Department: "kowhai", Count: 1, Urgent: true,
		Need: modeler.Resources{Processors: 1000 * (1 + h.random.Int64N(8)), Memory: 2 << 30},
	})
}

func (h *urgentReplay) confirmStops() {
	for task, at := range h.stopping {
		if h.cell.now.Sub(at) < stopTime {
			continue
		}
		delete(h.stopping, task)
		if h.cell.job(task.Job).Tasks[task.Index].Phase == modeler.TaskStopping {
			h.cell.end(task.Job, task.Index, reducer.TaskResultStopped)
		}
	}
}

// endDue reports the end of tasks whose run time is over, unless they were
// stopped or lost before.
func (h *urgentReplay) endDue() {
	for len(h.ends) > 0 && !h.ends[0].at.After(h.cell.now) {
		task := h.ends[0].task
		h.ends = removeFirst(h.ends)
		state := h.cell.job(task.Job).Tasks[task.Index]
		if state.Phase != modeler.TaskStarted {
			continue
		}
		result := reducer.TaskResultFinished
		if h.failingWorkers[state.Worker] {
			result = reducer.TaskResultFailed
		}
		h.cell.end(task.Job, task.Index, result)
	}
}

func (h *urgentReplay) planOnce() {
	p := h.cell.planner.Plan(h.cell.state, h.cell.now)
	if len(p.Preempt) > 0 {
		h.cell.apply(reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: p.Preempt})
		for _, task := range p.Preempt {
			h.stopping[task] = h.cell.now
		}
	}
	if len(p.Starts) == 0 {
		return
	}
	h.commit(p.Starts)
	h.cell.planner.Reconcile(h.cell.state, p)
	for _, s := range p.Starts {
		if submitted, ok := h.pendingUrgent[s.Task.Job]; ok {
			h.waits = append(h.waits, h.cell.now.Sub(submitted))
			delete(h.pendingUrgent, s.Task.Job)
		}
		if h.failingWorkers[s.Worker] {
			h.endAtOnce(s)
		}
	}
}

// endAtOnce makes a task on a failing worker end at the next tick.
func (h *urgentReplay) endAtOnce(s reducer.Start) {
	for i := range h.ends {
		if h.ends[i].task == s.Task {
			h.ends[i].at = h.cell.now
		}
	}
	sortEnds(h.ends)
}

// expireLease declares a worker lost, as after the end of its lease.
func (h *urgentReplay) expireLease(id string) {
	w, _ := h.cell.state.Workers.Get(id)
	h.cell.apply(reducer.Command{
		Kind: reducer.KindMarkWorkersLost, Sessions: []reducer.WorkerSession{{Worker: id, Session: w.Session}},
	})
}

// TestUrgentWorkUnderFaults checks that under each fault at least 99 % of urgent
// jobs are placed within 4.1 s.
func TestUrgentWorkUnderFaults(t *testing.T) {
	t.Parallel()
	const target = 0.99
	faults := map[string]func(h *urgentReplay){
		"none": func(*urgentReplay) {},
		"a rack is lost": func(h *urgentReplay) {
			for i := range 8 {
				h.expireLease(fmt.Sprintf("w%05d", i))
			}
		},
		"three workers fail everything": func(h *urgentReplay) {
			for i := range 3 {
				h.failingWorkers[fmt.Sprintf("w%05d", 10+i)] = true
			}
		},
		"a wave of cancellations": func(h *urgentReplay) {
			var names []string
			for it := h.cell.state.Jobs.Iterator(); !it.Done(); {
				id, job, _ := it.Next()
				if !job.Spec.Urgent {
					names = append(names, id)
				}
				for i, task := range job.Tasks {
					if !job.Spec.Urgent && task.Phase == modeler.TaskStarted {
						h.stopping[modeler.TaskReference{Job: id, Index: i}] = h.cell.now
					}
				}
			}
			h.cell.apply(reducer.Command{Kind: reducer.KindCancelJobs, Names: names})
		},
		"jobs that can never run": func(h *urgentReplay) {
			for i := range 600 {
				h.cell.submit(modeler.JobSpec{
					ID: fmt.Sprintf("never-%d", i), Department: "kowhai", Count: 2, Urgent: i%2 == 0, Need: need(1000000),
				})
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newUrgentReplay(t)
			h.run(fault)
			inTime := 0
			for _, wait := range h.waits {
				if wait <= urgentWaitLimit {
					inTime++
				}
			}
			late := 0
			for _, submitted := range h.pendingUrgent {
				if h.cell.now.Sub(submitted) > urgentWaitLimit {
					late++
				}
			}
			share := float64(inTime) / float64(len(h.waits)+late)
			workload := "full pool, 48 workers, " + name + "; naive is the target"
			reportRatio(t, "share of urgent work placed within 4.1 s", workload, target, share)
			if share < target {
				t.Errorf("%d of %d started urgent jobs were placed in time, and %d still wait after the limit", inTime, len(h.waits), late)
			}
		})
	}
}

func removeFirst(ends taskEnds) taskEnds {
	heap.Pop(&ends)
	return ends
}

func sortEnds(ends taskEnds) { heap.Init(&ends) }
