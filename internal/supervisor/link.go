package supervisor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// workerLease is how long after a poll was sent a worker keeps its tasks running, by its
	// own clock. No order sets a lease that ends later, because a new leader knows only
	// when it began to lead. It outlasts a change of leader, and is the longest time that
	// lost work stays undetected.
	workerLease = 3 * time.Second
	// startWindow is how long after it was sent a start may take effect.
	startWindow = 1200 * time.Millisecond
	// callTimeout is the time-out of start, stop and pace calls. A worker answers
	// within a few milliseconds; for an unanswered start or stop, the next polls show
	// the outcome.
	callTimeout = 300 * time.Millisecond
	// minPollWait and maxPollWait bound how long a worker may hold the answer to a
	// poll; shortPollWait applies while the outcome of an order is unconfirmed. A lost
	// worker is detected the later the longer the wait is.
	minPollWait   = 500 * time.Millisecond
	maxPollWait   = time.Second
	shortPollWait = 30 * time.Millisecond
	// maxIdlePollsPerSecond is the number of polls without news from which on the wait
	// grows with the number of workers. Each costs the leader about 0.2 ms. With 350 of
	// them, and so a wait of 1 s at 350 workers, a frozen leader left too little of the
	// leases for the next one: 140 attempts lapsed on a day instead of 10.
	maxIdlePollsPerSecond = 600
	// pollGrace is how long after the wait an answer to a poll may still arrive.
	pollGrace = 700 * time.Millisecond
	// maxStartTime is the longest time between the commit of a start and the end or time-out of
	// its call: it waits for the leadership to be confirmed for up to a second.
	maxStartTime = time.Second + callTimeout
	// maxOrderTime is the longest time between the sending of an order that sets a lease and its
	// end or time-out.
	maxOrderTime = maxPollWait + pollGrace
	// pollRetryDelay is the delay after an unanswered poll, after a failed commit,
	// and while the leader's leadership is not confirmed.
	pollRetryDelay = 100 * time.Millisecond
	// lostPollDelay is the delay after an unanswered poll of a worker whose leases have
	// expired. A worker that was taken away may never answer again.
	lostPollDelay = time.Second
	// stopRetryDelay is the minimum time between two stop calls for one attempt.
	stopRetryDelay = 400 * time.Millisecond
	// proposeTimeout bounds one commit.
	proposeTimeout = 2 * time.Second
)

// errUnconfirmed reports that a poll was not sent, since the leadership is no longer confirmed.
var errUnconfirmed = errors.New("leadership is not confirmed")

// link is the leader's connection to one session.
type link struct {
	supervisor *Supervisor
	session    modeler.Session
	// fence is the fence of the next order to the session. It never decreases.
	fence atomic.Uint64
	// hasEarlierLife is true if orders for an earlier life of the worker, or of an earlier
	// leader, may be carried out before the first answer.
	hasEarlierLife bool

	mutex sync.Mutex
	clock workerClock
	// deadline is the latest lease end, on the worker's clock, that any order of
	// this leader may have set.
	deadline time.Duration
	// leaseOrdersEnd is when the last order that sets a lease was or will be given up; zero
	// if none was sent. Until then it may reach a later life of the worker.
	leaseOrdersEnd time.Duration
	// firstAnswer and lastAnswer are when the first and the last answer to a poll arrived; zero
	// if none did.
	firstAnswer time.Duration
	lastAnswer  time.Duration
	// unresponsive is true if the last poll was not answered. The link then renews
	// no lease until a poll is answered, so that the lease expires.
	unresponsive bool
	// startsBlocked is set once the leases have expired. The link then sends no
	// starts until a poll is answered.
	startsBlocked bool
	orders        map[modeler.TaskName]*order
	// ackedPosition is the position of the last committed end. No row that could not be
	// read precedes it.
	ackedPosition uint64
	// confirmedPosition is the highest position that an answered poll has acknowledged.
	confirmedPosition uint64
	// hasAcknowledged is true if a poll has acknowledged ends since the fence was raised.
	hasAcknowledged bool
	// withholdsAck is true if the last poll acknowledged no end, see ackLocked.
	withholdsAck bool
	// committed holds the positions of the committed ends after ackedPosition.
	committed map[uint64]struct{}
	// unread is the number of rows of the last answer that could not be read.
	unread int
	// replaced is set once a later life of the worker has answered, at replacedAt. The
	// link then sends no starts and renews no lease.
	replaced   bool
	replacedAt time.Duration
	// heldUntil is until when the session gets no starts, as its worker may be leaving.
	heldUntil time.Duration
	// cancelPoll ends the poll in progress; nil if there is none.
	cancelPoll context.CancelCauseFunc
	// ended is closed when run has returned because the session has ended.
	ended chan struct{}
}

