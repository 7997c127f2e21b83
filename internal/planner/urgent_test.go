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
	urgentBound = 4100 * time.Millisecond
	// stopTime is what a worker takes to confirm a stop.
	stopTime  = 500 * time.Millisecond
	shortTick = 100 * time.Millisecond
	rush      = 4 * time.Minute
)

// rushHour is a replay of a pool that is full of batch work, into which urgent
// jobs come every two seconds while a fault is brought about.
type rushHour struct {
	*night
	stopping map[modeler.TaskReference]time.Time
	urgent   map[string]time.Time
	waits    []time.Duration
	// failing workers fail every task at once.
	failing map[string]bool
}

func newRushHour(t *testing.T) *rushHour {
	t.Helper()
	n := newNight(t, 48, modeler.PlacementBestFit, false)
	n.random = rand.New(rand.NewPCG(5, 5))
	return &rushHour{
		night: n, stopping: map[modeler.TaskReference]time.Time{}, urgent: map[string]time.Time{},
		failing: map[string]bool{},
	}
}

func (h *rushHour) run(fault func(h *rushHour)) {
	start := h.cell.now
	for tick := 0; h.cell.now.Before(start.Add(rush)); tick++ {
		h.cell.now = h.cell.now.Add(shortTick)
		if h.cell.now.Sub(start) == rush/2 {
			fault(h)
		}
		if tick%20 == 0 {
			h.arriveFull(tick)
		}
		h.confirmStops()
		h.endDue()
		h.planOnce()
	}
}

// arriveFull keeps batch work waiting at all times, and brings one urgent job.
func (h *rushHour) arriveFull(tick int) {
	for h.cell.state.Waiting.Len() < 40 {
		h.jobs++
		h.cell.submit(modeler.JobSpec{
			ID: fmt.Sprintf("j%06d", h.jobs), Department: "kowhai", Count: 8,
			Need: modeler.Resources{Processors: 1000 * (1 + h.random.Int64N(4)), Memory: 1 << 30},
		})
	}
	id := fmt.Sprintf("urgent-%d", tick)
	h.urgent[id] = h.cell.now
	h.cell.submit(modeler.JobSpec{
		ID: id, Department: "kowhai", Count: 1, Urgent: true,
		Need: modeler.Resources{Processors: 1000 * (1 + h.random.Int64N(8)), Memory: 2 << 30},
	})
}

func (h *rushHour) confirmStops() {
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

// endDue ends what is due, unless it was stopped or lost meanwhile.
func (h *rushHour) endDue() {
	for len(h.ends) > 0 && !h.ends[0].at.After(h.cell.now) {
		task := h.ends[0].task
		h.ends = removeFirst(h.ends)
		state := h.cell.job(task.Job).Tasks[task.Index]
		if state.Phase != modeler.TaskStarted {
			continue
		}
		result := reducer.TaskResultFinished
		if h.failing[state.Worker] {
			result = reducer.TaskResultFailed
		}
		h.cell.end(task.Job, task.Index, result)
	}
}

func (h *rushHour) planOnce() {
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
		if submitted, ok := h.urgent[s.Task.Job]; ok {
			h.waits = append(h.waits, h.cell.now.Sub(submitted))
			delete(h.urgent, s.Task.Job)
		}
		if h.failing[s.Worker] {
			h.failSoon(s)
		}
	}
}

// failSoon lets a task that a failing worker got end at the next tick.
func (h *rushHour) failSoon(s reducer.Start) {
	for i := range h.ends {
		if h.ends[i].task == s.Task {
			h.ends[i].at = h.cell.now
		}
	}
	sortEnds(h.ends)
}

// lose ends the lease of a worker.
func (h *rushHour) lose(id string) {
	w, _ := h.cell.state.Workers.Get(id)
	h.cell.apply(reducer.Command{Kind: reducer.KindLoseWorkers, Sessions: []reducer.WorkerSession{{Worker: id, Session: w.Session}}})
}

// The target: at least 99 % of urgent work is placed within 4.1 s under each fault.
func TestUrgentWorkUnderFaults(t *testing.T) {
	t.Parallel()
	const target = 0.99
	faults := map[string]func(h *rushHour){
		"none": func(*rushHour) {},
		"a rack is lost": func(h *rushHour) {
			for i := range 8 {
				h.lose(fmt.Sprintf("w%05d", i))
			}
		},
		"three workers fail everything": func(h *rushHour) {
			for i := range 3 {
				h.failing[fmt.Sprintf("w%05d", 10+i)] = true
			}
		},
		"a wave of cancellations": func(h *rushHour) {
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
		"jobs that can never run": func(h *rushHour) {
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
			h := newRushHour(t)
			h.run(fault)
			inTime := 0
			for _, wait := range h.waits {
				if wait <= urgentBound {
					inTime++
				}
			}
			late := 0
			for _, submitted := range h.urgent {
				if h.cell.now.Sub(submitted) > urgentBound {
					late++
				}
			}
			share := float64(inTime) / float64(len(h.waits)+late)
			workload := "full pool, 48 workers, " + name + "; naive is the target"
			reportRatio(t, "share of urgent work placed within 4.1 s", workload, target, share)
			if share < target {
				t.Errorf("%d of %d urgent jobs were placed in time, and %d wait for longer", inTime, len(h.waits), late)
			}
		})
	}
}

func removeFirst(ends endings) endings {
	heap.Pop(&ends)
	return ends
}

func sortEnds(ends endings) { heap.Init(&ends) }
