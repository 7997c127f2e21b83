package delegator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

const (
	// hold is how long an entry may keep an exchange while there is no result.
	hold = 400 * time.Millisecond
	// exchangeGrace is how long after the hold an exchange may still be answered. Calls at a
	// lost entry fail after both, so that another entry has 2 s of the lease of 3 s for them.
	exchangeGrace = 400 * time.Millisecond
	// gatherDelay is how long an order that can't wait waits for others, and linger how long any
	// other order does while an exchange is held.
	gatherDelay = 3 * time.Millisecond
	linger      = 30 * time.Millisecond
	// maxPosts bounds the exchanges with urgent orders that are under way beside the one
	// that is held.
	maxPosts = 4
	// maxQueued bounds the orders that wait for an exchange with one entry.
	maxQueued = 2000
	// maxReadingAge is the age of a reading of the entry's clock from which on another is
	// taken before orders are sent.
	maxReadingAge = 5 * time.Second
	// minClockRate is the lowest rate of an entry's clock relative to the leader's, in
	// percent.
	minClockRate = 98
	percent      = 100
)

// line passes calls to one entry, in exchanges that hold many.
type line struct {
	delegator *Delegator
	address   string
	// wake holds a value if an exchange may be due.
	wake chan struct{}

	mutex sync.Mutex
	// queue are the calls that no exchange holds yet, oldest first; waiting are those in an
	// exchange whose result has not come, by ID.
	queue   []*call
	waiting map[uint64]*call
	// life is the process of the entry, empty if it is not known. Its clock showed reading at
	// some time before received.
	life              string
	reading, received time.Duration
	isHolding         bool
	posts             int
	// generation counts the failures of the entry.
	generation int
}

// call is a call that an entry makes.
type call struct {
	order messenger.CallOrder
	// queued is when the call was made, and expires the end of its time-out, by the leader's
	// clock.
	queued, expires time.Duration
	// outcome receives the outcome. It has room for one value.
	outcome chan outcome
}

type outcome struct {
	life   string
	result messenger.CallResult
	err    error
}

func newLine(d *Delegator, address string) *line {
	return &line{delegator: d, address: address, wake: make(chan struct{}, 1), waiting: map[uint64]*call{}}
}

// do has the entry make a call, and waits for its result until the context ends. It also returns
// the process of the entry.
func (l *line) do(ctx context.Context, s modeler.Session, o messenger.CallOrder) (string, messenger.CallResult, error) {
	d := l.delegator
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", messenger.CallResult{}, fmt.Errorf("%w: the call has no time-out", supervisor.ErrNotSent)
	}
	d.calls.Add(1)
	o.ID, o.Worker, o.Born, o.Address = d.lastID.Add(1), s.Worker, s.StartedAtMillis, s.Address
	if err := o.Validate(); err != nil {
		return "", messenger.CallResult{}, fmt.Errorf("%w: %w", supervisor.ErrNotSent, err)
	}
	now := d.options.Now()
	expires := now + time.Until(deadline)
	if by, ok := supervisor.SendBy(ctx); ok {
		expires = min(expires, by)
	}
	c := &call{order: o, queued: now, expires: expires, outcome: make(chan outcome, 1)}
	l.mutex.Lock()
	if len(l.queue) >= maxQueued {
		l.mutex.Unlock()
		return "", messenger.CallResult{}, fmt.Errorf("%w: too many calls wait for the entry", supervisor.ErrNotSent)
	}
	l.queue = append(l.queue, c)
	l.mutex.Unlock()
	l.signal()
	select {
	case r := <-c.outcome:
		return r.life, r.result, r.err
	case <-ctx.Done():
		return "", messenger.CallResult{}, l.giveUp(c, ctx.Err())
	}
}

// giveUp drops a call whose context has ended.
func (l *line) giveUp(c *call, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(l.queue, c); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return fmt.Errorf("%w: %w", supervisor.ErrNotSent, cause)
	}
	delete(l.waiting, c.order.ID)
	return fmt.Errorf("%w: %w", errGivenUp, cause)
}

func (l *line) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run exchanges calls and results until the context ends. It always returns nil.
func (l *line) run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	// waiting fires when orders have waited for linger.
	waiting := time.NewTimer(linger)
	defer waiting.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-waiting.C:
		case <-l.wake:
			time.Sleep(gatherDelay)
		}
		if x, ok := l.next(); ok {
			group.Go(func() { l.exchange(ctx, x) })
		}
		if l.hasQueued() {
			waiting.Reset(linger)
		}
	}
}

func (l *line) hasQueued() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.queue) > 0
}

// exchange is one exchange with the entry.
type exchange struct {
	generation int
	life       string
	calls      []*call
	isHeld     bool
}

// next returns the exchange that is due, if one is.
func (l *line) next() (exchange, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x := exchange{generation: l.generation, life: l.life}
	if !l.isDueLocked() {
		return exchange{}, false
	}
	if l.mustLearnLocked() {
		// The first exchange learns the clock, and carries no orders.
		x.life = ""
		canLearn := l.posts == 0 && !l.isHolding
		if canLearn {
			l.posts++
		}
		return x, canLearn
	}
	switch {
	case !l.isHolding:
		x.isHeld, l.isHolding = true, true
	case l.posts < maxPosts && l.mustPostLocked():
		l.posts++
	default:
		return exchange{}, false
	}
	x.calls, l.queue = l.queue, nil
	return x, true
}

// isDueLocked reports whether there are orders, or results that no exchange waits for. The caller
// holds the mutex.
func (l *line) isDueLocked() bool {
	return len(l.queue) > 0 || (!l.isHolding && len(l.waiting) > 0)
}

