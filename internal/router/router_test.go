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

// line is what a router sent, and what came of it.
type line struct {
	// sends and forwards are the results of one try after another; the last one stays.
	sends    []error
	forwards []error
	// forwarded answers where forwards has nil.
	forwarded messenger.ForwardAnswer
	sent      int
}

func (l *line) send(context.Context, viewer.Backend, messenger.ForwardCall) (sender.Answer, error) {
	l.sent++
	return sender.Answer{Status: 200}, next(&l.sends)
}

func (l *line) forward(_ context.Context, _ modeler.Entry, call messenger.ForwardCall) (messenger.ForwardAnswer, error) {
	l.sent++
	answer := l.forwarded
	if answer.ID == "" {
		answer.ID = call.ID
	}
	return answer, next(&l.forwards)
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

// route routes one request through an entry that owns a backend server, or
// through one that only knows an entry which does.
func route(t *testing.T, l *line, owns, repeatable bool) filterer.Answer {
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
			Changed: func(table tracker.Table) {
				d.SetOwned(table.Owned(), table.Policy)
				d.SetRunning("w0", 1, dispatcher.Running{Foreign: 0})
			},
			NewID: func() string { return "self" },
			Log:   zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- tr.Run(ctx) }()
		synctest.Wait()
		answer = router.New(tr, d, l.send, l.forward).Route(ctx, filterer.Request{
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

func TestOutcomeIsWhatIsKnown(t *testing.T) {
	t.Parallel()
	lost, notSent, busy := sender.ErrLost, sender.ErrNotSent, sender.ErrBusy
	broken, never := transporter.ErrOutcomeUnknown, transporter.ErrNotSent
	full := modeler.Refuse(modeler.CodeOverloaded, "", "full")
	ran := messenger.ForwardAnswer{Outcome: modeler.OutcomeRan, Status: 200}
	crossed := messenger.ForwardAnswer{ID: "r2", Outcome: modeler.OutcomeRan, Status: 200}
	tests := map[string]struct {
		line        line
		owns        bool
		repeatable  bool
		wantOutcome modeler.Outcome
		wantSent    int
	}{
		"ran":                        {line{}, true, false, modeler.OutcomeRan, 1},
		"the answer was lost":        {line{sends: []error{lost}}, true, false, modeler.OutcomeUnknown, 1},
		"lost, and may be repeated":  {line{sends: []error{lost, nil}}, true, true, modeler.OutcomeRan, 2},
		"busy, then ran":             {line{sends: []error{busy, nil}}, true, false, modeler.OutcomeRan, 2},
		"busy, then lost":            {line{sends: []error{busy, lost}}, true, false, modeler.OutcomeUnknown, 2},
		"never reached":              {line{sends: []error{notSent}}, true, false, modeler.OutcomeNotRun, 4},
		"lost again and again":       {line{sends: []error{lost}}, true, true, modeler.OutcomeUnknown, 4},
		"forwarded, ran":             {line{forwarded: ran}, false, false, modeler.OutcomeRan, 1},
		"forwarded, the link broke":  {line{forwards: []error{broken}}, false, false, modeler.OutcomeUnknown, 1},
		"forwarded, never connected": {line{forwards: []error{never}}, false, false, modeler.OutcomeNotRun, 4},
		"forwarded, refused as full": {line{forwards: []error{full}}, false, false, modeler.OutcomeNotRun, 4},
		"forwarded, another answer":  {line{forwarded: crossed}, false, false, modeler.OutcomeUnknown, 1},
		"forwarded, an odd refusal":  {line{forwards: []error{errors.New("odd")}}, false, false, modeler.OutcomeUnknown, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := route(t, &tt.line, tt.owns, tt.repeatable)
			if got.Outcome != tt.wantOutcome || tt.line.sent != tt.wantSent {
				t.Errorf("%s after %d tries (%v), want %s after %d",
					got.Outcome, tt.line.sent, got.Refusal, tt.wantOutcome, tt.wantSent)
			}
		})
	}
}

// A retry storm may not outgrow the work: beyond what a caller has saved up,
// retries are a tenth of its requests.
func TestRetriesDrawOnABudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := &line{forwards: []error{fmt.Errorf("%w: down", transporter.ErrNotSent)}}
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
			Loads: d.Loads, Changed: func(tracker.Table) {}, NewID: func() string { return "self" }, Log: zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- tr.Run(ctx) }()
		synctest.Wait()
		r := router.New(tr, d, l.send, l.forward)
		for range requests {
			r.Route(ctx, filterer.Request{
				ID: "r", Service: service, Department: "kowhai", Repeatable: true, Policy: modeler.DefaultPolicy(),
			})
		}
		const savedUp, share = 3, 10
		if limit := requests + savedUp + requests/share; l.sent > limit {
			t.Errorf("%d tries for %d requests, want at most %d", l.sent, requests, limit)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
