// Package imitator imitates a worker and its backend server. It accepts work
// beyond its capacity and slots and records what it was assigned and what it
// ran, so that the verifier can detect overcommitment in these records.
package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	callTimeout = 3 * time.Second
	// retryInterval is the wait after a failed call.
	retryInterval = 100 * time.Millisecond
	millisecond   = time.Millisecond
)

// Options configures an imitated worker.
type Options struct {
	Worker modeler.Worker
	// Entry is the base URL of the entries or of a balancer in front of them.
	Entry string
	// Record receives each event. Calls are serialised; it must not be nil.
	Record func(Event)
	// RequestTime is the run time of a request that states none.
	RequestTime time.Duration
	// FailTasks makes every task fail immediately.
	FailTasks bool
}

// EventKind is the kind of a recorded event.
type EventKind string

// The kinds of recorded events.
const (
	EventWorker      EventKind = "worker"
	EventTaskStart   EventKind = "taskStart"
	EventTaskEnd     EventKind = "taskEnd"
	EventRequest     EventKind = "request"
	EventRequestDone EventKind = "requestDone"
	EventLeaving     EventKind = "leaving"
	// EventKilled is written by the script that killed the worker's process.
	EventKilled EventKind = "killed"
)

// Event is one line of the record that a worker keeps.
type Event struct {
	At     time.Time `json:"at"`
	Kind   EventKind `json:"kind"`
	Worker string    `json:"worker"`
	// Capacity and Slots are set only in the first event of a process.
	Capacity modeler.Resources      `json:"capacity,omitzero"`
	Slots    int                    `json:"slots,omitempty"`
	Task     *modeler.TaskReference `json:"task,omitempty"`
	Attempt  int                    `json:"attempt,omitempty"`
	Need     modeler.Resources      `json:"need,omitzero"`
	Result   string                 `json:"result,omitempty"`
	Request  string                 `json:"request,omitempty"`
	// Mark is the caller's own identifier of the request.
	Mark string `json:"mark,omitempty"`
	// InFlight is the number of running requests after this event.
	InFlight int `json:"inFlight,omitempty"`
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    modeler.TaskReference
	attempt int
}

// Imitator is one imitated worker. It is safe for concurrent use.
type Imitator struct {
	options Options
	client  *http.Client

	mutex   sync.Mutex
	session uint64
	// leaseExpiry is when the lease ends and running tasks are stopped.
	leaseExpiry time.Time
	running     map[attemptKey]context.CancelFunc
	needs       map[attemptKey]modeler.Resources
	// knownAttempts holds every attempt that was started or stopped in this session.
	knownAttempts  map[attemptKey]struct{}
	unreportedEnds []messenger.TaskEnd
	// requests holds the ids of the running requests by the epoch they were sent under.
	requests map[string][]string
	inFlight int
	renewNow chan struct{}
}

// New returns an imitated worker.
func New(options Options) *Imitator {
	options.Worker.Incarnation = uuid.NewString()
	return &Imitator{
		options:       options,
		client:        &http.Client{Timeout: callTimeout},
		running:       map[attemptKey]context.CancelFunc{},
		needs:         map[attemptKey]modeler.Resources{},
		knownAttempts: map[attemptKey]struct{}{},
		requests:      map[string][]string{},
		renewNow:      make(chan struct{}, 1),
	}
}

// Run announces the worker and renews its lease until the context ends. It then
// announces its departure and waits for running tasks and requests to end.
func (m *Imitator) Run(ctx context.Context) error {
	m.recordEvent(Event{Kind: EventWorker, Capacity: m.options.Worker.Capacity, Slots: m.options.Worker.Slots})
	for ctx.Err() == nil {
		renewEvery, err := m.announce(ctx)
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
		m.keepLease(ctx, renewEvery)
	}
	return m.leave()
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (m *Imitator) announce(ctx context.Context) (time.Duration, error) {
	m.stopAllTasks()
	var answer messenger.AnnounceAnswer
	sentAt := time.Now()
	if err := m.post(ctx, "/v1/backend-servers", m.options.Worker, &answer); err != nil {
		return 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.session != answer.Session {
		m.knownAttempts = map[attemptKey]struct{}{}
		m.unreportedEnds = nil
	}
	m.session = answer.Session
	m.leaseExpiry = sentAt.Add(time.Duration(answer.LeaseMillis) * millisecond)
	return time.Duration(answer.RenewMillis) * millisecond, nil
}

// keepLease renews the lease until the session is stale, the lease expires or
// the context ends.
func (m *Imitator) keepLease(ctx context.Context, every time.Duration) {
	for ctx.Err() == nil {
		stale, err := m.renew(ctx)
		if stale || m.isLeaseExpired() {
			return
		}
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-m.renewNow:
		case <-time.After(every):
		}
	}
}

func (m *Imitator) isLeaseExpired() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !time.Now().Before(m.leaseExpiry)
}

