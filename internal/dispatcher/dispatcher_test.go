package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const service = "toll-desk"

func policy(string) modeler.PolicySpec { return modeler.DefaultPolicy() }

func backend(id string, epoch uint64, slots int) viewer.Backend {
	return viewer.Backend{ID: id, Service: service, Slots: slots, Connections: 64, Serving: true, Owner: "e", OwnerEpoch: epoch}
}

func newOwner(backends ...viewer.Backend) *dispatcher.Dispatcher {
	d := dispatcher.New()
	d.SetOwned(backends, policy)
	for _, b := range backends {
		d.SetRunning(b.ID, b.OwnerEpoch, dispatcher.Running{Foreign: 0})
	}
	return d
}

// mustAcquire acquires a slot that is free now.
func mustAcquire(t *testing.T, d *dispatcher.Dispatcher, class string) dispatcher.Slot {
	t.Helper()
	slot, refusal := d.Acquire(t.Context(), service, class, time.Millisecond)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return slot
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		d := newOwner(backend("a", 1, 2), backend("b", 1, 3))
		var mutex sync.Mutex
		inFlight := map[string]int{}
		count := func(id string, change int) bool {
			mutex.Lock()
			defer mutex.Unlock()
			inFlight[id] += change
			return inFlight["a"] <= 2 && inFlight["b"] <= 3
		}
		results := make(chan string, 200)
		for i := range 200 {
			length := time.Duration(1+random.IntN(50)) * time.Millisecond
			go func() {
				slot, refusal := d.Acquire(t.Context(), service, fmt.Sprint(i%3), time.Minute)
				if refusal != nil {
					results <- refusal.Error()
					return
				}
				result := ""
				if !count(slot.Backend.ID, 1) {
					result = "more requests than slots on " + slot.Backend.ID
				}
				time.Sleep(length)
				count(slot.Backend.ID, -1)
				d.Release(slot, dispatcher.ResultRan)
				results <- result
			}()
			synctest.Wait()
		}
		for range 200 {
			if result := <-results; result != "" {
				t.Fatal(result)
			}
		}
		if d.InFlight() != 0 {
			t.Errorf("%d requests are in flight after all have ended, want 0", d.InFlight())
		}
	})
}

func TestNewOwnerCountsRequestsOfThePreviousOwner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := dispatcher.New()
		d.SetOwned([]viewer.Backend{backend("a", 2, 2)}, policy)
		if _, refusal := d.Acquire(t.Context(), service, "x", time.Millisecond); refusal == nil {
			t.Fatal("a slot was granted before the backend server was probed")
		}
		d.SetRunning("a", 2, dispatcher.Running{Foreign: 1})
		slot := mustAcquire(t, d, "x")
		if _, refusal := d.Acquire(t.Context(), service, "x", time.Millisecond); refusal == nil {
			t.Fatal("two slots were granted while a request of the previous owner runs")
		}
		if len(d.BackendsToProbe()) != 1 {
			t.Error("the backend server is not probed again while it runs requests of the previous owner")
		}
		d.SetRunning("a", 2, dispatcher.Running{Foreign: 0})
		mustAcquire(t, d, "x")
		d.Release(slot, dispatcher.ResultRan)
	})
}

func TestDrainingOrDisownedBackendServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	tests := map[string]func(viewer.Backend) []viewer.Backend{
		"draining":               func(b viewer.Backend) []viewer.Backend { b.Serving = false; return []viewer.Backend{b} },
		"owned by another entry": func(viewer.Backend) []viewer.Backend { return nil },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newOwner(backend("a", 1, 2))
				running := mustAcquire(t, d, "x")
				d.SetOwned(change(backend("a", 1, 2)), policy)
				if _, refusal := d.Acquire(t.Context(), service, "x", time.Millisecond); refusal == nil {
					t.Error("a slot was granted while a request is in flight")
				}
				d.Release(running, dispatcher.ResultRan)
				if _, refusal := d.Acquire(t.Context(), service, "x", time.Millisecond); refusal == nil {
					t.Error("a slot was granted after the last request ended")
				}
			})
		})
	}
}

func TestShortWorkDoesNotWaitBehindLong(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newOwner(backend("a", 1, 8))
		trainEstimates(t, d)
		// Far more long requests than there are slots arrive first.
		for range 40 {
			go func() {
				slot, refusal := d.Acquire(t.Context(), service, "peal", time.Minute)
				if refusal != nil {
					return
				}
				time.Sleep(10 * time.Second)
				d.Release(slot, dispatcher.ResultRan)
			}()
		}
		synctest.Wait()
		began := time.Now()
		slot := mustAcquire(t, d, "strike")
		if waited := time.Since(began); waited > 0 {
			t.Errorf("a short request waited %s behind long ones", waited)
		}
		d.Release(slot, dispatcher.ResultRan)
		time.Sleep(2 * time.Minute)
	})
}

