package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// sighting is one answered look beside the state that was applied after it.
type sighting struct {
	look  PollResult
	sent  time.Duration
	state reducer.State
	// running and ended hold the numbers of the attempts that the look lists.
	running map[modeler.TaskName]Running
	ended   map[modeler.TaskName]int
}

func newSighting(sent time.Duration, look PollResult, state reducer.State) sighting {
	s := sighting{
		look: look, sent: sent, state: state,
		running: make(map[modeler.TaskName]Running, len(look.Running)),
		ended:   make(map[modeler.TaskName]int, len(look.Ended)),
	}
	for _, r := range look.Running {
		s.running[r.Task] = r
	}
	for _, e := range look.Ended {
		s.ended[e.Task] = max(s.ended[e.Task], e.Number)
	}
	return s
}

// take acts on an answered look: it commits ends, and stops what should not run.
func (l *link) take(ctx context.Context, sent time.Duration, look PollResult) {
	l.noteAnswer(sent, look)
	s := newSighting(sent, look, l.supervisor.options.State())
	session, ok := s.state.Sessions.Get(l.session.Key())
	if !ok {
		return
	}
	l.supervisor.options.OnRunning(ctx, session, look.Running)
	ends, last := l.listedEnds(look)
	for _, name := range session.Tasks {
		w, _ := s.state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		a := modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt}
		if r, ok := s.running[name]; ok && r.Number == a.Number {
			l.noteRunning(a, r)
			continue
		}
		if s.ended[name] >= a.Number {
			continue
		}
		if outcome, gone := l.judgeAbsent(ctx, a, s); gone {
			ends = append(ends, reducer.AttemptEnd{Attempt: a, Outcome: outcome, Checkpoint: l.checkpointOf(name, a.Number)})
		}
	}
	for _, r := range look.Running {
		if ShouldStop(s.state, r.Task, r.Number) {
			l.requestStop(ctx, modeler.Attempt{Task: r.Task, Session: session.Key(), Number: r.Number})
		}
	}
	l.forgetOrders(s, session)
	l.commitEnds(ctx, ends, last)
}

// forgetOrders drops what is known of attempts that the state no longer holds.
// An order younger than the look may be younger than the state too.
func (l *link) forgetOrders(s sighting, session modeler.Session) {
	held := make(map[modeler.TaskName]bool, len(session.Tasks))
	for _, name := range session.Tasks {
		held[name] = true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, o := range l.orders {
		if !held[name] && o.phase != orderSending && o.since < s.sent {
			delete(l.orders, name)
		}
	}
}

func (l *link) noteAnswer(sent time.Duration, look PollResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lapsing || l.answered == 0 {
		l.log().Info("worker reached", zap.String("session", l.session.Key()), zap.Int("running", len(look.Running)))
	}
	l.clock = l.clock.with(look.Clock, sent, l.now())
	l.answered = l.now()
	l.silent = false
	l.lapsing = false
}

// listedEnds returns the ends that are not committed yet and the last position.
func (l *link) listedEnds(look PollResult) ([]reducer.AttemptEnd, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.seen
	var ends []reducer.AttemptEnd
	for _, e := range look.Ended {
		if e.Position <= l.seen {
			continue
		}
		last = max(last, e.Position)
		ends = append(ends, reducer.AttemptEnd{
			Attempt:    modeler.Attempt{Task: e.Task, Session: l.session.Key(), Number: e.Number},
			Outcome:    e.Outcome,
			Checkpoint: e.Checkpoint,
		})
	}
	return ends, last
}

func (l *link) noteRunning(a modeler.Attempt, r Running) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		return
	}
	if o.phase == orderUnclear || o.phase == orderInherited {
		o.phase = orderStarted
		o.since = l.now()
	}
	if r.Checkpoint != "" {
		o.checkpoint = r.Checkpoint
	}
}

// judgeAbsent decides on an attempt that the state holds and the worker lists
// neither as running nor as ended. It reports whether the attempt is surely over.
func (l *link) judgeAbsent(ctx context.Context, a modeler.Attempt, s sighting) (reducer.AttemptOutcome, bool) {
	if !s.look.Full {
		return "", false
	}
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		// The start is about to be sent, or its commit had no clear answer. A
		// stop after stopRetry settles which.
		now := l.now()
		l.orders[a.Task] = &order{number: a.Number, phase: orderUnclear, since: now, stopped: now}
		l.mutex.Unlock()
		return "", false
	}
	phase, since := o.phase, o.since
	l.mutex.Unlock()
	switch phase {
	case orderInherited:
		// The look fenced the earlier leader before the worker answered it.
		return reducer.AttemptRefused, true
	case orderFenced:
		return reducer.AttemptRefused, s.sent > since
	case orderStarted:
		return reducer.AttemptLapsed, s.sent > since
	case orderUnclear:
		l.requestStop(ctx, a)
	case orderSending:
	}
	return "", false
}

// commitEnds commits ends, and then lets the worker forget them.
func (l *link) commitEnds(ctx context.Context, ends []reducer.AttemptEnd, last uint64) {
	if len(ends) == 0 {
		return
	}
	finish := l.supervisor.pending.begin(ends)
	err := l.propose(ctx, reducer.Command{Kind: reducer.KindEndAttempts, Ends: ends})
	finish()
	if err != nil {
		pause(ctx)
		return
	}
	for _, e := range ends {
		l.supervisor.options.OnEnded(e)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen = last
	for _, e := range ends {
		if o, ok := l.orders[e.Attempt.Task]; ok && o.number <= e.Attempt.Number {
			delete(l.orders, e.Attempt.Task)
		}
		l.log().Info("attempt ended", zap.Stringer("task", e.Attempt.Task), zap.Int("attempt", e.Attempt.Number),
			zap.String("session", e.Attempt.Session), zap.String("outcome", string(e.Outcome)))
	}
}
