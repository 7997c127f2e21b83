// Package receiver is the HTTP API of an entry for callers, backend servers and
// operators. docs/API.md describes it.
package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Options configures the HTTP API. No function is nil.
type Options struct {
	Authenticator *authenticator.Authenticator
	// Serve runs a request through the filter chain.
	Serve filterer.Handler
	// Call calls control.
	Call func(ctx context.Context, method string, params, result any) error
	// Renew sends one renewal to control and waits for the answer.
	Renew func(context.Context, messenger.Renewal) (messenger.RenewalAnswer, error)
	// BodyLimit is the maximum size of a request body, in bytes.
	BodyLimit int64
	// MaxRequests is the maximum number of requests served concurrently.
	MaxRequests int
}

// callTimeout bounds one call to control on behalf of a caller.
const callTimeout = 10 * time.Second

// receiver handles HTTP requests.
type receiver struct {
	options Options
	slots   chan struct{}
}

// endpoint is one method and path of the API, and the role that it requires. An
// empty method matches every method.
type endpoint struct {
	method  string
	path    string
	role    authenticator.Role
	handler func(echo.Context, authenticator.Caller) error
}

// New returns the HTTP handler of an entry.
func New(options Options) http.Handler {
	r := &receiver{options: options, slots: make(chan struct{}, options.MaxRequests)}
	server := echo.New()
	server.HTTPErrorHandler = writeError
	server.Use(middleware.Recover(), r.limitRequests, r.limitBody)
	for _, e := range r.endpoints() {
		if e.method == "" {
			server.Any(e.path, r.authenticated(e))
			continue
		}
		server.Add(e.method, e.path, r.authenticated(e))
	}
	return server
}

// endpoints lists the endpoints of the API.
func (r *receiver) endpoints() []endpoint {
	const (
		department = authenticator.RoleDepartment
		backend    = authenticator.RoleBackend
		operator   = authenticator.RoleOperator
	)
	return []endpoint{
		{"", "/v1/services/:service", department, r.serveRequest},
		{"", "/v1/services/:service/*", department, r.serveRequest},

		{http.MethodPost, "/v1/jobs", department, r.submitJob},
		{http.MethodGet, "/v1/jobs", department, r.listJobs},
		{http.MethodGet, "/v1/jobs/:id", department, r.getJob},
		{http.MethodPost, "/v1/cancellations", department, r.cancelJobs},

		{http.MethodPost, "/v1/backend-servers", backend, r.announce},
		{http.MethodPost, "/v1/renewals", backend, r.renew},
		{http.MethodPost, "/v1/departures", backend, r.leaveWorker},

		{http.MethodPost, "/v1/configuration", operator, r.apply},
		{http.MethodGet, "/v1/configuration", operator, r.getDocuments},
		{http.MethodPost, "/v1/drains", operator, r.drain},
		{http.MethodGet, "/v1/audit", operator, r.audit},
		{http.MethodGet, "/v1/interference", operator, r.interference},
		{http.MethodGet, "/v1/status", operator, r.status},
		{http.MethodGet, "/v1/departments", operator, r.departments},
		{http.MethodGet, "/v1/snapshot", operator, r.snapshot},
		{http.MethodGet, "/v1/members", operator, r.members},
		{http.MethodPost, "/v1/members", operator, r.addMember},
		{http.MethodDelete, "/v1/members/:id", operator, r.removeMember},
	}
}

// limitRequests refuses requests above the maximum number of concurrent requests.
func (r *receiver) limitRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case r.slots <- struct{}{}:
			defer func() { <-r.slots }()
			return next(c)
		default:
			return modeler.Refuse(modeler.CodeOverloaded, "", "this entry serves %d requests", r.options.MaxRequests)
		}
	}
}

// limitBody refuses bodies above BodyLimit, also those without a declared length.
func (r *receiver) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		if request.ContentLength > r.options.BodyLimit {
			return tooLarge(r.options.BodyLimit)
		}
		request.Body = http.MaxBytesReader(c.Response(), request.Body, r.options.BodyLimit)
		return next(c)
	}
}

