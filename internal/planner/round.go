package planner

import (
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// round computes one plan.
type round struct {
	planner *Planner
	state   reducer.State
	now     time.Time
	plan    Plan
	// departments holds the departments with queued jobs, in no order.
	departments []*department
	// unplaceable maps each pool to the needs for which no worker of the pool
	// had enough free resources in this round.
	unplaceable map[string][]modeler.Resources
	// consolidated lists the workers whose index entries consolidation changed:
	// those to be emptied and those to which their tasks are expected to move.
	consolidated []string
	// blockedPools holds the pools in which a gang has waited longer than
	// gangBlockAfter, so that other non-urgent jobs do not start.
	blockedPools map[string]bool
}

// department is the scheduling state of one department within a round.
type department struct {
	name  string
	jobs  []waitingJob
	grant modeler.GrantSpec
	// hasGrant is false if no grant of the department is in force.
	hasGrant bool
	// usage includes the tasks that this round starts.
	usage modeler.Resources
	// rejected counts the jobs that were evaluated but could not start, except
	// parked jobs and those that exceed the grant.
	rejected int
	// nextTask is the index of the task of jobs[0] to evaluate next.
	nextTask int
}

func newRound(p *Planner, state reducer.State, now time.Time) *round {
	r := &round{
		planner:      p,
		state:        state,
		now:          now,
		unplaceable:  map[string][]modeler.Resources{},
		blockedPools: map[string]bool{},
	}
	for name, q := range p.queues {
		if len(q.jobs) == 0 {
			continue
		}
		d := &department{name: name, jobs: q.rotated()}
		d.grant, d.hasGrant = state.GrantInForce(name, now)
		d.usage, _ = state.Usage.Get(name)
		r.departments = append(r.departments, d)
	}
	return r
}

// nextDepartment returns the department with jobs left to evaluate that comes
// first: one whose next job is urgent, otherwise the one with the smallest
// weighted share of its grant. It returns nil if no jobs are left.
func (r *round) nextDepartment() *department {
	var best *department
	for _, d := range r.departments {
		if len(d.jobs) > 0 && (best == nil || d.before(best)) {
			best = d
		}
	}
	return best
}

func (d *department) before(other *department) bool {
	if d.jobs[0].urgent != other.jobs[0].urgent {
		return d.jobs[0].urgent
	}
	if d.share() != other.share() {
		return d.share() < other.share()
	}
	return d.name < other.name
}

func (d *department) share() float64 {
	return d.usage.DominantShare(d.grant.Limit) / float64(max(d.grant.Weight, 1))
}

// serve evaluates the next job of the department and starts tasks of it.
func (r *round) serve(d *department) {
	job, ok := r.state.Jobs.Get(d.jobs[0].id)
	if !ok {
		d.nextJob()
		return
	}
	reason := r.check(d, job)
	if reason == "" && job.Spec.Kind == modeler.KindGang {
		reason = r.startGang(d, job)
	} else if reason == "" {
		var hasMore bool
		if reason, hasMore = r.startTasks(d, job); hasMore {
			return
		}
	}
	if reason == ReasonNoCapacity && job.Spec.Urgent {
		reason = r.preempt(job)
	}
	r.recordReason(d, job, reason)
	d.nextJob()
	if d.rejected >= maxRejectedJobs {
		r.planner.queues[d.name].advance(len(d.jobs))
		d.jobs = nil
	}
}

// recordReason stores why the job waits. A job that no worker or pool is large
// enough for is parked until the workers change, so that it does not delay others.
func (r *round) recordReason(d *department, job modeler.Job, reason Reason) {
	switch reason {
	case "":
		return
	case ReasonNeverFits, ReasonGangExceedsPool:
		r.planner.queues[d.name].park(job.Spec.ID)
	case ReasonExceedsGrant:
	default:
		d.rejected++
	}
	r.planner.reasons[job.Spec.ID] = reason
}

func (d *department) nextJob() {
	d.jobs = d.jobs[1:]
	d.nextTask = 0
}

// check returns why no task of the job can start, or an empty reason.
func (r *round) check(d *department, job modeler.Job) Reason {
	if reason := r.checkGrant(d, job); reason != "" {
		return reason
	}
	if reason := r.checkPool(job); reason != "" {
		return reason
	}
	switch {
	case r.blockedPools[job.Spec.Pool] && !job.Spec.Urgent:
		return ReasonBlockedByGang
	case r.isUnplaceable(job):
		return ReasonNoCapacity
	default:
		return ""
	}
}

// startNeed returns the resources that the next start of the job needs: those
// of all waiting tasks for a gang, which starts as a whole, otherwise of one task.
func startNeed(job modeler.Job) modeler.Resources {
	if job.Spec.Kind == modeler.KindGang {
		return job.Spec.Need.Times(int64(job.Count(modeler.TaskWaiting)))
	}
	return job.Spec.Need
}

func (r *round) checkGrant(d *department, job modeler.Job) Reason {
	switch {
	case !d.hasGrant:
		return ReasonNoGrant
	case !startNeed(job).FitsIn(d.grant.Limit):
		return ReasonExceedsGrant
	case !d.usage.Plus(startNeed(job)).FitsIn(d.grant.Limit):
		return ReasonGrantExhausted
	default:
		return ""
	}
}

func (r *round) checkPool(job modeler.Job) Reason {
	index, need := r.planner.index, job.Spec.Need
	isGang := job.Spec.Kind == modeler.KindGang
	switch {
	case !index.FitsEmptyWorker(job.Spec.Pool, need):
		return ReasonNeverFits
	case isGang && index.EmptyPoolCapacity(job.Spec.Pool, need) < int64(job.Spec.Count):
		return ReasonGangExceedsPool
	case isGang && job.Count(modeler.TaskStopping) > 0:
		return ReasonGangStopping
	default:
		return ""
	}
}

// isUnplaceable reports whether an equal or smaller need could not be placed in
// the job's pool in this round.
func (r *round) isUnplaceable(job modeler.Job) bool {
	for _, need := range r.unplaceable[job.Spec.Pool] {
		if need.FitsIn(job.Spec.Need) {
			return true
		}
	}
	return false
}

// startTasks starts up to tasksPerTurn waiting tasks of the job, and reports
// whether the job has more to start in a later turn.
func (r *round) startTasks(d *department, job modeler.Job) (Reason, bool) {
	spread := newSpreader(job, r.planner.index)
	started := 0
	for ; d.nextTask < len(job.Tasks); d.nextTask++ {
		if job.Tasks[d.nextTask].Phase != modeler.TaskWaiting {
			continue
		}
		if started == tasksPerTurn || len(r.plan.Starts) == maxStarts {
			return "", true
		}
		if !d.usage.Plus(job.Spec.Need).FitsIn(d.grant.Limit) {
			return ReasonGrantExhausted, false
		}
		c, ok := r.choose(job, d.nextTask, spread)
		if !ok {
			return ReasonNoCapacity, false
		}
		r.allocate(d, job, d.nextTask, c)
		spread.add(c)
		started++
	}
	return "", false
}

// startGang starts all waiting tasks of the gang, or none.
func (r *round) startGang(d *department, job modeler.Job) Reason {
	spread := newSpreader(job, r.planner.index)
	before := len(r.plan.Starts)
	usage := d.usage
	unplaceable := r.unplaceable[job.Spec.Pool]
	for i, task := range job.Tasks {
		if task.Phase != modeler.TaskWaiting {
			continue
		}
		c, ok := r.choose(job, i, spread)
		if !ok {
			r.rollBack(before)
			// The need may fit again now that the gang's allocations are released.
			r.unplaceable[job.Spec.Pool] = unplaceable
			d.usage = usage
			r.blockedPools[job.Spec.Pool] = r.blockedPools[job.Spec.Pool] || r.now.Sub(job.Submitted) > gangBlockAfter
			return ReasonNoCapacity
		}
		r.allocate(d, job, i, c)
		spread.add(c)
	}
	return ""
}

// rollBack removes the planned starts from the position on. It resets their
// workers in the index to the state and reapplies the starts before the position.
func (r *round) rollBack(from int) {
	affected := map[string]bool{}
	for _, s := range r.plan.Starts[from:] {
		if w, ok := r.state.Workers.Get(s.Worker); ok {
			r.planner.syncWorker(w, r.now)
			affected[s.Worker] = true
		}
	}
	r.plan.Starts = r.plan.Starts[:from]
	for _, s := range r.plan.Starts {
		if job, ok := r.state.Jobs.Get(s.Task.Job); ok && affected[s.Worker] {
			r.planner.index.Allocate(s.Worker, job.Spec.Need)
		}
	}
}

func (r *round) allocate(d *department, job modeler.Job, index int, c placer.Candidate) {
	r.planner.index.Allocate(c.ID, job.Spec.Need)
	d.usage = d.usage.Plus(job.Spec.Need)
	r.plan.Starts = append(r.plan.Starts, reducer.Start{
		Task:    modeler.TaskReference{Job: job.Spec.ID, Index: index},
		Worker:  c.ID,
		Session: c.Session,
	})
}

// choose returns a worker for the task, trying the domains with the fewest
// tasks of the job first. It excludes workers on which the task failed and
// those reserved for other jobs.
func (r *round) choose(job modeler.Job, index int, spread *spreader) (placer.Candidate, bool) {
	spec, ok := r.state.Pool(job.Spec.Pool)
	if !ok {
		return placer.Candidate{}, false
	}
	request := placer.Request{Pool: job.Spec.Pool, Placement: spec.Placement, Need: job.Spec.Need}
	failedOn := job.Tasks[index].FailedOn
	reserved := r.reservedForOthers(job.Spec.ID)
	if len(failedOn) == 0 && job.Spec.Spread == modeler.SpreadNone && len(reserved) == 0 {
		c, ok := r.planner.index.Choose(request)
		if !ok {
			r.unplaceable[job.Spec.Pool] = append(r.unplaceable[job.Spec.Pool], job.Spec.Need)
		}
		return c, ok
	}
	for level := 0; level <= spread.maxCount; level++ {
		request.Allowed = spread.filter(level, slices.Concat(failedOn, reserved))
		if c, ok := r.planner.index.Choose(request); ok {
			return c, true
		}
	}
	return placer.Candidate{}, false
}
