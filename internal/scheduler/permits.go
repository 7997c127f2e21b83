package scheduler

import (
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
	if permits.Pending > 0 {
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
			return permits.Permission(key) == adviser.PermissionUnknown && !permits.IsAsked(key) &&
				pool.byKey[key].session.HasLabel(r.step.Label)
		},
		MaxSessions: adviser.MaxWorkersPerCall,
		MayUseKept: func(key string) bool {
			return r.queue.Priority < p.scheduler.keptPriority || mayBorrow(r, pool.byKey[key].lastLent)
		},
	}
}

// sendRequest sends a request for the sessions of the claim, and records the claim. It
// reports whether an entry took the request.
func (p *plan) sendRequest(ctx context.Context, r *readyStep, claim claimer.Claim) bool {
	pool, class := p.pool(r.queue.Service), adviser.ClassOf(*r.queue, len(claim.Sessions), claim.Renews && p.gathers(r))
	if p.saturated[class] {
		return false
	}
	sessions := make([]modeler.Session, len(claim.Sessions))
	for i, key := range claim.Sessions {
		sessions[i] = pool.byKey[key].session
	}
	if !p.scheduler.options.Adviser.RequestPermits(ctx, *r.queue, r.name, sessions, class) {
		p.saturated[class] = true
		return false
	}
	pool.ledger.Add(claim)
	p.scheduler.claims[r.name] = append(p.scheduler.claims[r.name], claim)
	return true
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
	for name := range s.claims {
		claims = append(claims, s.pendingClaimsOf(name, s.options.Adviser.Permits(name))...)
	}
	return claims
}

// pendingClaimsOf returns the claims of the step's requests that are pending, and drops
// its others.
func (s *Scheduler) pendingClaimsOf(name adviser.StepName, permits adviser.Permits) []claimer.Claim {
	pending := slices.DeleteFunc(s.claims[name], func(c claimer.Claim) bool { return !permits.IsAsked(c.Sessions[0]) })
	if len(pending) == 0 {
		delete(s.claims, name)
		return nil
	}
	s.claims[name] = pending
	return pending
}
