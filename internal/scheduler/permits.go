package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/claimer"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// requestPermits requests permits for the missing tasks of the step. It does nothing
// while a call about the step is pending, or while all capacity is claimed by
// requests for steps before it.
func (p *plan) requestPermits(ctx context.Context, r *readyStep, missing int, permits adviser.Permits) {
	if permits.Pending {
		return
	}
	if claim, ok := p.ledger(r.queue.Service).Choose(p.demand(r, missing, permits)); ok {
		p.sendRequest(ctx, r, claim)
	}
}

// reserve returns the reserve of the pool that the step uses.
func (p *plan) reserve(r *readyStep) *claimer.GangReserve {
	pool := p.pool(r.queue.Service)
	if pool.reserve == nil {
		pool.reserve = claimer.NewGangReserve(pool.processors)
	}
	return pool.reserve
}

// gather keeps capacity for a gang that cannot start yet on the workers that it may
// run on, and requests the permits that it needs next. Without the capacity kept for
// it, later steps of this plan would use it up task by task. It returns the kept
// capacity by session.
func (p *plan) gather(ctx context.Context, r *readyStep, permits adviser.Permits) map[string]modeler.Resources {
	gathered, kept := p.keep(r, permits)
	if permits.Pending {
		return kept
	}
	if claim, ok := p.ledger(r.queue.Service).ChooseForGang(p.demand(r, len(r.waiting), permits), gathered); ok {
		p.sendRequest(ctx, r, claim)
	}
	return kept
}

// keep keeps the capacity for the gang's tasks on the workers that it may run on.
// Beyond the tasks that fit now, it keeps what is left on workers with too little for
// one more task: smaller tasks would keep it from growing to that.
func (p *plan) keep(r *readyStep, permits adviser.Permits) (claimer.Gathered, map[string]modeler.Resources) {
	need, pool := r.step.CapacityNeed(), p.pool(r.queue.Service)
	renewable := permits.Renewable(renewalTime(r.queue.Permit, len(r.waiting)))
	kept := map[string]modeler.Resources{}
	var gathered claimer.Gathered
	var partial []*sessionCapacity
	for _, key := range permits.Granted() {
		c, ok := pool.byKey[key]
		if !ok || !c.session.HasLabel(r.step.Label) || !need.FitsIn(p.endingCapacity(c)) {
			continue
		}
		gathered.Workers++
		slots := 0
		for gathered.Slots < len(r.waiting) && need.FitsIn(c.free) && p.mayHold(r, c, slots) {
			c.free = c.free.Minus(need)
			gathered.Slots++
			slots++
		}
		kept[key] = need.Times(int64(slots))
		if slots > 0 {
			gathered.Expired = appendIfIn(gathered.Expired, renewable, key)
		} else {
			partial = append(partial, c)
		}
	}
	slices.SortStableFunc(partial, func(a, b *sessionCapacity) int { return cmp.Compare(b.free.Processors, a.free.Processors) })
	for _, c := range partial[:min(len(r.waiting)-gathered.Slots, len(partial))] {
		// The free capacity becomes negative, so that no later step uses any of it.
		c.free = c.free.Minus(need)
		kept[c.key] = need
		gathered.Partial++
		gathered.Expired = appendIfIn(gathered.Expired, renewable, c.key)
	}
	return gathered, kept
}

// appendIfIn appends the key if the sorted keys contain it.
func appendIfIn(list, keys []string, key string) []string {
	if _, found := slices.BinarySearch(keys, key); found {
		return append(list, key)
	}
	return list
}

// mayHold reports whether the session may hold one more task of the step beside a
// number of others.
func (p *plan) mayHold(r *readyStep, c *sessionCapacity, others int) bool {
	return r.step.MaxPerWorker == 0 || p.runningCount(r, c)+others < r.step.MaxPerWorker
}

func (p *plan) demand(r *readyStep, tasks int, permits adviser.Permits) claimer.Demand {
	policy, pool := r.queue.Permit, p.pool(r.queue.Service)
	return claimer.Demand{
		Tasks:        tasks,
		Need:         r.step.CapacityNeed(),
		MaxPerWorker: r.step.MaxPerWorker,
		GrantRate:    p.scheduler.options.Adviser.GrantRate(r.queue.Name),
		Released:     p.scheduler.turnover.Released(policy.BaseDelay + policy.Validity/2),
		Renewable:    permits.Renewable(0),
		IsUndecided: func(key string) bool {
			return permits.Permission(key) == adviser.PermissionUnknown && pool.byKey[key].session.HasLabel(r.step.Label)
		},
		MaxSessions: adviser.MaxWorkersPerCall,
	}
}

// sendRequest sends a request for the sessions of the claim, and records the claim.
func (p *plan) sendRequest(ctx context.Context, r *readyStep, claim claimer.Claim) {
	pool, class := p.pool(r.queue.Service), adviser.ClassOf(r.queue, len(claim.Sessions), claim.Renews)
	if p.saturated[class] {
		return
	}
	sessions := make([]modeler.Session, len(claim.Sessions))
	for i, key := range claim.Sessions {
		sessions[i] = pool.byKey[key].session
	}
	if !p.scheduler.options.Adviser.RequestPermits(ctx, r.queue, r.name, sessions, class) {
		p.saturated[class] = true
		return
	}
	pool.ledger.Add(claim)
	p.scheduler.claims[r.name] = claim
}

// renewalTime returns how long a request takes that renews the tickets for a number
// of tasks, one for each. A ticket that expires sooner is renewed along with them, so
// that those of a gang are valid at the same time.
func renewalTime(policy *modeler.PermitPolicy, tasks int) time.Duration {
	return policy.BaseDelay + time.Duration(tasks)*policy.DelayPerWorker
}

// ledger returns the ledger of the service's pool with the claims of the requests
// that are pending. What gangs keep counts once: by the last plan, as this one may not
// have come to all of them yet.
func (p *plan) ledger(service string) *claimer.Ledger {
	pool := p.pool(service)
	if pool.ledger != nil {
		return pool.ledger
	}
	workers := make([]claimer.Worker, len(pool.sessions))
	for i, c := range pool.sessions {
		free := c.free.Plus(p.kept[c.key])
		workers[i] = claimer.Worker{Key: c.key, Free: free, Used: c.session.Used, Kept: c.kept}
	}
	pool.ledger = claimer.NewLedger(workers, p.scheduler.pendingClaims())
	return pool.ledger
}

// pendingClaims returns the claims of the requests that are pending, and drops the
// others.
func (s *Scheduler) pendingClaims() []claimer.Claim {
	claims := make([]claimer.Claim, 0, len(s.claims))
	for name, c := range s.claims {
		if s.options.Adviser.Permits(name).Pending {
			claims = append(claims, c)
		} else {
			delete(s.claims, name)
		}
	}
	return claims
}
