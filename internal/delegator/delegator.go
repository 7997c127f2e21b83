// Package delegator has entries make the leader's calls to workers where the leader has no
// descriptors for connections to all of them. The leader goes on to decide about every call: its
// time-out, its deadline on the worker's clock and its meaning.
package delegator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/assigner"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

const (
	// updateInterval is how often workers and entries are compared with the assignments.
	updateInterval = 250 * time.Millisecond
	// minAvoid and maxAvoid bound how long an entry that has failed gets no workers. The time
	// doubles with each failure, and is minAvoid again after maxAvoid without one.
	minAvoid = 2 * time.Second
	maxAvoid = 30 * time.Second
	// urgentWait is the wait up to which the answer to a poll is waited for by an order.
	urgentWait = 100 * time.Millisecond
)

// Errors of delegated calls.
var (
	// errEntryLost ends calls that the entry may have made.
	errEntryLost = errors.New("the entry that makes the calls does not answer")
	errGivenUp   = errors.New("the call was given up")
)

// Options configures a delegator.
type Options struct {
	// Direct are the calls that the leader makes itself.
	Direct supervisor.Calls
	// SetBounded makes the direct calls use as few connections as possible. Never nil.
	SetBounded func(isBounded bool)
	// Exchange exchanges calls and results with the entry at the address. Its error wraps
	// supervisor.ErrNotSent if the entry has surely not got the exchange. Never nil.
	Exchange func(ctx context.Context, address string, x messenger.CallExchange) (messenger.CallResults, error)
	// Workers returns the keys of all sessions, Entries the addresses of the entries that
	// can take workers, preferred ones first. Neither is nil.
	Workers func() []string
	Entries func() []string
	// Capacity is how many workers the leader calls itself.
	Capacity int
	// Epoch is the leader's term.
	Epoch uint64
	// Now is a clock that goes on while the machine is suspended. Never nil.
	Now func() time.Duration
	// AwaitConfirmed waits for a short time until this member surely leads, and reports
	// whether it does. Never nil.
	AwaitConfirmed func(ctx context.Context) bool
	Log            *zap.Logger
}

// Stats counts what a delegator does.
type Stats struct {
	// Workers is the number of delegated workers, Entries that of the entries that call them.
	Workers, Entries int
	// Exchanges, Calls and Failures count exchanges, delegated calls and entries that failed.
	Exchanges, Calls, Failures uint64
}

// Delegator makes the calls of one leadership.
type Delegator struct {
	options Options
	group   *runner.Group
	// started receives the lines whose goroutine Run has to start.
	started chan *line

	lastID, exchanges, calls, failures atomic.Uint64

	mutex    sync.Mutex
	assigner *assigner.Assigner
	lines    map[string]*line
	avoided  map[string]avoidance
	bases    map[string]base
	// reported is the number of delegated workers that was logged last.
	reported int
}

// avoidance tells until when an entry that has failed gets no workers.
type avoidance struct {
	until, last time.Duration
	length      time.Duration
}

// base is the last result of a poll of a worker.
type base struct {
	// life is the process of the entry that has the result too, id that of the poll.
	life    string
	id      uint64
	running []supervisor.Running
}

// startedCapacity bounds the lines that wait for Run; there are fewer entries.
const startedCapacity = 4096

// New returns a delegator, which assigns workers at once. Run serves it.
func New(options Options) *Delegator {
	d := &Delegator{
		options: options, group: runner.NewGroup(), started: make(chan *line, startedCapacity),
		assigner: assigner.New(options.Capacity), lines: map[string]*line{}, avoided: map[string]avoidance{},
		bases: map[string]base{},
	}
	d.update()
	return d
}

// Calls returns the calls in the form that the supervisor needs.
func (d *Delegator) Calls() supervisor.Calls {
	return supervisor.Calls{Start: d.start, Stop: d.stop, Pace: d.pace, Poll: d.poll}
}

// Stats returns the counts of the delegator.
func (d *Delegator) Stats() Stats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return Stats{
		Workers: d.assigner.Delegated(), Entries: d.assigner.EntriesInUse(),
		Exchanges: d.exchanges.Load(), Calls: d.calls.Load(), Failures: d.failures.Load(),
	}
}

// Run serves the delegator until the context ends. It always returns nil.
func (d *Delegator) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	defer d.options.SetBounded(false)
	for {
		select {
		case <-ctx.Done():
			return d.group.Wait()
		case l := <-d.started:
			d.group.Go(ctx, l.run)
		case <-ticker.C:
			d.update()
		}
	}
}

