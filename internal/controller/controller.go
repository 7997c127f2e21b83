// Package controller holds the controllers that the leader runs. Each looks at
// the state again and again, and proposes what brings it nearer to what is
// wanted. They start when a member begins to lead and end when it ceases to.
package controller

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// controller is one duty of the leader.
type controller struct {
	name string
	// run works until the context ends.
	run func(context.Context) error
}

// controllers lists the duties of the leader, from what keeps the record of
// who is there to what follows from it.
func (l *Lead) controllers() []controller {
	return []controller{
		{"leases", every(leaseInterval, l.checkLeases)},
		{"ownership", every(ownershipInterval, l.assignOwners)},
		{"placement", l.placeTasks},
		{"delivery", l.deliver},
		{"workflows", l.runWorkflows},
		{"retention", every(retentionInterval, l.retain)},
	}
}

const (
	leaseInterval     = 100 * time.Millisecond
	ownershipInterval = 50 * time.Millisecond
	retentionInterval = time.Minute
	// leadershipInterval is how often the manager looks at who leads.
	leadershipInterval = 10 * time.Millisecond
)

// every turns one look into a duty.
func every(interval time.Duration, look func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				look(ctx)
			}
		}
	}
}

// Manager starts and ends the controllers with the leadership.
type Manager struct {
	coordinator *coordinator.Coordinator
	options     Options
	log         *zap.Logger
	lead        leadHolder
}

// Options are the settings of the controllers.
type Options struct {
	// WorkerLease and EntryLease are counted by the holder from when it sent its call.
	WorkerLease time.Duration
	EntryLease  time.Duration
	// RenewInterval is how often workers renew.
	RenewInterval time.Duration
	// ForgetAfter is how long a lost worker is remembered.
	ForgetAfter time.Duration
	// KeepJobs is how long an ended job is remembered.
	KeepJobs time.Duration
	// Push sends an assignment to the worker at the address. Never nil.
	Push func(ctx context.Context, address string, body any) error
	// Scope takes the metrics of the duties about workflows. Never nil where
	// Workflows is set.
	Scope tally.Scope
	// Workflows is nil where no worker takes its orders by call.
	Workflows *WorkflowOptions
}

// NewManager returns a manager of the member's controllers.
func NewManager(c *coordinator.Coordinator, options Options, log *zap.Logger) *Manager {
	return &Manager{coordinator: c, options: options, log: log}
}

// Lead returns what the leader keeps besides the state, or nil on other members.
func (m *Manager) Lead() *Lead { return m.lead.Load() }

// Run works until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(leadershipInterval)
	defer ticker.Stop()
	var stop func()
	var term uint64
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		l := m.coordinator.Leadership()
		leads := l.Leads
		if stop != nil && (!leads || l.Term != term) {
			stop()
			stop = nil
		}
		if stop == nil && leads {
			term = l.Term
			stop = m.begin(ctx, l)
		}
	}
}

// begin starts the controllers and returns what ends them and waits for that.
func (m *Manager) begin(ctx context.Context, leadership coordinator.Leadership) func() {
	lead := newLead(m.coordinator, m.options, m.log, leadership)
	leadContext, cancel := context.WithCancel(ctx)
	crew := runner.NewCrew()
	for _, d := range lead.controllers() {
		crew.Add(leadContext, d.run)
	}
	m.lead.Store(lead)
	return func() {
		m.lead.Store(nil)
		cancel()
		if err := crew.Wait(); err != nil {
			m.log.Error("controller ended", zap.Error(err))
		}
	}
}
