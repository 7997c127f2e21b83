package delegator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/agent"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// testWorker is a worker that keeps its attempts running while it has a lease.
type testWorker struct {
	mutex    sync.Mutex
	name     string
	born     int64
	began    time.Time
	fence    uint64
	deadline time.Duration
	running  map[modeler.TaskName]int
	fenced   map[modeler.TaskName]int
	starts   map[modeler.Attempt]int
	// lapses counts the leases that have ended while attempts ran, lateCalls the calls that
	// arrived after the end of their time-outs.
	lapses, lateCalls int
	// polls counts the polls by the entry that made them.
	polls map[string]int
}

func newTestWorker(name string) *testWorker {
	return &testWorker{
		name: name, born: 1, began: time.Now(), running: map[modeler.TaskName]int{}, fenced: map[modeler.TaskName]int{},
		starts: map[modeler.Attempt]int{}, polls: map[string]int{},
	}
}

// visit runs the function under the mutex, after the end of a lease that is over.
func (w *testWorker) visit(f func(clock time.Duration)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clock := time.Since(w.began)
	if clock > w.deadline && len(w.running) > 0 {
		w.lapses++
		clear(w.running)
	}
	f(clock)
}

func (w *testWorker) calls(caller string) supervisor.Calls {
	return supervisor.Calls{
		Start: func(_ context.Context, _ modeler.Session, o supervisor.StartOrder) (result supervisor.StartResult, _ error) {
			w.visit(func(clock time.Duration) {
				switch {
				case o.Fence < w.fence:
					result = supervisor.ResultFenced
				case o.Deadline <= clock:
					result = supervisor.ResultLate
				case o.Attempt.Number <= w.fenced[o.Attempt.Task]:
					result = supervisor.ResultStale
				default:
					w.fence, w.deadline, result = o.Fence, max(w.deadline, o.Deadline), supervisor.ResultStarted
					w.running[o.Attempt.Task] = o.Attempt.Number
					w.starts[o.Attempt]++
				}
			})
			return result, nil
		},
		Stop: func(_ context.Context, _ modeler.Session, o supervisor.StopOrder) error {
			w.visit(func(time.Duration) {
				delete(w.running, o.Attempt.Task)
				w.fenced[o.Attempt.Task] = max(w.fenced[o.Attempt.Task], o.Attempt.Number)
			})
			return nil
		},
		Pace: func(context.Context, modeler.Session, supervisor.PaceOrder) error { return nil },
		Poll: func(ctx context.Context, _ modeler.Session, o supervisor.PollOrder) (r supervisor.PollResult, _ error) {
			w.visit(func(time.Duration) {
				w.polls[caller]++
				if o.Fence >= w.fence {
					w.fence, w.deadline = o.Fence, max(w.deadline, o.Deadline)
				}
			})
			select {
			case <-ctx.Done():
				return r, ctx.Err()
			case <-time.After(o.Wait):
			}
			w.visit(func(clock time.Duration) {
				r = supervisor.PollResult{Clock: clock, StartedAtMillis: w.born, Full: true}
				for task, number := range w.running {
					r.Running = append(r.Running, supervisor.Running{Task: task, Number: number})
				}
			})
			return r, nil
		},
	}
}

// testEntry is an entry with its connection to the leader.
type testEntry struct {
	agent *agent.Agent

	mutex sync.Mutex
	fault fault
}

// fault is what is wrong with an entry.
type fault struct {
	// isFrozen keeps exchanges in the entry's socket and calls from going out.
	isFrozen bool
	// isGone refuses connections.
	isGone bool
	// losesAnswers loses the answers to exchanges.
	losesAnswers bool
	// losesResults loses half of the results in an answer.
	losesResults bool
	// isSevered keeps the entry from reaching workers.
	isSevered bool
}

func (e *testEntry) set(f fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = f
}

func (e *testEntry) get() fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault
}

// awaitThaw blocks while the entry is frozen.
func (e *testEntry) awaitThaw() {
	for e.get().isFrozen {
		time.Sleep(time.Millisecond)
	}
}

// cell is a leader with workers and entries.
type cell struct {
	t       *testing.T
	began   time.Time
	workers map[string]*testWorker
	entries map[string]*testEntry

	mutex   sync.Mutex
	state   reducer.State
	epoch   uint64
	leader  *Delegator
	manager *supervisor.Supervisor
	// stop ends the present leadership.
	stop func()
}

const latency = 5 * time.Millisecond

