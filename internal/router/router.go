// Package router sends a request to a backend server, either on a slot of this
// entry or through another entry with more free slots. It reports the outcome
// notRun only if no attempt can have run the request: each was either not sent, or
// refused by its receiver before running it.
package router

import (
	"context"
	"errors"
	"time"

	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/sender"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const (
	// maxAttempts limits the attempts of one request, regardless of the retry budget.
	maxAttempts = 4
	// forwardMargin is added to the wait and run time limits of the owning entry
	// to get the time-out of a forwarded request.
	forwardMargin = time.Second
)

// Router routes requests. Its methods are safe for concurrent use.
type Router struct {
	tracker    *tracker.Tracker
	dispatcher *dispatcher.Dispatcher
	budget     *budget
	// send sends a request to a backend server. Never nil.
	send func(context.Context, viewer.Backend, messenger.ForwardCall) (sender.Answer, error)
	// forward sends a request to another entry. Never nil.
	forward func(context.Context, modeler.Entry, messenger.ForwardCall) (messenger.ForwardAnswer, error)
}

// New returns a router. The functions send and forward must not be nil.
func New(
	t *tracker.Tracker, d *dispatcher.Dispatcher,
	send func(context.Context, viewer.Backend, messenger.ForwardCall) (sender.Answer, error),
	forward func(context.Context, modeler.Entry, messenger.ForwardCall) (messenger.ForwardAnswer, error),
) *Router {
	return &Router{tracker: t, dispatcher: d, budget: newBudget(), send: send, forward: forward}
}

// Route attempts the request until it has run or must not be retried: a request
// that may have run is retried only if it is repeatable, and every retry must be
// within the queue time and the retry budget.
func (r *Router) Route(ctx context.Context, request filterer.Request) filterer.Answer {
	millis := time.Millisecond
	deadline := time.Now().Add(time.Duration(request.Policy.QueueMillis) * millis)
	call := messenger.ForwardCall{
		ID:         request.ID,
		Service:    request.Service,
		Department: request.Department,
		Method:     request.Method,
		Path:       request.Path,
		Headers:    request.Headers,
		Body:       request.Body,
		Repeatable: request.Repeatable,
		Class:      request.Class,
		Run:        time.Duration(request.Policy.RequestMillis) * millis,
	}
	r.budget.deposit(request.Department, request.Service, request.Policy.RetryPercent)
	var answer messenger.ForwardAnswer
	mayHaveRun := false
	for try := range maxAttempts {
		call.Wait = time.Until(deadline)
		if try > 0 && (call.Wait <= 0 || !r.budget.withdraw(request.Department, request.Service)) {
			break
		}
		answer = r.attempt(ctx, call)
		mayHaveRun = mayHaveRun || answer.Outcome == modeler.OutcomeUnknown
		mayRepeat := request.Repeatable && answer.Outcome == modeler.OutcomeUnknown
		if ctx.Err() != nil || (!answer.CanRetry && !mayRepeat) {
			break
		}
	}
	if mayHaveRun && answer.Outcome == modeler.OutcomeNotRun {
		answer = unknown(call, modeler.Refuse(modeler.CodeUnknownOutcome, "",
			"an earlier attempt may have run; the last one did not: %s", answer.Refusal.Reason))
	}
	return filterer.Answer{
		Outcome: answer.Outcome,
		Refusal: answer.Refusal,
		Status:  answer.Status,
		Headers: answer.Headers,
		Body:    answer.Body,
		Backend: answer.Backend,
	}
}

// attempt makes one attempt, on a slot of this entry or through the less loaded of
// two other entries drawn at random. An entry that owns backend servers of the
// service prefers its own slots while it has more free slots than queued
// requests, or no less headroom than the other entry.
func (r *Router) attempt(ctx context.Context, call messenger.ForwardCall) messenger.ForwardAnswer {
	table := r.tracker.Table()
	own := r.dispatcher.Load(call.Service)
	owners := r.tracker.PickTwo(call.Service, table.Owners(call.Service))
	ownHeadroom := own.Free - own.Queued
	ownsAny := ownsService(table, call.Service)
	if len(owners) == 0 || (ownsAny && ownHeadroom > 0) {
		return r.Serve(ctx, call)
	}
	if ownsAny && ownHeadroom >= r.tracker.Headroom(owners[0].ID, call.Service) {
		return r.Serve(ctx, call)
	}
	return r.forwardTo(ctx, owners[0], call)
}

