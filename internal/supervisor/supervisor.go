// Package supervisor connects the leader to the workers that take their orders by
// call: it renews their leases, starts and stops attempts, and commits the outcome
// of each attempt before the worker may drop it.
package supervisor

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// Errors of calls to workers. After any other error, the call may have been carried
// out, or may be carried out later.
var (
	// ErrNotSent reports that no byte of the call has left this process.
	ErrNotSent = errors.New("call not sent")
	// ErrOtherIncarnation reports that another incarnation of the worker answered.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
)

// StartResult is a worker's answer to a start.
type StartResult string

// The results of a start. Any result but ResultStarted means that the start had no
// effect.
const (
	ResultStarted StartResult = "started"
	// ResultFenced means that a later leader has given orders to the worker.
	ResultFenced StartResult = "fenced"
	// ResultStale means that the attempt was stopped or ended on the worker before.
	ResultStale StartResult = "stale"
	// ResultLate means that the order arrived after its deadline.
	ResultLate StartResult = "late"
	// ResultFull means that the worker has no free capacity for the task.
	ResultFull StartResult = "full"
	// ResultNoTicket means that the ticket is missing, invalid or expired.
	ResultNoTicket StartResult = "noTicket"
	// ResultUnhealthy means that the worker is not working at present.
	ResultUnhealthy StartResult = "unhealthy"
	// ResultInvalid means that the worker could not read the order.
	ResultInvalid StartResult = "invalid"
)

// StartOrder starts one attempt.
type StartOrder struct {
	Attempt modeler.Attempt
	Payload string
	// Deadline is on the worker's clock; the order has no effect after it.
	Deadline time.Duration
	// Fence is the Fence of the session.
	Fence      uint64
	Checkpoint string
	// Ticket is empty where the queue needs no permit.
	Ticket string
}

// StopOrder stops one attempt, and prevents it from starting later.
type StopOrder struct {
	Attempt modeler.Attempt
	Fence   uint64
}

// PaceOrder throttles a running attempt to a percentage of its full speed.
type PaceOrder struct {
	Attempt modeler.Attempt
	Fence   uint64
	// Percent is 0 to 100.
	Percent int
}

// PollOrder renews the lease of all attempts on a worker, and asks which ones run
// and which have ended.
type PollOrder struct {
	// Deadline is the end of the lease on the worker's clock; zero renews no lease.
	Deadline time.Duration
	Fence    uint64
	// AckedPosition is the position of the last committed end.
	AckedPosition uint64
	// Wait is how long the worker may hold the answer while no attempt ends.
	Wait time.Duration
}

// PollResult is a worker's answer to a poll.
type PollResult struct {
	// Clock is the time of the worker's monotonic clock.
	Clock           time.Duration
	StartedAtMillis int64
	Running         []Running
	Ended           []Ended
	// Full is true if the lists hold all attempts that run, and all ends after
	// PollOrder.AckedPosition.
	Full bool
	// Unread is the number of rows that could not be read. Any of them may be about any
	// attempt, so the lists are not full.
	Unread int
}

// Running is an attempt that a worker runs.
type Running struct {
	Task       modeler.TaskName
	Number     int
	Checkpoint string
	// Percent is the share of the work that is done; for a long-running task, 100
	// while it is working.
	Percent int
	// Measurement is a rough value over the last half second: for a task with a tail
	// target the tail of its response times in milliseconds, for any other task the
	// millicores that it uses. It is zero if the worker reports none.
	Measurement int
}

// Ended is an attempt that has ended on a worker.
type Ended struct {
	// Position numbers the ends of one incarnation of the worker, from 1.
	Position   uint64
	Task       modeler.TaskName
	Number     int
	Outcome    reducer.AttemptOutcome
	Checkpoint string
}

// Calls are the remote calls to a worker. None is nil.
type Calls struct {
	Start func(ctx context.Context, s modeler.Session, o StartOrder) (StartResult, error)
	Stop  func(ctx context.Context, s modeler.Session, o StopOrder) error
	Pace  func(ctx context.Context, s modeler.Session, o PaceOrder) error
	Poll  func(ctx context.Context, s modeler.Session, o PollOrder) (PollResult, error)
}

