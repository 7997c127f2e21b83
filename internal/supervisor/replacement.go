package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// errInterrupted reports that a poll was interrupted, since the worker has started again.
var errInterrupted = errors.New("the poll was interrupted")

// handleLaterLife acts on the answer of a later life of the worker. Starts that were sent
// to the session may have reached that life, as it has the same id and address. The
// session ends only once none of its attempts runs there or can start there, because the
// end makes their tasks start elsewhere.
func (l *link) handleLaterLife(ctx context.Context, sent time.Duration, result PollResult) {
	l.recordReplacement(result)
	obs := newObservation(sent, result, l.supervisor.options.State())
	session, ok := obs.state.Sessions.Get(l.session.Key())
	if !ok {
		return
	}
	isSettled := result.Full
	var ends []reducer.AttemptEnd
	for _, name := range session.Tasks {
		w, _ := obs.state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		a := modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt}
		if end, ok := obs.endOf(a); ok {
			ends = append(ends, end)
			continue
		}
		if r, ok := obs.running[name]; ok && r.Number == a.Number {
			l.log().Warn("attempt runs on a later life of its worker", zap.Stringer("task", a.Task),
				zap.Int("attempt", a.Number), zap.String("session", a.Session))
			l.recordBegin(a)
			l.requestStop(ctx, a)
			isSettled = false
			continue
		}
		isSettled = l.cannotStart(ctx, a, obs) && isSettled
	}
	if len(ends) > 0 && l.supervisor.ends.commit(ctx, ends) != nil {
		isSettled = false
	}
	if !isSettled {
		waitToRetry(ctx)
		return
	}
	l.endSession(ctx, fmt.Errorf("%w: it started at %d", ErrOtherIncarnation, result.StartedAtMillis))
}

// recordReplacement blocks further starts. A stop that the earlier life has answered
// fences nothing on the later one, so that the orders it had fenced are open again.
func (l *link) recordReplacement(result PollResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.replaced {
		return
	}
	l.log().Info("worker started again", zap.String("session", l.session.Key()),
		zap.Int64("startedAtMillis", result.StartedAtMillis), zap.Int("running", len(result.Running)),
		zap.Int("ended", len(result.Ended)), zap.Int("orders", len(l.orders)),
		zap.Duration("clock", result.Clock), zap.Duration("leaseOrdersEndIn", l.leaseOrdersEnd-l.now()))
	l.replaced, l.startsBlocked, l.replacedAt = true, true, l.now()
	for _, o := range l.orders {
		if o.phase == orderFenced {
			o.phase = orderUnconfirmed
		}
		if o.phase == orderUnconfirmed {
			o.since, o.stopSentAt = l.replacedAt, 0
		}
	}
}

// cannotStart reports whether an attempt that the later life does not list can't start
// there any more. If that is open, it tells the worker to stop the attempt.
func (l *link) cannotStart(ctx context.Context, a modeler.Attempt, obs observation) bool {
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		o = &order{number: a.Number, phase: orderUnconfirmed, since: l.now(), sentAt: l.now()}
		l.orders[a.Task] = o
	}
	phase, since := o.phase, o.since
	l.mutex.Unlock()
	switch phase {
	case orderInherited:
		// The poll fenced the earlier leader before the worker answered it.
		return true
	case orderStarted, orderFenced:
		return obs.sent > since
	case orderUnconfirmed:
		l.requestStop(ctx, a)
	case orderSending:
	}
	return false
}

// endOf returns the end of the attempt that the poll lists, if it does.
func (o observation) endOf(a modeler.Attempt) (reducer.AttemptEnd, bool) {
	for _, e := range o.result.Ended {
		if e.Task == a.Task && e.Number == a.Number {
			return reducer.AttemptEnd{Attempt: a, Outcome: e.Outcome, Checkpoint: e.Checkpoint}, true
		}
	}
	return reducer.AttemptEnd{}, false
}

// interruptPoll ends the poll in progress, so that the next one is sent at once.
func (l *link) interruptPoll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cancelPoll != nil {
		l.cancelPoll(errInterrupted)
	}
}

// AwaitEnd waits until the session of a worker that has started again at the same address
// has ended. The session's attempts are settled with the worker first.
func (s *Supervisor) AwaitEnd(ctx context.Context, key string) error {
	l, ok := s.link(key)
	if !ok {
		if _, exists := s.options.State().Sessions.Get(key); exists {
			return fmt.Errorf("session %q is not supervised yet", key)
		}
		return nil
	}
	l.interruptPoll()
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("attempts of session %q are not settled: %w", key, ctx.Err())
	}
}
