package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// testLongestLease is the longest lease that the fake worker grants.
const testLongestLease = 6 * time.Second

var errLost = errors.New("answer was lost")

// fakeWorker behaves as a worker that takes its orders by call. Its clock runs at
// minClockRate, the lowest rate allowed.
type fakeWorker struct {
	mutex        sync.Mutex
	session      modeler.Session
	started      time.Time
	fence        uint64
	deadline     time.Duration
	running      map[modeler.TaskName]int
	fenced       map[modeler.TaskName]int
	ends         []Ended
	acknowledged uint64
	// acceptedStarts counts the starts that took effect, polls the polls.
	acceptedStarts int
	polls          int
	// lastPoll is the last poll that renews the lease.
	lastPoll PollOrder
	// lastAck is the last poll that acknowledges ends.
	lastAck PollOrder

	// disconnected workers receive no calls and answer none.
	disconnected bool
	// refusing workers refuse polls at once, as a machine without the program does.
	refusing bool
	// loseStartAnswers makes starts take effect while their answers are lost.
	loseStartAnswers bool
	// garbled makes the rows of the worker's lists unreadable.
	garbled bool
	// full makes the worker refuse starts with ResultFull.
	full bool
	// wantsTicket makes the worker refuse starts with ResultNoTicket, which set its lease all the same.
	wantsTicket bool
	// delayStarts makes starts take effect after the delay, without an answer; zero
	// for no delay.
	delayStarts time.Duration
	// frozenFor is how long the process of the leader stands still before it sends a start.
	frozenFor time.Duration
	// callerNow is the leader's clock.
	callerNow func() time.Duration
}

func newFakeWorker(session modeler.Session) *fakeWorker {
	return &fakeWorker{
		session: session, started: time.Now(),
		running: map[modeler.TaskName]int{}, fenced: map[modeler.TaskName]int{},
	}
}

func (f *fakeWorker) clock() time.Duration {
	return time.Since(f.started) * minClockRate / percent
}

// expireLease ends the running attempts if the lease has expired. The caller holds
// the mutex.
func (f *fakeWorker) expireLease() {
	if f.clock() < f.deadline {
		return
	}
	for name, number := range f.running {
		f.endLocked(name, number, reducer.AttemptLapsed)
	}
}

func (f *fakeWorker) endLocked(name modeler.TaskName, number int, outcome reducer.AttemptOutcome) {
	delete(f.running, name)
	f.fenced[name] = max(f.fenced[name], number)
	position := f.acknowledged + uint64(len(f.ends)) + 1
	f.ends = append(f.ends, Ended{Position: position, Task: name, Number: number, Outcome: outcome})
}

func (f *fakeWorker) finish(name modeler.TaskName) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expireLease()
	if number, ok := f.running[name]; ok {
		f.endLocked(name, number, reducer.AttemptFinished)
	}
}

func (f *fakeWorker) runs(name modeler.TaskName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expireLease()
	_, ok := f.running[name]
	return ok
}

func (f *fakeWorker) startCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.acceptedStarts
}

func (f *fakeWorker) pollCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.polls
}

// leasePoll returns the last poll that renewed the lease.
func (f *fakeWorker) leasePoll() PollOrder {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastPoll
}

// ackPoll returns the last poll that acknowledged ends.
func (f *fakeWorker) ackPoll() PollOrder {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastAck
}

func (f *fakeWorker) currentSession() modeler.Session {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.session
}

// seenFence returns the highest fence that the worker has seen.
func (f *fakeWorker) seenFence() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.fence
}

func (f *fakeWorker) unacknowledgedEnds() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.ends)
}

func (f *fakeWorker) isRefusing() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.refusing
}

func (f *fakeWorker) isDisconnected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.disconnected
}

