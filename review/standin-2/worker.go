package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold         = 6000
	heartbeatPeriod = 1500 * time.Millisecond
	callTimeout     = time.Second
)

// run is a task that a worker performs.
type run struct {
	number int
	// doneAt is when the work is done; zero if the task lasts. failAt is when it fails; zero if it
	// does not.
	doneAt, failAt time.Time
	// serves is true for a task that serves, and fills for one that fills.
	serves, fills bool
	// paces are the paces of a task that fills, oldest first.
	paces []pace
	// work is how long a task that fills works at full pace.
	work time.Duration
}

// pace is the pace in percent from a time on.
type pace struct {
	from    time.Time
	percent int
}

// paceDelay is how long after an order on pace it takes effect.
const paceDelay = 100 * time.Millisecond

// paceAt returns the pace of a task that fills at the time.
func (r run) paceAt(at time.Time) int {
	percent := 0
	for _, p := range r.paces {
		if !p.from.After(at) {
			percent = p.percent
		}
	}
	return percent
}

// worked returns for how long the task has worked by the time, at full pace.
func (r run) worked(at time.Time) time.Duration {
	done := time.Duration(0)
	for i, p := range r.paces {
		until := at
		if i+1 < len(r.paces) && r.paces[i+1].from.Before(at) {
			until = r.paces[i+1].from
		}
		if until.After(p.from) {
			done += until.Sub(p.from) * time.Duration(p.percent) / 100
		}
	}
	return done
}

// lasts begins the payload of a task that lasts. The number of milliseconds after which its first
// run fails follows.
const lasts = "lasts "

// serves is the payload of a task that serves, and fills begins that of one that fills. The number of
// milliseconds that it works follows.
const (
	serves = "serves"
	fills  = "fills "
)

// newRun returns a run of a task with the payload, or false if the payload can't be read.
func newRun(number int, payload string) (run, bool) {
	if payload == serves {
		return run{number: number, serves: true}, true
	}
	if text, ok := strings.CutPrefix(payload, fills); ok {
		millis, err := strconv.Atoi(text)
		return run{
			number: number, fills: true, work: time.Duration(millis) * time.Millisecond, paces: []pace{{time.Now(), 100}},
		}, err == nil
	}
	text, isLasting := strings.CutPrefix(payload, lasts)
	millis, err := strconv.Atoi(text)
	at := time.Now().Add(time.Duration(millis) * time.Millisecond)
	switch {
	case !isLasting:
		return run{number: number, doneAt: at}, err == nil
	case number == 1:
		return run{number: number, failAt: at}, err == nil
	default:
		return run{number: number}, err == nil
	}
}

