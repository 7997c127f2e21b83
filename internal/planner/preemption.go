package planner

import (
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
)

// preempt adds tasks of one worker to the plan to be stopped, so that a task
// of the urgent job fits there.
func (r *round) preempt(job modeler.Job) Reason {
	if held, ok := r.planner.reserved[job.Spec.ID]; ok && held.until.After(r.now) {
		return ReasonPreempting
	}
	worker, victims := r.cheapestVictims(job)
	if len(victims) == 0 {
		return ReasonNoCapacity
	}
	r.plan.Preempt = append(r.plan.Preempt, victims...)
	r.planner.reserved[job.Spec.ID] = reservation{worker, r.now.Add(preemptionTimeout)}
	return ReasonPreempting
}

// reservation keeps other jobs off a worker while tasks are being stopped
// there for an urgent job.
type reservation struct {
	worker string
	// until is when the reservation expires and another preemption may be tried.
	until time.Time
}

// reservedForOthers returns the workers that are reserved for other jobs.
func (r *round) reservedForOthers(job string) []string {
	var workers []string
	for id, held := range r.planner.reserved {
		if id != job && held.until.After(r.now) {
			workers = append(workers, held.worker)
		}
	}
	return workers
}

// cheapestVictims returns the worker on which the fewest tasks have to be
// stopped for one task of the job to fit, and those tasks.
func (r *round) cheapestVictims(job modeler.Job) (string, []modeler.TaskReference) {
	var worker string
	var best []modeler.TaskReference
	reserved := r.reservedForOthers(job.Spec.ID)
	for it := r.state.Workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		c, ok := r.planner.index.Get(w.ID)
		if !ok || w.Pool != job.Spec.Pool || !job.Spec.Need.FitsIn(c.Total) || slices.Contains(reserved, w.ID) {
			continue
		}
		victims := r.victimsOn(w, c, job)
		if len(victims) > 0 && (best == nil || len(victims) < len(best)) {
			worker, best = w.ID, victims
		}
	}
	return worker, best
}

func (r *round) victimsOn(w modeler.Worker, c placer.Candidate, job modeler.Job) []modeler.TaskReference {
	free := c.Free
	var victims []modeler.TaskReference
	for _, reference := range w.Tasks {
		other, ok := r.state.Jobs.Get(reference.Job)
		if !ok || !isPreemptable(other, reference.Index) || slices.Contains(r.plan.Preempt, reference) {
			continue
		}
		free = free.Plus(other.Spec.Need)
		victims = append(victims, reference)
		if job.Spec.Need.FitsIn(free) {
			return victims
		}
	}
	return nil
}

// isPreemptable reports whether the task may be stopped: it must be a started
// task of a batch job that is not urgent. Stopping one task of a gang would
// cost the whole gang.
func isPreemptable(job modeler.Job, index int) bool {
	if job.Spec.Urgent || job.Spec.Kind != modeler.KindBatch {
		return false
	}
	return job.Tasks[index].Phase == modeler.TaskStarted
}
