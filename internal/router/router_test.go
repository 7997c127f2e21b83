package router_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/router"
	"github.com/samphirewick/samphirewick/internal/sender"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

// fakeTransport replaces the connections to backend servers and entries, and
// counts the requests sent.
type fakeTransport struct {
	// sends and forwards hold the results of successive attempts; the last one
	// is repeated.
	sends    []error
	forwards []error
	// forwarded is the answer of another entry when the result in forwards is nil.
	forwarded messenger.ForwardAnswer
	sent      int
}

func (f *fakeTransport) send(context.Context, viewer.Backend, messenger.ForwardCall) (sender.Answer, error) {
	f.sent++
	return sender.Answer{Status: 200}, next(&f.sends)
}

func (f *fakeTransport) forward(_ context.Context, _ modeler.Entry, call messenger.ForwardCall) (messenger.ForwardAnswer, error) {
	f.sent++
	answer := f.forwarded
	if answer.ID == "" {
		answer.ID = call.ID
	}
	return answer, next(&f.forwards)
}

func next(results *[]error) error {
	if len(*results) == 0 {
		return nil
	}
	first := (*results)[0]
	if len(*results) > 1 {
		*results = (*results)[1:]
	}
	return first
}

// routeOne routes one request on an entry that owns the backend server itself,
// or on one that has to forward it to the owner.
func routeOne(t *testing.T, f *fakeTransport, owns, repeatable bool) filterer.Answer {
	t.Helper()
	var answer filterer.Answer
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		owner := "other"
		if owns {
			owner = "self"
		}
		view := viewer.View{Revision: 1, Full: true, Entries: []modeler.Entry{{ID: "self"}, {ID: "other", Address: "o"}}}
		view.Backends = []viewer.Backend{{
			ID: "w0", Service: service, Slots: 4, Connections: 64, Owner: owner, OwnerEpoch: 1, Serving: true,
		}}
		d := dispatcher.New()
		watched := false
		tr := tracker.New(tracker.Options{
			Entry: modeler.Entry{ID: "self"},
			Watch: func(ctx context.Context, _ messenger.WatchCall) (messenger.WatchAnswer, error) {
				if watched {
					<-ctx.Done()
					return messenger.WatchAnswer{}, ctx.Err()
				}
				watched = true
				return messenger.WatchAnswer{Cell: "cell", Lease: time.Hour, View: view}, nil
			},
			Loads: d.Loads,
			OnChange: func(table tracker.Table) {
				d.SetOwned(table.Owned(), table.Policy)
				d.SetRunning("w0", 1, dispatcher.Running{Foreign: 0})
			},
			NewID: func() string { return "self" },
			Log:   zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- tr.Run(ctx) }()
		synctest.Wait()
		answer = router.New(tr, d, f.send, f.forward).Route(ctx, filterer.Request{
			ID: "r1", Service: service, Department: "kowhai", Class: "c", Repeatable: repeatable,
			Policy: modeler.DefaultPolicy(),
		})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
	return answer
}

func TestOutcomeAndAttemptsByFailure(t *testing.T) {
	t.Parallel()
	lost, notSent, busy := sender.ErrLost, sender.ErrNotSent, sender.ErrBusy
	broken, neverConnected := transporter.ErrOutcomeUnknown, transporter.ErrNotSent
	full := modeler.Refuse(modeler.CodeOverloaded, "", "full")
	ran := messenger.ForwardAnswer{Outcome: modeler.OutcomeRan, Status: 200}
	otherAnswer := messenger.ForwardAnswer{ID: "r2", Outcome: modeler.OutcomeRan, Status: 200}
	tests := map[string]struct {
		transport   fakeTransport
		owns        bool
		repeatable  bool
		wantOutcome modeler.Outcome
		wantSent    int
	}{
		"ran":                   {fakeTransport{}, true, false, modeler.OutcomeRan, 1},
		"the answer was lost":   {fakeTransport{sends: []error{lost}}, true, false, modeler.OutcomeUnknown, 1},
		"lost, but repeatable":  {fakeTransport{sends: []error{lost, nil}}, true, true, modeler.OutcomeRan, 2},
		"busy, then ran":        {fakeTransport{sends: []error{busy, nil}}, true, false, modeler.OutcomeRan, 2},
		"busy, then lost":       {fakeTransport{sends: []error{busy, lost}}, true, false, modeler.OutcomeUnknown, 2},
		"always unreachable":    {fakeTransport{sends: []error{notSent}}, true, false, modeler.OutcomeNotRun, 4},
		"lost on every attempt": {fakeTransport{sends: []error{lost}}, true, true, modeler.OutcomeUnknown, 4},
		"lost, then unreachable": {
			fakeTransport{sends: []error{lost, notSent}}, true, true, modeler.OutcomeUnknown, 4,
		},
		"lost, then busy": {fakeTransport{sends: []error{lost, busy}}, true, true, modeler.OutcomeUnknown, 4},
		"unreachable, then lost, then unreachable": {
			fakeTransport{sends: []error{notSent, lost, notSent}}, true, true, modeler.OutcomeUnknown, 4,
		},
		"lost, then unreachable, then ran": {
			fakeTransport{sends: []error{lost, notSent, nil}}, true, true, modeler.OutcomeRan, 3,
		},
		"forwarded, connection broke, then never connected": {
			fakeTransport{forwards: []error{broken, neverConnected}}, false, true, modeler.OutcomeUnknown, 4,
		},
		"forwarded, connection broke, then refused as full": {
			fakeTransport{forwards: []error{broken, full}}, false, true, modeler.OutcomeUnknown, 4,
		},
		"forwarded, ran":              {fakeTransport{forwarded: ran}, false, false, modeler.OutcomeRan, 1},
		"forwarded, connection broke": {fakeTransport{forwards: []error{broken}}, false, false, modeler.OutcomeUnknown, 1},
		"forwarded, never connected":  {fakeTransport{forwards: []error{neverConnected}}, false, false, modeler.OutcomeNotRun, 4},
		"forwarded, refused as full":  {fakeTransport{forwards: []error{full}}, false, false, modeler.OutcomeNotRun, 4},
		"forwarded, wrong request id": {fakeTransport{forwarded: otherAnswer}, false, false, modeler.OutcomeUnknown, 1},
		"forwarded, unexpected error": {fakeTransport{forwards: []error{errors.New("other")}}, false, false, modeler.OutcomeUnknown, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := routeOne(t, &tt.transport, tt.owns, tt.repeatable)
			if got.Outcome != tt.wantOutcome || tt.transport.sent != tt.wantSent {
				t.Errorf("outcome %s after %d attempts (%v), want %s after %d",
					got.Outcome, tt.transport.sent, got.Refusal, tt.wantOutcome, tt.wantSent)
			}
		})
	}
}