// life is a worker from its start to its end. All its fields are guarded by the worker's mutex.
type life struct {
	born    time.Time
	seq     int
	state   string
	fence   uint64
	lease   int64
	running map[string]run
	// highest holds the highest run of each task that was stopped or has ended.
	highest map[string]int
	ended   [][]any
	count   int
	cancel  context.CancelFunc
	server  *http.Server
	// acknowledged is how many heartbeats of this life were acknowledged.
	acknowledged int
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// worker is a worker of the platform, which may start again under its id and address.
type worker struct {
	id, address, service, zone, kind, rack string
	// nodes are the addresses that take its heartbeats, the one of its own zone first.
	nodes  []string
	record *record

	mutex sync.Mutex
	life  *life
}

// start begins a life of the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{born: time.Now(), state: "ready", running: map[string]run{}, highest: map[string]int{}, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(l, w.runStart))
	mux.HandleFunc("POST /api/run-stop", w.serve(l, w.runStop))
	mux.HandleFunc("POST /api/pace", w.serve(l, w.pace))
	mux.HandleFunc("POST /api/hold", w.serve(l, w.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: mux}
	w.mutex.Lock()
	w.life = l
	w.mutex.Unlock()
	w.record.add("worker %s starts (born %d)", w.id, l.born.UnixMilli())
	go func() { _ = l.server.Serve(listener) }()
	go w.beat(ctx, l)
	go w.update(ctx, l)
	return nil
}

// end ends the present life, and all that runs.
func (w *worker) end() {
	w.mutex.Lock()
	l := w.life
	w.life = nil
	for task := range l.running {
		w.record.ended(task, l.running[task].number, w.id, "gone")
	}
	l.running = map[string]run{}
	w.mutex.Unlock()
	l.cancel()
	_ = l.server.Close()
	w.record.add("worker %s has ended", w.id)
}

type order struct {
	Task       string
	Run        int
	Spec       string
	Percent    int
	DeadlineMs int64
	FenceToken uint64
	LastSeen   int
	WaitMs     int64
}

func (w *worker) serve(l *life, carryOut func(*life, order) (int, map[string]any)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		if target := request.Header.Get("X-Samphirewick-Target-Instance"); target != "" && target != w.id {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mutex.Lock()
		if w.life != l {
			w.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, body := carryOut(l, o)
		if body == nil {
			body = map[string]any{}
		}
		body["clockMs"], body["born"] = l.clock(), l.born.UnixMilli()
		w.mutex.Unlock()
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(status)
		_ = json.NewEncoder(response).Encode(body)
	}
}

func (l *life) extend(deadline int64) { l.lease = max(l.lease, min(deadline, l.clock()+maxHold)) }

func (w *worker) runStart(l *life, o order) (int, map[string]any) {
	w.expire(l)
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	switch {
	case o.FenceToken < l.fence:
		return refuse("fence")
	case l.running[o.Task].number == o.Run:
		l.extend(o.DeadlineMs)
		return http.StatusOK, nil
	case o.Run <= l.highest[o.Task]:
		l.extend(o.DeadlineMs)
		return refuse("old")
	case o.DeadlineMs <= l.clock():
		return refuse("late")
	}
	started, ok := newRun(o.Run, o.Spec)
	if !ok {
		return http.StatusBadRequest, nil
	}
	l.fence = o.FenceToken
	l.extend(o.DeadlineMs)
	l.running[o.Task] = started
	w.record.started(o.Task, o.Run, w.id)
	return http.StatusOK, nil
}

func (w *worker) runStop(l *life, o order) (int, map[string]any) {
	if o.FenceToken < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	l.fence = o.FenceToken
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if l.running[o.Task].number == o.Run {
		w.finish(l, o.Task, "stopped")
	}
	return http.StatusOK, nil
}

func (w *worker) pace(l *life, o order) (int, map[string]any) {
	if o.FenceToken < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	l.fence = o.FenceToken
	if r, ok := l.running[o.Task]; ok && r.number == o.Run && r.fills {
		r.paces = append(slices.Clone(r.paces), pace{time.Now().Add(paceDelay), o.Percent})
		l.running[o.Task] = r
		w.record.add("worker %s: pace of %s run %d is %d from now on", w.id, o.Task, o.Run, o.Percent)
	}
	return http.StatusOK, nil
}

// The tail of the response times of a task that serves: what it is alone, and by how much each task that
// fills at full pace raises it.
const (
	ownTail  = 40
	fillTail = 80
)

// tail returns the tail of a task that serves over the half second before the time, in milliseconds. The
// caller holds the mutex.
func (l *life) tail(at time.Time) int {
	const samples, span = 10, 500 * time.Millisecond
	sum := 0
	for i := range samples {
		for _, r := range l.running {
			if r.fills {
				sum += r.paceAt(at.Add(-span * time.Duration(i) / samples))
			}
		}
	}
	return ownTail + fillTail*sum/(100*samples)
}

func (w *worker) hold(l *life, o order) (int, map[string]any) {
	if o.FenceToken < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	l.fence = o.FenceToken
	l.extend(o.DeadlineMs)
	for len(l.ended) > 0 && l.ended[0][0].(int) <= o.LastSeen {
		l.ended = l.ended[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(l.ended) == 0 && time.Now().Before(until) && w.life == l {
		w.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mutex.Lock()
	}
	running := [][]any{}
	for task, r := range l.running {
		percent, measurement := 0, 0
		switch {
		case r.serves:
			percent, measurement = 100, l.tail(time.Now())
		case r.fills:
			percent = int(100 * r.worked(time.Now()) / r.work)
			measurement = 20 * r.paceAt(time.Now())
		case r.doneAt.IsZero():
			percent = 100
		}
		running = append(running, []any{task, r.number, "", percent, measurement})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, l.ended[:min(500, len(l.ended))]...)}
}

// finish ends a run. The caller holds the mutex.
func (w *worker) finish(l *life, task, how string) {
	r := l.running[task]
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.count++
	l.ended = append(l.ended, []any{l.count, task, r.number, how, ""})
	w.record.ended(task, r.number, w.id, how)
}

// expire ends what has run out. The caller holds the mutex.
func (w *worker) expire(l *life) {
	now, hasLapsed := time.Now(), l.clock() >= l.lease
	for task, r := range l.running {
		switch {
		case r.fills && r.worked(now) >= r.work:
			w.finish(l, task, "done")
		case !r.doneAt.IsZero() && !now.Before(r.doneAt):
			w.finish(l, task, "done")
		case !r.failAt.IsZero() && !now.Before(r.failAt):
			w.finish(l, task, "failed")
		case hasLapsed:
			w.finish(l, task, "lapsed")
		}
	}
}

func (w *worker) update(ctx context.Context, l *life) {
	for ctx.Err() == nil {
		w.mutex.Lock()
		if w.life == l {
			w.expire(l)
		}
		w.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) beat(ctx context.Context, l *life) {
	for ctx.Err() == nil {
		w.sendBeat(ctx, l)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// sendBeat sends a heartbeat to one node after the other until one acknowledges it.
func (w *worker) sendBeat(ctx context.Context, l *life) bool {
	w.mutex.Lock()
	l.seq++
	state := l.state
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": 32000, "memMb": 65536, "gpu": 0},
		"labels": []string{w.kind, w.rack}, "clockMs": l.clock(), "seq": l.seq, "born": l.born.UnixMilli(),
	})
	w.mutex.Unlock()
	for _, node := range w.nodes {
		if status := post(ctx, "http://"+node+"/api/instances/"+w.id+"/heartbeat", body); status/100 == 2 {
			w.mutex.Lock()
			l.acknowledged++
			first := l.acknowledged == 1
			w.mutex.Unlock()
			if first || state != "ready" {
				w.record.add("worker %s (born %d): %s acknowledged by %s", w.id, l.born.UnixMilli(), state, node)
			}
			return true
		}
	}
	return false
}

// shutDown ends the life as planned: the worker reports that it drains, waits, says that it
// leaves, to one node after the other until one acknowledges it, and ends. beforeLeave is called right before it says so.
func (w *worker) shutDown(ctx context.Context, drain time.Duration, beforeLeave func()) {
	w.mutex.Lock()
	l := w.life
	l.state = "draining"
	w.mutex.Unlock()
	w.sendBeat(ctx, l)
	time.Sleep(drain)
	beforeLeave()
	for _, node := range w.nodes {
		status := post(ctx, "http://"+node+"/api/instances/"+w.id+"/leave", nil)
		w.record.add("worker %s (born %d) says to %s that it leaves: %s", w.id, l.born.UnixMilli(), node, describe(status))
		if status/100 == 2 {
			break
		}
	}
	w.end()
}

func describe(status int) string {
	if status == 0 {
		return "no answer within a second"
	}
	return fmt.Sprint("answer ", status)
}

// workerClient opens a connection for each call.
var workerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post returns the status of the answer, or zero if there was none in time.
func post(ctx context.Context, url string, body []byte) int {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := workerClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
