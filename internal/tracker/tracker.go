// Package tracker keeps the table of backend servers, entries and policies that
// control sends to an entry, and the lease under which the entry may act on it.
package tracker

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const (
	// maxWatchHold is how long control may delay the answer to a watch.
	maxWatchHold = 400 * time.Millisecond
	// watchTimeout limits one watch including its retries. The lease counts from
	// the beginning of the watch, so that a longer time-out would gain little.
	watchTimeout = 800 * time.Millisecond
	// retryDelay is the delay after a failed watch.
	retryDelay = 50 * time.Millisecond
)

// Options configures a Tracker.
type Options struct {
	Entry modeler.Entry
	// Cell is the only cell whose answers are accepted. If empty, it is set by
	// the first answer.
	Cell string
	// Watch sends a watch to control. Never nil.
	Watch func(ctx context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error)
	// Loads returns the load of this entry. Never nil.
	Loads func() []messenger.Load
	// OnChange is called with each new table, before the next watch acknowledges
	// it. Never nil.
	OnChange func(Table)
	// NewID returns a new entry id, for use after control has ended the lease.
	// Never nil.
	NewID func() string
	Log   *zap.Logger
}

// Table is the state of the cell as the entry knows it. It is immutable.
type Table struct {
	Revision uint64
	// Self is the id of this entry.
	Self     string
	Backends map[string]viewer.Backend
	Entries  map[string]modeler.Entry
	Policies map[string]modeler.PolicySpec
}

// Policy returns the policy of the service, or the default policy.
func (t Table) Policy(service string) modeler.PolicySpec {
	if spec, ok := t.Policies[service]; ok {
		return spec
	}
	return modeler.DefaultPolicy()
}

// Owned returns the backend servers that this entry owns, sorted by id.
func (t Table) Owned() []viewer.Backend {
	var owned []viewer.Backend
	for _, b := range t.Backends {
		if b.Owner == t.Self {
			owned = append(owned, b)
		}
	}
	slices.SortFunc(owned, func(a, b viewer.Backend) int { return strings.Compare(a.ID, b.ID) })
	return owned
}

// Owners returns the other entries that own serving backend servers of the service.
func (t Table) Owners(service string) []modeler.Entry {
	seen := map[string]struct{}{}
	var owners []modeler.Entry
	for _, b := range t.Backends {
		_, known := seen[b.Owner]
		if b.Service != service || !b.Serving || known || b.Owner == t.Self {
			continue
		}
		seen[b.Owner] = struct{}{}
		if e, ok := t.Entries[b.Owner]; ok {
			owners = append(owners, e)
		}
	}
	return owners
}

// HasService reports whether the table has a backend server of the service.
func (t Table) HasService(service string) bool {
	for _, b := range t.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// Tracker keeps the table and the lease up to date by watching control. It is
// safe for concurrent use.
type Tracker struct {
	options Options
	started time.Time

	mutex sync.Mutex
	table Table
	entry modeler.Entry
	cell  string
	// leaseUntil is the end of the lease, as monotonic time since started; zero
	// for no lease.
	leaseUntil time.Duration
	// loads holds the loads of other entries by entry and service.
	loads map[string]map[string]messenger.Load
}

// New returns a tracker with an empty table and no lease.
func New(options Options) *Tracker {
	return &Tracker{
		options: options,
		started: time.Now(),
		entry:   options.Entry,
		cell:    options.Cell,
		table:   Table{Self: options.Entry.ID},
		loads:   map[string]map[string]messenger.Load{},
	}
}

// Run watches control until the context ends. It always returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := t.watchOnce(ctx); err != nil && ctx.Err() == nil {
			t.options.Log.Warn("watch failed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
	return nil
}

func (t *Tracker) watchOnce(ctx context.Context) error {
	t.mutex.Lock()
	call := messenger.WatchCall{
		Entry: t.entry,
		Since: t.table.Revision,
		Wait:  maxWatchHold,
	}
	t.mutex.Unlock()
	call.Loads = t.options.Loads()
	sentAt := time.Since(t.started)
	bounded, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	answer, err := t.options.Watch(bounded, call)
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) && refusal.Code == modeler.CodeStale {
		t.renewIdentity()
		return err
	}
	if err != nil {
		return err
	}
	return t.apply(call, answer, sentAt)
}

// renewIdentity drops the table and the lease and takes a new entry id: the backend
// servers that were owned under the old id may have been given to other entries.
func (t *Tracker) renewIdentity() {
	t.mutex.Lock()
	t.entry.ID = t.options.NewID()
	t.table = Table{Self: t.entry.ID}
	t.leaseUntil = 0
	table := t.table
	t.mutex.Unlock()
	t.options.Log.Warn("lease ended, continuing under a new entry id", zap.String("entry", table.Self))
	t.options.OnChange(table)
}

