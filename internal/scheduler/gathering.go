package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/claimer"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// maxGatherWait is the time within which a gang has to expect capacity on a worker for
	// the worker to count as one that it can use.
	maxGatherWait = 3 * time.Second
	// maxCallsPerGang is the maximum number of unanswered permit requests of a gang.
	maxCallsPerGang = 3
	// maxWorkersPerRenewal divides the renewals of gangs. One for 100 workers takes longer
	// than the tickets of the heaviest day are valid, and the gathered capacity is idle
	// meanwhile.
	maxWorkersPerRenewal = 50
	// overdueAfter is the time after which a gang that gathers looks for other workers,
	// since those that it waits for stay full for longer than estimated.
	overdueAfter = 1500 * time.Millisecond
	// spareSlotsDivisor divides the tasks of a gang to get the number of its spare slots.
	spareSlotsDivisor = 4
	// ticketUse is the share of the validity of a gang's tickets within which its last task is
	// expected to have capacity for the tickets to be renewed. stepTicketUse is the same for
	// the ticket of a task that starts alone, which waits for no other.
	ticketUse     = 0.4
	stepTicketUse = 0.8
	// borrowedRunFactor is how many times the estimate of a task has to fit in the time for
	// which it may use what a gang keeps, since tasks run for longer than estimated.
	borrowedRunFactor = 2
)

// gatheringFirst returns the steps with the gangs that have begun to gather before the
// others of their priority, those that began first first. A gang that is overtaken while it
// gathers would have held capacity idle for nothing.
func (p *plan) gatheringFirst(steps []*readyStep) []*readyStep {
	if len(p.scheduler.gathering) == 0 {
		return steps
	}
	ordered := make([]*readyStep, 0, len(steps))
	for begin := 0; begin < len(steps); {
		end, first := begin, len(ordered)
		for end < len(steps) && steps[end].queue.Priority == steps[begin].queue.Priority &&
			steps[end].beyondRate == steps[begin].beyondRate {
			if p.isGathering(steps[end]) {
				ordered = append(ordered, steps[end])
			}
			end++
		}
		slices.SortStableFunc(ordered[first:], func(a, b *readyStep) int {
			return cmp.Compare(p.scheduler.gathering[a.name], p.scheduler.gathering[b.name])
		})
		for _, r := range steps[begin:end] {
			if !p.isGathering(r) {
				ordered = append(ordered, r)
			}
		}
		begin = end
	}
	return ordered
}

// isGathering reports whether the last plan kept capacity for the gang, which can still meet
// its deadline. One that is late by now must not hold back those that are not.
func (p *plan) isGathering(r *readyStep) bool {
	if !r.step.Gang || r.deadlineClass != deadlineReachable {
		return false
	}
	_, ok := p.scheduler.gathering[r.name]
	return ok
}

// gathers reports whether the plan keeps capacity for the gang.
func (p *plan) gathers(r *readyStep) bool {
	_, ok := p.gathering[r.name]
	return ok
}

// isOverdue reports whether the gang has gathered for longer than it should take.
func (p *plan) isOverdue(r *readyStep) bool {
	since, ok := p.scheduler.gathering[r.name]
	return ok && p.scheduler.options.Now()-since > overdueAfter
}

// gangSlots are the places that a gang has found for its tasks.
type gangSlots struct {
	chosen []claimer.Slot
	// now is the number of chosen slots with capacity, and known the number of slots that
	// are expected to have it soon.
	now, known int
	// ready is the expected time until all chosen slots have capacity.
	ready time.Duration
}

// lent returns for how long tasks of other steps may use what the gang keeps: until
// maxGatherWait before it can start.
func (g gangSlots) lent() time.Duration { return max(0, g.ready-maxGatherWait) }