// update compares the workers and entries that exist with the assignments.
func (d *Delegator) update() {
	workers, entries := d.options.Workers(), d.options.Entries()
	now := d.options.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.bases) > len(workers) {
		d.dropBases(workers)
	}
	usable := make([]string, 0, len(entries))
	for _, e := range entries {
		if d.avoided[e].until <= now {
			usable = append(usable, e)
		}
	}
	d.assigner.Update(workers, usable)
	delegated := d.assigner.Delegated()
	isBounded := len(workers) > d.options.Capacity
	d.options.SetBounded(isBounded)
	if delegated != d.reported {
		d.options.Log.Info("workers delegated", zap.Int("workers", len(workers)), zap.Int("delegated", delegated),
			zap.Int("entries", d.assigner.EntriesInUse()), zap.Int("usableEntries", len(usable)))
		d.reported = delegated
	}
}

// dropBases drops the results of workers that no longer exist. The caller holds the mutex.
func (d *Delegator) dropBases(workers []string) {
	kept := make(map[string]base, len(workers))
	for _, w := range workers {
		if b, ok := d.bases[w]; ok {
			kept[w] = b
		}
	}
	d.bases = kept
}

// lineOf returns the line to the worker's entry, or nil if the leader calls the worker itself.
func (d *Delegator) lineOf(session modeler.Session) *line {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	address := d.assigner.Entry(session.Key())
	if address == assigner.Direct {
		return nil
	}
	l, ok := d.lines[address]
	if !ok {
		l = newLine(d, address)
		d.lines[address] = l
		d.started <- l
	}
	return l
}

// entryFailed moves all workers of the entry to others.
func (d *Delegator) entryFailed(address string, cause error) {
	d.failures.Add(1)
	now := d.options.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := d.avoided[address]
	if a.length == 0 || now-a.last > a.length+maxAvoid {
		a.length = minAvoid
	} else {
		a.length = min(maxAvoid, 2*a.length)
	}
	a.last, a.until = now, now+a.length
	d.avoided[address] = a
	before := d.assigner.Delegated()
	d.assigner.RemoveEntry(address)
	d.options.Log.Warn("entry does not make calls to workers", zap.String("entry", address), zap.Duration("avoidedFor", a.length),
		zap.Int("delegatedBefore", before), zap.Int("delegated", d.assigner.Delegated()), zap.Error(cause))
}

func (d *Delegator) start(ctx context.Context, s modeler.Session, o supervisor.StartOrder) (supervisor.StartResult, error) {
	l := d.lineOf(s)
	if l == nil {
		return d.options.Direct.Start(ctx, s, o)
	}
	_, result, err := l.do(ctx, s, messenger.CallOrder{Start: messenger.NewStartCall(o), Fence: o.Fence, Urgent: true})
	if err != nil {
		return "", err
	}
	return result.StartResult()
}

func (d *Delegator) stop(ctx context.Context, s modeler.Session, o supervisor.StopOrder) error {
	l := d.lineOf(s)
	if l == nil {
		return d.options.Direct.Stop(ctx, s, o)
	}
	call := messenger.AttemptCall{Task: o.Attempt.Task, Number: o.Attempt.Number}
	_, result, err := l.do(ctx, s, messenger.CallOrder{Stop: &call, Fence: o.Fence, Urgent: true})
	return errors.Join(err, result.Err())
}

func (d *Delegator) pace(ctx context.Context, s modeler.Session, o supervisor.PaceOrder) error {
	l := d.lineOf(s)
	if l == nil {
		return d.options.Direct.Pace(ctx, s, o)
	}
	call := messenger.AttemptCall{Task: o.Attempt.Task, Number: o.Attempt.Number, Percent: o.Percent}
	_, result, err := l.do(ctx, s, messenger.CallOrder{Pace: &call, Fence: o.Fence, Urgent: true})
	return errors.Join(err, result.Err())
}

func (d *Delegator) poll(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (supervisor.PollResult, error) {
	l := d.lineOf(s)
	if l == nil {
		return d.options.Direct.Poll(ctx, s, o)
	}
	known := d.baseOf(s)
	if known.life != l.currentLife() {
		known = base{}
	}
	order := messenger.CallOrder{Poll: messenger.NewPollCall(o, known.id), Fence: o.Fence, Urgent: o.Wait <= urgentWait}
	life, result, err := l.do(ctx, s, order)
	if err == nil {
		if life != known.life {
			known = base{}
		}
		var answer supervisor.PollResult
		answer, err = result.PollResult(known.running)
		if err == nil {
			d.setBase(s, base{life: life, id: result.ID, running: answer.Running})
			return answer, nil
		}
	}
	if ctx.Err() == nil || !errors.Is(ctx.Err(), context.Canceled) {
		d.pollFailed(s, l.address, err)
	}
	return supervisor.PollResult{}, err
}

func (d *Delegator) baseOf(s modeler.Session) base {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.bases[s.Key()]
}

func (d *Delegator) setBase(s modeler.Session, b base) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.bases[s.Key()] = b
}

// pollFailed moves a worker that the entry does not reach. A worker of which another life has
// answered was reached.
func (d *Delegator) pollFailed(s modeler.Session, address string, err error) {
	if errors.Is(err, supervisor.ErrOtherIncarnation) {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.assigner.MoveWorker(s.Key(), address)
}