// Options configures a supervisor.
type Options struct {
	Calls Calls
	// Epoch is the term of the leader.
	Epoch uint64
	// Since is when the leader began to lead, by Now.
	Since time.Duration
	// LongestLease is the longest lease that a worker grants, on its own clock; it shortens a
	// longer one. At least workerLease.
	LongestLease time.Duration
	// OrderDelay is how long after it was given up an order that got no answer may be carried out.
	OrderDelay time.Duration
	// Now is a clock that keeps running while the machine is suspended. Never nil.
	Now func() time.Duration
	// StartedBy returns the time, by Now, by which the last start of a task had been committed,
	// for tasks that were started under earlier leaders. Never nil.
	StartedBy func(name modeler.TaskName) time.Duration
	// WasListed reports whether an earlier leader has committed that the life for which the attempt
	// was started had listed it. Never nil.
	WasListed func(a modeler.Attempt) bool
	// State returns the latest applied state. Never nil.
	State func() reducer.State
	// Propose commits a command. Never nil.
	Propose func(ctx context.Context, c reducer.Command) (reducer.Result, error)
	// Confirm reports whether this member surely still leads. Never nil.
	Confirm func() bool
	// AwaitConfirmed waits for a short time until this member surely leads, and reports
	// whether it does. Never nil.
	AwaitConfirmed func(ctx context.Context) bool
	// OnRunning is called after each answered poll with the attempts that run on
	// the session. Never nil.
	OnRunning func(ctx context.Context, session modeler.Session, running []Running)
	// OnEnded is called for each committed end. Never nil.
	OnEnded func(end reducer.AttemptEnd)
	Log     *zap.Logger
}

// Supervisor supervises the worker sessions during one leadership.
type Supervisor struct {
	options Options

	// fences is the number of fences that are in use, without the first.
	fences atomic.Uint64

	mutex sync.Mutex
	links map[string]*link
	// former holds when the last session of a worker was dropped, for keepFormer.
	former map[string]time.Duration
	added  chan *link
	// pending tracks the ends that workers have listed and that are being committed.
	pending *pendingEnds
	ends    *endBatcher
}

// pendingWait bounds how long a reader waits for ends that are being committed. A
// commit takes about a fifth of it.
const pendingWait = 50 * time.Millisecond

// addedCapacity bounds the sessions that wait for Run to start their goroutine.
const addedCapacity = 8192

// New returns a supervisor. It takes the attempts that the state holds at this time
// for started under earlier leaders.
func New(options Options) *Supervisor {
	s := &Supervisor{
		options: options, links: map[string]*link{}, former: map[string]time.Duration{},
		added: make(chan *link, addedCapacity), pending: newPendingEnds(),
	}
	s.ends = newEndBatcher(s.propose)
	state := options.State()
	for _, session := range reducer.Values(state.Sessions) {
		s.add(newLink(s, session, Fence(options.Epoch, 0)).withInherited(session.Tasks))
	}
	return s
}

// propose commits a command within proposeTimeout.
func (s *Supervisor) propose(ctx context.Context, c reducer.Command) error {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.options.Propose(bounded, c)
	if err != nil && ctx.Err() == nil {
		s.options.Log.Warn("proposal failed", zap.String("kind", string(c.Kind)), zap.Int("ends", len(c.Ends)), zap.Error(err))
	}
	return err
}

// Run supervises the sessions until the context ends.
func (s *Supervisor) Run(ctx context.Context) error {
	group := runner.NewGroup()
	group.Go(ctx, s.ends.run)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case l := <-s.added:
			group.Go(ctx, l.run)
		}
	}
}

// Sync starts supervising a session that is new in the state, or drops one that is
// no longer there.
func (s *Supervisor) Sync(key string) {
	session, ok := s.options.State().Sessions.Get(key)
	s.mutex.Lock()
	l, known := s.links[key]
	if known && !ok {
		s.dropLocked(l)
	}
	isNew := ok && !known
	var added *link
	if isNew {
		added = newLink(s, session, s.nextFence())
		added.hasEarlierLife = s.hasEarlierLifeLocked(session.Worker)
	}
	s.mutex.Unlock()
	if isNew {
		s.add(added)
	}
}

