// Package controller holds the controllers that the leader runs. Each controller
// compares the replicated state with the desired one and proposes commands that
// reconcile them. The controllers start when a member becomes leader and end when it
// ceases to be leader.
package controller

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// controller is one control loop of the leader.
type controller struct {
	name string
	// run runs the loop until the context ends.
	run func(context.Context) error
}

// controllers returns the leader's controllers. Those that track the workers and
// entries come first, those that depend on them follow.
func (l *LeaderState) controllers() []controller {
	return []controller{
		{"leases", every(leaseInterval, l.checkLeases)},
		{"ownership", every(ownershipInterval, l.assignOwners)},
		{"placement", l.placeTasks},
		{"delivery", l.deliverAssignments},
		{"workflows", l.runWorkflows},
		{"retention", every(retentionCheck, l.applyRetention)},
		{"loadReport", every(loadReportInterval, l.reportLoad)},
	}
}

const (
	leaseInterval     = 100 * time.Millisecond
	ownershipInterval = 50 * time.Millisecond
	retentionInterval = time.Minute
	// retentionCheck is the interval while memory is short.
	retentionCheck = 10 * time.Second
	// leadershipInterval is how often the manager checks whether this member leads.
	leadershipInterval = 10 * time.Millisecond
)

// every returns a control loop that runs the action at the interval until the
// context ends.
func every(interval time.Duration, action func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				action(ctx)
			}
		}
	}
}

// Manager starts and stops the controllers as this member gains and loses the
// leadership.
type Manager struct {
	coordinator *coordinator.Coordinator
	options     Options
	log         *zap.Logger
	leaderState leaderStateHolder
}

// Options configures the controllers.
type Options struct {
	// WorkerLease and EntryLease are the lengths of the leases. A holder counts its
	// lease from the time at which it sent its call.
	WorkerLease time.Duration
	EntryLease  time.Duration
	// RenewInterval is how often workers renew their leases.
	RenewInterval time.Duration
	// KeepLostWorkers is how long a lost worker is kept in the state.
	KeepLostWorkers time.Duration
	// KeepJobs is how long an ended job or workflow is kept in the state.
	KeepJobs time.Duration
	// KeepJobsLeast replaces KeepJobs while the work in the state takes more than half of
	// WorkBytes, unless it is zero.
	KeepJobsLeast time.Duration
	// WorkBytes bounds the memory that accepted work takes, in bytes; zero means no bound.
	WorkBytes int64
	// Push sends an assignment to the worker at the address. Never nil.
	Push func(ctx context.Context, address string, body any) error
	// Scope receives the metrics of the workflow controller. Never nil if Workflows
	// is set.
	Scope tally.Scope
	// Workflows is nil if no worker takes its orders by call.
	Workflows *WorkflowOptions
}

// NewManager returns a manager of the member's controllers. Run starts it.
func NewManager(c *coordinator.Coordinator, options Options, log *zap.Logger) *Manager {
	return &Manager{coordinator: c, options: options, log: log}
}

// LeaderState returns the leader's volatile state, or nil if this member does not lead.
func (m *Manager) LeaderState() *LeaderState { return m.leaderState.Load() }

// Run starts and stops the controllers until the context ends. It always returns
// nil.
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
		isLeader := l.IsLeader
		if stop != nil && (!isLeader || l.Term != term) {
			stop()
			stop = nil
		}
		if stop == nil && isLeader {
			term = l.Term
			stop = m.begin(ctx, l)
		}
	}
}

// begin starts the controllers. The returned function stops them and waits until
// they have ended.
func (m *Manager) begin(ctx context.Context, leadership coordinator.Leadership) func() {
	leaderState := newLeaderState(m.coordinator, m.options, m.log, leadership)
	leadContext, cancel := context.WithCancel(ctx)
	group := runner.NewGroup()
	for _, c := range leaderState.controllers() {
		group.Go(leadContext, c.run)
	}
	m.leaderState.Store(leaderState)
	return func() {
		m.leaderState.Store(nil)
		cancel()
		if err := group.Wait(); err != nil {
			m.log.Error("controller failed", zap.Error(err))
		}
	}
}