func tooLarge(limit int64) *modeler.RefusalError {
	return modeler.Refuse(modeler.CodeTooLarge, "body", "is longer than %d bytes", limit)
}

// authenticated wraps the endpoint's handler with authentication and a check of the role.
func (r *receiver) authenticated(e endpoint) echo.HandlerFunc {
	return func(c echo.Context) error {
		caller, refusal := r.options.Authenticator.Identify(c.Request())
		if refusal != nil {
			return refusal
		}
		if !caller.May(e.role) {
			return modeler.Refuse(modeler.CodeForbidden, "", "%q may not do this", caller.Name)
		}
		return e.handler(c, caller)
	}
}

// httpStatuses maps refusal codes to HTTP statuses.
var httpStatuses = map[modeler.RefusalCode]int{
	modeler.CodeInvalid:         http.StatusBadRequest,
	modeler.CodeUnsupported:     http.StatusBadRequest,
	modeler.CodeConflict:        http.StatusConflict,
	modeler.CodeDuplicate:       http.StatusConflict,
	modeler.CodeNotFound:        http.StatusNotFound,
	modeler.CodeNoBackend:       http.StatusServiceUnavailable,
	modeler.CodeGrantExceeded:   http.StatusConflict,
	modeler.CodeStale:           http.StatusGone,
	modeler.CodeUnavailable:     http.StatusServiceUnavailable,
	modeler.CodeNotLeader:       http.StatusServiceUnavailable,
	modeler.CodeUnknownOutcome:  http.StatusGatewayTimeout,
	modeler.CodeOverloaded:      http.StatusTooManyRequests,
	modeler.CodeUnauthenticated: http.StatusUnauthorized,
	modeler.CodeForbidden:       http.StatusForbidden,
	modeler.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	modeler.CodeExhausted:       http.StatusServiceUnavailable,
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    modeler.RefusalCode `json:"code"`
	Field   string              `json:"field,omitempty"`
	Reason  string              `json:"reason"`
	Outcome modeler.Outcome     `json:"outcome"`
}

// outcomeOf returns the outcome of a call that was answered with the refusal.
func outcomeOf(refusal *modeler.RefusalError) modeler.Outcome {
	if refusal.Code == modeler.CodeUnknownOutcome {
		return modeler.OutcomeUnknown
	}
	return modeler.OutcomeNotRun
}

func writeError(err error, c echo.Context) {
	var refusal *modeler.RefusalError
	var routing *echo.HTTPError
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &routing) && routing.Code == http.StatusNotFound:
		refusal = modeler.Refuse(modeler.CodeNotFound, "path", "is not known")
	case errors.As(err, &routing):
		refusal = modeler.Refuse(modeler.CodeInvalid, "method", "is not allowed here")
	default:
		refusal = modeler.Refuse(modeler.CodeUnavailable, "", "%v", err)
	}
	writeRefusal(c, refusal, outcomeOf(refusal))
}

// Refuse answers a request that did not run, before its body was read.
func Refuse(w http.ResponseWriter, _ *http.Request, status int, reason string) {
	code := modeler.CodeTooLarge
	if status == http.StatusTooManyRequests {
		code = modeler.CodeOverloaded
	}
	w.Header().Set(HeaderOutcome, string(modeler.OutcomeNotRun))
	w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusalBody{code, "body", reason, modeler.OutcomeNotRun})
}

func writeRefusal(c echo.Context, refusal *modeler.RefusalError, outcome modeler.Outcome) {
	if c.Response().Committed {
		return
	}
	status, ok := httpStatuses[refusal.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	header := c.Response().Header()
	header.Set(HeaderOutcome, string(outcome))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set(echo.HeaderRetryAfter, retryAfterSeconds)
	}
	_ = c.JSON(status, refusalBody{refusal.Code, refusal.Field, refusal.Reason, outcome})
}
