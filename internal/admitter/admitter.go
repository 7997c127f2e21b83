// Package admitter decides whether a new workflow can still be served, or is to be turned
// away with a time at which to come back. It performs no I/O and reads no clock.
//
// It answers a load above the capacity that lasts: work that is accepted and cannot be served
// within three times its objective earns nothing, delays what could be served, and leaves its
// caller waiting until the deadline. Estimates of run times are wrong by a large factor, so
// that it refuses only what is late by the sum over the whole backlog, in which such errors
// cancel out. It never refuses while workers are free for the caller's department.
package admitter

import (
	"hash/fnv"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// lateFactor is the multiple of its objective within which a workflow still earns.
	lateFactor = 3
	// usableShare is the share of the capacity that tasks use under full load. In the replays
	// of the heaviest day 0.13 to 0.22 is idle between tasks and while permits are requested.
	usableShare = 0.8
	// minUrgentShare is the share of the usable capacity that even the least urgent work is
	// expected to get.
	minUrgentShare = 0.1
	// maxWorkersPerCall bounds the workers that a permit request names.
	maxWorkersPerCall = 100
	// minRetry and maxRetry bound the time after which a caller is to come back.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// retrySpread is the share by which the times of callers differ at most, so that they do
	// not come back together.
	retrySpread = 0.5
)

// Work is an amount of capacity over time, in millicores, bytes and devices, each times seconds.
type Work struct {
	Processors, Memory, Accelerators float64
}

func workOf(need modeler.Resources, tasks int, runTime time.Duration) Work {
	seconds := float64(tasks) * runTime.Seconds()
	return Work{
		Processors: seconds * float64(need.Processors), Memory: seconds * float64(need.Memory),
		Accelerators: seconds * float64(need.Accelerators),
	}
}

func (w Work) plus(other Work) Work {
	w.Processors += other.Processors
	w.Memory += other.Memory
	w.Accelerators += other.Accelerators
	return w
}

// over returns the time that the work takes at most by any resource type, with a share of the
// capacity. A resource type of which there is none takes no time.
func (w Work) over(capacity modeler.Resources, share float64) time.Duration {
	seconds := 0.0
	for _, pair := range [][2]float64{
		{w.Processors, float64(capacity.Processors)},
		{w.Memory, float64(capacity.Memory)},
		{w.Accelerators, float64(capacity.Accelerators)},
	} {
		if pair[1] > 0 {
			seconds = max(seconds, pair[0]/pair[1]/share)
		}
	}
	return time.Duration(min(seconds, maxRetry.Seconds()*1000) * float64(time.Second))
}

// rank orders work as the scheduler does.
type rank struct {
	beyondRate bool
	priority   int
}

// isBefore reports whether work of rank a is placed before or with that of rank b.
func (a rank) isBefore(b rank) bool {
	if a.beyondRate != b.beyondRate {
		return !a.beyondRate
	}
	return a.priority <= b.priority
}

// pool is the load of one service.
type pool struct {
	capacity, free modeler.Resources
	waiting        map[rank]Work
	// used is what running tasks hold.
	used map[rank]modeler.Resources
}

// Backlog is a summary of the work that waits and runs. It is immutable.
type Backlog struct {
	pools map[string]*pool
	// waiting is the waiting work of each department.
	waiting     map[string]Work
	departments *reducer.Map[modeler.Department]
	usage       *reducer.Map[modeler.Resources]
}

// Summarize returns the backlog of a state. It visits each active workflow, so that callers
// keep its result for some rounds. Work that can no longer earn is left out: it yields to all
// other.
func Summarize(state reducer.State, now time.Time) *Backlog {
	b := &Backlog{
		pools: map[string]*pool{}, waiting: map[string]Work{}, departments: state.Departments, usage: state.DepartmentUsage,
	}
	for it := state.Sessions.Iterator(); !it.Done(); {
		_, session, _ := it.Next()
		if session.Draining {
			continue
		}
		p := b.pool(session.Service)
		p.capacity, p.free = p.capacity.Plus(session.Capacity), p.free.Plus(session.Free())
	}
	for it := state.ActiveWorkflows.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, _ := state.Workflows.Get(id)
		if queue, ok := state.Queues.Get(w.Spec.Queue); ok && !w.IsEnded() {
			b.add(w, queue, now)
		}
	}
	return b
}

func (b *Backlog) pool(service string) *pool {
	p, ok := b.pools[service]
	if !ok {
		p = &pool{waiting: map[rank]Work{}, used: map[rank]modeler.Resources{}}
		b.pools[service] = p
	}
	return p
}

