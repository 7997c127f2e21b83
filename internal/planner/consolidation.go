package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
)

const (
	// consolidationInterval is the minimum time between two consolidations.
	consolidationInterval = 10 * time.Second
	// consolidationThreshold is the dominant share of used resources below
	// which a worker is underused.
	consolidationThreshold = 0.5
	// minRunTimeBeforeMove is how long a task must have run to count as a straggler.
	minRunTimeBeforeMove = 20 * time.Second
	// moveCooldown is how long a moved task is not moved again.
	moveCooldown = 10 * time.Minute
	// workersPerConsolidation limits a consolidation to one worker, plus one
	// more for every so many workers in the index.
	workersPerConsolidation = 32
)

// consolidate empties underused workers of best-fit pools. If a worker holds
// only stragglers of batch jobs, and all of them fit on other workers that are
// in use, they are stopped with a checkpoint, so that they can be restarted
// on those.
func (r *round) consolidate() {
	if len(r.plan.Starts) > 0 || r.now.Before(r.planner.nextConsolidation) {
		return
	}
	r.planner.nextConsolidation = r.now.Add(consolidationInterval)
	r.expireMoves()
	workers := r.underusedWorkers()
	for _, w := range workers[:min(len(workers), 1+r.planner.index.Len()/workersPerConsolidation)] {
		r.evacuate(w)
	}
	r.resyncWorkers(r.consolidated)
}

func (r *round) expireMoves() {
	for task, at := range r.planner.movedAt {
		if r.now.Sub(at) > moveCooldown {
			delete(r.planner.movedAt, task)
		}
	}
}

// underusedWorkers returns the workers below consolidationThreshold whose tasks
// may all be moved, the least used first.
func (r *round) underusedWorkers() []modeler.Worker {
	var underused []modeler.Worker
	for it := r.state.Workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		pool, ok := r.state.Pool(w.Pool)
		packable := ok && pool.Placement == modeler.PlacementBestFit && len(r.unplaceable[w.Pool]) == 0
		if packable && len(w.Tasks) > 0 && usedShare(w) < consolidationThreshold && r.allMovable(w) {
			underused = append(underused, w)
		}
	}
	slices.SortStableFunc(underused, func(a, b modeler.Worker) int { return cmp.Compare(usedShare(a), usedShare(b)) })
	return underused
}

func usedShare(w modeler.Worker) float64 {
	return w.Used.DominantShare(w.Capacity.Minus(w.Reserve))
}

// allMovable reports whether every task of the worker is a straggler of a
// batch job that has not been moved within moveCooldown.
func (r *round) allMovable(w modeler.Worker) bool {
	for _, reference := range w.Tasks {
		job, ok := r.state.Jobs.Get(reference.Job)
		_, coolingDown := r.planner.movedAt[reference]
		if !ok || coolingDown || !isPreemptable(job, reference.Index) {
			return false
		}
		if r.now.Sub(job.Tasks[reference.Index].Started) < minRunTimeBeforeMove {
			return false
		}
	}
	return true
}

// evacuate stops the tasks of the worker if all of them fit on other workers in use.
func (r *round) evacuate(w modeler.Worker) {
	if _, known := r.planner.index.Get(w.ID); !known {
		return
	}
	inUse := func(c placer.Candidate) bool { return c.ID != w.ID && c.Free != c.Total && !c.SingleTask }
	var targets []string
	for _, reference := range w.Tasks {
		job, _ := r.state.Jobs.Get(reference.Job)
		c, ok := r.planner.index.Choose(placer.Request{
			Pool: w.Pool, Placement: modeler.PlacementBestFit, Need: job.Spec.Need, Allowed: inUse,
		})
		if !ok {
			r.resyncWorkers(targets)
			return
		}
		r.planner.index.Allocate(c.ID, job.Spec.Need)
		targets = append(targets, c.ID)
	}
	// The allocations stay for the rest of this round, so that the next worker
	// to be emptied does not count on the same free resources.
	r.consolidated = append(r.consolidated, targets...)
	for _, reference := range w.Tasks {
		r.planner.movedAt[reference] = r.now
	}
	r.planner.index.Remove(w.ID)
	r.consolidated = append(r.consolidated, w.ID)
	r.plan.Preempt = append(r.plan.Preempt, w.Tasks...)
}

// resyncWorkers resets the index entries of the workers to the state.
func (r *round) resyncWorkers(workers []string) {
	for _, id := range workers {
		if w, ok := r.state.Workers.Get(id); ok {
			r.planner.syncWorker(w, r.now)
		}
	}
}
