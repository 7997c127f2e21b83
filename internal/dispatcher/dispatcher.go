// Package dispatcher assigns the slots of the backend servers that an entry owns
// to waiting requests. It counts every request in flight, so that no backend
// server gets more requests than it has slots, and keeps short requests from
// waiting behind long ones.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/learner"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const (
	// busyBackoff is how long a backend server that reported to be full gets no
	// requests.
	busyBackoff = 50 * time.Millisecond
	// unreachableBackoff is how long a backend server that could not be reached
	// gets no requests.
	unreachableBackoff = time.Second
)

// lostConfirmation is how long a backend server must have reported that it does
// not run a request whose answer was lost before the slot is reused, since the
// request may still be in transit.
const lostConfirmation = time.Second

// backend is one backend server that this entry owns.
type backend struct {
	viewer.Backend
	// inFlight counts the requests that hold a slot of this entry.
	inFlight int
	// foreign counts the requests of other owner epochs that the backend server
	// still runs. It is valid once probed is true.
	foreign int
	probed  bool
	// unresolved holds the ids of requests whose answer was lost and which may
	// still run. The value is the time since which the backend server reports
	// that it does not run the request, or zero.
	unresolved map[string]time.Time
	// notBefore is the earliest time at which the backend server may get a
	// request; zero for no restriction.
	notBefore time.Time
	// released is true once the entry no longer owns the backend server; no new
	// requests are sent.
	released bool
}

func (b *backend) free(now time.Time) int {
	if !b.probed || b.released || !b.Serving || now.Before(b.notBefore) {
		return 0
	}
	return b.capacity() - b.inFlight - b.foreign - len(b.unresolved)
}

// capacity returns how many requests the backend server may have at once: its
// slots, limited to its connections less one, which is left for probes.
func (b *backend) capacity() int {
	return min(b.Slots, max(1, b.Connections-1))
}

// Dispatcher manages the slots of one entry. It is safe for concurrent use.
type Dispatcher struct {
	mutex    sync.Mutex
	services map[string]*service
	backends map[string]*backend
}

// service holds the queues and the owned backend servers of one service.
type service struct {
	name         string
	learner      *learner.Learner
	policy       modeler.PolicySpec
	short        queue
	long         queue
	longInFlight int
	backends     map[string]*backend
}

// Slot is the right to send one request to a backend server.
type Slot struct {
	Backend viewer.Backend
	class   string
	long    bool
	since   time.Time
}

// New returns a dispatcher without backend servers.
func New() *Dispatcher {
	return &Dispatcher{services: map[string]*service{}, backends: map[string]*backend{}}
}

func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{
			name:     name,
			learner:  learner.New(),
			policy:   modeler.DefaultPolicy(),
			backends: map[string]*backend{},
		}
		d.services[name] = s
	}
	return s
}

// SetOwned replaces the set of backend servers that the entry owns, and the
// policies of the services. A new backend server, or one with a new owner epoch
// or session, gets requests only after SetRunning.
func (d *Dispatcher) SetOwned(owned []viewer.Backend, policy func(string) modeler.PolicySpec) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	keep := map[string]struct{}{}
	for _, o := range owned {
		keep[o.ID] = struct{}{}
		d.setBackend(o)
	}
	for id, b := range d.backends {
		if _, ok := keep[id]; !ok {
			d.release(b)
		}
	}
	for name, s := range d.services {
		s.policy = policy(name)
		s.dispatch(time.Now())
	}
}

func (d *Dispatcher) setBackend(owned viewer.Backend) {
	known, ok := d.backends[owned.ID]
	if ok && known.OwnerEpoch == owned.OwnerEpoch && known.Session == owned.Session {
		known.Backend = owned
		return
	}
	if ok {
		d.release(known)
	}
	b := &backend{Backend: owned, unresolved: map[string]time.Time{}}
	d.backends[owned.ID] = b
	d.service(owned.Service).backends[owned.ID] = b
}

func (d *Dispatcher) release(b *backend) {
	b.released = true
	if d.backends[b.ID] == b {
		delete(d.backends, b.ID)
		delete(d.services[b.Service].backends, b.ID)
	}
}

// BackendsToProbe returns the backend servers that may run requests that this
// entry does not wait for: those that were not probed yet, that run requests of
// other owner epochs, or that have requests whose answer was lost.
func (d *Dispatcher) BackendsToProbe() []viewer.Backend {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var unprobed []viewer.Backend
	for _, b := range d.backends {
		if !b.probed || b.foreign > 0 || len(b.unresolved) > 0 {
			unprobed = append(unprobed, b.Backend)
		}
	}
	return unprobed
}

// Running is a backend server's report of the requests that it runs.
type Running struct {
	// Foreign counts the requests of other owner epochs.
	Foreign int
	// Own holds the ids of the requests of the entry's own epoch.
	Own []string
}

