package scheduler

import (
	"cmp"
	"context"
	"slices"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// ask asks for permits on workers that have room for what is missing.
func (p *plan) ask(ctx context.Context, r *ready, missing int, permits adviser.Permits) {
	need := r.step.CountedNeed()
	offered := p.pool(r.queue.Service)
	if need.Processors > 0 && offered.unpledged <= 0 {
		return
	}
	offered.unpledged -= int64(missing) * need.Processors
	if permits.Pending {
		return
	}
	asked, unknown := offered.askable(r, need, permits)
	slots := 0
	for _, c := range asked {
		slots += fitting(c.free, need)
	}
	if slots < missing {
		asked = append(asked, unknown[:min(len(unknown), p.wanted(r, missing-slots, unknown))]...)
	}
	if len(asked) == 0 {
		return
	}
	sessions := make([]modeler.Session, len(asked))
	for i, c := range asked {
		sessions[i] = c.session
	}
	if !p.scheduler.options.Adviser.RequestPermits(ctx, r.queue, r.name, sessions) {
		// No entry can ask now, for any other step either.
		p.adviserBusy = true
	}
}

// askable returns the rooms that are permitted but need a new ticket, and those
// of which nothing is known, each with the most room first.
func (o *pool) askable(r *ready, need modeler.Resources, permits adviser.Permits) (permitted, unknown []*room) {
	for _, c := range o.rooms {
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
	byRoom := func(a, b *room) int { return cmp.Compare(fitting(b.free, need), fitting(a.free, need)) }
	slices.SortStableFunc(permitted, byRoom)
	slices.SortStableFunc(unknown, byRoom)
	return permitted, unknown
}

// wanted returns how many of the unknown rooms to ask about.
func (p *plan) wanted(r *ready, missing int, unknown []*room) int {
	need := r.step.CountedNeed()
	wanted := p.scheduler.options.Adviser.CandidateCount(r.queue.Name, missing)
	slots := 0
	for i, c := range unknown {
		if slots += fitting(c.free, need); slots >= wanted {
			return i + 1
		}
	}
	return len(unknown)
}

// fitting returns how many tasks of the need fit in the amount, at most a few.
func fitting(free, need modeler.Resources) int {
	const most = 4
	count := 0
	for count < most && need.Times(int64(count+1)).FitsIn(free) {
		count++
	}
	return count
}
