package receiver

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/limiter"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// The headers between callers and an entry.
const (
	// HeaderOutcome holds the outcome of the call (ran, notRun or unknown). Every answer has it.
	HeaderOutcome = "Samphirewick-Outcome"
	// HeaderRepeatable with the value no marks a request that must run at most once.
	HeaderRepeatable = "Samphirewick-Repeatable"
	// HeaderKey holds the idempotency key, which a request that is not repeatable requires.
	HeaderKey = "Idempotency-Key"
	// HeaderClass names the class of a request: requests of a class have similar run times.
	HeaderClass = "Samphirewick-Class"
	// HeaderBackend names the backend server that ran the request.
	HeaderBackend = "Samphirewick-Backend-Server"
)

// retryAfterSeconds is the value of Retry-After, after which a refused caller may retry.
const retryAfterSeconds = "1"

// notForwarded holds the headers that apply to a single connection or to the
// entry itself, and so aren't forwarded.
var notForwarded = map[string]struct{}{
	"Connection": {}, "Keep-Alive": {}, "Proxy-Authenticate": {}, "Proxy-Authorization": {},
	"Te": {}, "Trailer": {}, "Transfer-Encoding": {}, "Upgrade": {}, "Content-Length": {},
	"Authorization": {}, "Idempotency-Key": {}, "X-Idempotency-Key": {}, "Host": {}, "Expect": {},
}

func isForwarded(name string) bool {
	_, excluded := notForwarded[http.CanonicalHeaderKey(name)]
	return !excluded && !strings.HasPrefix(http.CanonicalHeaderKey(name), "Samphirewick-")
}

func (r *receiver) serveRequest(c echo.Context, caller authenticator.Caller) error {
	request, refusal := r.readRequest(c, caller)
	if refusal != nil {
		return refusal
	}
	answer := r.options.Serve(c.Request().Context(), request)
	if answer.Outcome != modeler.OutcomeRan || answer.Refusal != nil {
		writeRefusal(c, answer.Refusal, answer.Outcome)
		return nil
	}
	header := c.Response().Header()
	for _, h := range answer.Headers {
		if isForwarded(h.Name) {
			header.Add(h.Name, h.Value)
		}
	}
	header.Set(HeaderOutcome, string(answer.Outcome))
	header.Set(HeaderBackend, answer.Backend)
	c.Response().WriteHeader(answer.Status)
	_, err := c.Response().Write(answer.Body)
	return err
}

func (r *receiver) readRequest(c echo.Context, caller authenticator.Caller) (filterer.Request, *modeler.RefusalError) {
	incoming := c.Request()
	service := c.Param("service")
	if refusal := modeler.CheckName("service", service); refusal != nil {
		return filterer.Request{}, refusal
	}
	body, refusal := r.readBody(c)
	if refusal != nil {
		return filterer.Request{}, refusal
	}
	request := filterer.Request{
		ID:         uuid.NewString(),
		Service:    service,
		Department: caller.Department,
		Method:     incoming.Method,
		Path:       "/" + strings.TrimPrefix(c.Param("*"), "/"),
		Body:       body,
		Repeatable: true,
		Key:        incoming.Header.Get(HeaderKey),
	}
	if incoming.URL.RawQuery != "" {
		request.Path += "?" + incoming.URL.RawQuery
	}
	if request.Class = incoming.Header.Get(HeaderClass); request.Class == "" {
		request.Class = incoming.Method + " " + firstSegment(c.Param("*"))
	}
	for name, values := range incoming.Header {
		for _, value := range values {
			if isForwarded(name) {
				request.Headers = append(request.Headers, messenger.ForwardHeader{Name: name, Value: value})
			}
		}
	}
	return withRepeatable(request, incoming.Header.Get(HeaderRepeatable))
}

// withRepeatable applies the value of HeaderRepeatable to the request. It refuses
// a request that is not repeatable and has no valid idempotency key.
func withRepeatable(request filterer.Request, value string) (filterer.Request, *modeler.RefusalError) {
	switch value {
	case "", "yes":
		return request, nil
	case "no":
		request.Repeatable = false
	default:
		return request, modeler.Refuse(modeler.CodeInvalid, HeaderRepeatable, "%q is neither yes nor no", value)
	}
	if request.Key == "" {
		return request, modeler.Refuse(modeler.CodeInvalid, HeaderKey, "missing for a request that is not repeatable")
	}
	_, refusal := reducer.IdempotencyKeyTime(request.Key)
	return request, refusal
}

func firstSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}

func (r *receiver) readBody(c echo.Context) ([]byte, *modeler.RefusalError) {
	body, err := io.ReadAll(c.Request().Body)
	var sizeErr *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &sizeErr):
		return nil, tooLarge(r.options.BodyLimit)
	case errors.Is(err, limiter.ErrNoMemory):
		return nil, modeler.Refuse(modeler.CodeOverloaded, "body", "%v", err)
	default:
		return nil, modeler.Refuse(modeler.CodeInvalid, "body", "did not arrive whole")
	}
}