func (s *Supervisor) add(l *link) {
	s.mutex.Lock()
	s.links[l.session.Key()] = l
	s.mutex.Unlock()
	s.added <- l
}

// dropLocked drops the link of a session that is no longer in the state. The caller holds the
// mutex.
func (s *Supervisor) dropLocked(l *link) {
	now := s.options.Now()
	delete(s.links, l.session.Key())
	maps.DeleteFunc(s.former, func(_ string, dropped time.Duration) bool { return now-dropped > s.keepFormer() })
	s.former[l.session.Worker] = now
}

// hasEarlierLifeLocked reports whether orders for an earlier life of the worker may still be
// carried out. The caller holds the mutex.
func (s *Supervisor) hasEarlierLifeLocked(worker string) bool {
	now := s.options.Now()
	if dropped, ok := s.former[worker]; ok && now-dropped <= s.keepFormer() {
		return true
	}
	for _, l := range s.links {
		if l.session.Worker == worker {
			return true
		}
	}
	return now-s.options.Since <= s.keepFormer()
}

// pollWait returns how long a worker may hold the answer to a poll, so that all
// workers together cause at most maxIdlePollsPerSecond polls.
func (s *Supervisor) pollWait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wait := time.Duration(len(s.links)) * time.Second / maxIdlePollsPerSecond
	return min(maxPollWait, max(minPollWait, wait))
}

func (s *Supervisor) link(key string) (*link, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, ok := s.links[key]
	return l, ok
}

// Reachability returns a function that reports whether a session, by the time of this
// call, had answered the leader's last poll in time.
func (s *Supervisor) Reachability() func(key string) bool {
	now, window := s.options.Now(), s.pollWait()+pollGrace
	return func(key string) bool {
		l, ok := s.link(key)
		return ok && l.isReachable(now, window)
	}
}

// AwaitEnds blocks for at most pendingWait until the ends of the workflow that
// workers have listed are committed, so that a reader sees them.
func (s *Supervisor) AwaitEnds(ctx context.Context, workflow string) {
	s.pending.wait(ctx, workflow, pendingWait)
}

// Start sends a committed start in the background, and returns at once. The outcome
// of the attempt is committed later. It does nothing for an unknown session.
func (s *Supervisor) Start(ctx context.Context, o StartOrder) {
	l, ok := s.link(o.Attempt.Session)
	if !ok {
		return
	}
	if l.registerStart(o) {
		go l.start(ctx, o)
		return
	}
	go l.commitNotRun(ctx, o.Attempt, "worker is unreachable")
}

// Stop tells the worker to stop the attempt in the background, and returns at once.
func (s *Supervisor) Stop(ctx context.Context, attempt modeler.Attempt) {
	if l, ok := s.link(attempt.Session); ok {
		l.requestStop(ctx, attempt)
	}
}

// Pace sets the pace of the attempt, in percent of its full speed, in the
// background, and returns at once. It then calls done, with whether the worker has
// confirmed the order. An order that is not confirmed may be carried out later.
func (s *Supervisor) Pace(ctx context.Context, attempt modeler.Attempt, percent int, done func(confirmed bool)) {
	l, ok := s.link(attempt.Session)
	if !ok {
		done(false)
		return
	}
	go func() { done(l.pace(ctx, attempt, percent)) }()
}

// ShouldStop reports whether the attempt is obsolete: the state no longer holds it,
// its task is cancelled or stopping, or another task of its gang was lost.
func ShouldStop(state reducer.State, name modeler.TaskName, number int) bool {
	w, ok := state.Workflows.Get(name.Workflow)
	task, known := w.Task(name)
	if !ok || !known || !task.HoldsResources() || task.Attempt != number {
		return true
	}
	if task.Phase == modeler.TaskCancelled || task.Phase == modeler.TaskStopping {
		return true
	}
	position, _ := w.RunIndex(name)
	return w.Spec.Steps[name.Step].Gang && task.Phase == modeler.TaskStarted && w.Run(position).HasLostTask()
}