// runCell runs the test in a bubble, with workers that each run one task and four entries that
// call all but direct of the workers.
func runCell(t *testing.T, workers, direct int, test func(t *testing.T, c *cell)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &cell{
			t: t, began: time.Now(), state: reducer.NewState(),
			workers: map[string]*testWorker{}, entries: map[string]*testEntry{},
		}
		c.apply(reducer.Command{Kind: reducer.KindApplyQueueTable, Table: &modeler.QueueTable{
			Version: 1, Pools: []modeler.Pool{{Name: "planner"}},
			Queues: []modeler.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "planner", MaxAttempts: 3, Timeout: 1}},
		}})
		for i := range workers {
			w := newTestWorker(fmt.Sprintf("w%03d", i))
			c.workers[w.name] = w
			c.apply(reducer.Command{Kind: reducer.KindAnnounceSession, Session: &modeler.Session{
				Worker: w.name, StartedAtMillis: 1, Address: w.name + ":1", Service: "planner", Capacity: modeler.Resources{Processors: 10},
			}})
		}
		for i := range 4 {
			c.addEntry(fmt.Sprintf("e%d", i))
		}
		c.lead(1, direct)
		time.Sleep(2 * time.Second)
		for name := range c.workers {
			c.start(name, name)
		}
		time.Sleep(2 * time.Second)
		c.check(workers)
		test(t, c)
		for _, e := range c.entries {
			e.set(fault{})
		}
		c.stop()
		time.Sleep(10 * time.Second)
	})
}

func (c *cell) now() time.Duration { return time.Since(c.began) + time.Hour }

// entryNow is the clock of the entries.
func (c *cell) entryNow() time.Duration { return c.now() + time.Minute }

func (c *cell) addEntry(name string) {
	e := &testEntry{}
	c.entries[name] = e
	// worker returns the calls to a worker once the entry can make them. The call must be in
	// time when it is made, and is not sent if it is late by then.
	worker := func(ctx context.Context, s modeler.Session) (supervisor.Calls, error) {
		by, ok := supervisor.SendBy(ctx)
		if !ok || c.entryNow() > by {
			c.workers[s.Worker].visit(func(time.Duration) { c.workers[s.Worker].lateCalls++ })
		}
		e.awaitThaw()
		if c.entryNow() > by {
			return supervisor.Calls{}, supervisor.ErrNotSent
		}
		if e.get().isSevered {
			<-ctx.Done()
			return supervisor.Calls{}, ctx.Err()
		}
		time.Sleep(latency)
		return c.workers[s.Worker].calls(name), nil
	}
	e.agent = agent.New(agent.Options{
		Calls: supervisor.Calls{
			Start: func(ctx context.Context, s modeler.Session, o supervisor.StartOrder) (supervisor.StartResult, error) {
				w, err := worker(ctx, s)
				if err != nil {
					return "", err
				}
				return w.Start(ctx, s, o)
			},
			Stop: func(ctx context.Context, s modeler.Session, o supervisor.StopOrder) error {
				w, err := worker(ctx, s)
				if err != nil {
					return err
				}
				return w.Stop(ctx, s, o)
			},
			Poll: func(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (supervisor.PollResult, error) {
				w, err := worker(ctx, s)
				if err != nil {
					return supervisor.PollResult{}, err
				}
				return w.Poll(ctx, s, o)
			},
		},
		Life: name, Now: c.entryNow, OnWorkers: func(int) {},
	})
}

var errNoAnswer = errors.New("no answer")

// exchange carries an exchange over the network, encoded.
func (c *cell) exchange(ctx context.Context, address string, x messenger.CallExchange) (messenger.CallResults, error) {
	e := c.entries[address]
	if e.get().isGone {
		return messenger.CallResults{}, fmt.Errorf("%w: connection refused", supervisor.ErrNotSent)
	}
	answers := make(chan messenger.CallResults, 1)
	go func() {
		time.Sleep(latency)
		e.awaitThaw()
		// The server of the entry goes on with an exchange that the leader has given up.
		answers <- e.agent.Exchange(context.WithoutCancel(ctx), copied(c.t, x))
	}()
	select {
	case <-ctx.Done():
		return messenger.CallResults{}, errNoAnswer
	case r := <-answers:
		state := e.get()
		if state.isGone || state.losesAnswers || state.isFrozen {
			<-ctx.Done()
			return messenger.CallResults{}, errNoAnswer
		}
		if state.losesResults && len(r.Results) > 1 {
			r.Results = r.Results[:len(r.Results)/2]
		}
		time.Sleep(latency)
		return copied(c.t, r), nil
	}
}

func copied[V any](t *testing.T, v V) V {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Error(err)
	}
	var decoded V
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Error(err)
	}
	return decoded
}

func (c *cell) apply(command reducer.Command) reducer.Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var result reducer.Result
	command.At = time.Now()
	c.state, result, _ = reducer.Apply(c.state, c.state.Revision+1, command)
	return result
}

func (c *cell) snapshot() reducer.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// leads reports whether the leader of the epoch is the present one.
func (c *cell) leads(epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.epoch == epoch
}

