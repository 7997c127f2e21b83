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

var errLost = errors.New("the answer was lost")

// fakeWorker behaves as a worker that takes its orders by call. Its clock is
// as slow as workers' clocks may be.
type fakeWorker struct {
	mutex    sync.Mutex
	session  modeler.Session
	started  time.Time
	epoch    uint64
	deadline time.Duration
	running  map[modeler.TaskName]int
	fenced   map[modeler.TaskName]int
	ends     []Ended
	forgot   uint64
	// startsSeen counts the starts that took effect, looksSeen the looks.
	startsSeen int
	looksSeen  int

	// cut workers answer nothing and get nothing.
	cut bool
	// loseStarts starts take effect and their answers are lost.
	loseStarts bool
	// full workers refuse starts.
	full bool
	// delayStarts starts have no answer and take effect after the delay.
	delayStarts time.Duration
}

func newFakeWorker(session modeler.Session) *fakeWorker {
	return &fakeWorker{
		session: session, started: time.Now(),
		running: map[modeler.TaskName]int{}, fenced: map[modeler.TaskName]int{},
	}
}

func (f *fakeWorker) clock() time.Duration {
	return time.Since(f.started) * slowestRate / percent
}

// expire kills what runs once the lease has ended; the mutex is held.
func (f *fakeWorker) expire() {
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
	position := f.forgot + uint64(len(f.ends)) + 1
	f.ends = append(f.ends, Ended{Position: position, Task: name, Number: number, Outcome: outcome})
}

func (f *fakeWorker) finish(name modeler.TaskName) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if number, ok := f.running[name]; ok {
		f.endLocked(name, number, reducer.AttemptFinished)
	}
}

func (f *fakeWorker) runs(name modeler.TaskName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	_, ok := f.running[name]
	return ok
}

func (f *fakeWorker) starts() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.startsSeen
}

func (f *fakeWorker) looks() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.looksSeen
}

func (f *fakeWorker) unforgotten() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.ends)
}

func (f *fakeWorker) isCut() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.cut
}

// set changes what the worker does wrong.
func (f *fakeWorker) set(change func(*fakeWorker)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

func (f *fakeWorker) take(o StartOrder) StartResult {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	switch {
	case o.Epoch < f.epoch:
		return ResultFenced
	case f.full:
		return ResultFull
	case o.Attempt.Number <= f.fenced[o.Attempt.Task]:
		return ResultStale
	case o.Deadline <= f.clock():
		return ResultLate
	}
	f.epoch = o.Epoch
	f.deadline = max(f.deadline, o.Deadline)
	f.running[o.Attempt.Task] = o.Attempt.Number
	f.startsSeen++
	return ResultStarted
}

func (f *fakeWorker) start(ctx context.Context, o StartOrder) (StartResult, error) {
	f.mutex.Lock()
	cut, lose, delay := f.cut, f.loseStarts, f.delayStarts
	f.mutex.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { f.take(o) })
	}
	if cut || delay > 0 {
		<-ctx.Done()
		return "", ctx.Err()
	}
	verdict := f.take(o)
	if lose {
		<-ctx.Done()
		return "", errLost
	}
	return verdict, nil
}

