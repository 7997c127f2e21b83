// Package filterer is the way of a request through an entry: a chain of
// filters, of which each may answer, or hand on and see the answer.
package filterer

import (
	"context"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Request is a caller's request. It is immutable.
type Request struct {
	// ID is drawn by the entry; a backend server echoes it.
	ID         string
	Service    string
	Department string
	Method     string
	// Path is what follows the service, with the query.
	Path    string
	Headers []messenger.ForwardHeader
	Body    []byte
	// Repeatable requests may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key; never empty unless Repeatable.
	Key string
	// Class groups requests that run about equally long.
	Class string
	// Policy is the policy in force for the service.
	Policy modeler.PolicySpec
}

// WithPolicy returns a copy of r under the policy.
func (r Request) WithPolicy(policy modeler.PolicySpec) Request {
	r.Policy = policy
	return r
}

// Answer is what becomes of a request. It is immutable.
type Answer struct {
	Outcome modeler.Outcome
	// Refusal is set unless the request ran.
	Refusal *modeler.RefusalError
	Status  int
	Headers []messenger.ForwardHeader
	Body    []byte
	// Backend is the backend server that ran the request.
	Backend string
}

// NotRun answers a request that surely was not run.
func NotRun(refusal *modeler.RefusalError) Answer {
	return Answer{Outcome: modeler.OutcomeNotRun, Refusal: refusal}
}

// Unknown answers a request that may have been run.
func Unknown(refusal *modeler.RefusalError) Answer {
	return Answer{Outcome: modeler.OutcomeUnknown, Refusal: refusal}
}

// Handler serves a request: the rest of the chain, or the whole of it.
type Handler func(ctx context.Context, r Request) Answer

// Filter is one step on the way of a request.
type Filter struct {
	Name  string
	Serve func(ctx context.Context, r Request, next Handler) Answer
}

// Dependencies holds the functions of the entry that the filters call. None is nil.
type Dependencies struct {
	// Leased reports whether the entry may act now.
	Leased func() bool
	// Policy returns the policy in force, and whether the service is known.
	Policy func(service string) (modeler.PolicySpec, bool)
	// Record commits a request that is not repeatable, and Settle its outcome.
	Record func(ctx context.Context, r modeler.RequestRecord) (messenger.RecordAnswer, error)
	Settle func(ctx context.Context, r modeler.RequestRecord) error
	// Route sends the request.
	Route Handler
}

// Filters lists the way of a request, first to last.
func Filters(s Dependencies) []Filter {
	return []Filter{
		{"lease", leaseFilter(s)},
		{"policy", policyFilter(s)},
		{"department", newDepartments().serve},
		{"record", recorder{s}.serve},
		{"route", func(ctx context.Context, r Request, _ Handler) Answer { return s.Route(ctx, r) }},
	}
}

// Chain joins the filters into one.
func Chain(filters []Filter) Handler {
	next := Handler(func(context.Context, Request) Answer {
		return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "no filter answered"))
	})
	for i := len(filters) - 1; i >= 0; i-- {
		after, filter := next, filters[i]
		next = func(ctx context.Context, r Request) Answer { return filter.Serve(ctx, r, after) }
	}
	return next
}

// leaseFilter refuses while the entry is cut off from control: what it has in
// force may be old.
func leaseFilter(s Dependencies) func(context.Context, Request, Handler) Answer {
	return func(ctx context.Context, r Request, next Handler) Answer {
		if !s.Leased() {
			return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "this entry is cut off from control"))
		}
		return next(ctx, r)
	}
}

func policyFilter(s Dependencies) func(context.Context, Request, Handler) Answer {
	return func(ctx context.Context, r Request, next Handler) Answer {
		policy, ok := s.Policy(r.Service)
		if !ok {
			return NotRun(modeler.Refuse(modeler.CodeNoBackend, "service", "%q has no backend server", r.Service))
		}
		return next(ctx, r.WithPolicy(policy))
	}
}
