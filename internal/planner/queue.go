package planner

import (
	"cmp"
	"slices"
	"time"
)

// waitingJob holds the sort key of a queued job.
type waitingJob struct {
	id        string
	urgent    bool
	submitted time.Time
}

// queue holds the waiting jobs of one department, urgent jobs first, then in
// the order of submission.
type queue struct {
	jobs []waitingJob
	// byID holds all jobs of the queue by id, including the parked ones.
	byID map[string]waitingJob
	// parked holds jobs that no worker or pool is large enough for. They are
	// skipped until the workers change.
	parked map[string]waitingJob
	// offset is the position among the non-urgent jobs at which the next plan
	// starts, so that a plan that reached maxRejectedJobs is continued.
	offset int
}

func compareWaiting(left, right waitingJob) int {
	if left.urgent != right.urgent {
		if left.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(left.submitted.Compare(right.submitted), cmp.Compare(left.id, right.id))
}

func (q *queue) add(w waitingJob) {
	if q.byID == nil {
		q.byID = map[string]waitingJob{}
		q.parked = map[string]waitingJob{}
	}
	position, found := slices.BinarySearchFunc(q.jobs, w, compareWaiting)
	if found {
		return
	}
	q.jobs = slices.Insert(q.jobs, position, w)
	q.byID[w.id] = w
}

func (q *queue) remove(id string) {
	w, ok := q.byID[id]
	if !ok {
		return
	}
	delete(q.byID, id)
	delete(q.parked, id)
	if position, found := slices.BinarySearchFunc(q.jobs, w, compareWaiting); found {
		q.jobs = slices.Delete(q.jobs, position, position+1)
	}
}

// park excludes a job from scheduling until unpark.
func (q *queue) park(id string) {
	w, ok := q.byID[id]
	if !ok {
		return
	}
	q.remove(id)
	q.byID[id] = w
	q.parked[id] = w
}

func (q *queue) unpark() {
	for id, w := range q.parked {
		delete(q.parked, id)
		q.add(w)
	}
}

// rotated returns the urgent jobs followed by the others, rotated to begin at
// the offset.
func (q *queue) rotated() []waitingJob {
	urgent := 0
	for urgent < len(q.jobs) && q.jobs[urgent].urgent {
		urgent++
	}
	rest := q.jobs[urgent:]
	if q.offset >= len(rest) {
		q.offset = 0
	}
	return slices.Concat(q.jobs[:urgent], rest[q.offset:], rest[:q.offset])
}

// advance moves the offset so that the next plan begins where this one
// stopped, with remaining jobs not evaluated.
func (q *queue) advance(remaining int) {
	if len(q.jobs) == 0 {
		return
	}
	q.offset = (q.offset + len(q.jobs) - remaining) % len(q.jobs)
}