// TestRetriesAreLimitedByBudget checks that retries do not multiply the load when
// every attempt fails: beyond the initial tokens, they are at most a tenth of the
// requests.
func TestRetriesAreLimitedByBudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{forwards: []error{fmt.Errorf("%w: down", transporter.ErrNotSent)}}
		const requests = 400
		ctx, cancel := context.WithCancel(t.Context())
		view := viewer.View{Revision: 1, Full: true, Entries: []modeler.Entry{{ID: "other", Address: "o"}}}
		view.Backends = []viewer.Backend{{ID: "w0", Service: service, Slots: 4, Owner: "other", Serving: true}}
		d := dispatcher.New()
		tr := tracker.New(tracker.Options{
			Entry: modeler.Entry{ID: "self"},
			Watch: func(ctx context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error) {
				if call.Since > 0 {
					<-ctx.Done()
				}
				return messenger.WatchAnswer{Cell: "cell", Lease: time.Hour, View: view}, ctx.Err()
			},
			Loads: d.Loads, OnChange: func(tracker.Table) {}, NewID: func() string { return "self" }, Log: zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- tr.Run(ctx) }()
		synctest.Wait()
		r := router.New(tr, d, f.send, f.forward)
		for range requests {
			r.Route(ctx, filterer.Request{
				ID: "r", Service: service, Department: "kowhai", Repeatable: true, Policy: modeler.DefaultPolicy(),
			})
		}
		const initialTokens, share = 3, 10
		if limit := requests + initialTokens + requests/share; f.sent > limit {
			t.Errorf("%d attempts for %d requests, want at most %d", f.sent, requests, limit)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
