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
// session ends only once none of its attempts runs there, or can start there or on a still
// later life, because the end makes their tasks start elsewhere.
func (l *link) handleLaterLife(ctx context.Context, sent time.Duration, result PollResult) {
	l.recordReplacement(result)
	obs := newObservation(sent, result, l.supervisor.options.State())
	session, ok := obs.state.Sessions.Get(l.session.Key())
	if !ok {
		return
	}
	ends, retryIn := l.settleAttempts(ctx, session, obs)
	if len(ends) > 0 && l.supervisor.ends.commit(ctx, ends) != nil {
		waitToRetry(ctx)
		return
	}
	if retryIn > 0 {
		wait(ctx, retryIn)
		return
	}
	l.endSession(ctx, fmt.Errorf("%w: it started at %d", ErrOtherIncarnation, result.StartedAtMillis))
}

// settleAttempts returns the ends of the session's attempts that are over, and in what time the
// others are to be looked at again; zero if there are none.
func (l *link) settleAttempts(
	ctx context.Context, session modeler.Session, obs observation,
) ([]reducer.AttemptEnd, time.Duration) {
	var listed, unlisted []reducer.AttemptEnd
	retryIn := time.Duration(0)
	if !obs.result.Full {
		retryIn = pollRetryDelay
	}
	for _, name := range session.Tasks {
		w, _ := obs.state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		a := modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt}
		if end, ok := obs.endOf(a); ok {
			listed = append(listed, end)
			continue
		}
		delay := pollRetryDelay
		if r, ok := obs.running[name]; ok && r.Number == a.Number {
			l.log().Warn("attempt runs on a later life of its worker", zap.Stringer("task", a.Task),
				zap.Int("attempt", a.Number), zap.String("session", a.Session))
			l.recordBegin(a)
			l.requestStop(ctx, a)
		} else if delay = l.mayStartFor(ctx, a, obs); delay <= 0 {
			unlisted = append(unlisted, reducer.AttemptEnd{
				Attempt: a, Outcome: l.lapsedOutcome(a), Checkpoint: l.checkpointOf(name, a.Number),
			})
			continue
		}
		if retryIn == 0 || delay < retryIn {
			retryIn = delay
		}
	}
	if retryIn > 0 && obs.result.Full {
		// Otherwise the end of the session ends them.
		listed = append(listed, unlisted...)
	}
	return listed, min(retryIn, lostPollDelay)
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

// mayStartFor returns for how long an attempt that the later life does not list may still start
// there or on a still later one; zero or less if it can't. If a stop settles that, it tells the
// worker to stop the attempt.
func (l *link) mayStartFor(ctx context.Context, a modeler.Attempt, obs observation) time.Duration {
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		o = &order{
			number: a.Number, phase: orderUnconfirmed, since: l.now(), sentAt: l.now(), hasTicket: needsTicket(obs.state, a.Task),
		}
		l.orders[a.Task] = o
	}
	phase, since, later := o.phase, o.since, l.mayStartLaterForLocked(o)
	l.mutex.Unlock()
	switch phase {
	case orderInherited:
		// The poll fenced the earlier leader before the worker answered it.
		return later
	case orderFenced:
		if obs.sent > since {
			return later
		}
	case orderStarted:
		if obs.sent > since {
			return 0
		}
	case orderUnconfirmed:
		l.requestStop(ctx, a)
	case orderSending:
	}
	return pollRetryDelay
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