// gather keeps capacity for a gang that cannot start yet on the workers that it may run
// on, and requests the permits that it needs next. Without the capacity kept for it, later
// steps of this plan would use it up task by task.
//
// A gang keeps capacity from its first permits on, for the tasks that it knows workers for.
// One that cannot earn any more gathers only what all other steps leave, as do those beyond
// the reserve. Tasks that end before the gang can start may use what it keeps (backfill).
func (p *plan) gather(ctx context.Context, r *readyStep, permits adviser.Permits) {
	slots := p.findSlots(r, permits)
	switch {
	case r.deadlineClass == deadlineMissed:
		p.deferred = append(p.deferred, r)
		return
	case p.reserve(r).Take(int64(len(r.waiting)) * r.step.CapacityNeed().Processors):
		p.keep(r, slots.chosen, slots.lent())
		p.countUsage(r, len(r.waiting))
	default:
		p.deferred = append(p.deferred, r)
		return
	}
	p.requestForGang(ctx, r, permits, slots)
}

// gatherForStep keeps capacity for the tasks of a step that start one by one, on the workers
// for which it has tickets or has asked for them, and requests the permits that it needs
// next. Without the capacity kept for it, smaller tasks use each gap before it is large
// enough, and the tickets expire unused.
func (p *plan) gatherForStep(ctx context.Context, r *readyStep, missing int, permits adviser.Permits) {
	slots, renewal := p.findSlots(r, permits), renewalTime(r.queue.Permit, missing)
	within := renewal + time.Duration(stepTicketUse*float64(r.queue.Permit.Validity))
	chosen := slots.chosen[:min(missing, len(slots.chosen))]
	var usable []claimer.Slot
	var expired []string
	for _, s := range chosen {
		isAsked := permits.IsAsked(s.Key)
		switch {
		case permits.ValidFor(s.Key) > s.Wait, isAsked && s.Wait <= within:
			usable = append(usable, s)
		case !isAsked && s.Wait <= within && !slices.Contains(expired, s.Key):
			expired = append(expired, s.Key)
		}
	}
	if r.deadlineClass != deadlineMissed && p.reserve(r).Take(int64(len(usable))*r.step.CapacityNeed().Processors) {
		p.keep(r, usable, 0)
	}
	if permits.Pending > 0 {
		return
	}
	if unknown := missing - len(usable); unknown > 0 {
		demand := p.demand(r, unknown, permits)
		slices.Sort(expired)
		demand.Renewable = expired
		if claim, ok := p.ledger(r.queue.Service).Choose(demand); ok {
			p.sendRequest(ctx, r, claim)
		}
	}
}

// findSlots returns the slots in which the gang's tasks can start soonest.
func (p *plan) findSlots(r *readyStep, permits adviser.Permits) gangSlots {
	pool, renewal := p.pool(r.queue.Service), renewalTime(r.queue.Permit, len(r.waiting))
	var all []claimer.Slot
	for _, key := range permits.Granted() {
		if c, ok := pool.byKey[key]; ok && c.session.HasLabel(r.step.Label) {
			all = p.appendSlots(all, r, c, ticketWait(permits, key, renewal))
		}
	}
	var found gangSlots
	for _, s := range all {
		if s.Wait <= maxGatherWait {
			found.known++
		}
	}
	found.chosen = claimer.Soonest(all, len(r.waiting)+spareSlots(len(r.waiting)))
	for i, s := range found.chosen {
		if s.Wait == 0 {
			found.now++
		}
		if i < len(r.waiting) {
			found.ready = max(found.ready, s.Wait)
		}
	}
	if found.now >= len(r.waiting) {
		found.chosen, found.now = found.chosen[:len(r.waiting)], len(r.waiting)
	}
	return found
}

// spareSlots returns the number of slots that a gang keeps beyond its tasks until it has
// capacity for all of them. The last of many slots waits for several times as long as they
// do on average, so that a gang of 50 gathered for five seconds without any.
func spareSlots(tasks int) int { return 1 + tasks/spareSlotsDivisor }

// ticketWait returns the expected time until the session's ticket is valid.
func ticketWait(permits adviser.Permits, key string, renewal time.Duration) time.Duration {
	switch {
	case permits.ValidFor(key) > 0:
		return 0
	case permits.IsAsked(key):
		return renewal / 2
	default:
		return renewal
	}
}

