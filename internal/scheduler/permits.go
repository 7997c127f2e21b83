package scheduler

import (
	"cmp"
	"context"
	"slices"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// requestPermits requests permits for sessions with free capacity for the
// missing tasks of the step. It does nothing while the permit budget of the
// service is used up or a call about the step is pending.
func (p *plan) requestPermits(ctx context.Context, r *readyStep, missing int, permits adviser.Permits) {
	need := r.step.CapacityNeed()
	pool := p.pool(r.queue.Service)
	if need.Processors > 0 && pool.permitBudget <= 0 {
		return
	}
	pool.permitBudget -= int64(missing) * need.Processors
	if permits.Pending {
		return
	}
	candidates, unknown := pool.permitCandidates(r, need, permits)
	slots := 0
	for _, c := range candidates {
		slots += tasksThatFit(c.free, need)
	}
	if slots < missing {
		candidates = append(candidates, unknown[:min(len(unknown), p.candidatesNeeded(r, missing-slots, unknown))]...)
	}
	if len(candidates) == 0 {
		return
	}
	sessions := make([]modeler.Session, len(candidates))
	for i, c := range candidates {
		sessions[i] = c.session
	}
	if !p.scheduler.options.Adviser.RequestPermits(ctx, r.queue, r.name, sessions) {
		// No entry takes another call in this round, whatever the step.
		p.adviserSaturated = true
	}
}

// permitCandidates returns the sessions that fit a task of the step: those that
// are permitted but whose ticket has expired, and those without a decision. Each
// list is sorted by free capacity, largest first.
func (o *servicePool) permitCandidates(
	r *readyStep, need modeler.Resources, permits adviser.Permits,
) (permitted, unknown []*sessionCapacity) {
	for _, c := range o.sessions {
		if !c.session.HasLabel(r.step.Label) || !need.FitsIn(c.free) {
			continue
		}
		switch permits.Permission(c.key) {
		case adviser.PermissionGranted:
			if _, ok := permits.Ticket(c.key); !ok {
				permitted = append(permitted, c)
			}
		case adviser.PermissionUnknown:
			unknown = append(unknown, c)
		case adviser.PermissionDenied:
		}
	}
	byFreeCapacity := func(a, b *sessionCapacity) int {
		return cmp.Compare(tasksThatFit(b.free, need), tasksThatFit(a.free, need))
	}
	slices.SortStableFunc(permitted, byFreeCapacity)
	slices.SortStableFunc(unknown, byFreeCapacity)
	return permitted, unknown
}

// candidatesNeeded returns how many of the unknown sessions to include in the
// request, so that enough of them are expected to be permitted for the missing tasks.
func (p *plan) candidatesNeeded(r *readyStep, missing int, unknown []*sessionCapacity) int {
	need := r.step.CapacityNeed()
	needed := p.scheduler.options.Adviser.CandidateCount(r.queue.Name, missing)
	slots := 0
	for i, c := range unknown {
		if slots += tasksThatFit(c.free, need); slots >= needed {
			return i + 1
		}
	}
	return len(unknown)
}

// tasksThatFit returns how many tasks of the need fit in the free resources,
// capped at maxCount.
func tasksThatFit(free, need modeler.Resources) int {
	const maxCount = 4
	count := 0
	for count < maxCount && need.Times(int64(count+1)).FitsIn(free) {
		count++
	}
	return count
}
