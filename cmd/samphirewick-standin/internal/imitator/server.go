package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/sender"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 64 << 20

func taskResult(result string) reducer.TaskResult { return reducer.TaskResult(result) }

// Handler returns the HTTP handler of the backend server.
func (m *Imitator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/running", m.serveRunning)
	mux.HandleFunc("POST /v1/assignments", m.serveAssignment)
	mux.HandleFunc("/", m.serveRequest)
	return mux
}

// epochRequests lists the running requests of one epoch.
type epochRequests struct {
	Epoch    uint64   `json:"epoch"`
	Requests []string `json:"requests"`
}

func (m *Imitator) serveRunning(w http.ResponseWriter, _ *http.Request) {
	m.mutex.Lock()
	running := []epochRequests{}
	for epoch, ids := range m.requests {
		number, _ := strconv.ParseUint(epoch, 10, 64)
		running = append(running, epochRequests{number, slices.Clone(ids)})
	}
	m.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Running []epochRequests `json:"running"`
	}{running})
}

func (m *Imitator) serveAssignment(w http.ResponseWriter, r *http.Request) {
	var a messenger.Assignment
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !m.Assign(a) {
		http.Error(w, "the session is not this worker's", http.StatusConflict)
	}
}

// serveRequest runs one request for the time given in its query and responds
// with its mark and body.
func (m *Imitator) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, epoch := r.Header.Get(sender.HeaderRequestID), r.Header.Get(sender.HeaderEpoch)
	mark := r.URL.Query().Get("mark")
	m.beginRequest(id, epoch, mark)
	defer m.endRequest(id, epoch, mark)
	duration := m.options.RequestTime
	if millis, err := strconv.Atoi(r.URL.Query().Get("millis")); err == nil {
		duration = time.Duration(millis) * millisecond
	}
	pause(context.WithoutCancel(r.Context()), duration)
	answer := fmt.Sprintf("%s:%s", mark, body)
	w.Header().Set(sender.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (m *Imitator) beginRequest(id, epoch, mark string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[epoch] = append(m.requests[epoch], id)
	m.inFlight++
	m.recordLocked(Event{Kind: EventRequest, Request: id, Mark: mark, InFlight: m.inFlight})
}

func (m *Imitator) endRequest(id, epoch, mark string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	remaining := slices.DeleteFunc(m.requests[epoch], func(running string) bool { return running == id })
	m.requests[epoch] = remaining
	if len(remaining) == 0 {
		delete(m.requests, epoch)
	}
	m.inFlight--
	m.recordLocked(Event{Kind: EventRequestDone, Request: id, Mark: mark, InFlight: m.inFlight})
}

// leaveTimeout bounds how long a leaving worker waits for running tasks and
// requests to end.
const leaveTimeout = 20 * time.Second

// leave announces the departure and renews the lease until the worker has been
// idle for idlePeriod or the session is stale. Running work continues meanwhile.
func (m *Imitator) leave() error {
	m.recordEvent(Event{Kind: EventLeaving})
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		m.mutex.Lock()
		call := reducer.WorkerSession{Worker: m.options.Worker.ID, Session: m.session}
		m.mutex.Unlock()
		var answer struct{}
		if err := m.post(ctx, "/v1/departures", call, &answer); err == nil {
			break
		}
		pause(ctx, retryInterval)
	}
	lastActive := time.Now()
	const idlePeriod = time.Second
	for ctx.Err() == nil && time.Since(lastActive) < idlePeriod {
		stale, _ := m.renew(ctx)
		m.mutex.Lock()
		if m.inFlight > 0 || len(m.running) > 0 {
			lastActive = time.Now()
		}
		m.mutex.Unlock()
		if stale {
			break
		}
		pause(ctx, retryInterval)
	}
	return nil
}