func (b *Backlog) add(w modeler.Workflow, queue modeler.Queue, now time.Time) {
	p, r := b.pool(queue.Service), rank{beyondRate: w.BeyondRate, priority: queue.Priority}
	canEarn := w.Spec.FirstAt.IsZero() && now.Sub(w.Submitted) <= lateFactor*objective(w.Spec, queue)
	steps := len(w.Spec.Steps)
	for position, run := range w.Runs {
		step, waiting := w.Spec.Steps[position%steps], 0
		for _, task := range run.Tasks {
			switch {
			case task.HoldsResources():
				p.used[r] = p.used[r].Plus(step.CapacityNeed())
			case task.Phase == modeler.TaskWaiting:
				waiting++
			default:
			}
		}
		if canEarn && waiting > 0 && !step.LongRunning {
			p.waiting[r] = p.waiting[r].plus(workOf(step.CapacityNeed(), waiting, step.Estimate))
			b.waiting[w.Spec.Department] = b.waiting[w.Spec.Department].plus(workOf(step.Need, waiting, step.Estimate))
		}
	}
}

// Request is a new workflow.
type Request struct {
	Spec  modeler.WorkflowSpec
	Queue modeler.Queue
	// BeyondRate is true if its department has submitted more than its rate allows.
	BeyondRate bool
	// GrantRate is the share of the workers that its queue's policy service permits; unused
	// for a queue without one.
	GrantRate float64
}

// Decision tells whether a workflow is accepted.
type Decision struct {
	Accepted bool
	// RetryAfter is when a workflow that is not accepted could be; zero for another one.
	RetryAfter time.Duration
}

// Decide decides whether the workflow can be served within three times its objective.
func (b *Backlog) Decide(request Request) Decision {
	spec, queue := request.Spec, request.Queue
	p, ok := b.pools[queue.Service]
	if !ok || spec.Occurrences > 0 || hasLongRunning(spec) || b.isFree(p, spec) {
		return Decision{Accepted: true}
	}
	r := rank{beyondRate: request.BeyondRate, priority: queue.Priority}
	takes := max(p.wait(r), b.capWait(spec.Department)) + path(spec, request.permitTime)
	limit := lateFactor * objective(spec, queue)
	if takes <= limit {
		return Decision{Accepted: true}
	}
	after := float64(min(maxRetry, max(minRetry, takes-limit)))
	return Decision{RetryAfter: time.Duration(after * (1 + retrySpread*fraction(spec.ID)))}
}

// fraction returns a number below 1 that depends on the id only.
func fraction(id string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	const parts = 1000
	return float64(hash.Sum32()%parts) / parts
}

func hasLongRunning(spec modeler.WorkflowSpec) bool {
	for _, s := range spec.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// isFree reports whether workers are free for the department of the workflow.
func (b *Backlog) isFree(p *pool, spec modeler.WorkflowSpec) bool {
	if used := p.capacity.Minus(p.free); used.DominantShare(p.capacity) > usableShare {
		return false
	}
	department, ok := b.departments.Get(spec.Department)
	if !ok || spec.Department == "" {
		return true
	}
	usage, _ := b.usage.Get(spec.Department)
	return !department.Exceeds(usage.Plus(spec.Steps[0].Need))
}

// wait returns the expected time until the work of the rank and all before it has started.
// What more urgent work holds now it is expected to hold further, as more of it arrives.
func (p *pool) wait(r rank) time.Duration {
	var ahead Work
	for other, work := range p.waiting {
		if other.isBefore(r) {
			ahead = ahead.plus(work)
		}
	}
	var urgent modeler.Resources
	for other, used := range p.used {
		if other.isBefore(r) && other != r {
			urgent = urgent.Plus(used)
		}
	}
	return ahead.over(p.capacity, max(minUrgentShare, usableShare-urgent.DominantShare(p.capacity)))
}

// capWait returns the expected time until the waiting work of the department has started
// within its cap.
func (b *Backlog) capWait(name string) time.Duration {
	department, ok := b.departments.Get(name)
	if !ok || name == "" {
		return 0
	}
	return b.waiting[name].over(department.Cap, 1)
}

// permitTime returns the time of a permit request for the tasks of a step.
func (r Request) permitTime(step modeler.StepSpec) time.Duration {
	policy := r.Queue.Permit
	if policy == nil {
		return 0
	}
	workers := float64(maxWorkersPerCall)
	if r.GrantRate > 0 {
		workers = min(workers, float64(step.Count)/r.GrantRate)
	}
	return policy.BaseDelay + time.Duration(workers*float64(policy.DelayPerWorker))
}

// objective returns the time within which the workflow is to finish.
func objective(spec modeler.WorkflowSpec, queue modeler.Queue) time.Duration {
	longest := path(spec, func(modeler.StepSpec) time.Duration { return 0 })
	return time.Duration(queue.DeadlineFactor*float64(longest)) + queue.DeadlineSlack
}

// path returns the time of the longest chain of dependent steps, each with an extra time.
func path(spec modeler.WorkflowSpec, extra func(modeler.StepSpec) time.Duration) time.Duration {
	ends, longest := make([]time.Duration, len(spec.Steps)), time.Duration(0)
	for i, step := range spec.Steps {
		for _, d := range step.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += step.Estimate + extra(step)
		longest = max(longest, ends[i])
	}
	return longest
}
