// Package planner selects the waiting tasks to start next and a worker for
// each. Departments with urgent jobs come first, then those with the smallest
// share of their grant; the placer chooses the workers. A plan is only a
// proposal: the reducer checks every start when it applies the command.
package planner

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// maxStarts limits the starts of one plan, and with them the size of one log record.
	maxStarts = 512
	// tasksPerTurn is how many tasks of a department are placed before the
	// next department is selected.
	tasksPerTurn = 16
	// maxRejectedJobs limits, per department and plan, the jobs that are
	// evaluated but cannot start.
	maxRejectedJobs = 256
	// gangBlockAfter is how long other jobs may start while a gang waits. A
	// gang that has waited longer blocks non-urgent jobs in its pool.
	gangBlockAfter = 30 * time.Second
	// preemptionTimeout is how long a job waits for the tasks it preempted to
	// stop before another preemption is tried.
	preemptionTimeout = 2 * time.Second
)

// Reason is why a job waits.
type Reason string

// The reasons why a job waits.
const (
	ReasonNoGrant         Reason = "no grant of the department is in force"
	ReasonGrantExhausted  Reason = "the department's grant is used up"
	ReasonExceedsGrant    Reason = "the job needs more than the department's grant"
	ReasonNeverFits       Reason = "no worker of the pool is large enough"
	ReasonGangExceedsPool Reason = "the pool is too small for the whole gang"
	ReasonNoCapacity      Reason = "no worker of the pool has room now"
	ReasonBlockedByGang   Reason = "a gang that waited long goes first"
	ReasonPreempting      Reason = "other work is being stopped to make room"
	ReasonGangStopping    Reason = "tasks of the gang are still stopping"
	ReasonNotEvaluated    Reason = "not looked at yet"
)

// Plan lists the tasks to start and the running tasks to stop.
type Plan struct {
	Starts  []reducer.Start
	Preempt []modeler.TaskReference
}

// Planner keeps an index of workers and queues of waiting jobs in step with
// the replicated state. It is not safe for concurrent use.
type Planner struct {
	index  *placer.Index
	queues map[string]*queue
	// onProbation maps idle workers on probation that may not get a task yet
	// to the time at which they may.
	onProbation map[string]time.Time
	// reasons maps each waiting job to the reason why it was not started when
	// it was last evaluated.
	reasons map[string]Reason
	// reserved maps urgent jobs to the worker on which other tasks are being
	// stopped for them.
	reserved map[string]reservation
	// movedAt maps tasks that consolidation stopped to the time of the stop.
	// An entry is deleted once the task may be moved again.
	movedAt           map[modeler.TaskReference]time.Time
	nextConsolidation time.Time
}

// New returns a planner that is in step with the state.
func New(state reducer.State) *Planner {
	p := &Planner{
		index:       placer.NewIndex(),
		queues:      map[string]*queue{},
		onProbation: map[string]time.Time{},
		reasons:     map[string]Reason{},
		reserved:    map[string]reservation{},
		movedAt:     map[modeler.TaskReference]time.Time{},
	}
	for it := state.Workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		p.syncWorker(w, state.Now)
	}
	for it := state.WaitingJobs.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		p.syncJob(state, id)
	}
	return p
}

// Sync updates the planner from the records that a commit changed.
func (p *Planner) Sync(state reducer.State, changed []reducer.ChangedRecord) {
	for _, t := range changed {
		switch t.Kind {
		case reducer.RecordWorker:
			w, ok := state.Workers.Get(t.Key)
			if !ok {
				p.index.Remove(t.Key)
				delete(p.onProbation, t.Key)
				continue
			}
			p.syncWorker(w, state.Now)
		case reducer.RecordJob:
			p.syncJob(state, t.Key)
		}
	}
}

func (p *Planner) syncWorker(w modeler.Worker, now time.Time) {
	delete(p.onProbation, w.ID)
	if !w.IsSchedulable(now) {
		p.index.Remove(w.ID)
		if w.Probation && len(w.Tasks) == 0 {
			p.onProbation[w.ID] = w.RetryAt
		}
		return
	}
	c := placer.Candidate{
		ID:         w.ID,
		Session:    w.Session,
		Pool:       w.Pool,
		Rack:       w.Rack,
		DataCentre: w.DataCentre,
		Free:       w.Free(),
		Total:      w.Capacity.Minus(w.Reserve),
		SingleTask: w.Probation,
	}
	if known, ok := p.index.Get(w.ID); !ok || known.Total != c.Total || known.Pool != c.Pool {
		p.unparkAll()
	}
	p.index.Upsert(c)
}

// unparkAll returns the parked jobs of every department to their queues.
func (p *Planner) unparkAll() {
	for _, q := range p.queues {
		q.unpark()
	}
}

func (p *Planner) syncJob(state reducer.State, id string) {
	j, ok := state.Jobs.Get(id)
	for _, q := range p.queues {
		q.remove(id)
	}
	if !ok || j.Count(modeler.TaskWaiting) == 0 {
		delete(p.reasons, id)
		delete(p.reserved, id)
		return
	}
	q, ok := p.queues[j.Spec.Department]
	if !ok {
		q = &queue{}
		p.queues[j.Spec.Department] = q
	}
	q.add(waitingJob{j.Spec.ID, j.Spec.Urgent, j.Submitted})
}

// WaitReason returns why the job was not started when it was last evaluated,
// or ReasonNotEvaluated.
func (p *Planner) WaitReason(job string) Reason {
	if reason, ok := p.reasons[job]; ok {
		return reason
	}
	return ReasonNotEvaluated
}

// admitProbationWorkers makes workers on probation eligible for one task once
// their retry time has passed.
func (p *Planner) admitProbationWorkers(state reducer.State, now time.Time) {
	for id, at := range p.onProbation {
		if at.After(now) {
			continue
		}
		if w, ok := state.Workers.Get(id); ok {
			p.syncWorker(w, now)
		}
	}
}

// Plan returns the starts and preemptions to propose. The planner must have
// been synced to the state. Plan allocates resources in the index for the
// starts; Reconcile must be called after the proposal to correct the index.
func (p *Planner) Plan(state reducer.State, now time.Time) Plan {
	p.admitProbationWorkers(state, now)
	r := newRound(p, state, now)
	for len(r.plan.Starts) < maxStarts {
		d := r.nextDepartment()
		if d == nil {
			break
		}
		r.serve(d)
	}
	r.consolidate()
	return r.plan
}

// Reconcile updates the workers and jobs of a proposed plan from the state,
// whether the proposal was applied or not.
func (p *Planner) Reconcile(state reducer.State, plan Plan) {
	for _, s := range plan.Starts {
		if w, ok := state.Workers.Get(s.Worker); ok {
			p.syncWorker(w, state.Now)
		}
		p.syncJob(state, s.Task.Job)
	}
}