// set changes the worker under its mutex, for example to make it fail.
func (f *fakeWorker) set(change func(*fakeWorker)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// startAgain makes the worker start again under its id and address: it runs and knows
// nothing of before, and its clock starts anew.
func (f *fakeWorker) startAgain() {
	f.session.StartedAtMillis++
	f.started, f.fence, f.deadline = time.Now(), 0, 0
	f.running, f.fenced = map[modeler.TaskName]int{}, map[modeler.TaskName]int{}
	f.ends, f.acknowledged = nil, 0
}

// extendLease extends the lease to the deadline, but not beyond testLongestLease. The caller holds
// the mutex.
func (f *fakeWorker) extendLease(deadline time.Duration) {
	f.deadline = max(f.deadline, min(deadline, f.clock()+testLongestLease))
}

func (f *fakeWorker) acceptStart(o StartOrder) StartResult {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expireLease()
	switch {
	case o.Fence < f.fence:
		return ResultFenced
	case f.full:
		f.extendLease(o.Deadline)
		return ResultFull
	case f.wantsTicket:
		f.extendLease(o.Deadline)
		return ResultNoTicket
	case o.Attempt.Number <= f.fenced[o.Attempt.Task]:
		f.extendLease(o.Deadline)
		return ResultStale
	case o.Deadline <= f.clock():
		return ResultLate
	}
	f.fence = o.Fence
	f.extendLease(o.Deadline)
	f.running[o.Attempt.Task] = o.Attempt.Number
	f.acceptedStarts++
	return ResultStarted
}

func (f *fakeWorker) start(ctx context.Context, o StartOrder) (StartResult, error) {
	f.mutex.Lock()
	disconnected, lose, delay, frozenFor := f.disconnected, f.loseStartAnswers, f.delayStarts, f.frozenFor
	f.mutex.Unlock()
	if frozenFor > 0 {
		return f.startFrozen(ctx, o, frozenFor)
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { f.acceptStart(o) })
	}
	if disconnected || delay > 0 {
		<-ctx.Done()
		return "", ctx.Err()
	}
	result := f.acceptStart(o)
	if lose {
		<-ctx.Done()
		return "", errLost
	}
	return result, nil
}

// startFrozen carries out a start that the frozen leader sends after the time, unless the context
// tells it not to.
func (f *fakeWorker) startFrozen(ctx context.Context, o StartOrder, frozenFor time.Duration) (StartResult, error) {
	time.Sleep(frozenFor)
	if by, ok := SendBy(ctx); ok && f.callerNow() > by {
		return "", ErrNotSent
	}
	return f.acceptStart(o), nil
}

