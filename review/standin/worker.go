package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that the stand-in of a worker keeps.
const (
	maxHold     = 6 * time.Second
	stopTime    = 500 * time.Millisecond // at most stopTimeoutMs, 900 ms
	gangTimeout = 3 * time.Second
	startup     = 300 * time.Millisecond
	heartbeatMs = 1500 * time.Millisecond
)

// world holds what all workers share: the record and the gangs.
type world struct {
	rec *record

	mutex   sync.Mutex
	workers []*worker
	// runs are all runs of the day, in the order of their starts.
	runs []*run
	// jobs describe the submitted jobs, by id, so that workers know how long a task works.
	jobs map[string]job
	// delayOrder decides whether an order stays without an answer and is carried out after
	// the returned time; zero carries it out at once. May be nil.
	delayOrder func(worker, path string, body []byte) time.Duration
	// load is the load of the serving tasks, in milliseconds of tail.
	load float64
}

type job struct {
	steps []step
	work  time.Duration
	// perFill is by how many milliseconds a fill task at full pace raises a tail.
	perFill float64
}

type step struct {
	count       int
	cpu         int64
	mem         int64
	gang        bool
	longRunning bool
	fills       bool
	targetMs    float64
	label       string // the label that the worker must have
}

// run is one run of a task on one life of a worker.
type run struct {
	task     string
	number   int
	worker   string
	life     int
	began    time.Time
	workFrom time.Time // when it began to work; a gang works once all are there
	ended    time.Time
	how      string
	noted    bool // lastSeen has reached its end
	stopping bool
	pace     int
	job      string
	step     step
	work     time.Duration
}

// worker is one life of a worker.
type worker struct {
	world    *world
	id       string
	life     int
	address  string
	service  string
	cpu, mem int64
	labels   []string
	controls []string
	born     time.Time

	mutex    sync.Mutex
	dead     bool
	silent   chan struct{} // closed at the end of the run; calls to a silent life wait for it
	fence    uint64
	deadline time.Duration
	running  map[string]*run
	highest  map[string]int // the highest run that was stopped or has ended, by task
	ended    []endedRow
	next     int
	seq      int
	changed  chan struct{}
	draining bool
	machine  *machine
	rate     float64
}

// machine is the network of a worker's machine. Its address outlives the worker.
type machine struct {
	listener net.Listener
	mutex    sync.Mutex
	cut      bool
	// refuse is set while connections are reset and new ones refused.
	refuse bool
	open   []net.Conn
	// conns passes the connections on to the life that is up; nil if none is.
	conns chan net.Conn
	// lost holds connections that were opened behind a cut. They stay silent for good.
	lost []net.Conn
}

func newMachine(address string) (*machine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &machine{listener: listener}
	go m.accept()
	return m, nil
}

func (m *machine) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mutex.Lock()
		switch {
		case m.refuse:
			reset(conn)
		case m.cut || m.conns == nil:
			m.lost = append(m.lost, conn)
		default:
			m.open = append(m.open, conn)
			m.conns <- conn
		}
		m.mutex.Unlock()
	}
}

// setRefuse begins or ends a cut that resets all connections and refuses new ones.
func (m *machine) setRefuse(refuse bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refuse = refuse
	if refuse {
		for _, conn := range m.open {
			reset(conn)
		}
		m.open = nil
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (m *machine) setCut(cut bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.cut = cut
}

// lifeListener is the listener of one life.
type lifeListener struct {
	machine *machine
	conns   chan net.Conn
}

func (l lifeListener) Accept() (net.Conn, error) { return <-l.conns, nil }
func (l lifeListener) Close() error              { return nil }
func (l lifeListener) Addr() net.Addr            { return l.machine.listener.Addr() }

type endedRow struct {
	position int
	run      *run
}

func newWorker(w *world, id string, life int, address, service string, cpu, mem int64, labels, controls []string) *worker {
	return &worker{
		world: w, id: id, life: life, address: address, service: service, cpu: cpu, mem: mem, labels: labels,
		controls: controls, born: time.Now(), silent: make(chan struct{}), running: map[string]*run{},
		highest: map[string]int{}, next: 1, changed: make(chan struct{}), rate: 1,
	}
}

// clock is the steady clock of the worker, which may be 2 % slow.
func (w *worker) clock() time.Duration { return time.Duration(float64(time.Since(w.born)) * w.rate) }

// serve listens and begins to send heartbeats after firstBeat.
func (w *worker) serve(firstBeat time.Duration) error {
	if w.machine == nil {
		m, err := newMachine(w.address)
		if err != nil {
			return err
		}
		w.machine = m
	}
	listener := lifeListener{w.machine, make(chan net.Conn, 64)}
	w.machine.mutex.Lock()
	w.machine.conns = listener.conns
	w.machine.mutex.Unlock()
	w.world.mutex.Lock()
	w.world.workers = append(w.world.workers, w)
	w.world.mutex.Unlock()
	w.world.rec.add("worker %s life %d: up at %s, born %d", w.id, w.life, w.address, w.born.UnixMilli())
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(w.handle)}).Serve(listener) }()
	go w.beat(firstBeat)
	go w.tick()
	return nil
}