// appendSlots appends the slots of the session, the first ones first.
func (p *plan) appendSlots(all []claimer.Slot, r *readyStep, c *sessionCapacity, ticket time.Duration) []claimer.Slot {
	need := r.step.CapacityNeed()
	for count := range p.slotsWithin(r, c, len(r.waiting)) {
		if !p.mayHold(r, c, count) {
			break
		}
		wait, ok := claimer.Wait(p.endingsOf(c), need.Times(int64(count+1)).Minus(c.free))
		if !ok {
			break
		}
		all = append(all, claimer.Slot{Key: c.key, Wait: wait, Ticket: ticket})
	}
	return all
}

// endingsOf returns the tasks on the session that end by themselves, the first to end first.
func (p *plan) endingsOf(c *sessionCapacity) []claimer.Ending {
	if c.endings != nil || len(c.session.Tasks) == 0 {
		return c.endings
	}
	now := p.scheduler.options.Now()
	c.endings = []claimer.Ending{}
	for _, t := range p.scheduler.runningOn(p.state, c) {
		c.endings = append(c.endings, claimer.Ending{Need: t.need, Remaining: claimer.Remaining(t.estimate, now-t.startedAt)})
	}
	slices.SortFunc(c.endings, func(a, b claimer.Ending) int { return cmp.Compare(a.Remaining, b.Remaining) })
	return c.endings
}

// runningTasks are the tasks on a session that end by themselves.
type runningTasks struct {
	// names are those of the session's tasks, which tell whether it has changed.
	names []modeler.TaskName
	tasks []runningTask
}

type runningTask struct {
	need      modeler.Resources
	estimate  time.Duration
	startedAt time.Duration
}

// runningOn returns the tasks on the session that end by themselves. It keeps them until
// the session's tasks change, as few do between two plans.
func (s *Scheduler) runningOn(state reducer.State, c *sessionCapacity) []runningTask {
	known, ok := s.running[c.key]
	if ok && len(known.names) == len(c.session.Tasks) && &known.names[0] == &c.session.Tasks[0] {
		return known.tasks
	}
	known = runningTasks{names: c.session.Tasks}
	for _, name := range c.session.Tasks {
		w, ok := state.Workflows.Get(name.Workflow)
		if !ok || name.Step >= len(w.Spec.Steps) {
			continue
		}
		step := w.Spec.Steps[name.Step]
		if step.LongRunning && !w.IsEnded() {
			continue
		}
		startedAt, ok := s.started[name]
		if !ok {
			// An earlier leader started it.
			startedAt = s.options.Now() - step.Estimate/2
		}
		known.tasks = append(known.tasks, runningTask{need: step.CapacityNeed(), estimate: step.Estimate, startedAt: startedAt})
	}
	s.running[c.key] = known
	return known.tasks
}

// pruneStarted drops the start times of tasks that no session holds, once they are many.
func (s *Scheduler) pruneStarted(state reducer.State, running int) {
	const spare = 5000
	if len(s.started) <= 2*running+spare {
		return
	}
	started := make(map[modeler.TaskName]time.Duration, running)
	for it := state.Sessions.Iterator(); !it.Done(); {
		_, session, _ := it.Next()
		for _, name := range session.Tasks {
			if at, ok := s.started[name]; ok {
				started[name] = at
			}
		}
	}
	s.started = started
	clear(s.running)
}

// mayHold reports whether the session may hold one more task of the step beside a
// number of others.
func (p *plan) mayHold(r *readyStep, c *sessionCapacity, others int) bool {
	return r.step.MaxPerWorker == 0 || p.runningCount(r, c)+others < r.step.MaxPerWorker
}

// keep keeps the capacity of the slots for the step. It takes it from the free capacity,
// which becomes negative where a slot waits for more, so that no later step uses any of it,
// but for tasks that end within the time for which it is lent.
func (p *plan) keep(r *readyStep, chosen []claimer.Slot, lent time.Duration) {
	need, pool := r.step.CapacityNeed(), p.pool(r.queue.Service)
	p.keptPriority = min(p.keptPriority, r.queue.Priority)
	since, ok := p.scheduler.gathering[r.name]
	if !ok {
		since = p.scheduler.options.Now()
	}
	p.gathering[r.name] = since
	for _, s := range chosen {
		c := pool.byKey[s.Key]
		if _, ok := p.kept[s.Key]; ok {
			c.lent = min(c.lent, lent)
		} else {
			c.lent = lent
		}
		c.free = c.free.Minus(need)
		p.kept[s.Key] = p.kept[s.Key].Plus(need)
	}
}

