// Package agent calls workers on behalf of the leader of control. It decides nothing: it makes
// each call once, within the time-out that the leader has set, and keeps its result until the
// leader takes it.
package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

const (
	// maxCalls bounds the calls under way together with the results not taken: five a worker
	// of the most workers that an entry is given.
	maxCalls = 2000
	// maxHold bounds how long an exchange is held.
	maxHold = time.Second
	// maxTimeout bounds the time-out of a call. The longest is that of a poll, 1.7 s.
	maxTimeout = 5 * time.Second
	// gatherDelay is how long a result that can't wait waits for others, and linger how long
	// any other result does. Polls that are answered together are ordered together again, so
	// that those of one entry gather.
	gatherDelay = 3 * time.Millisecond
	linger      = 100 * time.Millisecond
	// keepEpoch is how long orders of an earlier epoch are refused after an order of a later
	// one. The workers refuse them for good.
	keepEpoch = 10 * time.Second
	// keepRunning is how long the attempts of a worker that is not polled are kept.
	keepRunning = 10 * time.Second
)

// Errors of calls that were not sent.
var (
	errLate    = fmt.Errorf("%w: its time-out has passed", supervisor.ErrNotSent)
	errFull    = fmt.Errorf("%w: too many calls are under way", supervisor.ErrNotSent)
	errInvalid = fmt.Errorf("%w: the order is not valid", supervisor.ErrNotSent)
	// errSuperseded ends a poll that the leader has given up.
	errSuperseded = errors.New("a later poll of the worker was ordered")
)

// Options configures an agent.
type Options struct {
	Calls supervisor.Calls
	// Life identifies this process; no other process has the same.
	Life string
	// Now is a clock that goes on while the machine is suspended. Never nil.
	Now func() time.Duration
	// OnWorkers is called with the number of workers that are served. Never nil.
	OnWorkers func(count int)
}

// Stats counts the calls of an agent.
type Stats struct {
	// Workers is the number of workers that were polled of late.
	Workers int
	// UnderWay is the number of calls without a result, Untaken that of results that the
	// leader has not taken.
	UnderWay, Untaken int
	// Late, Full and Refused count the orders that were not sent: past their time-out,
	// beyond maxCalls, and meant for another process or of an earlier leader. Full also
	// counts results that were dropped.
	Late, Full, Refused uint64
}

// Agent calls workers. It is safe for concurrent use.
type Agent struct {
	options Options

	mutex sync.Mutex
	// epoch is the highest epoch seen, at epochSeen.
	epoch     uint64
	epochSeen time.Duration
	// epochContext ends when a later epoch is seen.
	epochContext context.Context
	endEpoch     context.CancelFunc
	workers      map[string]*worker
	underWay     int
	results      []messenger.CallResult
	// takes counts how often the results were taken or dropped.
	takes uint64
	// holders counts the exchanges that were held; only the last one takes results.
	holders uint64
	// isDue is true if the results include one that can't wait. wake is closed when that
	// becomes true, or when another exchange is held.
	isDue bool
	wake  chan struct{}
	stats Stats
}

// worker is the agent's record of a worker.
type worker struct {
	// lastPoll is the ID of the last poll, cancelPoll ends it.
	lastPoll   uint64
	cancelPoll context.CancelCauseFunc
	polledAt   time.Duration
	// running are the attempts in the result of the poll with the ID base.
	base    uint64
	running []supervisor.Running
}

// New returns an agent.
func New(options Options) *Agent {
	a := &Agent{options: options, workers: map[string]*worker{}, wake: make(chan struct{})}
	a.epochContext, a.endEpoch = context.WithCancel(context.Background())
	return a
}

// Stats returns the counts of the agent, and forgets workers that are no longer polled.
func (a *Agent) Stats() Stats {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, w := range a.workers {
		if a.options.Now()-w.polledAt > keepRunning {
			delete(a.workers, name)
		}
	}
	a.options.OnWorkers(len(a.workers))
	stats := a.stats
	stats.Workers, stats.UnderWay, stats.Untaken = len(a.workers), a.underWay, len(a.results)
	return stats
}

// Exchange makes the calls of an exchange, and returns results of these and earlier calls.
func (a *Agent) Exchange(ctx context.Context, x messenger.CallExchange) messenger.CallResults {
	if refused := a.accept(x); refused != "" {
		return messenger.CallResults{Life: a.options.Life, Clock: a.options.Now().Milliseconds(), Refused: refused}
	}
	var results []messenger.CallResult
	if x.HoldMillis > 0 {
		results = a.hold(ctx, min(maxHold, time.Duration(x.HoldMillis)*time.Millisecond))
	}
	return messenger.CallResults{Life: a.options.Life, Clock: a.options.Now().Milliseconds(), Results: results}
}

// accept begins the calls of the exchange, or returns why it refuses all of them.
func (a *Agent) accept(x messenger.CallExchange) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.options.Now()
	if x.Epoch < a.epoch && now-a.epochSeen < keepEpoch {
		a.stats.Refused += uint64(len(x.Orders))
		return fmt.Sprintf("epoch %d is over, the entry has orders of epoch %d", x.Epoch, a.epoch)
	}
	if x.Epoch != a.epoch {
		a.endEpoch()
		a.epochContext, a.endEpoch = context.WithCancel(context.Background())
		a.takeLocked()
		// Another leader numbers its polls anew.
		for _, w := range a.workers {
			w.base, w.running = 0, nil
		}
	}
	a.epoch, a.epochSeen = x.Epoch, now
	if x.Life == "" {
		// The leader waits for no result of earlier calls.
		a.takeLocked()
	}
	if x.Life != a.options.Life {
		a.stats.Refused += uint64(len(x.Orders))
		return "the orders are for another process"
	}
	for _, o := range x.Orders {
		a.beginLocked(o, now)
	}
	a.options.OnWorkers(len(a.workers))
	return ""
}

// beginLocked begins the call of an order, or adds the result of a call that is not sent. The
// caller holds the mutex.
func (a *Agent) beginLocked(o messenger.CallOrder, now time.Duration) {
	sendBy := time.Duration(o.SendBy) * time.Millisecond
	var refusal error
	switch {
	case o.Validate() != nil:
		refusal = errInvalid
	case sendBy <= now:
		a.stats.Late++
		refusal = errLate
	case a.underWay+len(a.results) >= maxCalls:
		a.stats.Full++
		refusal = errFull
	}
	if refusal != nil {
		a.addLocked(messenger.CallResult{ID: o.ID}.WithError(refusal), true)
		return
	}
	ctx, cancel := context.WithTimeout(a.epochContext, min(maxTimeout, sendBy-now))
	ctx = supervisor.WithSendBy(ctx, sendBy)
	if o.Poll != nil {
		ctx = a.beginPollLocked(ctx, o, now)
	}
	a.underWay++
	epoch := a.epoch
	go func() {
		defer cancel()
		a.call(ctx, epoch, o)
	}()
}

// beginPollLocked ends the poll of the worker that is under way: the leader orders the next one
// only once it has given up the former. The caller holds the mutex.
func (a *Agent) beginPollLocked(ctx context.Context, o messenger.CallOrder, now time.Duration) context.Context {
	w, ok := a.workers[o.Worker]
	if !ok {
		w = &worker{}
		a.workers[o.Worker] = w
	}
	if w.cancelPoll != nil {
		w.cancelPoll(errSuperseded)
	}
	ctx, w.cancelPoll = context.WithCancelCause(ctx)
	w.lastPoll, w.polledAt = o.ID, now
	return ctx
}
