package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// registerStart records that a start is about to be sent. It returns false if the
// start must not be sent.
func (l *link) registerStart(o StartOrder) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unresponsive || l.replaced || !l.clock.known || l.isHeldLocked() {
		return false
	}
	now := l.now()
	l.orders[o.Attempt.Task] = &order{
		number: o.Attempt.Number, phase: orderSending, since: now, sentAt: now, hasTicket: o.Ticket != "",
	}
	return true
}

// start sends a registered start and records the outcome.
func (l *link) start(ctx context.Context, o StartOrder) {
	if !l.supervisor.options.AwaitConfirmed(ctx) {
		l.commitNotRun(ctx, o.Attempt, "leadership is not confirmed")
		return
	}
	l.mutex.Lock()
	blocked, sent := l.startsBlocked || l.isHeldLocked(), l.now()
	o.Fence = l.fenceStartLocked()
	o.Deadline = l.clock.earliestAt(sent) + startWindow
	if !blocked {
		l.deadline = max(l.deadline, o.Deadline)
		l.leaseOrdersEnd = max(l.leaseOrdersEnd, sent+callTimeout)
		l.recordSentLocked(o.Attempt, sent)
	}
	l.mutex.Unlock()
	if blocked {
		l.commitNotRun(ctx, o.Attempt, "worker is unreachable")
		return
	}
	bounded, cancel := withTimeout(ctx, sent, callTimeout)
	defer cancel()
	if !l.supervisor.options.Confirm() {
		l.setPhase(o.Attempt, orderUnconfirmed)
		return
	}
	result, err := l.supervisor.options.Calls.Start(bounded, l.current(), o)
	switch {
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrOtherIncarnation):
		l.commitNotRun(ctx, o.Attempt, err.Error())
	case err != nil:
		l.log().Info("start call failed or got no answer", zap.Stringer("task", o.Attempt.Task), zap.Int("attempt", o.Attempt.Number),
			zap.String("session", o.Attempt.Session), zap.Error(err))
		l.setPhase(o.Attempt, orderUnconfirmed)
	case result == ResultStarted:
		l.setPhase(o.Attempt, orderStarted)
		l.recordBegin(o.Attempt)
	default:
		l.commitNotRun(ctx, o.Attempt, string(result))
	}
}

// recordSentLocked records when the start is sent. The caller holds the mutex.
func (l *link) recordSentLocked(a modeler.Attempt, sent time.Duration) {
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number {
		o.sentAt = sent
	}
}

func (l *link) setPhase(a modeler.Attempt, phase orderPhase) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number {
		o.phase = phase
		o.since = l.now()
	}
}

// recordBegin records that the worker has confirmed the start or has listed the attempt.
func (l *link) recordBegin(a modeler.Attempt) {
	l.mutex.Lock()
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number {
		o.hasBegun = true
	}
	l.mutex.Unlock()
	w, _ := l.supervisor.options.State().Workflows.Get(a.Task.Workflow)
	l.reportBegin(w, a)
}

// reportBegin has a begun attempt committed if the workflow is not known to have begun.
func (l *link) reportBegin(w modeler.Workflow, a modeler.Attempt) {
	if !w.Begun {
		l.supervisor.ends.addBegin(a)
	}
}

// commitNotRun commits that an attempt never began.
func (l *link) commitNotRun(ctx context.Context, a modeler.Attempt, reason string) {
	l.log().Info("attempt not run", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
		zap.String("session", a.Session), zap.String("reason", reason))
	l.setPhase(a, orderFenced)
	_ = l.supervisor.ends.commit(ctx, []reducer.AttemptEnd{{Attempt: a, Outcome: reducer.AttemptRefused}})
}
