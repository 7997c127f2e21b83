package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/delegator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/profiler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// leaseMarginDivisor is the divisor that gives the fraction of a lease by which its
// granter waits longer than its holder, as their clocks may run at different rates.
const leaseMarginDivisor = 10

type leaderStateHolder = atomic.Pointer[LeaderState]

// LeaderState is the volatile state of a leader, which is not replicated. A new
// leader begins without it, and treats every lease as renewed when its leadership began.
type LeaderState struct {
	coordinator  *coordinator.Coordinator
	options      Options
	log          *zap.Logger
	leadingSince time.Duration
	// term is the term of the leadership; it fences orders to workers.
	term uint64
	// lastRetention is when retention was last applied, or when the leadership began.
	lastRetention time.Time

	mutex   sync.Mutex
	workers map[string]lease
	entries map[string]entryLease

	plannerMutex sync.Mutex
	planner      *planner.Planner
	pushes       chan string

	load leaderLoad
	// reportedReplication is what earlier load reports cover. Only the controller that
	// reports the load uses it.
	reportedReplication replicator.Stats

	// profiler is nil if interference is not avoided.
	profiler *profiler.Profiler

	// supervisor is nil until the workflow controller has started.
	supervisor atomic.Pointer[supervisor.Supervisor]
	// delegator is nil if the leader makes all calls to workers itself.
	delegator atomic.Pointer[delegator.Delegator]
}

// lease is the granter's record of the lease of one worker session.
type lease struct {
	session uint64
	renewed time.Duration
	// ending leases can no longer be renewed.
	ending bool
	// lostAt is when the lease was found to have expired.
	lostAt time.Duration
}

// entryLease is the granter's record of the lease of an entry, with the last report
// of the entry.
type entryLease struct {
	renewed time.Duration
	ending  bool
	// ackedRevision is the revision that the entry has in force.
	ackedRevision uint64
	loads         []messenger.Load
}

func newLeaderState(
	c *coordinator.Coordinator, options Options, log *zap.Logger, leadership coordinator.Leadership,
) *LeaderState {
	return &LeaderState{
		coordinator:   c,
		lastRetention: time.Now(),
		options:       options,
		log:           log,
		leadingSince:  leadership.Since,
		term:          leadership.Term,
		workers:       map[string]lease{},
		entries:       map[string]entryLease{},
		pushes:        make(chan string, pushQueueSize),
		profiler:      newProfiler(c, options),

		reportedReplication: c.ReplicationStats(),
	}
}

// Term returns the term of the leadership.
func (l *LeaderState) Term() uint64 { return l.term }

func (l *LeaderState) propose(ctx context.Context, command reducer.Command) (reducer.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := l.coordinator.Propose(bounded, command)
	if err != nil {
		l.log.Warn("proposal failed", zap.String("kind", string(command.Kind)), zap.Error(err))
	}
	return result, err
}

const proposeTimeout = 5 * time.Second

// workerLease returns the lease of a session. A session that this leader has no
// record of counts as renewed when the leadership began.
func (l *LeaderState) workerLease(id string, session uint64) lease {
	known, ok := l.workers[id]
	if !ok || known.session != session {
		return lease{session: session, renewed: l.leadingSince}
	}
	return known
}

// RenewWorker renews the lease of a session that is in the state. It returns false
// if the lease is ending; the caller must then not grant a lease in its answer.
func (l *LeaderState) RenewWorker(id string, session uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.workerLease(id, session)
	if known.ending {
		return false
	}
	known.renewed = l.coordinator.Now()
	l.workers[id] = known
	return true
}

// RenewEntry renews the lease of an entry, and records the revision that it has in
// force and its loads. It returns false if the lease is ending.
func (l *LeaderState) RenewEntry(id string, acked uint64, loads []messenger.Load) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[id]
	if known.ending {
		return false
	}
	known.renewed = l.coordinator.Now()
	known.ackedRevision = max(known.ackedRevision, acked)
	if len(loads) > 0 || len(known.loads) > 0 {
		known.loads = loads
	}
	l.entries[id] = known
	return true
}

// Loads returns the loads reported by all other entries. It leaves out entries that
// never reported any, since every answer to an entry carries the result.
func (l *LeaderState) Loads(except string) []messenger.EntryLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	loads := make([]messenger.EntryLoad, 0, len(l.entries))
	for id, e := range l.entries {
		if id != except && !e.ending && e.loads != nil {
			loads = append(loads, messenger.EntryLoad{Entry: id, Loads: e.loads})
		}
	}
	return loads
}

// AckedRevision returns the revision that the entry has in force, and the time since
// its last renewal.
func (l *LeaderState) AckedRevision(id string) (uint64, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return 0, l.coordinator.Now() - l.leadingSince
	}
	return e.ackedRevision, l.coordinator.Now() - e.renewed
}

// InForce reports whether every entry of the state has the revision in force.
func (l *LeaderState) InForce(state reducer.State, revision uint64) bool {
	for _, e := range reducer.Values(state.Entries) {
		if acked, _ := l.AckedRevision(e.ID); acked < revision {
			return false
		}
	}
	return true
}

// WaitReason returns the reason why a job waits.
func (l *LeaderState) WaitReason(job string) string {
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	if l.planner == nil {
		return string(planner.ReasonNotEvaluated)
	}
	return string(l.planner.WaitReason(job))
}

// withMargin returns how long the granter of a lease waits before it ends the lease.
func withMargin(lease time.Duration) time.Duration {
	return lease + lease/leaseMarginDivisor
}