func newLink(s *Supervisor, session modeler.Session, fence uint64) *link {
	l := &link{
		supervisor: s, session: session, orders: map[modeler.TaskName]*order{}, committed: map[uint64]struct{}{},
		ended: make(chan struct{}),
	}
	l.fence.Store(fence)
	return l
}

// withInherited adds the orders of tasks that were started under earlier leaders.
func (l *link) withInherited(tasks []modeler.TaskName) *link {
	l.hasEarlierLife = true
	state := l.supervisor.options.State()
	for _, name := range tasks {
		w, _ := state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		isListed := l.supervisor.options.WasListed(modeler.Attempt{Task: name, Session: l.session.Key(), Number: task.Attempt})
		l.orders[name] = &order{
			number: task.Attempt, phase: orderInherited, isInherited: true, sentAt: l.supervisor.options.StartedBy(name),
			hasTicket: needsTicket(state, name), isListed: isListed, isReported: isListed, hasBegun: isListed,
		}
	}
	return l
}

// needsTicket reports whether a start of the task carries a permit, by the queue as it is in the state.
func needsTicket(state reducer.State, name modeler.TaskName) bool {
	w, _ := state.Workflows.Get(name.Workflow)
	queue, _ := state.QueueTable.Queue(w.Spec.Queue)
	return queue.Permit != nil
}

func (l *link) now() time.Duration { return l.supervisor.options.Now() }

func (l *link) log() *zap.Logger { return l.supervisor.options.Log }

// current returns the session as it is in the state, where its address may have
// changed, or as it was last known if it has ended.
func (l *link) current() modeler.Session {
	if s, ok := l.supervisor.options.State().Sessions.Get(l.session.Key()); ok {
		return s
	}
	return l.session
}

// isReachable reports whether a poll was answered within the window before now.
func (l *link) isReachable(now, window time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.unresponsive && !l.replaced && l.lastAnswer > 0 && now-l.lastAnswer < window
}

// isHeldLocked reports whether the session gets no starts, as its worker may be leaving. The
// caller holds the mutex.
func (l *link) isHeldLocked() bool { return l.now() < l.heldUntil }

// run polls the worker until the session or the context ends.
func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		session, ok := l.supervisor.options.State().Sessions.Get(l.session.Key())
		if !ok {
			close(l.ended)
			return nil
		}
		if !l.supervisor.options.AwaitConfirmed(ctx) {
			waitToRetry(ctx)
			continue
		}
		sent, result, err := l.poll(ctx, session)
		switch {
		case err == nil && result.StartedAtMillis != session.StartedAtMillis:
			l.handleLaterLife(ctx, sent, result)
		case err == nil:
			l.handlePoll(ctx, sent, result)
			l.pauseUnacknowledged(ctx, result)
		case errors.Is(err, ErrOtherIncarnation):
			// Another worker is at the address, which refuses all orders to this one.
			l.endSession(ctx, err)
		case errors.Is(err, errUnconfirmed):
			waitToRetry(ctx)
		case errors.Is(err, errInterrupted):
			l.markUnresponsive()
		default:
			l.handleNoAnswer(ctx, err)
		}
	}
	return nil
}

func waitToRetry(ctx context.Context) { wait(ctx, pollRetryDelay) }