// trainEstimates runs the classes strike and peal often enough for a run time estimate.
func trainEstimates(t *testing.T, d *dispatcher.Dispatcher) {
	t.Helper()
	for range 5 {
		for class, length := range map[string]time.Duration{"strike": 10 * time.Millisecond, "peal": 10 * time.Second} {
			slot := mustAcquire(t, d, class)
			time.Sleep(length)
			d.Release(slot, dispatcher.ResultRan)
		}
	}
}

func TestLongWorkIsServedUnderSteadyShortWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newOwner(backend("a", 1, 1))
		trainEstimates(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// Three clients send short requests without pause, so that two always
		// wait for the one slot.
		for range 3 {
			go func() {
				for ctx.Err() == nil {
					slot, refusal := d.Acquire(ctx, service, "strike", time.Hour)
					if refusal != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
					d.Release(slot, dispatcher.ResultRan)
				}
			}()
		}
		synctest.Wait()
		slot, refusal := d.Acquire(t.Context(), service, "peal", time.Minute)
		if refusal != nil {
			t.Errorf("long work was never served: %v", refusal)
		} else {
			d.Release(slot, dispatcher.ResultRan)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

func TestFullBackendServerIsRetriedSoon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newOwner(backend("a", 1, 4))
		d.Release(mustAcquire(t, d, "x"), dispatcher.ResultBusy)
		began := time.Now()
		slot, refusal := d.Acquire(t.Context(), service, "x", time.Minute)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if pause := time.Since(began); pause > 100*time.Millisecond {
			t.Errorf("a backend server that reported to be full got no request for %s", pause)
		}
		d.Release(slot, dispatcher.ResultUnreachable)
		began = time.Now()
		if _, refusal := d.Acquire(t.Context(), service, "x", time.Minute); refusal != nil {
			t.Fatal(refusal)
		}
		if pause := time.Since(began); pause < 500*time.Millisecond {
			t.Errorf("an unreachable backend server got a request after %s", pause)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := dispatcher.New()
		limited := func(string) modeler.PolicySpec {
			spec := modeler.DefaultPolicy()
			spec.QueueLimit = 2
			return spec
		}
		d.SetOwned([]viewer.Backend{backend("a", 1, 1)}, limited)
		d.SetRunning("a", 1, dispatcher.Running{Foreign: 0})
		slot := mustAcquire(t, d, "x")
		for range 2 {
			go func() { _, _ = d.Acquire(t.Context(), service, "x", time.Second) }()
		}
		synctest.Wait()
		began := time.Now()
		_, refusal := d.Acquire(t.Context(), service, "x", time.Second)
		if refusal == nil || refusal.Code != modeler.CodeOverloaded || time.Since(began) > 0 {
			t.Errorf("got %v after %s, want %s at once", refusal, time.Since(began), modeler.CodeOverloaded)
		}
		time.Sleep(2 * time.Second)
		d.Release(slot, dispatcher.ResultRan)
		if d.InFlight() != 0 {
			t.Errorf("%d requests are left after all waits timed out, want 0", d.InFlight())
		}
	})
}

func TestSlotOfALostAnswerIsHeldUntilTheRequestEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newOwner(backend("a", 1, 1))
		isFree := func() bool {
			slot, refusal := d.Acquire(t.Context(), service, "x", time.Millisecond)
			if refusal == nil {
				d.Release(slot, dispatcher.ResultUnused)
			}
			return refusal == nil
		}
		d.ReleaseUnresolved(mustAcquire(t, d, "x"), "r1")
		if isFree() {
			t.Fatal("the slot is free although the request may still run")
		}
		// The backend server reports for five minutes that it still runs the request.
		for range 5 {
			time.Sleep(time.Minute)
			d.SetRunning("a", 1, dispatcher.Running{Own: []string{"r1"}})
		}
		if isFree() || len(d.BackendsToProbe()) != 1 {
			t.Fatal("the slot is free while the request runs")
		}
		d.SetRunning("a", 1, dispatcher.Running{})
		if isFree() {
			t.Fatal("the slot is free at the first report that the request does not run")
		}
		time.Sleep(2 * time.Second)
		d.SetRunning("a", 1, dispatcher.Running{})
		if !isFree() {
			t.Error("the slot is not free although the request has ended")
		}
	})
}
