// Package planner decides which waiting tasks start next and where. It orders
// the departments of a pool by their share, urgent work first, and asks the
// placer for each worker. It proposes; the ledger of the state decides.
package planner

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// maxStarts bounds the starts of one plan, and with it one log record.
	maxStarts = 512
	// turn is how many tasks a department places before the next one's turn.
	turn = 16
	// maxLooks bounds the jobs of a department that one plan looks at in vain.
	maxLooks = 256
	// gangPatience is how long others may be started around a waiting gang.
	gangPatience = 30 * time.Second
	// preemptPause is how long a preemption may take before another is tried.
	preemptPause = 2 * time.Second
)

// Reason is why a job waits.
type Reason string

// The reasons why a job waits.
const (
	ReasonNoGrant      Reason = "no grant of the department is in force"
	ReasonGrantFull    Reason = "the department's grant is used up"
	ReasonGrantSmall   Reason = "the job needs more than the department's grant"
	ReasonNeverFits    Reason = "no worker of the pool is large enough"
	ReasonGangTooBig   Reason = "the pool is too small for the whole gang"
	ReasonNoRoom       Reason = "no worker of the pool has room now"
	ReasonBehindGang   Reason = "a gang that waited long goes first"
	ReasonPreempting   Reason = "other work is being stopped to make room"
	ReasonGangStops    Reason = "tasks of the gang are still stopping"
	ReasonNotEvaluated Reason = "not looked at yet"
)

// Plan is what to propose.
type Plan struct {
	Starts  []reducer.Start
	Preempt []modeler.TaskReference
}

// Planner follows the state. It is not safe for concurrent use.
type Planner struct {
	index  *placer.Index
	queues map[string]*queue
	// paused maps workers on probation to the instant of their next task.
	paused map[string]time.Time
	// reasons says of each waiting job why it was not started by the last plan.
	reasons map[string]Reason
	// reserved maps urgent jobs to the worker on which other work is being
	// stopped for them.
	reserved map[string]reservation
	// moved holds when consolidation last stopped a task, until it may again.
	moved             map[modeler.TaskReference]time.Time
	nextConsolidation time.Time
}

// New returns a planner of the state.
func New(state reducer.State) *Planner {
	p := &Planner{
		index:    placer.NewIndex(),
		queues:   map[string]*queue{},
		paused:   map[string]time.Time{},
		reasons:  map[string]Reason{},
		reserved: map[string]reservation{},
		moved:    map[modeler.TaskReference]time.Time{},
	}
	for it := state.Workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		p.syncWorker(w, state.Now)
	}
	for it := state.Waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		p.syncJob(state, id)
	}
	return p
}

// Sync takes over the records that changed.
func (p *Planner) Sync(state reducer.State, touched []reducer.Touch) {
	for _, t := range touched {
		switch t.Kind {
		case reducer.TouchWorker:
			w, ok := state.Workers.Get(t.Key)
			if !ok {
				p.index.Remove(t.Key)
				delete(p.paused, t.Key)
				continue
			}
			p.syncWorker(w, state.Now)
		case reducer.TouchJob:
			p.syncJob(state, t.Key)
		}
	}
}

func (p *Planner) syncWorker(w modeler.Worker, now time.Time) {
	delete(p.paused, w.ID)
	if !w.IsPlaceable(now) {
		p.index.Remove(w.ID)
		if w.Probation && len(w.Tasks) == 0 {
			p.paused[w.ID] = w.RetryAt
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
		Single:     w.Probation,
	}
	if known, ok := p.index.Get(w.ID); !ok || known.Total != c.Total || known.Pool != c.Pool {
		p.unpark()
	}
	p.index.Put(c)
}

// unpark lets the jobs that fitted nowhere be judged again.
func (p *Planner) unpark() {
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
	q.add(waiting{j.Spec.ID, j.Spec.Urgent, j.Submitted})
}

// WaitReason returns why the job waits.
func (p *Planner) WaitReason(job string) Reason {
	if reason, ok := p.reasons[job]; ok {
		return reason
	}
	return ReasonNotEvaluated
}

// resume lets workers on probation try one task once their pause is over.
func (p *Planner) resume(state reducer.State, now time.Time) {
	for id, at := range p.paused {
		if at.After(now) {
			continue
		}
		if w, ok := state.Workers.Get(id); ok {
			p.syncWorker(w, now)
		}
	}
}

// Plan returns what to propose for the state, which the planner has been
// synced to. What it takes from the index is given back by Reconcile.
func (p *Planner) Plan(state reducer.State, now time.Time) Plan {
	p.resume(state, now)
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

// Reconcile makes the index agree with the state on the workers of a plan that
// was proposed, whatever became of it.
func (p *Planner) Reconcile(state reducer.State, plan Plan) {
	for _, s := range plan.Starts {
		if w, ok := state.Workers.Get(s.Worker); ok {
			p.syncWorker(w, state.Now)
		}
		p.syncJob(state, s.Task.Job)
	}
}
