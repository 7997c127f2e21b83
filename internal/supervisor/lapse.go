package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// handleNoAnswer marks the link as unresponsive. Once every lease on the worker
// has surely expired, it commits the end of the attempts that the worker holds.
func (l *link) handleNoAnswer(ctx context.Context, cause error) {
	l.markUnresponsive()
	if !l.haveLeasesExpired() {
		waitToRetry(ctx)
		return
	}
	delay := lostPollDelay
	if l.supervisor.options.Confirm() {
		delay = min(delay, l.commitLapsed(ctx, cause))
	}
	wait(ctx, delay)
}

func (l *link) markUnresponsive() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unresponsive = true
}

// commitLapsed commits the end of the attempts that the worker holds, except those that
// may still run by an order for another life of it. It returns when the next of these has surely
// ended, or lostPollDelay.
func (l *link) commitLapsed(ctx context.Context, cause error) time.Duration {
	next := lostPollDelay
	state := l.supervisor.options.State()
	session, ok := state.Sessions.Get(l.session.Key())
	if !ok || len(session.Tasks) == 0 {
		return next
	}
	var ends []reducer.AttemptEnd
	longest := time.Duration(0)
	for _, name := range session.Tasks {
		w, _ := state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		a := modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt}
		if remaining := l.otherLifeLeaseEnd(a) - l.now(); remaining > 0 {
			next, longest = min(next, remaining), max(longest, remaining)
			continue
		}
		ends = append(ends, reducer.AttemptEnd{
			Attempt: a, Outcome: l.lapsedOutcome(a), Checkpoint: l.checkpointOf(name, task.Attempt),
		})
	}
	l.log().Warn("worker lease expired", zap.String("session", session.Key()), zap.Int("tasks", len(session.Tasks)),
		zap.Int("ends", len(ends)), zap.Duration("expiredFor", l.now()-l.leasesEnd()),
		zap.Duration("otherLifeEndsIn", longest), zap.Error(cause))
	if len(ends) > 0 && l.supervisor.ends.commit(ctx, ends) == nil {
		l.logEnds(ends)
	}
	return next
}

// lapsedOutcome returns the outcome of an attempt that is over, and whose end no worker
// lists.
func (l *link) lapsedOutcome(a modeler.Attempt) reducer.AttemptOutcome {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number && o.hasBegun {
		return reducer.AttemptLapsed
	}
	return reducer.AttemptUnconfirmed
}

// haveLeasesExpired reports whether every lease on the worker has surely expired.
// If so, it also blocks starts until the worker answers.
func (l *link) haveLeasesExpired() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.now() < l.leasesEndLocked() {
		return false
	}
	l.startsBlocked = true
	return true
}

// leasesEnd returns the time by which every lease that an order to the session has set on its life of
// the worker has surely expired.
func (l *link) leasesEnd() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.leasesEndLocked()
}

// leasesEndLocked is leasesEnd for a caller that holds the mutex.
func (l *link) leasesEndLocked() time.Duration {
	// An earlier leader's last order was sent before this one began to lead.
	end := l.supervisor.options.Since + workerLease*percent/minClockRate + expiryMargin
	if l.clock.known {
		end = max(end, l.clock.reachedBy(l.deadline))
	}
	return end
}

func (l *link) checkpointOf(name modeler.TaskName, number int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o, ok := l.orders[name]; ok && o.number == number {
		return o.checkpoint
	}
	return ""
}
