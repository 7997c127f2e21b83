package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// marginPart is the part of a lease by which its granter waits longer than its
// holder, for clocks that run at different rates.
const marginPart = 10

type leadHolder = atomic.Pointer[Lead]

// Lead is what the leader keeps besides the state. A new leader begins with
// none of it, and takes every lease as renewed when it began to lead.
type Lead struct {
	coordinator *coordinator.Coordinator
	options     Options
	log         *zap.Logger
	since       time.Duration
	// term is that of the leadership; it fences orders to workers.
	term uint64

	mutex   sync.Mutex
	workers map[string]lease
	entries map[string]entryLease

	plannerMutex sync.Mutex
	planner      *planner.Planner
	pushes       chan string

	// supervisor is nil until the duties about workflows have begun.
	supervisor atomic.Pointer[supervisor.Supervisor]
}

// lease is the granter's view of one session.
type lease struct {
	session uint64
	renewed time.Duration
	// ending leases are not renewed any more.
	ending bool
	// lost is when the lease was found to have ended.
	lost time.Duration
}

// entryLease is the lease of an entry and what it has said.
type entryLease struct {
	renewed time.Duration
	ending  bool
	// acked is the revision that the entry has in force.
	acked uint64
	loads []messenger.Load
}

func newLead(
	c *coordinator.Coordinator, options Options, log *zap.Logger, leadership coordinator.Leadership,
) *Lead {
	return &Lead{
		coordinator: c,
		options:     options,
		log:         log,
		since:       leadership.Since,
		term:        leadership.Term,
		workers:     map[string]lease{},
		entries:     map[string]entryLease{},
		pushes:      make(chan string, pushRing),
	}
}

func (l *Lead) propose(ctx context.Context, command reducer.Command) (reducer.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := l.coordinator.Propose(bounded, command)
	if err != nil {
		l.log.Warn("proposal refused", zap.String("kind", string(command.Kind)), zap.Error(err))
	}
	return result, err
}

const proposeTimeout = 5 * time.Second

// workerLease returns the lease of a session; one not seen yet counts as
// renewed when the leader began.
func (l *Lead) workerLease(id string, session uint64) lease {
	known, ok := l.workers[id]
	if !ok || known.session != session {
		return lease{session: session, renewed: l.since}
	}
	return known
}

// RenewWorker renews the lease of a session that is in the state. It reports
// false where the lease is ending, and then must not be answered with a lease.
func (l *Lead) RenewWorker(id string, session uint64) bool {
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

// RenewEntry renews the lease of an entry, and notes what it has in force.
func (l *Lead) RenewEntry(id string, acked uint64, loads []messenger.Load) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[id]
	if known.ending {
		return false
	}
	known.renewed = l.coordinator.Now()
	known.acked = max(known.acked, acked)
	if len(loads) > 0 || len(known.loads) > 0 {
		known.loads = loads
	}
	l.entries[id] = known
	return true
}

// Loads returns what the other entries have said of their load. Entries that
// never had one are left out, as each answer to each entry carries the rest.
func (l *Lead) Loads(except string) []messenger.EntryLoad {
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

// Acked returns the revision that the entry has in force, and since when it
// has been silent.
func (l *Lead) Acked(id string) (uint64, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return 0, l.coordinator.Now() - l.since
	}
	return e.acked, l.coordinator.Now() - e.renewed
}

// InForce reports whether every entry of the state has the revision in force.
func (l *Lead) InForce(state reducer.State, revision uint64) bool {
	for _, e := range reducer.Values(state.Entries) {
		if acked, _ := l.Acked(e.ID); acked < revision {
			return false
		}
	}
	return true
}

// Why returns why a job waits.
func (l *Lead) Why(job string) string {
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	if l.planner == nil {
		return string(planner.ReasonNotEvaluated)
	}
	return string(l.planner.WaitReason(job))
}

// withMargin is how long the granter of a lease waits.
func withMargin(lease time.Duration) time.Duration {
	return lease + lease/marginPart
}