// dieSilently ends the life: nothing runs any more, and its open connections go silent
// without a reset.
func (w *worker) dieSilently() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dead = true
	w.machine.mutex.Lock()
	w.machine.conns = nil
	w.machine.mutex.Unlock()
	for _, r := range w.running {
		r.how, r.ended = "lost with its worker", time.Now()
	}
	w.running = map[string]*run{}
	w.world.rec.add("worker %s life %d: crashes", w.id, w.life)
}

func (w *worker) isDead() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.dead
}

// beat sends heartbeats: to the next node if one gave no answer within a second.
func (w *worker) beat(first time.Duration) {
	time.Sleep(first)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	node := 0
	for !w.isDead() {
		w.mutex.Lock()
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mutex.Unlock()
		acked := false
		w.machine.mutex.Lock()
		cutOff := w.machine.refuse
		w.machine.mutex.Unlock()
		if cutOff {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for range w.controls {
			response, err := client.Post("http://"+w.controls[node%len(w.controls)]+"/api/instances/"+w.id+"/heartbeat",
				"application/json", strings.NewReader(string(body)))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if w.seq <= 2 {
					w.world.rec.add("worker %s life %d: heartbeat %d -> %d", w.id, w.life, w.seq, response.StatusCode)
				}
				if response.StatusCode/100 == 2 {
					acked = true
					break
				}
			}
			node++
		}
		if acked {
			time.Sleep(heartbeatMs)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// tick ends what is finished, failed to gather, or has no lease any more.
func (w *worker) tick() {
	for !w.isDead() {
		time.Sleep(5 * time.Millisecond)
		w.world.mutex.Lock()
		w.mutex.Lock()
		now := time.Now()
		for _, r := range w.running {
			switch {
			case w.clock() > w.deadline:
				w.endLocked(r, "lapsed")
			case r.stopping:
			case r.step.longRunning:
			case !r.workFrom.IsZero() && now.Sub(r.workFrom) >= r.work:
				if r.step.gang {
					w.world.endGangLocked(r, "done")
				} else {
					w.endLocked(r, "done")
				}
			case r.workFrom.IsZero() && r.step.gang && now.Sub(r.began) > gangTimeout:
				w.endLocked(r, "alone")
			}
		}
		w.mutex.Unlock()
		w.world.mutex.Unlock()
	}
}

// endLocked lists the end of a run. The caller holds the mutex of the worker.
func (w *worker) endLocked(r *run, how string) {
	if r.how != "" {
		return
	}
	r.how, r.ended = how, time.Now()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ended = append(w.ended, endedRow{w.next, r})
	w.next++
	close(w.changed)
	w.changed = make(chan struct{})
	w.world.rec.add("worker %s life %d: run %s/%d ends %s", w.id, w.life, r.task, r.number, how)
}

// endGangLocked ends all members of a gang. The caller holds the mutexes of the world
// and of the worker of r.
func (w *world) endGangLocked(r *run, how string) {
	prefix := r.task[:strings.LastIndexByte(r.task, '.')+1]
	for _, other := range w.workers {
		own := other.id == r.worker && other.life == r.life
		if !own {
			other.mutex.Lock()
		}
		for _, member := range other.running {
			if strings.HasPrefix(member.task, prefix) && member.number == r.number {
				other.endLocked(member, how)
			}
		}
		if !own {
			other.mutex.Unlock()
		}
	}
}

// gatherLocked lets a gang work once all of its tasks are there. The caller holds the
// mutex of the world and of no worker.
func (w *world) gatherLocked(r *run) {
	prefix := r.task[:strings.LastIndexByte(r.task, '.')+1]
	var members []*run
	for _, other := range w.workers {
		other.mutex.Lock()
		for _, member := range other.running {
			if strings.HasPrefix(member.task, prefix) && member.number == r.number {
				members = append(members, member)
			}
		}
		other.mutex.Unlock()
	}
	if len(members) == r.step.count {
		for _, member := range members {
			member.workFrom = time.Now()
		}
	}
}

func (w *worker) handle(rw http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if w.isDead() {
		<-w.silent
		return
	}
	if target := request.Header.Get("X-Samphirewick-Target-Instance"); target != "" && target != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if w.world.delayOrder != nil && request.URL.Path != "/api/hold" {
		if delay := w.world.delayOrder(w.id, request.URL.Path, body); delay > 0 {
			w.world.rec.add("worker %s life %d: leaves %s %s without an answer, carries it out %v later", w.id, w.life, request.URL.Path, body, delay)
			go func() {
				time.Sleep(delay)
				w.world.rec.add("worker %s life %d: carries out late %s %s", w.id, w.life, request.URL.Path, body)
				_, _ = w.carryOut(context.Background(), request.URL.Path, body)
			}()
			<-w.silent
			return
		}
	}
	status, answer := w.carryOut(request.Context(), request.URL.Path, body)
	if w.isDead() {
		<-w.silent
		return
	}
	w.answer(rw, status, answer)
}

func (w *worker) answer(rw http.ResponseWriter, status int, answer map[string]any) {
	answer["clockMs"] = w.clock().Milliseconds()
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("X-Samphirewick-Instance-Id", w.id)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

// order holds the fields of all orders.
type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	FenceToken     uint64 `json:"fenceToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	Ticket         string `json:"ticket"`
	Percent        int    `json:"percent"`
	LastSeen       int    `json:"lastSeen"`
	WaitMs         int64  `json:"waitMs"`
}

func (w *worker) carryOut(ctx context.Context, path string, body []byte) (int, map[string]any) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	w.mutex.Lock()
	if w.dead {
		w.mutex.Unlock()
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.FenceToken < w.fence {
		w.mutex.Unlock()
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = o.FenceToken
	w.mutex.Unlock()
	switch path {
	case "/api/hold":
		return w.hold(ctx, o)
	case "/api/run-start":
		return w.startRun(o)
	case "/api/run-stop":
		return w.stopRun(o)
	case "/api/pace":
		return w.paceRun(o)
	default:
		return http.StatusNotFound, map[string]any{}
	}
}

func (w *worker) extendLocked(deadlineMs int64) {
	deadline := time.Duration(deadlineMs) * time.Millisecond
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold))
}

func (w *worker) startRun(o order) (int, map[string]any) {
	w.world.mutex.Lock()
	defer w.world.mutex.Unlock()
	w.mutex.Lock()
	if time.Duration(o.DeadlineMs)*time.Millisecond < w.clock() {
		w.mutex.Unlock()
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extendLocked(o.DeadlineMs)
	if r, ok := w.running[o.Task]; ok && r.number == o.Run {
		w.mutex.Unlock()
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.highest[o.Task] {
		w.mutex.Unlock()
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	id := o.Task[:strings.IndexByte(o.Task, '.')]
	var k, number, index int
	_, _ = fmt.Sscanf(o.Task[len(id):], ".%d.%d.%d", &k, &number, &index)
	known, ok := w.world.jobs[id]
	if !ok || number >= len(known.steps) {
		w.mutex.Unlock()
		return http.StatusBadRequest, map[string]any{}
	}
	r := &run{
		task: o.Task, number: o.Run, worker: w.id, life: w.life, began: time.Now(), pace: 100, job: id,
		step: known.steps[number], work: known.work,
	}
	if !r.step.gang {
		r.workFrom = r.began.Add(startup)
	}
	w.running[o.Task] = r
	w.world.runs = append(w.world.runs, r)
	w.world.rec.add("worker %s life %d: run %s/%d starts, fence %d", w.id, w.life, r.task, r.number, o.FenceToken)
	w.mutex.Unlock()
	if r.step.gang {
		w.world.gatherLocked(r)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(o order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r, ok := w.running[o.Task]
	if !ok || r.number > o.Run || r.stopping {
		return http.StatusOK, map[string]any{}
	}
	r.stopping = true
	w.world.rec.add("worker %s life %d: run %s/%d is told to stop", w.id, w.life, r.task, r.number)
	time.AfterFunc(stopTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if !w.dead {
			w.endLocked(r, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

func (w *worker) paceRun(o order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r, ok := w.running[o.Task]
	if !ok || r.number != o.Run {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if r.pace != o.Percent {
		w.world.rec.add("worker %s life %d: run %s/%d paced to %d", w.id, w.life, r.task, r.number, o.Percent)
	}
	r.pace = o.Percent
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(ctx context.Context, o order) (int, map[string]any) {
	w.mutex.Lock()
	if o.DeadlineMs > 0 {
		w.extendLocked(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0].position <= o.LastSeen {
		w.ended[0].run.noted = true
		w.ended = w.ended[1:]
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mutex.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		w.mutex.Lock()
		if expired {
			break
		}
	}
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", w.percentLocked(r), w.figureLocked(r)})
	}
	for _, e := range w.ended[:min(500, len(w.ended))] {
		ended = append(ended, []any{e.position, e.run.task, e.run.number, e.run.how, ""})
	}
	return http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": ended}
}

func (w *worker) percentLocked(r *run) int {
	switch {
	case r.workFrom.IsZero() || time.Now().Before(r.workFrom):
		return 0
	case r.step.longRunning:
		return 100
	default:
		return min(99, int(100*time.Since(r.workFrom)/r.work))
	}
}

// figureLocked returns the fifth element of a row: the tail of a task that serves, or
// the processors in use.
func (w *worker) figureLocked(r *run) int {
	if r.step.targetMs > 0 {
		tail, _ := w.tailLocked()
		return int(tail)
	}
	return int(r.step.cpu) * r.pace / 100
}

// tailLocked returns the tail of the tasks that serve, with and without the tasks that
// fill beside them.
func (w *worker) tailLocked() (tail, without float64) {
	without = w.world.load
	tail = without
	for _, r := range w.running {
		if r.step.fills {
			tail += w.world.jobs[r.job].perFill * float64(r.pace) / 100
		}
	}
	return tail, without
}
