// Package filterer runs requests through an entry's chain of filters. Each filter
// either answers a request itself, or calls the next one and may act on its answer.
package filterer

import (
	"context"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Request is a caller's request. It is immutable.
type Request struct {
	// ID is a random id that the entry assigns; the backend server echoes it.
	ID         string
	Service    string
	Department string
	Method     string
	// Path is the part of the URL path after the service, with the query.
	Path    string
	Headers []messenger.ForwardHeader
	Body    []byte
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key. It is empty only if the request is Repeatable.
	Key string
	// Class groups requests with similar run times.
	Class string
	// Policy is the policy in force for the service.
	Policy modeler.PolicySpec
}

// WithPolicy returns a copy of r with the policy.
func (r Request) WithPolicy(policy modeler.PolicySpec) Request {
	r.Policy = policy
	return r
}

// Answer is the result of a request. It is immutable.
type Answer struct {
	Outcome modeler.Outcome
	// Refusal is nil only if the request ran and its answer is here.
	Refusal *modeler.RefusalError
	Status  int
	Headers []messenger.ForwardHeader
	Body    []byte
	// Backend is the backend server that ran the request.
	Backend string
	// KeyChecked is true if control has answered for the request's idempotency key,
	// so that the outcome covers every earlier request with that key too.
	KeyChecked bool
}

// NotRun returns the answer to a request that was certainly not run.
func NotRun(refusal *modeler.RefusalError) Answer {
	return Answer{Outcome: modeler.OutcomeNotRun, Refusal: refusal}
}

// Unknown returns the answer to a request that may have been run.
func Unknown(refusal *modeler.RefusalError) Answer {
	return Answer{Outcome: modeler.OutcomeUnknown, Refusal: refusal}
}

// Handler serves a request. It is a whole chain of filters, or the rest of one.
type Handler func(ctx context.Context, r Request) Answer

// Filter is one step of the chain. Serve answers the request itself or calls next.
type Filter struct {
	Name  string
	Serve func(ctx context.Context, r Request, next Handler) Answer
}

// Dependencies holds the functions of the entry that the filters call. None is nil.
type Dependencies struct {
	// Leased reports whether the entry holds its lease, without which it may not serve requests.
	Leased func() bool
	// Policy returns the service's policy in force, and whether the service is known.
	Policy func(service string) (modeler.PolicySpec, bool)
	// Record commits a request that is not repeatable; Settle commits its outcome.
	Record func(ctx context.Context, r modeler.RequestRecord) (messenger.RecordAnswer, error)
	Settle func(ctx context.Context, r modeler.RequestRecord) error
	// Route sends the request to a backend server.
	Route Handler
}

// Filters returns the filters in the order in which a request passes them.
func Filters(d Dependencies) []Filter {
	return []Filter{
		{"key", keyFilter},
		{"lease", leaseFilter(d)},
		{"policy", policyFilter(d)},
		{"department", newDepartments().serve},
		{"record", recorder{d}.serve},
		{"route", func(ctx context.Context, r Request, _ Handler) Answer { return d.Route(ctx, r) }},
	}
}

// Chain combines the filters into one handler.
func Chain(filters []Filter) Handler {
	next := Handler(func(context.Context, Request) Answer {
		return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "no filter answered"))
	})
	for i := len(filters) - 1; i >= 0; i-- {
		following, filter := next, filters[i]
		next = func(ctx context.Context, r Request) Answer { return filter.Serve(ctx, r, following) }
	}
	return next
}

// keyFilter weakens the outcome notRun of a request that is not repeatable, unless
// its idempotency key was checked: the request may be sent again after its first
// answer was lost, and the first one may have run. The code and the reason of the
// refusal stay, so that the caller knows when to send it again.
func keyFilter(ctx context.Context, r Request, next Handler) Answer {
	answer := next(ctx, r)
	if !r.Repeatable && !answer.KeyChecked && answer.Outcome == modeler.OutcomeNotRun {
		answer.Outcome = modeler.OutcomeUnknown
	}
	return answer
}

// leaseFilter refuses requests while the entry holds no lease from control,
// because its configuration may then be outdated.
func leaseFilter(d Dependencies) func(context.Context, Request, Handler) Answer {
	return func(ctx context.Context, r Request, next Handler) Answer {
		if !d.Leased() {
			return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "this entry is cut off from control"))
		}
		return next(ctx, r)
	}
}

// policyFilter adds the policy in force to the request, and refuses requests to unknown services.
func policyFilter(d Dependencies) func(context.Context, Request, Handler) Answer {
	return func(ctx context.Context, r Request, next Handler) Answer {
		policy, ok := d.Policy(r.Service)
		if !ok {
			return NotRun(modeler.Refuse(modeler.CodeNoBackend, "service", "%q has no backend server", r.Service))
		}
		return next(ctx, r.WithPolicy(policy))
	}
}
