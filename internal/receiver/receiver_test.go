package receiver_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/receiver"
)

// newInterface returns the HTTP API with a fake filter chain, and a fake control
// that refuses every call with the code, or accepts it if the code is empty.
func newInterface(a *authenticator.Authenticator, code modeler.RefusalCode) http.Handler {
	return receiver.New(receiver.Options{
		Authenticator: a,
		Serve: func(_ context.Context, r filterer.Request) filterer.Answer {
			return filterer.Answer{
				Outcome: modeler.OutcomeRan, Status: http.StatusTeapot, Body: r.Body, Backend: "w0",
				Headers: []messenger.ForwardHeader{
					{Name: "X-Path", Value: r.Path},
					{Name: "Connection", Value: "close"},
					{Name: "Samphirewick-Secret", Value: "inside"},
				},
			}
		},
		Call: func(_ context.Context, _ string, _, result any) error {
			if code != "" {
				return modeler.Refuse(code, "field", "because")
			}
			return json.Unmarshal([]byte(`{"department":"kowhai"}`), result)
		},
		Renew: func(context.Context, messenger.Renewal) (messenger.RenewalAnswer, error) {
			return messenger.RenewalAnswer{}, nil
		},
		BodyLimit: 64, MaxRequests: 4,
	})
}

func send(handler http.Handler, method, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestRequestAndAnswerPassThrough(t *testing.T) {
	t.Parallel()
	got := send(newInterface(authenticator.TrustAll(), ""), http.MethodPut, "/v1/services/desk/a/b?c=d", "hello", nil)
	header := got.Header()
	if got.Code != http.StatusTeapot || got.Body.String() != "hello" || header.Get("X-Path") != "/a/b?c=d" {
		t.Errorf("got status %d, body %q, path %q; want 418, hello, /a/b?c=d", got.Code, got.Body, header.Get("X-Path"))
	}
	if header.Get("Samphirewick-Outcome") != "ran" || header.Get("Connection") != "" || header.Get("Samphirewick-Secret") != "" {
		t.Errorf("got headers %v, want the outcome ran and no Connection or Samphirewick-Secret", header)
	}
}

func TestBadInputIsRefusedWithFieldAndReason(t *testing.T) {
	t.Parallel()
	asDepartment := map[string]string{"Samphirewick-Department": "a"}
	tests := map[string]struct {
		method, path, body string
		headers            map[string]string
		wantStatus         int
		wantField          string
	}{
		"a body over the limit": {http.MethodPost, "/v1/services/desk", strings.Repeat("x", 65), nil, 413, "body"},
		"a repeatable header that is neither yes nor no": {
			http.MethodPost, "/v1/services/desk", "",
			map[string]string{"Samphirewick-Repeatable": "maybe"},
			400,
			"Samphirewick-Repeatable",
		},
		"a request that is not repeatable without a key": {
			http.MethodPost, "/v1/services/desk", "", map[string]string{"Samphirewick-Repeatable": "no"}, 400, "Idempotency-Key",
		},
		"a key without a time": {
			http.MethodPost, "/v1/services/desk", "",
			map[string]string{"Samphirewick-Repeatable": "no", "Idempotency-Key": "abcdefghijkl"},
			400, "idempotencyKey",
		},
		"a job that is not JSON":             {http.MethodPost, "/v1/jobs", "{", nil, 400, "body"},
		"a cancellation without ids":         {http.MethodPost, "/v1/cancellations", "{}", nil, 400, "ids"},
		"a cancellation of the wrong type":   {http.MethodPost, "/v1/cancellations", `{"ids":3}`, nil, 400, "ids"},
		"a limit that is not a number":       {http.MethodGet, "/v1/audit?limit=many", "", nil, 400, "limit"},
		"a drain without workers":            {http.MethodPost, "/v1/drains", "{}", nil, 400, "workers"},
		"an unknown path":                    {http.MethodGet, "/v2", "", nil, 404, "path"},
		"a method that is not allowed":       {http.MethodDelete, "/v1/jobs", "", nil, 400, "method"},
		"an invalid service name":            {http.MethodGet, "/v1/services/a%20b", "", nil, 400, "service"},
		"another department's job":           {http.MethodPost, "/v1/jobs", `{"department":"b"}`, asDepartment, 403, "department"},
		"an operator's call by a department": {http.MethodGet, "/v1/status", "", asDepartment, 403, ""},
		"departments, by a department":       {http.MethodGet, "/v1/departments", "", asDepartment, 403, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := send(newInterface(authenticator.TrustAll(), ""), tt.method, tt.path, tt.body, tt.headers)
			var answer struct{ Field, Reason, Outcome string }
			if err := json.Unmarshal(got.Body.Bytes(), &answer); err != nil {
				t.Fatalf("%v: %s", err, got.Body)
			}
			if got.Code != tt.wantStatus || answer.Field != tt.wantField || answer.Reason == "" {
				t.Errorf("got %d %+v, want %d for field %q", got.Code, answer, tt.wantStatus, tt.wantField)
			}
			if answer.Outcome != "notRun" || got.Header().Get("Samphirewick-Outcome") != "notRun" {
				t.Errorf("outcome: body %q and header %q, want notRun", answer.Outcome, got.Header().Get("Samphirewick-Outcome"))
			}
		})
	}
}

func TestControlRefusalsMapToStatusAndOutcome(t *testing.T) {
	t.Parallel()
	tests := map[modeler.RefusalCode]struct {
		status  int
		outcome string
	}{
		modeler.CodeConflict:       {409, "notRun"},
		modeler.CodeNotFound:       {404, "notRun"},
		modeler.CodeStale:          {410, "notRun"},
		modeler.CodeOverloaded:     {429, "notRun"},
		modeler.CodeUnavailable:    {503, "notRun"},
		modeler.CodeUnknownOutcome: {504, "unknown"},
	}
	for code, want := range tests {
		t.Run(string(code), func(t *testing.T) {
			t.Parallel()
			got := send(newInterface(authenticator.TrustAll(), code), http.MethodPost, "/v1/jobs", `{"schema":2}`, nil)
			outcome := got.Header().Get("Samphirewick-Outcome")
			if got.Code != want.status || outcome != want.outcome {
				t.Errorf("got %d with outcome %q, want %d with %s", got.Code, outcome, want.status, want.outcome)
			}
		})
	}
}

func TestCallersAreAuthenticated(t *testing.T) {
	t.Parallel()
	digest := sha256.Sum256([]byte("ring the bell"))
	path := filepath.Join(t.TempDir(), "credentials.ini")
	content := fmt.Sprintf("[desk]\nrole = department\ndepartment = kowhai\nsha256 = %s\n", hex.EncodeToString(digest[:]))
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	a, err := authenticator.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		path, secret string
		want         int
	}{
		"no credential":             {"/v1/jobs/j", "", 401},
		"an unknown credential":     {"/v1/jobs/j", "Bearer guess", 401},
		"the department's own job":  {"/v1/jobs/j", "Bearer ring the bell", 200},
		"a path for operators only": {"/v1/status", "Bearer ring the bell", 403},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			headers := map[string]string{"Samphirewick-Operator": "root"}
			if tt.secret != "" {
				headers["Authorization"] = tt.secret
			}
			if got := send(newInterface(a, ""), http.MethodGet, tt.path, "", headers); got.Code != tt.want {
				t.Errorf("got %d, want %d: %s", got.Code, tt.want, got.Body)
			}
		})
	}
}