// SetRunning applies a report of the backend server. It ignores the report if the
// entry does not own the backend server under the epoch.
func (d *Dispatcher) SetRunning(id string, epoch uint64, running Running) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b, ok := d.backends[id]
	if !ok || b.OwnerEpoch != epoch {
		return
	}
	b.probed = true
	b.foreign = running.Foreign
	for request, since := range b.unresolved {
		switch {
		case slices.Contains(running.Own, request):
			b.unresolved[request] = time.Time{}
		case since.IsZero():
			b.unresolved[request] = now
		case now.Sub(since) >= lostConfirmation:
			delete(b.unresolved, request)
		}
	}
	d.services[b.Service].dispatch(now)
}

// Acquire blocks until a slot of the service is free, the wait time is over or
// the context ends. It returns a refusal if there is no slot, the queue is full
// or the entry has no backend server of the service. Nothing was sent then.
func (d *Dispatcher) Acquire(ctx context.Context, name, class string, wait time.Duration) (Slot, *modeler.RefusalError) {
	d.mutex.Lock()
	s, ok := d.services[name]
	if !ok || !s.hasServing() {
		d.mutex.Unlock()
		return Slot{}, modeler.Refuse(modeler.CodeNoBackend, "service", "this entry has no backend server of %q", name)
	}
	if s.short.Len()+s.long.Len() >= s.policy.QueueLimit {
		d.mutex.Unlock()
		return Slot{}, modeler.Refuse(modeler.CodeOverloaded, "", "the queue of %q is full", name)
	}
	w := s.enqueue(class, time.Now())
	s.dispatch(time.Now())
	d.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case slot := <-w.granted:
		return slot, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return d.withdraw(s, w)
}

// withdraw removes a request from the queue. It returns the slot if one was
// granted in the meantime.
func (d *Dispatcher) withdraw(s *service, w *waiter) (Slot, *modeler.RefusalError) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case slot := <-w.granted:
		return slot, nil
	default:
	}
	s.remove(w)
	return Slot{}, modeler.Refuse(modeler.CodeOverloaded, "", "no slot of %q became free in time", s.name)
}

// Result describes how a request that had a slot ended.
type Result int

// The results of a request.
const (
	// ResultRan means that the request ran. Its run time is recorded for the class.
	ResultRan Result = iota
	// ResultBusy means that the backend server refused the request because it
	// is full, which is no fault.
	ResultBusy
	// ResultUnreachable means that the request could not be sent.
	ResultUnreachable
	// ResultUnused means that no request was sent on the slot.
	ResultUnused
)

// Release returns the slot. A backend server that was busy or unreachable gets no
// requests for a while.
func (d *Dispatcher) Release(slot Slot, result Result) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, b := d.returnSlot(slot)
	if result == ResultRan {
		s.learner.Observe(slot.class, now.Sub(slot.since))
	}
	switch {
	case b == nil:
	case result == ResultBusy:
		d.backOff(s, b, now.Add(busyBackoff))
	case result == ResultUnreachable:
		d.backOff(s, b, now.Add(unreachableBackoff))
	}
	s.dispatch(now)
}

// ReleaseUnresolved returns the slot of a request whose answer was lost. The slot
// is not reused until the backend server has reported for lostConfirmation that
// it does not run the request.
func (d *Dispatcher) ReleaseUnresolved(slot Slot, request string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, b := d.returnSlot(slot)
	if b != nil {
		b.unresolved[request] = time.Time{}
	}
	s.dispatch(time.Now())
}

// returnSlot decreases the counts of requests in flight. It returns the service
// and the backend server, or nil for the latter if the entry no longer owns it
// under the epoch and session of the slot.
func (d *Dispatcher) returnSlot(slot Slot) (*service, *backend) {
	s := d.services[slot.Backend.Service]
	if slot.long {
		s.longInFlight--
	}
	b, ok := d.backends[slot.Backend.ID]
	if !ok || b.OwnerEpoch != slot.Backend.OwnerEpoch || b.Session != slot.Backend.Session {
		return s, nil
	}
	b.inFlight--
	return s, b
}

// backOff sends no requests to the backend server until the given time.
func (d *Dispatcher) backOff(s *service, b *backend, until time.Time) {
	b.notBefore = until
	time.AfterFunc(time.Until(until), func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		s.dispatch(time.Now())
	})
}

// Loads returns the load of every service that the dispatcher knows.
func (d *Dispatcher) Loads() []messenger.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loads := []messenger.Load{}
	for _, s := range d.services {
		loads = append(loads, s.currentLoad())
	}
	return loads
}

// Load returns the load of the service, which is zero if the service is unknown.
func (d *Dispatcher) Load(name string) messenger.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s, ok := d.services[name]; ok {
		return s.currentLoad()
	}
	return messenger.Load{Service: name}
}

// InFlight returns the number of requests that hold a slot or wait for one.
func (d *Dispatcher) InFlight() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, s := range d.services {
		count += s.short.Len() + s.long.Len()
		for _, b := range s.backends {
			count += b.inFlight
		}
	}
	return count
}
