package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	updateInterval    = 5 * time.Millisecond
	maxEnds           = 500
)

// order is the body of a call to a worker.
type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	FenceToken     uint64 `json:"fenceToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       uint64 `json:"lastSeen"`
	WaitMs         int64  `json:"waitMs"`
}

// runRecord is what is known of one run of a task.
type runRecord struct {
	task, worker, spec, checkpoint string
	run                            int
	begun, ended                   time.Time
	how                            string
	// isNoted is true once the end was taken note of.
	isNoted bool
	// isLate is true if the start was carried out late.
	isLate bool
}

type activeRun struct {
	*runRecord
	doneAt time.Time
	work   time.Duration
	pace   int
}

type endRow struct {
	position uint64
	record   *runRecord
	isVoid   bool
}

// life is a worker from its start to its end. The mutex of its worker guards it.
type life struct {
	born     time.Time
	fence    uint64
	deadline time.Duration
	running  map[string]*activeRun
	stopped  map[string]int
	ends     []endRow
	position uint64
	draining bool
	seq      int
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// worker imitates a worker of the platform.
type worker struct {
	id, address, service, zone, rack string
	capacityCPU, capacityMB          int64
	control                          []string
	record                           *record
	runs                             *runList
	// hold returns true for a start that gets no answer. It may keep it, to carry it out late.
	hold func(w *worker, o order) bool

	// isCut is true while the worker is cut off: nothing reaches it, and nothing it sends arrives.
	isCut atomic.Bool

	mutex  sync.Mutex
	life   *life
	server *http.Server
}

// runList holds the records of all runs.
type runList struct {
	mutex sync.Mutex
	all   []*runRecord
}

func (r *runList) add(record *runRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = append(r.all, record)
}

func (r *runList) list() []*runRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]*runRecord(nil), r.all...)
}

// up starts a new life of the worker.
func (w *worker) up() error {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(w.start))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /api/pace", w.serve(w.pace))
	mux.HandleFunc("POST /api/hold", w.serve(w.poll))
	w.mutex.Lock()
	w.life = &life{born: time.Now(), running: map[string]*activeRun{}, stopped: map[string]int{}}
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.record.add("worker %s is up, born %d", w.id, w.life.born.UnixMilli())
	w.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// down crashes the worker. Its runs end with it.
func (w *worker) down() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life == nil {
		return
	}
	for _, r := range w.life.running {
		r.ended, r.how = time.Now(), "gone"
	}
	w.record.add("worker %s crashes with %d runs", w.id, len(w.life.running))
	w.life = nil
	_ = w.server.Close()
}

// run sends heartbeats, and ends runs in time, until the context ends.
func (w *worker) run(ctx context.Context) {
	go w.beat(ctx)
	for ctx.Err() == nil {
		w.mutex.Lock()
		if w.life != nil {
			w.update()
		}
		w.mutex.Unlock()
		pause(ctx, updateInterval)
	}
	w.down()
}

// update ends the runs that are done, or whose lease has expired. The caller holds the mutex.
func (w *worker) update() {
	l, now := w.life, time.Now()
	hasLapsed := l.clock() >= l.deadline
	for i := range l.ends {
		l.ends[i].isVoid = l.ends[i].isVoid || hasLapsed
	}
	for _, r := range l.running {
		switch {
		case hasLapsed:
			w.end(r, "lapsed")
		case !now.Before(r.doneAt):
			how := "done"
			if strings.Contains(r.spec, "fail") {
				how = "failed"
			}
			w.end(r, how)
		}
	}
}

// end ends a run. The caller holds the mutex.
func (w *worker) end(r *activeRun, how string) {
	l := w.life
	delete(l.running, r.task)
	l.stopped[r.task] = max(l.stopped[r.task], r.run)
	l.position++
	r.ended, r.how = time.Now(), how
	l.ends = append(l.ends, endRow{position: l.position, record: r.runRecord})
	w.record.add("worker %s: run %d of %s ends %s", w.id, r.run, r.task, how)
}

func (r *activeRun) percent() int {
	if strings.HasPrefix(r.spec, "last") {
		return 100
	}
	if r.work <= 0 {
		return 0
	}
	return int(min(99, 100*time.Since(r.begun)/r.work))
}

func (w *worker) serve(handle func(ctx context.Context, o order, late bool) (int, any)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		var o order
		data, err := io.ReadAll(request.Body)
		if err == nil {
			err = json.Unmarshal(data, &o)
		}
		if err != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		if target := request.Header.Get("X-Samphirewick-Target-Instance"); target != w.id {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if request.URL.Path == "/api/run-start" && w.hold != nil && w.hold(w, o) {
			w.record.add("worker %s leaves the start of run %d of %s unanswered, fence %d", w.id, o.Run, o.Task, o.FenceToken)
			<-request.Context().Done()
			return
		}
		if w.isCut.Load() {
			<-request.Context().Done()
			return
		}
		status, body := handle(request.Context(), o, false)
		if w.isCut.Load() {
			<-request.Context().Done()
			return
		}
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(status)
		_ = json.NewEncoder(response).Encode(body)
	}
}

func (l *life) answer(reason string) (int, any) {
	if reason == "" {
		return http.StatusOK, map[string]any{"clockMs": l.clock().Milliseconds()}
	}
	return http.StatusConflict, map[string]any{"clockMs": l.clock().Milliseconds(), "reason": reason}
}

func (l *life) extend(deadlineMs int64) {
	l.deadline = max(l.deadline, min(time.Duration(deadlineMs)*time.Millisecond, l.clock()+longestLease))
}

// start carries out a start.
func (w *worker) start(_ context.Context, o order, late bool) (int, any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.life
	if l == nil {
		return http.StatusServiceUnavailable, nil
	}
	w.update()
	reason := ""
	known := l.running[o.Task]
	switch {
	case o.FenceToken < l.fence:
		reason = "fence"
	case known != nil && known.run == o.Run:
		l.extend(o.DeadlineMs)
		return l.answer("")
	case o.Run <= l.stopped[o.Task]:
		l.extend(o.DeadlineMs)
		reason = "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond <= l.clock():
		reason = "late"
	}
	if reason != "" {
		w.record.add("worker %s refuses the start of run %d of %s: %s (late %t)", w.id, o.Run, o.Task, reason, late)
		return l.answer(reason)
	}
	l.fence = o.FenceToken
	l.extend(o.DeadlineMs)
	work := 365 * 24 * time.Hour
	if ms, err := strconv.Atoi(strings.Fields(o.Spec + " 0")[0]); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	r := &activeRun{
		runRecord: &runRecord{
			task: o.Task, run: o.Run, worker: w.id, spec: o.Spec, checkpoint: o.LastCheckpoint, begun: time.Now(), isLate: late,
		},
		doneAt: time.Now().Add(work), work: work, pace: 100,
	}
	l.running[o.Task] = r
	w.runs.add(r.runRecord)
	w.record.add("worker %s starts run %d of %s, fence %d (late %t)", w.id, o.Run, o.Task, o.FenceToken, late)
	return l.answer("")
}

// stop carries out a stop. The run ends at once.
func (w *worker) stop(_ context.Context, o order, _ bool) (int, any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.life
	if l == nil {
		return http.StatusServiceUnavailable, nil
	}
	w.update()
	if o.FenceToken < l.fence {
		return l.answer("fence")
	}
	l.fence = o.FenceToken
	l.stopped[o.Task] = max(l.stopped[o.Task], o.Run)
	w.record.add("worker %s is told to stop run %d of %s, fence %d", w.id, o.Run, o.Task, o.FenceToken)
	if r := l.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped")
	}
	return l.answer("")
}

func (w *worker) pace(_ context.Context, _ order, _ bool) (int, any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life == nil {
		return http.StatusServiceUnavailable, nil
	}
	return w.life.answer("")
}

// poll carries out a hold.
func (w *worker) poll(ctx context.Context, o order, _ bool) (int, any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.life
	if l == nil {
		return http.StatusServiceUnavailable, nil
	}
	w.update()
	if o.FenceToken >= l.fence {
		if o.FenceToken > l.fence {
			w.record.add("worker %s is polled with the new fence %d", w.id, o.FenceToken)
		}
		l.fence = o.FenceToken
		l.extend(o.DeadlineMs)
		for len(l.ends) > 0 && l.ends[0].position <= o.LastSeen {
			l.ends[0].record.isNoted = l.ends[0].record.isNoted || !l.ends[0].isVoid
			l.ends = l.ends[1:]
		}
	}
	until := time.Now().Add(min(2*time.Second, time.Duration(o.WaitMs)*time.Millisecond))
	for len(l.ends) == 0 && w.life == l && time.Now().Before(until) && ctx.Err() == nil {
		w.mutex.Unlock()
		pause(ctx, updateInterval)
		w.mutex.Lock()
	}
	if w.life != l {
		return http.StatusServiceUnavailable, nil
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.running {
		running = append(running, []any{r.task, r.run, "", r.percent(), 0})
	}
	for i, e := range l.ends {
		if i < maxEnds {
			ended = append(ended, []any{e.position, e.record.task, e.record.run, e.record.how, ""})
		}
	}
	return http.StatusOK, map[string]any{
		"born": l.born.UnixMilli(), "clockMs": l.clock().Milliseconds(), "running": running, "ended": ended,
	}
}

// beat announces the worker at its start and at each interval.
func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var announced *life
	var last time.Time
	for next := 0; ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		w.mutex.Lock()
		l := w.life
		if l == nil || w.isCut.Load() || l == announced && time.Since(last) < heartbeatInterval {
			w.mutex.Unlock()
			continue
		}
		l.seq++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "labels": []string{"a", w.rack}, "seq": l.seq, "clockMs": l.clock().Milliseconds(),
			"born": l.born.UnixMilli(), "capacity": map[string]int64{"cpu": w.capacityCPU, "memMb": w.capacityMB, "gpu": 0},
		})
		w.mutex.Unlock()
		url := "http://" + w.control[next%len(w.control)] + "/api/instances/" + w.id + "/heartbeat"
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			next++
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 != 2 {
			next++
			continue
		}
		announced, last = l, time.Now()
	}
}
