package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// minReportAge is the age from which on members are told that an attempt was listed. Many tasks
// have ended by then.
const minReportAge = time.Second

// observation is an answered poll together with the state read after the answer.
type observation struct {
	result PollResult
	sent   time.Duration
	state  reducer.State
	// running holds the running attempts that the poll lists, and ended the highest
	// number of an ended attempt that it lists, both by task.
	running map[modeler.TaskName]Running
	ended   map[modeler.TaskName]int
}

func newObservation(sent time.Duration, result PollResult, state reducer.State) observation {
	obs := observation{
		result: result, sent: sent, state: state,
		running: make(map[modeler.TaskName]Running, len(result.Running)),
		ended:   make(map[modeler.TaskName]int, len(result.Ended)),
	}
	for _, r := range result.Running {
		obs.running[r.Task] = r
	}
	for _, e := range result.Ended {
		obs.ended[e.Task] = max(obs.ended[e.Task], e.Number)
	}
	return obs
}

// handlePoll acts on an answered poll: it commits the ends that it lists, decides
// on attempts that it does not list, and stops attempts that should not run.
func (l *link) handlePoll(ctx context.Context, sent time.Duration, result PollResult) {
	l.recordAnswer(sent, result)
	obs := newObservation(sent, result, l.supervisor.options.State())
	session, ok := obs.state.Sessions.Get(l.session.Key())
	if !ok {
		return
	}
	l.supervisor.options.OnRunning(ctx, session, result.Running)
	ends := l.newEnds(result)
	for _, name := range session.Tasks {
		w, _ := obs.state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		a := modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt}
		if r, ok := obs.running[name]; ok && r.Number == a.Number {
			l.recordRunning(a, r)
			l.reportBegin(w, a)
			continue
		}
		if obs.ended[name] >= a.Number {
			continue
		}
		if outcome, gone := l.resolveUnlisted(ctx, a, obs); gone {
			ends = append(ends, reducer.AttemptEnd{Attempt: a, Outcome: outcome, Checkpoint: l.checkpointOf(name, a.Number)})
		}
	}
	for _, r := range result.Running {
		if ShouldStop(obs.state, r.Task, r.Number) {
			l.logObsolete(obs, r)
			l.requestStop(ctx, modeler.Attempt{Task: r.Task, Session: session.Key(), Number: r.Number})
		}
	}
	l.dropOldOrders(obs, session)
	l.commitEnds(ctx, ends, result)
}

// logObsolete logs that the worker runs an attempt that the state has ended, so that another one may
// run elsewhere.
func (l *link) logObsolete(obs observation, r Running) {
	w, _ := obs.state.Workflows.Get(r.Task.Workflow)
	task, ok := w.Task(r.Task)
	if ok && task.HoldsResources() && task.Attempt == r.Number {
		return
	}
	l.log().Warn("worker runs an attempt that has ended", zap.Stringer("task", r.Task), zap.Int("attempt", r.Number),
		zap.String("session", l.session.Key()), zap.Int("lastAttempt", task.Attempt), zap.Uint64("fence", l.fence.Load()))
}

