// Package loadgenerator imitates callers: it submits the jobs and sends the
// requests of a plan and reports the result of each.
package loadgenerator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/receiver"
)

const (
	// requestTimeout bounds one request of an imitated caller.
	requestTimeout = 30 * time.Second
	// pollInterval is the interval between polls of a job's state and between
	// attempts to submit it.
	pollInterval = 200 * time.Millisecond
	// maxInFlight bounds the requests in flight; requests above it are skipped.
	maxInFlight = 512
)

// Plan describes the load that the callers generate.
type Plan struct {
	// Seconds is the duration of every request stream that sets no Until.
	Seconds  float64       `json:"seconds"`
	Requests []RequestPlan `json:"requests"`
	Jobs     []JobPlan     `json:"jobs"`
}

// RequestPlan describes a stream of requests that differ only in their mark.
type RequestPlan struct {
	Class      string  `json:"class"`
	Service    string  `json:"service"`
	Department string  `json:"department"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	PerSecond  float64 `json:"perSecond"`
	Millis     int     `json:"millis"`
	Repeatable bool    `json:"repeatable"`
	// After and Until bound the stream, in seconds from the start. If Until is
	// zero, Plan.Seconds applies.
	After float64 `json:"after"`
	Until float64 `json:"until"`
}

// JobPlan describes jobs that differ only in their id.
type JobPlan struct {
	Name   string          `json:"name"`
	Repeat int             `json:"repeat"`
	After  float64         `json:"after"`
	Job    json.RawMessage `json:"job"`
}

// Result is the result of one request.
type Result struct {
	Mark       string `json:"mark"`
	Class      string `json:"class"`
	Repeatable bool   `json:"repeatable"`
	// Outcome is ran, notRun or unknown.
	Outcome string `json:"outcome"`
	// Refused is the response body if the outcome is not ran.
	Refused string `json:"refused,omitempty"`
	// At is when the request was sent.
	At time.Time `json:"at"`
	// Mismatch describes a complete response that does not belong to the request.
	Mismatch    string  `json:"wrong,omitempty"`
	TookSeconds float64 `json:"tookSeconds"`
	// WaitSeconds is the time that the request took beyond its own run time.
	WaitSeconds float64 `json:"waitSeconds"`
}

// JobResult is the result of one job.
type JobResult struct {
	ID     string `json:"id"`
	Name   string `json:"name"`
	Phase  string `json:"phase"`
	Reason string `json:"why,omitempty"`
	// WaitSeconds holds the time from submission to the last start of each started task.
	WaitSeconds []float64 `json:"waits"`
}

// Options configures a generator.
type Options struct {
	Address string
	Plan    Plan
	Seed    uint64
	// JobTimeout bounds the wait for the jobs of each job plan, from their submission.
	JobTimeout time.Duration
	// OnRequest and OnJob receive each result. Calls are serialised; neither may be nil.
	OnRequest func(Result)
	OnJob     func(JobResult)
}

// Generator imitates callers as its plan says.
type Generator struct {
	options Options
	client  *http.Client
	mutex   sync.Mutex
	slots   chan struct{}
}

// LoadPlan reads a plan from a file.
func LoadPlan(path string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// New returns a generator.
func New(options Options) *Generator {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	return &Generator{
		options: options,
		client:  &http.Client{Timeout: requestTimeout, Transport: transport},
		slots:   make(chan struct{}, maxInFlight),
	}
}

// Run executes the plan and blocks until all of its requests and jobs are done.
func (g *Generator) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for i, p := range g.options.Plan.Requests {
		group.Go(func() { g.sendStream(ctx, p, rand.New(rand.NewPCG(g.options.Seed, uint64(i)))) })
	}
	failures := make(chan error, len(g.options.Plan.Jobs))
	for _, p := range g.options.Plan.Jobs {
		group.Go(func() { failures <- g.runJobPlan(ctx, p) })
	}
	group.Wait()
	close(failures)
	var errs []error
	for err := range failures {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// sendStream sends the requests of a plan with exponentially distributed gaps.
func (g *Generator) sendStream(ctx context.Context, p RequestPlan, random *rand.Rand) {
	until := p.Until
	if until == 0 {
		until = g.options.Plan.Seconds
	}
	start := time.Now()
	next := p.After
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		next += random.ExpFloat64() / p.PerSecond
		if next > until {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(next * float64(time.Second))))):
		}
		mark := fmt.Sprintf("%s-%d-%x", p.Class, number, random.Uint64())
		select {
		case g.slots <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			defer func() { <-g.slots }()
			g.sendRequest(ctx, p, mark)
		})
	}
}

func (g *Generator) sendRequest(ctx context.Context, p RequestPlan, mark string) {
	body := "body of " + mark
	address := fmt.Sprintf("%s/v1/services/%s%s?mark=%s&millis=%d", g.options.Address, p.Service, p.Path, mark, p.Millis)
	request, err := http.NewRequestWithContext(ctx, p.Method, address, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Header.Set(authenticator.HeaderDepartment, p.Department)
	request.Header.Set(receiver.HeaderClass, p.Class)
	if !p.Repeatable {
		request.Header.Set(receiver.HeaderRepeatable, "no")
		request.Header.Set(receiver.HeaderKey, strconv.FormatInt(time.Now().Unix(), 10)+"-"+mark)
	}
	started := time.Now()
	result := Result{Mark: mark, Class: p.Class, Repeatable: p.Repeatable, Outcome: "unknown", At: started}
	response, err := g.client.Do(request)
	if err == nil {
		g.readResponse(response, &result, mark+":"+body)
	}
	result.TookSeconds = time.Since(started).Seconds()
	result.WaitSeconds = result.TookSeconds - float64(p.Millis)/1000
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.options.OnRequest(result)
}

func (g *Generator) readResponse(response *http.Response, result *Result, expected string) {
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if outcome := response.Header.Get(receiver.HeaderOutcome); outcome != "" {
		result.Outcome = outcome
	}
	if result.Outcome != "ran" {
		result.Refused = string(answer)
		return
	}
	if err != nil {
		result.Outcome = "unknown"
		return
	}
	if string(answer) != expected {
		result.Mismatch = fmt.Sprintf("got %.80q", answer)
	}
}

func (g *Generator) runJobPlan(ctx context.Context, p JobPlan) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(p.After * float64(time.Second))):
	}
	var ids []string
	for number := range max(1, p.Repeat) {
		id := fmt.Sprintf("%s-%d", p.Name, number)
		if err := g.submit(ctx, p, id); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	deadline := time.Now().Add(g.options.JobTimeout)
	for _, id := range ids {
		g.awaitJob(ctx, p, id, deadline)
	}
	return nil
}

// submit submits one job and retries until it is accepted, at most maxAttempts
// times. Submission is idempotent, so a retry has no further effect.
func (g *Generator) submit(ctx context.Context, p JobPlan, id string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(p.Job, &fields); err != nil {
		return err
	}
	fields["id"], _ = json.Marshal(id)
	body, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	const maxAttempts = 40
	var lastErr error
	for range maxAttempts {
		var status messenger.JobStatus
		if lastErr = g.call(ctx, http.MethodPost, "/v1/jobs", body, &status); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("submit job %s: %w", id, lastErr)
}

// awaitJob polls the job until it has ended or the deadline passes, and reports
// its last known state.
func (g *Generator) awaitJob(ctx context.Context, p JobPlan, id string, deadline time.Time) {
	result := JobResult{ID: id, Name: p.Name, Phase: "unknown"}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		var status messenger.JobStatus
		if err := g.call(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &status); err == nil {
			result = jobResult(p.Name, status)
			if !status.Ended.IsZero() {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.options.OnJob(result)
}

func jobResult(name string, status messenger.JobStatus) JobResult {
	result := JobResult{ID: status.ID, Name: name, Phase: status.Phase, Reason: status.WaitReason}
	for _, t := range status.Tasks {
		if !t.Started.IsZero() {
			result.WaitSeconds = append(result.WaitSeconds, t.Started.Sub(status.Submitted).Seconds())
		}
	}
	return result
}

func (g *Generator) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, g.options.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("call to %s: status %s: %s", path, response.Status, answer)
	}
	return json.Unmarshal(answer, into)
}
