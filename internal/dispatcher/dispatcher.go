// Package dispatcher gives the slots of the backend servers that an entry owns
// to waiting requests. It counts every request in flight, so that no backend
// server gets more than its slots, and keeps short work from waiting behind long.
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

// busyPause is how long a backend server that said that it is full gets
// nothing; deadPause is that of one that cannot be reached.
const (
	busyPause = 50 * time.Millisecond
	deadPause = time.Second
)

// lostRest is for how long a backend server must say that it does not run a
// request whose answer was lost, before its slot is given again: the request
// may still be on its way.
const lostRest = time.Second

// backend is one backend server that this entry owns.
type backend struct {
	viewer.Backend
	// inFlight counts the requests that this entry has there.
	inFlight int
	// foreign counts those that other epochs still have there; unknown until probed.
	foreign int
	probed  bool
	// lost holds the requests whose answer was lost, which may still run, by
	// their id; the instant is since when they are said not to, or zero.
	lost map[string]time.Time
	// notBefore is when the backend server may get a request again.
	notBefore time.Time
	// released backend servers get nothing new and go once nothing is in flight.
	released bool
}

func (b *backend) free(now time.Time) int {
	if !b.probed || b.released || !b.Serving || now.Before(b.notBefore) {
		return 0
	}
	return b.usable() - b.inFlight - b.foreign - len(b.lost)
}

// usable is how many requests may be at the backend server: its slots, and no
// more than its connections less the one that probes it.
func (b *backend) usable() int {
	return min(b.Slots, max(1, b.Connections-1))
}

// Dispatcher holds the slots of one entry. It is safe for concurrent use.
type Dispatcher struct {
	mutex    sync.Mutex
	services map[string]*service
	backends map[string]*backend
}

// service is the queue and the backend servers of one service.
type service struct {
	name     string
	learner  *learner.Learner
	policy   modeler.PolicySpec
	short    queue
	long     queue
	longRuns int
	backends map[string]*backend
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

// SetOwned takes over the backend servers that the entry owns from now on.
// Those that are new have to be probed before they get a request.
func (d *Dispatcher) SetOwned(owned []viewer.Backend, policy func(string) modeler.PolicySpec) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	keep := map[string]struct{}{}
	for _, o := range owned {
		keep[o.ID] = struct{}{}
		d.setOne(o)
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

func (d *Dispatcher) setOne(owned viewer.Backend) {
	known, ok := d.backends[owned.ID]
	if ok && known.OwnerEpoch == owned.OwnerEpoch && known.Session == owned.Session {
		known.Backend = owned
		return
	}
	if ok {
		d.release(known)
	}
	b := &backend{Backend: owned, lost: map[string]time.Time{}}
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

// BackendsToProbe returns the backend servers that may run requests that this entry
// does not wait for.
func (d *Dispatcher) BackendsToProbe() []viewer.Backend {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var unprobed []viewer.Backend
	for _, b := range d.backends {
		if !b.probed || b.foreign > 0 || len(b.lost) > 0 {
			unprobed = append(unprobed, b.Backend)
		}
	}
	return unprobed
}

// Running is what a backend server says that it runs.
type Running struct {
	// Foreign counts the requests of other epochs.
	Foreign int
	// Own are the ids of the requests of the entry's own epoch.
	Own []string
}

// SetRunning takes what the backend server runs under the epoch and others.
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
	for request, since := range b.lost {
		switch {
		case slices.Contains(running.Own, request):
			b.lost[request] = time.Time{}
		case since.IsZero():
			b.lost[request] = now
		case now.Sub(since) >= lostRest:
			delete(b.lost, request)
		}
	}
	d.services[b.Service].dispatch(now)
}

// Acquire waits for a slot. The refusal says why there is none; nothing was
// sent then.
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

// withdraw takes a request out of the queue, unless it was granted meanwhile.
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

// Result is how a request that had a slot ended.
type Result int

// The results.
const (
	// ResultRan teaches the run time of the class.
	ResultRan Result = iota
	// ResultBusy came from a backend server that is full; it is not broken.
	ResultBusy
	// ResultUnreachable came from one to which nothing could be sent.
	ResultUnreachable
	// ResultUnused says that the slot was not used.
	ResultUnused
)

// Release gives the slot back.
func (d *Dispatcher) Release(slot Slot, result Result) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, b := d.giveBack(slot)
	if result == ResultRan {
		s.learner.Learn(slot.class, now.Sub(slot.since))
	}
	switch {
	case b == nil:
	case result == ResultBusy:
		d.pause(s, b, now.Add(busyPause))
	case result == ResultUnreachable:
		d.pause(s, b, now.Add(deadPause))
	}
	s.dispatch(now)
}

// Lose gives back the slot of a request whose answer was lost. The slot is not
// given again until the backend server says that the request does not run.
func (d *Dispatcher) Lose(slot Slot, request string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, b := d.giveBack(slot)
	if b != nil {
		b.lost[request] = time.Time{}
	}
	s.dispatch(time.Now())
}

// giveBack returns the backend server, or nil if the entry no longer owns it
// under the epoch of the slot.
func (d *Dispatcher) giveBack(slot Slot) (*service, *backend) {
	s := d.services[slot.Backend.Service]
	if slot.long {
		s.longRuns--
	}
	b, ok := d.backends[slot.Backend.ID]
	if !ok || b.OwnerEpoch != slot.Backend.OwnerEpoch || b.Session != slot.Backend.Session {
		return s, nil
	}
	b.inFlight--
	return s, b
}

// pause keeps the backend server from getting requests for a while.
func (d *Dispatcher) pause(s *service, b *backend, until time.Time) {
	b.notBefore = until
	time.AfterFunc(time.Until(until), func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		s.dispatch(time.Now())
	})
}

// Loads returns the load of every service that the entry has slots of.
func (d *Dispatcher) Loads() []messenger.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loads := []messenger.Load{}
	for _, s := range d.services {
		loads = append(loads, s.load())
	}
	return loads
}

// Load returns the load of the service.
func (d *Dispatcher) Load(name string) messenger.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s, ok := d.services[name]; ok {
		return s.load()
	}
	return messenger.Load{Service: name}
}

// InFlight counts the requests that have a slot or wait for one.
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