func ownsService(table tracker.Table, service string) bool {
	for _, b := range table.Backends {
		if b.Owner == table.Self && b.Service == service && b.Serving {
			return true
		}
	}
	return false
}

// forwardTo forwards the request to another entry. The outcome is unknown if the
// connection breaks after the request was sent.
func (r *Router) forwardTo(ctx context.Context, owner modeler.Entry, call messenger.ForwardCall) messenger.ForwardAnswer {
	r.tracker.CountForwarded(owner.ID, call.Service)
	bounded, cancel := context.WithTimeout(ctx, call.Wait+call.Run+forwardMargin)
	defer cancel()
	answer, err := r.forward(bounded, owner, call)
	var refusal *modeler.RefusalError
	switch {
	case err == nil && answer.ID != call.ID:
		return unknown(call, modeler.Refuse(modeler.CodeUnknownOutcome, "", "the entry answered another request"))
	case err == nil:
		r.tracker.SetLoad(owner.ID, answer.Load)
		return answer
	case errors.Is(err, transporter.ErrNotSent):
		return notRun(call, modeler.Refuse(modeler.CodeUnavailable, "", "entry %s was not reached", owner.ID))
	case errors.As(err, &refusal) && refusal.Code == modeler.CodeOverloaded:
		return notRun(call, refusal)
	default:
		return unknown(call, modeler.Refuse(modeler.CodeUnknownOutcome, "", "the link to entry %s broke", owner.ID))
	}
}

// Serve runs the request on a slot of this entry. The answer includes the load
// of the service on this entry.
func (r *Router) Serve(ctx context.Context, call messenger.ForwardCall) messenger.ForwardAnswer {
	answer := r.serveLocally(ctx, call)
	answer.ID = call.ID
	answer.Load = r.dispatcher.Load(call.Service)
	return answer
}

func (r *Router) serveLocally(ctx context.Context, call messenger.ForwardCall) messenger.ForwardAnswer {
	slot, refusal := r.dispatcher.Acquire(ctx, call.Service, call.Class, call.Wait)
	if refusal != nil {
		answer := notRun(call, refusal)
		answer.CanRetry = refusal.Code == modeler.CodeNoBackend
		return answer
	}
	if !r.tracker.Owns(slot.Backend.ID, slot.Backend.OwnerEpoch) {
		r.dispatcher.Release(slot, dispatcher.ResultUnused)
		return notRun(call, modeler.Refuse(modeler.CodeUnavailable, "", "this entry may no longer send to %s", slot.Backend.ID))
	}
	bounded, cancel := context.WithTimeout(ctx, call.Run)
	defer cancel()
	answer, err := r.send(bounded, slot.Backend, call)
	switch {
	case err == nil:
		r.dispatcher.Release(slot, dispatcher.ResultRan)
		return messenger.ForwardAnswer{
			Outcome: modeler.OutcomeRan,
			Status:  answer.Status,
			Headers: answer.Headers,
			Body:    answer.Body,
			Backend: slot.Backend.ID,
		}
	case errors.Is(err, sender.ErrBusy):
		r.dispatcher.Release(slot, dispatcher.ResultBusy)
		return notRun(call, modeler.Refuse(modeler.CodeOverloaded, "", "backend server %s is full", slot.Backend.ID))
	case errors.Is(err, sender.ErrNotSent):
		r.dispatcher.Release(slot, dispatcher.ResultUnreachable)
		return notRun(call, modeler.Refuse(modeler.CodeUnavailable, "", "backend server %s was not reached", slot.Backend.ID))
	default:
		r.dispatcher.ReleaseUnresolved(slot, call.ID)
		return unknown(call, modeler.Refuse(modeler.CodeUnknownOutcome, "", "backend server %s: %v", slot.Backend.ID, err))
	}
}

func notRun(call messenger.ForwardCall, refusal *modeler.RefusalError) messenger.ForwardAnswer {
	return messenger.ForwardAnswer{ID: call.ID, Outcome: modeler.OutcomeNotRun, Refusal: refusal, CanRetry: true}
}

func unknown(call messenger.ForwardCall, refusal *modeler.RefusalError) messenger.ForwardAnswer {
	return messenger.ForwardAnswer{ID: call.ID, Outcome: modeler.OutcomeUnknown, Refusal: refusal}
}