// apply updates the table, the lease and the loads from an answer. The next watch
// acknowledges the revision. It refuses an answer of another cell and one that is
// older than the table.
func (t *Tracker) apply(call messenger.WatchCall, answer messenger.WatchAnswer, sentAt time.Duration) error {
	t.mutex.Lock()
	if t.cell != "" && answer.Cell != t.cell {
		t.mutex.Unlock()
		return modeler.Refuse(modeler.CodeForbidden, "cell", "control is of cell %q, not %q", answer.Cell, t.cell)
	}
	t.cell = answer.Cell
	if answer.View.Revision < t.table.Revision {
		t.mutex.Unlock()
		return modeler.Refuse(modeler.CodeStale, "revision", "control is behind this entry")
	}
	t.leaseUntil = max(t.leaseUntil, sentAt+answer.Lease)
	previousRevision := t.table.Revision
	t.table = merge(t.table, answer.View)
	table := t.table
	for _, load := range answer.Loads {
		t.loads[load.Entry] = loadsByService(load.Loads)
	}
	maps.DeleteFunc(t.loads, func(entry string, _ map[string]messenger.Load) bool {
		_, ok := table.Entries[entry]
		return !ok
	})
	t.mutex.Unlock()
	if table.Revision != previousRevision || call.Since == 0 {
		t.options.OnChange(table)
	}
	return nil
}

func loadsByService(loads []messenger.Load) map[string]messenger.Load {
	byService := make(map[string]messenger.Load, len(loads))
	for _, l := range loads {
		byService[l.Service] = l
	}
	return byService
}

// merge returns a new table with the changes of the view applied. A full view
// replaces the old table.
func merge(old Table, view viewer.View) Table {
	next := Table{
		Revision: view.Revision,
		Self:     old.Self,
		Backends: map[string]viewer.Backend{},
		Entries:  map[string]modeler.Entry{},
		Policies: map[string]modeler.PolicySpec{},
	}
	if isEmpty := len(view.Backends)+len(view.Entries)+len(view.Policies)+
		len(view.RemovedBackends)+len(view.RemovedEntries) == 0; isEmpty && !view.Full {
		next.Backends, next.Entries, next.Policies = old.Backends, old.Entries, old.Policies
		return next
	}
	if !view.Full {
		copyExcept(next.Backends, old.Backends, view.RemovedBackends)
		copyExcept(next.Entries, old.Entries, view.RemovedEntries)
		copyExcept(next.Policies, old.Policies, nil)
	}
	for _, b := range view.Backends {
		next.Backends[b.ID] = b
	}
	for _, e := range view.Entries {
		next.Entries[e.ID] = e
	}
	for _, p := range view.Policies {
		next.Policies[p.Service] = p.Spec
	}
	return next
}

func copyExcept[V any](into, from map[string]V, except []string) {
	for key, value := range from {
		if !slices.Contains(except, key) {
			into[key] = value
		}
	}
}

// Table returns the current table.
func (t *Tracker) Table() Table {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table
}

// Leased reports whether the lease is valid, so that the entry may act on its table.
func (t *Tracker) Leased() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Since(t.started) < t.leaseUntil
}

// Owns reports whether this entry owns the backend server under the epoch and has
// a valid lease, so that it may send requests to it.
func (t *Tracker) Owns(id string, epoch uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	b, ok := t.table.Backends[id]
	if !ok || b.Owner != t.table.Self || b.OwnerEpoch != epoch {
		return false
	}
	return time.Since(t.started) < t.leaseUntil
}

// Leave makes the following watches tell control that this entry is leaving.
func (t *Tracker) Leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entry.Leaving = true
}

// SetLoad records the load of another entry that it reported in an answer.
func (t *Tracker) SetLoad(entry string, load messenger.Load) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	byService, ok := t.loads[entry]
	if !ok {
		byService = map[string]messenger.Load{}
		t.loads[entry] = byService
	}
	byService[load.Service] = load
}

// PickTwo returns up to two of the entries, drawn at random, the one with more
// headroom first. It reorders owners.
func (t *Tracker) PickTwo(service string, owners []modeler.Entry) []modeler.Entry {
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	picked := owners[:min(len(owners), 2)]
	slices.SortStableFunc(picked, func(a, b modeler.Entry) int {
		return t.Headroom(b.ID, service) - t.Headroom(a.ID, service)
	})
	return picked
}

// Headroom returns the number of free slots of an entry less its queued requests,
// by its last known load.
func (t *Tracker) Headroom(entry, service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	load := t.loads[entry][service]
	return load.Free - load.Queued
}

// CountForwarded adds a forwarded request to the known load of the entry. The
// next load report of the entry replaces the estimate.
func (t *Tracker) CountForwarded(entry, service string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	byService, ok := t.loads[entry]
	if !ok {
		return
	}
	load := byService[service]
	if load.Free > 0 {
		load.Free--
	} else {
		load.Queued++
	}
	byService[service] = load
}