// dropOldOrders drops the orders of attempts that the state no longer holds. It
// keeps orders younger than the poll, which may be younger than the state too.
func (l *link) dropOldOrders(obs observation, session modeler.Session) {
	held := make(map[modeler.TaskName]bool, len(session.Tasks))
	for _, name := range session.Tasks {
		held[name] = true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, o := range l.orders {
		if !held[name] && o.phase != orderSending && o.since < obs.sent {
			delete(l.orders, name)
		}
	}
}

func (l *link) recordAnswer(sent time.Duration, result PollResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.startsBlocked || l.lastAnswer == 0 {
		l.log().Info("worker is reachable", zap.String("session", l.session.Key()), zap.Int("running", len(result.Running)),
			zap.Duration("clock", result.Clock), zap.Uint64("fence", l.fence.Load()))
	}
	now := l.now()
	l.clock = l.clock.withReading(result.Clock, sent, now)
	if result.Unread != l.unread {
		l.log().Warn("rows of a worker's lists could not be read", zap.String("session", l.session.Key()),
			zap.Int("rows", result.Unread))
		l.unread = result.Unread
	}
	l.lastAnswer = now
	if l.firstAnswer == 0 {
		l.firstAnswer = l.lastAnswer
	}
	l.unresponsive = false
	l.startsBlocked = false
}

// newEnds returns the listed ends that are not committed yet.
func (l *link) newEnds(result PollResult) []reducer.AttemptEnd {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ends []reducer.AttemptEnd
	for _, e := range result.Ended {
		if _, ok := l.committed[e.Position]; ok || e.Position <= l.ackedPosition {
			continue
		}
		ends = append(ends, reducer.AttemptEnd{
			Attempt:    modeler.Attempt{Task: e.Task, Session: l.session.Key(), Number: e.Number},
			Outcome:    e.Outcome,
			Checkpoint: e.Checkpoint,
		})
	}
	return ends
}

func (l *link) recordRunning(a modeler.Attempt, r Running) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		return
	}
	o.isListed, o.hasBegun = true, true
	if !o.isReported && l.lastAnswer-o.sentAt >= minReportAge {
		o.isReported = true
		l.supervisor.ends.addListed(a)
	}
	if o.phase == orderUnconfirmed || o.phase == orderInherited {
		o.phase = orderStarted
		o.since = l.now()
	}
	if r.Checkpoint != "" {
		o.checkpoint = r.Checkpoint
	}
}

// resolveUnlisted decides on an attempt that the state holds and the worker lists
// neither as running nor as ended. It returns the outcome, and whether the attempt
// is surely over.
func (l *link) resolveUnlisted(ctx context.Context, a modeler.Attempt, obs observation) (reducer.AttemptOutcome, bool) {
	if !obs.result.Full {
		return "", false
	}
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		// The start is about to be sent, or the result of its commit is unknown. A
		// stop sent after stopRetryDelay settles which.
		now := l.now()
		l.orders[a.Task] = &order{number: a.Number, phase: orderUnconfirmed, since: now, stopSentAt: now, sentAt: now}
		l.mutex.Unlock()
		return "", false
	}
	phase, since, mayStartLater := o.phase, o.since, l.mayStartLaterForLocked(o) > 0
	l.mutex.Unlock()
	switch phase {
	case orderInherited:
		// The poll fenced the earlier leader before the worker answered it.
		return reducer.AttemptRefused, !mayStartLater
	case orderFenced:
		return reducer.AttemptRefused, obs.sent > since && !mayStartLater
	case orderStarted:
		return l.lapsedOutcome(a), obs.sent > since
	case orderUnconfirmed:
		l.requestStop(ctx, a)
	case orderSending:
	}
	return "", false
}

// commitEnds commits the ends, and then advances the acknowledged position past those
// that the worker listed, so that the next poll lets the worker drop them.
func (l *link) commitEnds(ctx context.Context, ends []reducer.AttemptEnd, result PollResult) {
	if len(ends) > 0 {
		finish := l.supervisor.pending.beginCommit(ends)
		err := l.supervisor.ends.commit(ctx, ends)
		finish()
		if err != nil {
			waitToRetry(ctx)
			return
		}
	}
	for _, e := range ends {
		l.supervisor.options.OnEnded(e)
	}
	l.logEnds(ends)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acknowledgeLocked(result)
	for _, e := range ends {
		if o, ok := l.orders[e.Attempt.Task]; ok && o.number <= e.Attempt.Number {
			delete(l.orders, e.Attempt.Task)
		}
	}
}

func (l *link) logEnds(ends []reducer.AttemptEnd) {
	for _, e := range ends {
		l.log().Info("attempt ended", zap.Stringer("task", e.Attempt.Task), zap.Int("attempt", e.Attempt.Number),
			zap.String("session", e.Attempt.Session), zap.String("outcome", string(e.Outcome)))
	}
}

// acknowledgeLocked records that the listed ends are committed. It acknowledges none
// while a row could not be read, since the worker would drop that row too. The caller
// holds the mutex.
func (l *link) acknowledgeLocked(result PollResult) {
	for _, e := range result.Ended {
		if result.Unread > 0 {
			l.committed[e.Position] = struct{}{}
			continue
		}
		l.ackedPosition = max(l.ackedPosition, e.Position)
	}
	if result.Unread == 0 {
		clear(l.committed)
	}
}