// lead starts a leadership. That of an earlier epoch goes on until it is stopped, without
// being confirmed.
func (c *cell) lead(epoch uint64, direct int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.epoch = epoch
	c.mutex.Unlock()
	isConfirmed := func(context.Context) bool { return c.leads(epoch) }
	calls := func(f func(calls supervisor.Calls), s modeler.Session) {
		time.Sleep(latency)
		f(c.workers[s.Worker].calls("leader"))
	}
	c.leader = New(Options{
		Direct: supervisor.Calls{
			Start: func(ctx context.Context, s modeler.Session, o supervisor.StartOrder) (r supervisor.StartResult, err error) {
				calls(func(w supervisor.Calls) { r, err = w.Start(ctx, s, o) }, s)
				return r, err
			},
			Stop: func(ctx context.Context, s modeler.Session, o supervisor.StopOrder) (err error) {
				calls(func(w supervisor.Calls) { err = w.Stop(ctx, s, o) }, s)
				return err
			},
			Pace: func(ctx context.Context, s modeler.Session, o supervisor.PaceOrder) (err error) {
				calls(func(w supervisor.Calls) { err = w.Pace(ctx, s, o) }, s)
				return err
			},
			Poll: func(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (r supervisor.PollResult, err error) {
				calls(func(w supervisor.Calls) { r, err = w.Poll(ctx, s, o) }, s)
				return r, err
			},
		},
		SetBounded: func(bool) {}, Exchange: c.exchange,
		Workers: func() []string {
			var keys []string
			for _, s := range reducer.Values(c.snapshot().Sessions) {
				keys = append(keys, s.Key())
			}
			return keys
		},
		Entries: func() []string {
			return slices.Sorted(maps.Keys(c.entries))
		},
		Capacity: direct, Epoch: epoch, Now: c.now, AwaitConfirmed: isConfirmed, Log: zap.NewNop(),
	})
	c.manager = supervisor.New(supervisor.Options{
		Calls: c.leader.Calls(), Epoch: epoch, Since: c.now(), LongestLease: 6 * time.Second, Now: c.now, State: c.snapshot,
		StartedBy: func(modeler.TaskName) time.Duration { return c.now() },
		WasListed: func(modeler.Attempt) bool { return false },
		Propose: func(_ context.Context, command reducer.Command) (reducer.Result, error) {
			time.Sleep(10 * time.Millisecond)
			if !c.leads(epoch) {
				return reducer.Result{}, errNoAnswer
			}
			return c.apply(command), nil
		},
		Confirm: func() bool { return c.leads(epoch) }, AwaitConfirmed: isConfirmed,
		OnRunning: func(context.Context, modeler.Session, []supervisor.Running) {},
		OnEnded:   func(reducer.AttemptEnd) {}, Log: zap.NewNop(),
	})
	var group sync.WaitGroup
	for _, run := range []func(context.Context) error{c.leader.Run, c.manager.Run} {
		group.Go(func() {
			if err := run(ctx); err != nil {
				c.t.Error(err)
			}
		})
	}
	c.stop = func() {
		cancel()
		group.Wait()
	}
}

// start submits a workflow with one task, and commits and sends its start on the worker.
func (c *cell) start(workflow, worker string) {
	step := modeler.StepSpec{Count: 1, Need: modeler.Resources{Processors: 1}}
	c.apply(reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &modeler.WorkflowSpec{
		ID: workflow, Queue: "q", Steps: []modeler.StepSpec{step},
	}})
	a := modeler.Attempt{Task: modeler.TaskName{Workflow: workflow}, Session: modeler.SessionKey(worker, 1)}
	if c.apply(reducer.Command{Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{a}}).Accepted != 1 {
		c.t.Fatalf("the start on %s was not accepted", worker)
	}
	a.Number = 1
	c.manager.Start(context.Background(), supervisor.StartOrder{Attempt: a})
}

// check fails the test unless that many attempts run, each started once, with no lease ended and
// no call sent late.
func (c *cell) check(want int) {
	c.t.Helper()
	running := 0
	for name, w := range c.workers {
		w.visit(func(time.Duration) {
			running += len(w.running)
			if w.lapses > 0 || w.lateCalls > 0 {
				c.t.Errorf("%s: %d leases ended, %d calls were sent late", name, w.lapses, w.lateCalls)
			}
			for a, count := range w.starts {
				if count > 1 {
					c.t.Errorf("%s: attempt %v was started %d times", name, a, count)
				}
			}
		})
	}
	held := 0
	for _, session := range reducer.Values(c.snapshot().Sessions) {
		held += len(session.Tasks)
	}
	if held != want {
		c.t.Errorf("the state holds %d started attempts, want %d", held, want)
	}
	if running != want {
		c.t.Errorf("%d attempts run, want %d", running, want)
	}
}

// usedEntries returns the addresses of the entries that have workers.
func (c *cell) usedEntries() []string {
	c.leader.mutex.Lock()
	defer c.leader.mutex.Unlock()
	used := map[string]struct{}{}
	for _, s := range reducer.Values(c.snapshot().Sessions) {
		if entry := c.leader.assigner.Entry(s.Key()); entry != "" {
			used[entry] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(used))
}