func (f *fakeWorker) stop(ctx context.Context, o StopOrder) error {
	if f.isDisconnected() {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expireLease()
	if o.Fence < f.fence {
		return nil
	}
	f.fence = o.Fence
	f.fenced[o.Attempt.Task] = max(f.fenced[o.Attempt.Task], o.Attempt.Number)
	if number, ok := f.running[o.Attempt.Task]; ok && number == o.Attempt.Number {
		f.endLocked(o.Attempt.Task, number, reducer.AttemptStopped)
	}
	return nil
}

func (f *fakeWorker) poll(ctx context.Context, o PollOrder) (PollResult, error) {
	f.set(func(f *fakeWorker) {
		f.polls++
		if o.Deadline > 0 {
			f.lastPoll = o
		}
		if o.AckedPosition > 0 {
			f.lastAck = o
		}
	})
	wait := time.NewTimer(o.Wait)
	defer wait.Stop()
	for {
		if f.isRefusing() {
			return PollResult{}, ErrNotSent
		}
		if f.isDisconnected() {
			<-ctx.Done()
			return PollResult{}, ctx.Err()
		}
		result, ready := f.pollOnce(o)
		if ready {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return PollResult{}, ctx.Err()
		case <-wait.C:
			o.Wait = 0
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// pollOnce handles a poll without waiting. It returns the answer, and whether it is
// due.
func (f *fakeWorker) pollOnce(o PollOrder) (PollResult, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expireLease()
	if o.Fence >= f.fence {
		f.fence = o.Fence
		f.extendLease(o.Deadline)
		for len(f.ends) > 0 && f.ends[0].Position <= o.AckedPosition {
			f.ends = f.ends[1:]
			f.acknowledged++
		}
	}
	result := PollResult{
		Clock: f.clock(), StartedAtMillis: f.session.StartedAtMillis, Full: true, Ended: append([]Ended(nil), f.ends...),
	}
	for name, number := range f.running {
		result.Running = append(result.Running, Running{Task: name, Number: number, Checkpoint: "saved"})
	}
	if f.garbled {
		result.Unread = len(result.Running) + len(result.Ended)
		result.Running, result.Ended, result.Full = nil, nil, result.Unread == 0
	}
	return result, o.Wait == 0 || len(f.ends) > 0
}

// harness is a supervisor with one worker and a state of its own.
type harness struct {
	t          *testing.T
	mutex      sync.Mutex
	state      reducer.State
	worker     *fakeWorker
	isLeader   bool
	supervisor *Supervisor
	// startedAt is when the last start of each task was applied.
	startedAt map[modeler.TaskName]time.Duration
	// listed are the attempts that leaders have committed as listed.
	listed map[modeler.Attempt]bool
	// answerPace answers a pace order.
	answerPace func(ctx context.Context) error
	stop       func()
	began      time.Time
}

var onlyTask = modeler.TaskName{Workflow: "job"}

const onlySession = "w0@1"

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		t: t, state: reducer.NewState(), isLeader: true, began: time.Now(), startedAt: map[modeler.TaskName]time.Duration{},
		listed: map[modeler.Attempt]bool{},
	}
	h.answerPace = func(context.Context) error { return nil }
	session := modeler.Session{
		Worker: "w0", StartedAtMillis: 1, Address: "w0:1", Service: "planner", Capacity: modeler.Resources{Processors: 10},
	}
	h.worker = newFakeWorker(session)
	h.worker.callerNow = h.now
	h.apply(reducer.Command{Kind: reducer.KindApplyQueueTable, Table: &modeler.QueueTable{
		Version: 1, Pools: []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "planner", MaxAttempts: 3, Timeout: 1}},
	}})
	h.apply(reducer.Command{Kind: reducer.KindAnnounceSession, Session: &session})
	step := modeler.StepSpec{Count: 1, Need: modeler.Resources{Processors: 1}}
	h.apply(reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &modeler.WorkflowSpec{
		ID: "job", Queue: "q", Steps: []modeler.StepSpec{step},
	}})
	h.startLeader(1)
	return h
}

func (h *harness) apply(c reducer.Command) reducer.Result {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var result reducer.Result
	c.At = time.Now()
	for _, a := range c.Attempts {
		h.startedAt[a.Task] = h.now()
	}
	for _, a := range c.Listed {
		h.listed[a] = true
	}
	h.state, result, _ = reducer.Apply(h.state, h.state.Revision+1, c)
	return result
}

func (h *harness) now() time.Duration { return time.Since(h.began) + time.Hour }

func (h *harness) snapshot() reducer.State {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state
}

func (h *harness) setIsLeader(isLeader bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isLeader = isLeader
}

// startLeader starts a new supervisor under the epoch, as a new leader does that
// has only the state.
func (h *harness) startLeader(epoch uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Options{
		Calls: Calls{
			Start: func(ctx context.Context, _ modeler.Session, o StartOrder) (StartResult, error) {
				return h.worker.start(ctx, o)
			},
			Stop: func(ctx context.Context, _ modeler.Session, o StopOrder) error { return h.worker.stop(ctx, o) },
			Pace: func(ctx context.Context, _ modeler.Session, _ PaceOrder) error { return h.answerPace(ctx) },
			Poll: func(ctx context.Context, s modeler.Session, o PollOrder) (PollResult, error) {
				if s.Worker != h.worker.currentSession().Worker {
					return PollResult{}, ErrNotSent
				}
				return h.worker.poll(ctx, o)
			},
		},
		Epoch: epoch, Since: h.now(), LongestLease: testLongestLease, OrderDelay: testOrderDelay, Now: h.now, State: h.snapshot,
		StartedBy: func(name modeler.TaskName) time.Duration { return h.startedAt[name] },
		WasListed: func(a modeler.Attempt) bool { return h.listed[a] },
		Propose: func(_ context.Context, c reducer.Command) (reducer.Result, error) {
			time.Sleep(10 * time.Millisecond)
			return h.apply(c), nil
		},
		Confirm: h.isConfirmed,
		AwaitConfirmed: func(ctx context.Context) bool {
			for deadline := time.Now().Add(time.Second); !h.isConfirmed() && ctx.Err() == nil; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					return false
				}
			}
			return h.isConfirmed()
		},
		OnRunning: func(context.Context, modeler.Session, []Running) {},
		OnEnded:   func(reducer.AttemptEnd) {},
		Log:       zap.NewNop(),
	})
	h.supervisor = s
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	h.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			h.t.Error(err)
		}
	}
}