// lent returns for how long tasks of other steps may use what the plan keeps, by session.
func (p *plan) lent() map[string]time.Duration {
	lent := map[string]time.Duration{}
	for _, pool := range p.pools {
		for key := range p.kept {
			if c, ok := pool.byKey[key]; ok && c.lent > 0 {
				lent[key] = c.lent
			}
		}
	}
	return lent
}

// mayBorrow reports whether the tasks of the step may use capacity that is lent for the time.
func mayBorrow(r *readyStep, lent time.Duration) bool {
	return lent > 0 && !r.step.LongRunning && borrowedRunFactor*claimer.Remaining(r.step.Estimate, 0) <= lent
}

// roomFor returns the capacity of the session that a task of the step may use now.
func (p *plan) roomFor(r *readyStep, c *sessionCapacity) modeler.Resources {
	if mayBorrow(r, c.lent) {
		return c.free.Plus(p.kept[c.key])
	}
	return c.free
}

// requestForGang requests the permits that the gang needs next.
func (p *plan) requestForGang(ctx context.Context, r *readyStep, permits adviser.Permits, slots gangSlots) {
	if permits.Pending >= maxCallsPerGang {
		return
	}
	asked, isRenewing := 0.0, false
	for _, c := range p.scheduler.pendingClaimsOf(r.name, permits) {
		asked += c.Tasks
		isRenewing = isRenewing || c.Renews
	}
	renewal := renewalTime(r.queue.Permit, len(r.waiting))
	gathered := claimer.Gathered{
		Slots: slots.now, Partial: len(slots.chosen) - slots.now, Known: slots.known + int(asked), Ready: slots.ready,
		Expired: expiring(slots, permits, renewal), Overdue: p.isOverdue(r) || !p.gathers(r),
	}
	demand := p.demand(r, len(r.waiting), permits)
	demand.MaxSessions = (maxCallsPerGang - permits.Pending) * adviser.MaxWorkersPerCall
	demand.RenewWithin = renewal + time.Duration(ticketUse*float64(r.queue.Permit.Validity))
	claim, ok := p.ledger(r.queue.Service).ChooseForGang(demand, gathered)
	if !ok || claim.Renews && isRenewing {
		return
	}
	for calls := permits.Pending; calls < maxCallsPerGang && len(claim.Sessions) > 0; calls++ {
		part, rest := divide(claim)
		if !p.sendRequest(ctx, r, part) {
			return
		}
		claim = rest
	}
}

// divide returns the part of a claim for a request of a number of workers, and the rest.
// A request renews tickets or asks about new workers, as the answer to one that does both
// takes longer.
func divide(c claimer.Claim) (claimer.Claim, claimer.Claim) {
	count := min(adviser.MaxWorkersPerCall, len(c.Sessions))
	if c.Renewed > 0 {
		count = min(maxWorkersPerRenewal, c.Renewed)
	}
	share := float64(count) / float64(len(c.Sessions))
	part, rest := c, c
	part.Sessions, rest.Sessions = c.Sessions[:count], c.Sessions[count:]
	part.Tasks, rest.Tasks = c.Tasks*share, c.Tasks*(1-share)
	part.Renewed, rest.Renewed = min(c.Renewed, count), max(0, c.Renewed-count)
	part.Renews, rest.Renews = part.Renewed > 0, rest.Renewed > 0
	return part, rest
}

// expiring returns the sessions of the slots whose tickets will not be valid after a renewal
// and that no pending request names; none if all tickets are valid until the slots have
// capacity.
func expiring(slots gangSlots, permits adviser.Permits, renewal time.Duration) []string {
	isDue, seen := false, map[string]struct{}{}
	var keys []string
	for _, s := range slots.chosen {
		if _, ok := seen[s.Key]; ok || permits.IsAsked(s.Key) {
			continue
		}
		seen[s.Key] = struct{}{}
		valid := permits.ValidFor(s.Key)
		isDue = isDue || valid <= slots.ready
		if valid <= max(renewal, slots.ready) {
			keys = append(keys, s.Key)
		}
	}
	if !isDue {
		return nil
	}
	slices.Sort(keys)
	return keys
}