func (m *Imitator) renew(ctx context.Context) (bool, error) {
	m.mutex.Lock()
	renewal := messenger.Renewal{Worker: m.options.Worker.ID, Session: m.session}
	for key := range m.running {
		renewal.Running = append(renewal.Running, messenger.RunningTask{
			Task: key.task, Attempt: key.attempt, Usage: m.needs[key],
		})
	}
	renewal.Ended = append(renewal.Ended, m.unreportedEnds...)
	m.mutex.Unlock()
	var answer messenger.RenewalAnswer
	sentAt := time.Now()
	if err := m.post(ctx, "/v1/renewals", renewal, &answer); err != nil {
		return false, err
	}
	if answer.Stale {
		return true, nil
	}
	m.mutex.Lock()
	m.unreportedEnds = m.unreportedEnds[len(renewal.Ended):]
	m.leaseExpiry = sentAt.Add(time.Duration(answer.LeaseMillis) * millisecond)
	m.mutex.Unlock()
	m.Assign(answer.Assignment)
	return false, nil
}

// Assign starts and stops attempts as the assignment says. It returns false and
// does nothing if the assignment is for another session.
func (m *Imitator) Assign(a messenger.Assignment) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if a.Session != m.session {
		return false
	}
	for _, stop := range a.Stop {
		m.stopAttempt(attemptKey{stop.Task, stop.Attempt})
	}
	for _, start := range a.Start {
		m.startAttempt(start)
	}
	return true
}

func (m *Imitator) stopAttempt(key attemptKey) {
	if cancel, ok := m.running[key]; ok {
		cancel()
		return
	}
	if _, ok := m.knownAttempts[key]; ok {
		return
	}
	m.knownAttempts[key] = struct{}{}
	m.unreportedEnds = append(m.unreportedEnds, messenger.TaskEnd{Task: key.task, Attempt: key.attempt, Result: "stopped"})
	m.requestRenewal()
}

func (m *Imitator) startAttempt(start messenger.TaskStart) {
	key := attemptKey{start.Task, start.Attempt}
	if _, ok := m.knownAttempts[key]; ok || !time.Now().Before(m.leaseExpiry) {
		return
	}
	m.knownAttempts[key] = struct{}{}
	// The context has no deadline: runFor checks the lease, so that the task ends
	// with its lease however long the process was paused.
	ctx, cancel := context.WithCancel(context.Background())
	m.running[key] = cancel
	m.needs[key] = start.Need
	m.recordLocked(Event{Kind: EventTaskStart, Task: &start.Task, Attempt: start.Attempt, Need: start.Need})
	go m.runTask(ctx, key, start, m.session)
}

// runTask imitates one attempt by sleeping for its duration while the lease is valid.
func (m *Imitator) runTask(ctx context.Context, key attemptKey, start messenger.TaskStart, session uint64) {
	var payload struct {
		Millis int64 `json:"millis"`
		Fail   bool  `json:"fail"`
	}
	_ = json.Unmarshal(start.Payload, &payload)
	duration := time.Duration(payload.Millis) * millisecond
	if payload.Millis == 0 {
		duration = time.Duration(start.Seconds * float64(time.Second))
	}
	result, endedAt := "failed", time.Now()
	if !m.options.FailTasks && !payload.Fail {
		result, endedAt = m.runFor(ctx, duration)
	}
	m.endTask(key, start, session, result, endedAt)
}

// runFor sleeps in short steps and checks the lease after each. It returns the
// result and the end time. If the process was paused beyond the end of the lease,
// the end time is one step after it was last active, since it ran nothing while paused.
func (m *Imitator) runFor(ctx context.Context, duration time.Duration) (string, time.Time) {
	const (
		step           = 20 * time.Millisecond
		pauseThreshold = time.Second
	)
	lastActive := time.Now()
	for until := lastActive.Add(duration); time.Now().Before(until); {
		pause(ctx, min(step, time.Until(until)))
		now := time.Now()
		if ctx.Err() != nil || m.isLeaseExpired() {
			if now.Sub(lastActive) > pauseThreshold {
				return "stopped", lastActive.Add(step)
			}
			return "stopped", now
		}
		lastActive = now
	}
	return "finished", time.Now()
}

func (m *Imitator) endTask(key attemptKey, start messenger.TaskStart, session uint64, result string, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.running, key)
	delete(m.needs, key)
	m.recordLocked(Event{
		At: at, Kind: EventTaskEnd, Task: &start.Task, Attempt: start.Attempt, Need: start.Need, Result: result,
	})
	if m.session != session {
		return
	}
	m.unreportedEnds = append(m.unreportedEnds, messenger.TaskEnd{
		Task: key.task, Attempt: key.attempt, Result: taskResult(result),
	})
	m.requestRenewal()
}

// requestRenewal makes the next renewal start immediately.
func (m *Imitator) requestRenewal() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

// stopAllTasks cancels all tasks and blocks until they have ended. It is called
// before a new session is announced, since the lease has ended by then.
func (m *Imitator) stopAllTasks() {
	for {
		m.mutex.Lock()
		count := len(m.running)
		for _, cancel := range m.running {
			cancel()
		}
		m.mutex.Unlock()
		if count == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (m *Imitator) recordEvent(e Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.recordLocked(e)
}

// recordLocked records an event; the caller holds the mutex.
func (m *Imitator) recordLocked(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Worker = m.options.Worker.ID
	m.options.Record(e)
}

func (m *Imitator) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, m.options.Entry+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %s: %s", path, response.Status, answer)
	}
	return json.Unmarshal(answer, into)
}