// mustPostLocked reports whether orders can't wait until the exchange that is held ends. The
// caller holds the mutex.
func (l *line) mustPostLocked() bool {
	return l.delegator.options.Now()-l.queue[0].queued >= linger ||
		slices.ContainsFunc(l.queue, func(c *call) bool { return c.order.Urgent })
}

// mustLearnLocked reports whether the entry's process or its clock is not known. The caller holds
// the mutex.
func (l *line) mustLearnLocked() bool {
	return l.life == "" || (len(l.waiting) == 0 && l.delegator.options.Now()-l.received > maxReadingAge)
}

// exchange makes one exchange, and passes on the results.
func (l *line) exchange(ctx context.Context, x exchange) {
	d := l.delegator
	message := messenger.CallExchange{Epoch: d.options.Epoch, Life: x.life}
	timeout := exchangeGrace
	if x.isHeld {
		message.HoldMillis = hold.Milliseconds()
		timeout += hold
	}
	if len(x.calls) > 0 && !d.options.AwaitConfirmed(ctx) {
		l.end(x, func() { l.refuseLocked(x.calls, "leadership is not confirmed") })
		return
	}
	if message.Orders = l.handOver(x); x.life != "" && len(x.calls) > 0 && len(message.Orders) == 0 && !x.isHeld {
		l.end(x, func() {})
		return
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.exchanges.Add(1)
	results, err := d.options.Exchange(bounded, l.address, message)
	switch {
	case err != nil && ctx.Err() == nil:
		l.fail(x, err)
	case err != nil:
		l.end(x, func() {})
	default:
		l.end(x, func() { l.deliverLocked(x, results) })
	}
}

// handOver returns the orders of the exchange that are in time, and records that their results
// are waited for.
func (l *line) handOver(x exchange) []messenger.CallOrder {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.delegator.options.Now()
	if l.generation != x.generation {
		l.refuseLocked(x.calls, "the entry does not answer")
		return nil
	}
	// The entry's clock shows at least this now, so that it reaches the end of a time-out no
	// later than the leader's clock.
	clock := l.reading + max(0, now-l.received)*minClockRate/percent
	orders := make([]messenger.CallOrder, 0, len(x.calls))
	for _, c := range x.calls {
		if c.expires <= now {
			l.refuseLocked([]*call{c}, "its time-out has passed")
			continue
		}
		c.order.SendBy = (clock + c.expires - now).Milliseconds()
		l.waiting[c.order.ID] = c
		orders = append(orders, c.order)
	}
	return orders
}

// end ends an exchange, and makes the next one possible.
func (l *line) end(x exchange, record func()) {
	l.mutex.Lock()
	if x.isHeld {
		l.isHolding = false
	} else {
		l.posts--
	}
	record()
	l.mutex.Unlock()
	l.signal()
}

// refuseLocked ends calls that have surely not been sent. The caller holds the mutex.
func (l *line) refuseLocked(calls []*call, reason string) {
	for _, c := range calls {
		delete(l.waiting, c.order.ID)
		c.outcome <- outcome{err: fmt.Errorf("%w: %s", supervisor.ErrNotSent, reason)}
	}
}

// deliverLocked passes on the results of an exchange. The caller holds the mutex.
func (l *line) deliverLocked(x exchange, results messenger.CallResults) {
	if l.generation != x.generation {
		return
	}
	if results.Refused != "" {
		l.refuseLocked(l.unansweredLocked(x), results.Refused)
	}
	if results.Life != l.life && l.life != "" {
		l.loseLocked(errEntryLost)
	}
	l.life = results.Life
	l.reading, l.received = time.Duration(results.Clock)*time.Millisecond, l.delegator.options.Now()
	for _, r := range results.Results {
		if c, ok := l.waiting[r.ID]; ok {
			delete(l.waiting, r.ID)
			c.outcome <- outcome{life: results.Life, result: r}
		}
	}
}

// unansweredLocked returns the calls of the exchange whose results are waited for. The caller
// holds the mutex.
func (l *line) unansweredLocked(x exchange) []*call {
	var unanswered []*call
	for _, c := range x.calls {
		if _, ok := l.waiting[c.order.ID]; ok {
			unanswered = append(unanswered, c)
		}
	}
	return unanswered
}

// currentLife returns the process of the entry, or nothing if it is not known.
func (l *line) currentLife() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.life
}

// loseLocked ends all calls whose results are waited for. The caller holds the mutex.
func (l *line) loseLocked(cause error) {
	for id, c := range l.waiting {
		delete(l.waiting, id)
		c.outcome <- outcome{err: cause}
	}
}

// fail ends all calls at the entry, and has its workers moved.
func (l *line) fail(x exchange, cause error) {
	isFirst := false
	l.end(x, func() {
		if l.generation != x.generation {
			return
		}
		isFirst = true
		l.generation++
		l.life = ""
	})
	if !isFirst {
		return
	}
	// The workers are moved first, so that the calls that follow the lost ones go elsewhere.
	l.delegator.entryFailed(l.address, cause)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if errors.Is(cause, supervisor.ErrNotSent) {
		l.refuseLocked(l.unansweredLocked(x), cause.Error())
	}
	l.loseLocked(fmt.Errorf("%w: %w", errEntryLost, withoutNotSent(cause)))
	l.refuseLocked(l.queue, "the entry does not answer")
	l.queue = nil
}

// withoutNotSent returns an error with the text of err, which does not say that other calls were
// not sent.
func withoutNotSent(err error) error { return errors.New(err.Error()) }