func (f *fakeWorker) stop(ctx context.Context, o StopOrder) error {
	if f.isCut() {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if o.Epoch < f.epoch {
		return nil
	}
	f.epoch = o.Epoch
	f.fenced[o.Attempt.Task] = max(f.fenced[o.Attempt.Task], o.Attempt.Number)
	if number, ok := f.running[o.Attempt.Task]; ok && number == o.Attempt.Number {
		f.endLocked(o.Attempt.Task, number, reducer.AttemptStopped)
	}
	return nil
}

func (f *fakeWorker) look(ctx context.Context, o PollOrder) (PollResult, error) {
	f.set(func(f *fakeWorker) { f.looksSeen++ })
	wait := time.NewTimer(o.Wait)
	defer wait.Stop()
	for {
		if f.isCut() {
			<-ctx.Done()
			return PollResult{}, ctx.Err()
		}
		look, ready := f.glance(o)
		if ready {
			return look, nil
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

// glance reports whether the answer to a look is due.
func (f *fakeWorker) glance(o PollOrder) (PollResult, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if o.Epoch >= f.epoch {
		f.epoch = o.Epoch
		f.deadline = max(f.deadline, o.Deadline)
		for len(f.ends) > 0 && f.ends[0].Position <= o.Acked {
			f.ends = f.ends[1:]
			f.forgot++
		}
	}
	look := PollResult{Clock: f.clock(), Born: f.session.Born, Full: true, Ended: append([]Ended(nil), f.ends...)}
	for name, number := range f.running {
		look.Running = append(look.Running, Running{Task: name, Number: number, Checkpoint: "saved"})
	}
	return look, o.Wait == 0 || len(f.ends) > 0
}

// bench is a supervisor with one worker and a state of its own.
type bench struct {
	t          *testing.T
	mutex      sync.Mutex
	state      reducer.State
	worker     *fakeWorker
	leads      bool
	supervisor *Supervisor
	stop       func()
	began      time.Time
}

var onlyTask = modeler.TaskName{Workflow: "job"}

const onlySession = "w0@1"

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, state: reducer.NewState(), leads: true, began: time.Now()}
	session := modeler.Session{
		Worker: "w0", Born: 1, Address: "w0:1", Service: "planner", Capacity: modeler.Resources{Processors: 10},
	}
	b.worker = newFakeWorker(session)
	b.apply(reducer.Command{Kind: reducer.KindApplyTable, Table: &modeler.QueueTable{
		Version: 1, Pools: []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "planner", MaxAttempts: 3, Timeout: 1}},
	}})
	b.apply(reducer.Command{Kind: reducer.KindAnnounceSession, Session: &session})
	step := modeler.StepSpec{Count: 1, Need: modeler.Resources{Processors: 1}}
	b.apply(reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &modeler.WorkflowSpec{
		ID: "job", Queue: "q", Steps: []modeler.StepSpec{step},
	}})
	b.lead(1)
	return b
}

func (b *bench) apply(c reducer.Command) reducer.Result {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var result reducer.Result
	c.At = time.Now()
	b.state, result, _ = reducer.Apply(b.state, b.state.Revision+1, c)
	return result
}

func (b *bench) snapshot() reducer.State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state
}

func (b *bench) setLeads(leads bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leads = leads
}

// lead begins a leadership under the epoch, with nothing known of the one before.
func (b *bench) lead(epoch uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	now := func() time.Duration { return time.Since(b.began) + time.Hour }
	s := New(Options{
		Calls: Calls{
			Start: func(ctx context.Context, _ modeler.Session, o StartOrder) (StartResult, error) {
				return b.worker.start(ctx, o)
			},
			Stop: func(ctx context.Context, _ modeler.Session, o StopOrder) error { return b.worker.stop(ctx, o) },
			Pace: func(context.Context, modeler.Session, PaceOrder) error { return nil },
			Poll: func(ctx context.Context, _ modeler.Session, o PollOrder) (PollResult, error) {
				return b.worker.look(ctx, o)
			},
		},
		Epoch: epoch, Since: now(), Now: now, State: b.snapshot,
		Propose: func(_ context.Context, c reducer.Command) (reducer.Result, error) {
			time.Sleep(10 * time.Millisecond)
			return b.apply(c), nil
		},
		Confirm: func() bool {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.leads
		},
		OnRunning: func(context.Context, modeler.Session, []Running) {},
		OnEnded:   func(reducer.AttemptEnd) {},
		Log:       zap.NewNop(),
	})
	b.supervisor = s
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	b.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			b.t.Error(err)
		}
	}
}

// commit commits the next start of the task and returns its attempt.
func (b *bench) commit() modeler.Attempt {
	a := modeler.Attempt{Task: onlyTask, Session: onlySession}
	if b.apply(reducer.Command{Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{a}}).Accepted != 1 {
		b.t.Fatal("the start was not accepted")
	}
	a.Number = b.task().Attempt
	return a
}

func (b *bench) task() modeler.WorkflowTask {
	w, _ := b.snapshot().Workflows.Get("job")
	task, _ := w.Task(onlyTask)
	return task
}

func (b *bench) startNext() {
	time.Sleep(100 * time.Millisecond)
	b.supervisor.Start(context.Background(), StartOrder{Attempt: b.commit()})
}
