package supervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// workerLease is how long a worker goes on without a look. It outlasts a
	// change of the leader, and is the longest that lost work stays unnoticed.
	workerLease = 3 * time.Second
	// startWindow is how long after its sending a start may take effect.
	startWindow = 1200 * time.Millisecond
	// callTimeout bounds the answer to a start or a stop; a worker answers within
	// a few milliseconds, and what is not answered is looked for.
	callTimeout = 300 * time.Millisecond
	// lookWait is how long a worker holds the answer to a look; shortWait is that
	// while the outcome of an order is not clear.
	lookWait  = 500 * time.Millisecond
	shortWait = 30 * time.Millisecond
	// lookGrace is how long after lookWait an answer may still come.
	lookGrace = 700 * time.Millisecond
	// lookRetry is the pause after a look that was not answered.
	lookRetry = 100 * time.Millisecond
	// reachableTime is how old the last answered look may be for new starts.
	reachableTime = lookWait + lookGrace
	// stopRetry is the pause before the same attempt is told to stop again.
	stopRetry = 400 * time.Millisecond
	// proposeTimeout bounds the commit of ends.
	proposeTimeout = 2 * time.Second
)

// orderPhase is how far the order to start an attempt has got.
type orderPhase int

const (
	// orderSending orders are on their way.
	orderSending orderPhase = iota
	// orderInherited orders were given by an earlier leader, if at all.
	orderInherited
	// orderStarted orders were answered as carried out.
	orderStarted
	// orderUnclear orders had no answer: they may be carried out until their deadline.
	orderUnclear
	// orderFenced orders cannot be carried out any more.
	orderFenced
)

// order is what is known of the order behind an attempt.
type order struct {
	number int
	phase  orderPhase
	// since is when the phase began, by our clock.
	since time.Duration
	// stopped is when the attempt was last told to stop; zero for never.
	stopped    time.Duration
	checkpoint string
}

// link is the leader's connection to one session.
type link struct {
	supervisor *Supervisor
	session    modeler.Session

	mutex sync.Mutex
	clock workerClock
	// deadline is the latest end of a lease, on the worker's clock, that any
	// order of this leader may have given.
	deadline time.Duration
	// answered is when the last answer to a look came; zero for none.
	answered time.Duration
	// silent links had no answer to the last look, and renew no lease until
	// they have one, so that the lease ends.
	silent bool
	// lapsing links send no starts until a look is answered.
	lapsing bool
	orders  map[modeler.TaskName]*order
	// seen is the position of the last end that is committed.
	seen uint64
}

func newLink(s *Supervisor, session modeler.Session, inherited []modeler.TaskName) *link {
	l := &link{supervisor: s, session: session, orders: map[modeler.TaskName]*order{}}
	state := s.options.State()
	for _, name := range inherited {
		w, _ := state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		l.orders[name] = &order{number: task.Attempt, phase: orderInherited}
	}
	return l
}

func (l *link) now() time.Duration { return l.supervisor.options.Now() }

func (l *link) log() *zap.Logger { return l.supervisor.options.Log }

func (l *link) isReachable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.silent && l.answered > 0 && l.now()-l.answered < reachableTime
}

// run looks at the worker until the session or the context ends.
func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		session, ok := l.supervisor.options.State().Sessions.Get(l.session.Key())
		if !ok {
			return nil
		}
		if !l.supervisor.options.Confirm() {
			pause(ctx)
			continue
		}
		sent, sight, err := l.look(ctx, session)
		switch {
		case err == nil:
			l.take(ctx, sent, sight)
		case errors.Is(err, ErrOtherIncarnation):
			l.end(ctx, err)
		default:
			l.noteSilence(ctx, err)
		}
	}
	return nil
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(lookRetry):
	}
}

// look renews the lease and returns when it was sent and what the worker says.
func (l *link) look(ctx context.Context, session modeler.Session) (time.Duration, PollResult, error) {
	l.mutex.Lock()
	sent := l.now()
	o := PollOrder{Epoch: l.supervisor.options.Epoch, Acked: l.seen}
	if l.clock.known && !l.silent {
		o.Deadline = l.clock.at(sent) + workerLease
		o.Wait = l.waitLocked()
		l.deadline = max(l.deadline, o.Deadline)
	}
	l.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, o.Wait+lookGrace)
	defer cancel()
	sight, err := l.supervisor.options.Calls.Poll(bounded, session, o)
	if err == nil && sight.Born != session.Born {
		err = ErrOtherIncarnation
	}
	return sent, sight, err
}

// waitLocked is how long the worker may hold the next look; the mutex is held.
func (l *link) waitLocked() time.Duration {
	for _, o := range l.orders {
		if o.phase == orderUnclear || o.phase == orderFenced || o.phase == orderInherited {
			return shortWait
		}
	}
	return lookWait
}

// end commits that the session is over, as another life of the worker is there.
func (l *link) end(ctx context.Context, cause error) {
	l.log().Info("session ended", zap.String("session", l.session.Key()), zap.Error(cause))
	err := l.propose(ctx, reducer.Command{Kind: reducer.KindEndSessions, Names: []string{l.session.Key()}})
	if err != nil {
		pause(ctx)
	}
}

func (l *link) propose(ctx context.Context, c reducer.Command) error {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := l.supervisor.options.Propose(bounded, c)
	if err != nil && ctx.Err() == nil {
		l.log().Warn("proposal refused", zap.String("kind", string(c.Kind)), zap.String("session", l.session.Key()), zap.Error(err))
	}
	return err
}