func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// poll polls the worker, which renews its lease unless the link is unresponsive. It then
// acknowledges no ends either: they would be those of a later life, if there is one.
// It returns when the call was sent, and the worker's answer.
func (l *link) poll(ctx context.Context, session modeler.Session) (time.Duration, PollResult, error) {
	l.mutex.Lock()
	sent := l.now()
	o := PollOrder{Fence: l.fence.Load()}
	if l.clock.known && !l.unresponsive && !l.replaced {
		o.AckedPosition = l.ackLocked()
		o.Deadline = l.clock.earliestAt(sent) + workerLease
		o.Wait = l.waitLocked()
		l.deadline = max(l.deadline, o.Deadline)
		l.leaseOrdersEnd = max(l.leaseOrdersEnd, sent+o.Wait+pollGrace)
	}
	interruptible, interrupt := context.WithCancelCause(ctx)
	l.cancelPoll = interrupt
	l.mutex.Unlock()
	defer interrupt(nil)
	bounded, cancel := withTimeout(interruptible, sent, o.Wait+pollGrace)
	defer cancel()
	if !l.supervisor.options.Confirm() {
		return sent, PollResult{}, errUnconfirmed
	}
	result, err := l.supervisor.options.Calls.Poll(bounded, session, o)
	if err != nil && errors.Is(context.Cause(interruptible), errInterrupted) {
		err = errInterrupted
	}
	if err == nil && result.StartedAtMillis == session.StartedAtMillis {
		l.confirmAck(o.AckedPosition)
	}
	return sent, result, err
}

// waitLocked returns how long the worker may hold the answer to the next poll.
// The caller holds the mutex.
func (l *link) waitLocked() time.Duration {
	for _, o := range l.orders {
		switch o.phase {
		case orderUnconfirmed:
			return shortPollWait
		case orderFenced, orderInherited:
			if l.mayStartLaterForLocked(o) <= 0 {
				return shortPollWait
			}
		default:
		}
	}
	return l.supervisor.pollWait()
}

// endSession commits the end of the session, whose attempts neither run nor can start.
func (l *link) endSession(ctx context.Context, cause error) {
	l.log().Info("session ended", zap.String("session", l.session.Key()), zap.Error(cause))
	err := l.supervisor.propose(ctx, reducer.Command{
		Kind: reducer.KindEndSessions, Names: []string{l.session.Key()}, ReportsBegins: true,
	})
	if err != nil {
		waitToRetry(ctx)
	}
}

// requestStop sends a stop in the background, unless one was sent within
// stopRetryDelay. For an attempt older than the recorded order it always sends one.
func (l *link) requestStop(ctx context.Context, a modeler.Attempt) {
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		if ok && o.number > a.Number {
			l.mutex.Unlock()
			go l.stop(ctx, a)
			return
		}
		o = &order{number: a.Number, phase: orderStarted, since: l.now(), sentAt: l.now()}
		l.orders[a.Task] = o
	}
	recent := o.stopSentAt > 0 && l.now()-o.stopSentAt < stopRetryDelay
	if !recent {
		o.stopSentAt = l.now()
	}
	l.mutex.Unlock()
	if !recent {
		go l.stop(ctx, a)
	}
}

// stop tells the worker to stop the attempt. Once the worker has answered, an
// unconfirmed start order can no longer be carried out, so it counts as fenced.
func (l *link) stop(ctx context.Context, a modeler.Attempt) {
	sent := l.now()
	bounded, cancel := withTimeout(ctx, sent, callTimeout)
	defer cancel()
	if !l.supervisor.options.Confirm() {
		return
	}
	err := l.supervisor.options.Calls.Stop(bounded, l.current(), StopOrder{Attempt: a, Fence: l.fence.Load()})
	if err != nil {
		l.log().Info("stop call failed or got no answer", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
			zap.String("session", a.Session), zap.Error(err))
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.replaced && sent < l.replacedAt {
		return
	}
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number && o.phase == orderUnconfirmed {
		o.phase = orderFenced
		o.since = l.now()
	}
}

// pace sets the pace of an attempt on the worker, and reports whether the worker has
// confirmed it.
func (l *link) pace(ctx context.Context, a modeler.Attempt, percent int) bool {
	bounded, cancel := withTimeout(ctx, l.now(), callTimeout)
	defer cancel()
	if !l.supervisor.options.Confirm() {
		return false
	}
	o := PaceOrder{Attempt: a, Fence: l.fence.Load(), Percent: percent}
	if err := l.supervisor.options.Calls.Pace(bounded, l.current(), o); err != nil {
		l.log().Info("pace call failed or got no answer", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
			zap.String("session", a.Session), zap.Int("percent", percent), zap.Error(err))
		return false
	}
	l.log().Info("task pace set", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
		zap.String("session", a.Session), zap.Int("percent", percent))
	return true
}
