// Package tracker holds what an entry has in force: the view that control gave
// it and the lease under which it may act on it.
package tracker

import (
	"context"
	"errors"
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
	// watchWait is how long control may hold a watch.
	watchWait = 400 * time.Millisecond
	// watchTimeout bounds one watch with all its tries. The lease counts from
	// its beginning, so that a long one gains little.
	watchTimeout = 800 * time.Millisecond
	// retryPause is the pause after a watch that failed.
	retryPause = 50 * time.Millisecond
)

// Options are the settings of a tracker.
type Options struct {
	Entry modeler.Entry
	// Cell pins the cell; empty takes that of the first answer.
	Cell string
	// Watch calls control. Never nil.
	Watch func(ctx context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error)
	// Loads tells the load of this entry. Never nil.
	Loads func() []messenger.Load
	// OnChange is told of each new view, before it is acknowledged. Never nil.
	OnChange func(Table)
	// NewID draws another id after the lease was found to have ended. Never nil.
	NewID func() string
	Log   *zap.Logger
}

// Table is a view that is in force. It is immutable.
type Table struct {
	Revision uint64
	// Self is the id of this entry.
	Self     string
	Backends map[string]viewer.Backend
	Entries  map[string]modeler.Entry
	Policies map[string]modeler.PolicySpec
}

// Policy returns the policy in force for the service.
func (t Table) Policy(service string) modeler.PolicySpec {
	if spec, ok := t.Policies[service]; ok {
		return spec
	}
	return modeler.DefaultPolicy()
}

// Owned returns the backend servers that this entry owns, by service and id.
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

// HasService reports whether any backend server of the service is known.
func (t Table) HasService(service string) bool {
	for _, b := range t.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// Tracker follows control. It is safe for concurrent use.
type Tracker struct {
	options Options
	started time.Time

	mutex sync.Mutex
	table Table
	entry modeler.Entry
	cell  string
	// leaseUntil is the end of the lease by the tracker's clock; zero for none.
	leaseUntil time.Duration
	// loads are the loads of other entries by entry and service.
	loads map[string]map[string]messenger.Load
}

// New returns a tracker with nothing in force.
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

// Run follows control until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := t.watchOnce(ctx); err != nil && ctx.Err() == nil {
			t.options.Log.Warn("watch lost", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
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
		Wait:  watchWait,
	}
	t.mutex.Unlock()
	call.Loads = t.options.Loads()
	sentAt := time.Since(t.started)
	bounded, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	answer, err := t.options.Watch(bounded, call)
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) && refusal.Code == modeler.CodeStale {
		t.startAnew()
		return err
	}
	if err != nil {
		return err
	}
	return t.take(call, answer, sentAt)
}

// startAnew takes another id: under the old one others may own what was owned.
func (t *Tracker) startAnew() {
	t.mutex.Lock()
	t.entry.ID = t.options.NewID()
	t.table = Table{Self: t.entry.ID}
	t.leaseUntil = 0
	table := t.table
	t.mutex.Unlock()
	t.options.Log.Warn("lease ended, starting anew", zap.String("entry", table.Self))
	t.options.OnChange(table)
}

// take puts an answer in force. The next watch acknowledges it.
func (t *Tracker) take(call messenger.WatchCall, answer messenger.WatchAnswer, sentAt time.Duration) error {
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
	before := t.table.Revision
	t.table = merged(t.table, answer.View)
	table := t.table
	for _, load := range answer.Loads {
		t.loads[load.Entry] = loadsByService(load.Loads)
	}
	t.mutex.Unlock()
	if table.Revision != before || call.Since == 0 {
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

// merged returns the table with the view taken in.
func merged(old Table, view viewer.View) Table {
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
		copyInto(next.Backends, old.Backends, view.RemovedBackends)
		copyInto(next.Entries, old.Entries, view.RemovedEntries)
		copyInto(next.Policies, old.Policies, nil)
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

func copyInto[V any](into, from map[string]V, except []string) {
	for key, value := range from {
		if !slices.Contains(except, key) {
			into[key] = value
		}
	}
}

// Table returns what is in force.
func (t *Tracker) Table() Table {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table
}

// Leased reports whether the entry may act on its table now.
func (t *Tracker) Leased() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Since(t.started) < t.leaseUntil
}

// Owns reports whether this entry may send to the backend server under the epoch now.
func (t *Tracker) Owns(id string, epoch uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	b, ok := t.table.Backends[id]
	if !ok || b.Owner != t.table.Self || b.OwnerEpoch != epoch {
		return false
	}
	return time.Since(t.started) < t.leaseUntil
}

// Leave tells control, with the next watch, that this entry is leaving.
func (t *Tracker) Leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entry.Leaving = true
}

// NoteLoad takes the load of another entry that came with an answer of its own.
func (t *Tracker) NoteLoad(entry string, load messenger.Load) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	byService, ok := t.loads[entry]
	if !ok {
		byService = map[string]messenger.Load{}
		t.loads[entry] = byService
	}
	byService[load.Service] = load
}

// PickTwo returns up to two of the entries, drawn at random, the less loaded first.
func (t *Tracker) PickTwo(service string, owners []modeler.Entry) []modeler.Entry {
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	picked := owners[:min(len(owners), 2)]
	slices.SortStableFunc(picked, func(a, b modeler.Entry) int {
		return t.Headroom(b.ID, service) - t.Headroom(a.ID, service)
	})
	return picked
}

// Headroom returns the free slots of an entry less the requests that wait there.
func (t *Tracker) Headroom(entry, service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	load := t.loads[entry][service]
	return load.Free - load.Queued
}

// Spend notes that a request was sent on to the entry, until it tells its load again.
func (t *Tracker) Spend(entry, service string) {
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