// noteSilence gives up what the worker holds once its lease has surely ended.
func (l *link) noteSilence(ctx context.Context, cause error) {
	defer pause(ctx)
	l.mutex.Lock()
	l.silent = true
	l.mutex.Unlock()
	if !l.hasLapsed() || !l.supervisor.options.Confirm() {
		return
	}
	state := l.supervisor.options.State()
	session, ok := state.Sessions.Get(l.session.Key())
	if !ok || len(session.Tasks) == 0 {
		return
	}
	l.log().Warn("lease lapsed", zap.String("session", session.Key()), zap.Int("tasks", len(session.Tasks)), zap.Error(cause))
	var ends []reducer.AttemptEnd
	for _, name := range session.Tasks {
		w, _ := state.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		ends = append(ends, reducer.AttemptEnd{
			Attempt:    modeler.Attempt{Task: name, Session: session.Key(), Number: task.Attempt},
			Outcome:    reducer.AttemptLapsed,
			Checkpoint: l.checkpointOf(name, task.Attempt),
		})
	}
	_ = l.propose(ctx, reducer.Command{Kind: reducer.KindEndAttempts, Ends: ends})
}

// hasLapsed reports whether every lease on the worker has surely ended, and
// from then on keeps starts from being sent until the worker answers.
func (l *link) hasLapsed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	ended := l.supervisor.options.Since + workerLease*percent/slowestRate + wakeMargin
	if l.clock.known {
		ended = max(ended, l.clock.surelyAt(l.deadline))
	}
	if now < ended {
		return false
	}
	l.lapsing = true
	return true
}

func (l *link) checkpointOf(name modeler.TaskName, number int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o, ok := l.orders[name]; ok && o.number == number {
		return o.checkpoint
	}
	return ""
}

// register notes that a start is about to be sent; false says that it must not be.
func (l *link) register(a modeler.Attempt) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.silent || !l.clock.known {
		return false
	}
	l.orders[a.Task] = &order{number: a.Number, phase: orderSending, since: l.now()}
	return true
}

// start sends a registered start and notes what became of it.
func (l *link) start(ctx context.Context, o StartOrder) {
	l.mutex.Lock()
	lapsing := l.lapsing
	o.Epoch = l.supervisor.options.Epoch
	o.Deadline = l.clock.at(l.now()) + startWindow
	if !lapsing {
		l.deadline = max(l.deadline, o.Deadline)
	}
	l.mutex.Unlock()
	if lapsing {
		l.refuse(ctx, o.Attempt, "the worker is out of reach")
		return
	}
	if !l.supervisor.options.Confirm() {
		l.setPhase(o.Attempt, orderUnclear)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	verdict, err := l.supervisor.options.Calls.Start(bounded, l.session, o)
	switch {
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrOtherIncarnation):
		l.refuse(ctx, o.Attempt, err.Error())
	case err != nil:
		l.log().Info("start unanswered", zap.Stringer("task", o.Attempt.Task), zap.Int("attempt", o.Attempt.Number),
			zap.String("session", o.Attempt.Session), zap.Error(err))
		l.setPhase(o.Attempt, orderUnclear)
	case verdict == ResultStarted:
		l.setPhase(o.Attempt, orderStarted)
	default:
		l.refuse(ctx, o.Attempt, string(verdict))
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

// refuse commits that an attempt never began.
func (l *link) refuse(ctx context.Context, a modeler.Attempt, reason string) {
	l.log().Info("attempt not run", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
		zap.String("session", a.Session), zap.String("reason", reason))
	l.setPhase(a, orderFenced)
	_ = l.propose(ctx, reducer.Command{
		Kind: reducer.KindEndAttempts,
		Ends: []reducer.AttemptEnd{{Attempt: a, Outcome: reducer.AttemptRefused}},
	})
}

// requestStop sends a stop unless one was sent a moment ago.
func (l *link) requestStop(ctx context.Context, a modeler.Attempt) {
	l.mutex.Lock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		if ok && o.number > a.Number {
			l.mutex.Unlock()
			go l.stop(ctx, a)
			return
		}
		o = &order{number: a.Number, phase: orderStarted, since: l.now()}
		l.orders[a.Task] = o
	}
	recent := o.stopped > 0 && l.now()-o.stopped < stopRetry
	if !recent {
		o.stopped = l.now()
	}
	l.mutex.Unlock()
	if !recent {
		go l.stop(ctx, a)
	}
}

// stop tells the worker to stop. Once it has answered, an order that had no
// answer cannot be carried out any more.
func (l *link) stop(ctx context.Context, a modeler.Attempt) {
	if !l.supervisor.options.Confirm() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.supervisor.options.Calls.Stop(bounded, l.session, StopOrder{Attempt: a, Epoch: l.supervisor.options.Epoch})
	if err != nil {
		l.log().Info("stop unanswered", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
			zap.String("session", a.Session), zap.Error(err))
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o, ok := l.orders[a.Task]; ok && o.number == a.Number && o.phase == orderUnclear {
		o.phase = orderFenced
		o.since = l.now()
	}
}

// pace tells the worker the pace of an attempt. Without an answer the next
// look gives cause to tell it again.
func (l *link) pace(ctx context.Context, a modeler.Attempt, percent int, taken func()) {
	if !l.supervisor.options.Confirm() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := PaceOrder{Attempt: a, Epoch: l.supervisor.options.Epoch, Percent: percent}
	if err := l.supervisor.options.Calls.Pace(bounded, l.session, o); err != nil {
		l.log().Info("pace unanswered", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
			zap.String("session", a.Session), zap.Int("percent", percent), zap.Error(err))
		return
	}
	l.log().Info("task paced", zap.Stringer("task", a.Task), zap.Int("attempt", a.Number),
		zap.String("session", a.Session), zap.Int("percent", percent))
	taken()
}