func (h *harness) isConfirmed() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isLeader
}

// commitStart commits the next start of the task and returns its attempt.
func (h *harness) commitStart() modeler.Attempt { return h.commitStartOn(onlySession) }

// commitStartOn commits the next start of the task on the session and returns its attempt.
func (h *harness) commitStartOn(session string) modeler.Attempt {
	a := modeler.Attempt{Task: onlyTask, Session: session}
	if h.apply(reducer.Command{Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{a}}).Accepted != 1 {
		h.t.Fatal("start was not accepted")
	}
	a.Number = h.task().Attempt
	return a
}

// restartWorker makes the worker start again under its id and address, and returns the key of
// the session of its later life. No call reaches the worker meanwhile.
func (h *harness) restartWorker() string {
	h.worker.set(func(f *fakeWorker) { f.disconnected = true })
	time.Sleep(10 * time.Millisecond)
	h.worker.set(func(f *fakeWorker) { f.startAgain(); f.disconnected = false })
	return h.worker.currentSession().Key()
}

// announceLaterLife awaits the end of the session of the earlier life, as a heartbeat does, and
// announces the later one.
func (h *harness) announceLaterLife() {
	h.t.Helper()
	if err := h.supervisor.AwaitEnd(h.t.Context(), onlySession); err != nil {
		h.t.Fatal(err)
	}
	session := h.worker.currentSession()
	h.apply(reducer.Command{Kind: reducer.KindAnnounceSession, ReportsBegins: true, Session: &session})
	h.supervisor.Sync(onlySession)
	h.supervisor.Sync(session.Key())
}

// cutOffUntilReleased cuts the worker off, and checks that the state holds the task for as long
// as the worker runs it, and no longer than that for good. It returns for how long it did.
func (h *harness) cutOffUntilReleased() time.Duration {
	h.t.Helper()
	h.worker.set(func(f *fakeWorker) { f.disconnected = true })
	held := time.Duration(0)
	for began := time.Now(); time.Since(began) < h.longestHold(); time.Sleep(5 * time.Millisecond) {
		if h.task().HoldsResources() {
			held = time.Since(began)
		} else if h.worker.runs(onlyTask) {
			h.t.Fatal("attempt was committed as ended while the worker ran it")
		}
	}
	if h.task().HoldsResources() {
		h.t.Errorf("task is %+v, want it released", h.task())
	}
	return held
}

// longestHold returns the longest time for which the state holds an attempt on a worker that does
// not answer: the last order for it is given up, is carried out late, and sets the longest lease.
func (h *harness) longestHold() time.Duration {
	return maxOrderTime + testOrderDelay + h.supervisor.longestLease() + lostPollDelay
}

func (h *harness) task() modeler.WorkflowTask {
	w, _ := h.snapshot().Workflows.Get("job")
	task, _ := w.Task(onlyTask)
	return task
}

// hasFinished reports whether the only task, and so its workflow, has finished.
func (h *harness) hasFinished() bool {
	w, _ := h.snapshot().Workflows.Get("job")
	return w.Phase == modeler.WorkflowFinished
}

func (h *harness) startNext() {
	time.Sleep(100 * time.Millisecond)
	h.supervisor.Start(context.Background(), StartOrder{Attempt: h.commitStart()})
}
