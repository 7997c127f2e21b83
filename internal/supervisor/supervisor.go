// Package supervisor keeps the leader in touch with the workers that take
// their orders by call: it renews their leases, starts and stops attempts, and
// commits how attempts ended before a worker may forget it.
package supervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// Errors of calls to workers. Any other error says that the call may have been
// carried out, or may be carried out later.
var (
	// ErrNotSent says that no byte of the call has left this process.
	ErrNotSent = errors.New("the call was not sent")
	// ErrOtherIncarnation says that another life of the worker answered.
	ErrOtherIncarnation = errors.New("another life of the worker answered")
)

// StartResult is a worker's answer to a start.
type StartResult string

// The verdicts of a worker. All but ResultStarted say that the start did nothing.
const (
	ResultStarted StartResult = "started"
	// ResultFenced says that a later leader has given orders to the worker.
	ResultFenced StartResult = "fenced"
	// ResultStale says that the attempt was stopped or ended there before.
	ResultStale StartResult = "stale"
	// ResultLate says that the order came after its deadline.
	ResultLate StartResult = "late"
	// ResultFull says that the worker has no room.
	ResultFull StartResult = "full"
	// ResultNoTicket says that the ticket is missing, wrong or too old.
	ResultNoTicket StartResult = "noTicket"
	// ResultUnhealthy says that the worker does not work now.
	ResultUnhealthy StartResult = "unhealthy"
	// ResultInvalid says that the worker could not read the order.
	ResultInvalid StartResult = "invalid"
)

// StartOrder starts one attempt.
type StartOrder struct {
	Attempt modeler.Attempt
	Payload string
	// Deadline is on the worker's clock; the order does nothing after it.
	Deadline time.Duration
	// Epoch fences orders of earlier leaders.
	Epoch      uint64
	Checkpoint string
	// Ticket is empty where the queue needs no permit.
	Ticket string
}

// StopOrder stops one attempt, and keeps it from starting later.
type StopOrder struct {
	Attempt modeler.Attempt
	Epoch   uint64
}

// PaceOrder lets a running attempt work at a part of its speed.
type PaceOrder struct {
	Attempt modeler.Attempt
	Epoch   uint64
	// Percent is 0 to 100.
	Percent int
}

// PollOrder renews the lease of all that a worker runs, and asks what it runs.
type PollOrder struct {
	// Deadline is the end of the lease on the worker's clock; zero renews nothing.
	Deadline time.Duration
	Epoch    uint64
	// Acked is the number of the last end that is committed.
	Acked uint64
	// Wait is how long the worker may hold the answer while nothing ends.
	Wait time.Duration
}

// PollResult is what a worker says of itself.
type PollResult struct {
	// Clock is the worker's steady clock.
	Clock   time.Duration
	Born    int64
	Running []Running
	Ended   []Ended
	// Full says that Ended holds all ends after PollOrder.Acked.
	Full bool
}

// Running is an attempt that a worker runs.
type Running struct {
	Task       modeler.TaskName
	Number     int
	Checkpoint string
	// Percent of the work is done; for a long-running task, 100 while it is at work.
	Percent int
	// Measurement of the last half second is rough: for a task with a tail target, the
	// tail of its response times in milliseconds, for any other the millicores that
	// it uses. Zero where the worker reports none.
	Measurement int
}

// Ended is an attempt that has ended on a worker.
type Ended struct {
	// Position counts the ends of the worker's life from 1.
	Position   uint64
	Task       modeler.TaskName
	Number     int
	Outcome    reducer.AttemptOutcome
	Checkpoint string
}

// Calls reach a worker. None is nil.
type Calls struct {
	Start func(ctx context.Context, s modeler.Session, o StartOrder) (StartResult, error)
	Stop  func(ctx context.Context, s modeler.Session, o StopOrder) error
	Pace  func(ctx context.Context, s modeler.Session, o PaceOrder) error
	Poll  func(ctx context.Context, s modeler.Session, o PollOrder) (PollResult, error)
}

// Options are the settings and the seams of a supervisor.
type Options struct {
	Calls Calls
	// Epoch is the term of the leader.
	Epoch uint64
	// Since is when the leader began to lead, by Now.
	Since time.Duration
	// Now is a clock that goes on while the machine is suspended. Never nil.
	Now func() time.Duration
	// State returns the latest state that was applied. Never nil.
	State func() reducer.State
	// Propose commits a command. Never nil.
	Propose func(ctx context.Context, c reducer.Command) (reducer.Result, error)
	// Confirm reports whether this member surely still leads. Never nil.
	Confirm func() bool
	// OnRunning is told what runs on a session after each answered look. Never nil.
	OnRunning func(ctx context.Context, session modeler.Session, running []Running)
	// OnEnded is told each end that was committed. Never nil.
	OnEnded func(end reducer.AttemptEnd)
	Log     *zap.Logger
}

// Supervisor supervises the sessions of one leadership.
type Supervisor struct {
	options Options

	mutex sync.Mutex
	links map[string]*link
	added chan *link
	// pending are the ends that workers have listed and that are being committed.
	pending *pendingEnds
}

// pendingWait bounds how long a reader waits for ends that are being
// committed; a commit takes a fifth of it.
const pendingWait = 50 * time.Millisecond

// maxNewLinks bounds the sessions that wait for a goroutine of their own.
const maxNewLinks = 8192

// New returns a supervisor. What the state holds when it begins was started by
// earlier leaders.
func New(options Options) *Supervisor {
	s := &Supervisor{
		options: options, links: map[string]*link{}, added: make(chan *link, maxNewLinks), pending: newPendingEnds(),
	}
	state := options.State()
	for _, session := range reducer.Values(state.Sessions) {
		s.add(session, session.Tasks)
	}
	return s
}

// Run supervises until the context ends.
func (s *Supervisor) Run(ctx context.Context) error {
	crew := runner.NewCrew()
	for {
		select {
		case <-ctx.Done():
			return crew.Wait()
		case l := <-s.added:
			crew.Add(ctx, l.run)
		}
	}
}

// Sync takes note of a session that was touched.
func (s *Supervisor) Sync(key string) {
	session, ok := s.options.State().Sessions.Get(key)
	s.mutex.Lock()
	_, known := s.links[key]
	if !ok {
		delete(s.links, key)
	}
	s.mutex.Unlock()
	if ok && !known {
		s.add(session, nil)
	}
}

func (s *Supervisor) add(session modeler.Session, inherited []modeler.TaskName) {
	l := newLink(s, session, inherited)
	s.mutex.Lock()
	s.links[session.Key()] = l
	s.mutex.Unlock()
	s.added <- l
}

func (s *Supervisor) link(key string) (*link, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, ok := s.links[key]
	return l, ok
}

// IsReachable reports whether the session answered a moment ago under this
// leader, so that it may get new tasks.
func (s *Supervisor) IsReachable(key string) bool {
	l, ok := s.link(key)
	return ok && l.isReachable()
}

// AwaitEnds waits a moment for ends of the workflow that workers have listed
// and that are being committed, so that a reader sees them.
func (s *Supervisor) AwaitEnds(ctx context.Context, workflow string) {
	s.pending.wait(ctx, workflow, pendingWait)
}

// Start sends a committed start. It returns at once; what becomes of the
// attempt is committed in time.
func (s *Supervisor) Start(ctx context.Context, o StartOrder) {
	l, ok := s.link(o.Attempt.Session)
	if !ok {
		return
	}
	if l.register(o.Attempt) {
		go l.start(ctx, o)
		return
	}
	go l.refuse(ctx, o.Attempt, "the worker is out of reach")
}

// Stop tells the worker to stop the attempt, and returns at once.
func (s *Supervisor) Stop(ctx context.Context, attempt modeler.Attempt) {
	if l, ok := s.link(attempt.Session); ok {
		l.requestStop(ctx, attempt)
	}
}

// Pace tells the worker to let the attempt work at the pace, in percent, and
// returns at once. taken is called once the worker has answered.
func (s *Supervisor) Pace(ctx context.Context, attempt modeler.Attempt, percent int, taken func()) {
	if l, ok := s.link(attempt.Session); ok {
		go l.pace(ctx, attempt, percent, taken)
	}
}

// ShouldStop reports whether the attempt that holds the task has no reason to
// go on.
func ShouldStop(state reducer.State, name modeler.TaskName, number int) bool {
	w, ok := state.Workflows.Get(name.Workflow)
	task, known := w.Task(name)
	if !ok || !known || !task.IsHeld() || task.Attempt != number {
		return true
	}
	if task.Phase == modeler.TaskCancelled || task.Phase == modeler.TaskStopping {
		return true
	}
	position, _ := w.RunOf(name)
	return w.Spec.Steps[name.Step].Gang && task.Phase == modeler.TaskStarted && w.Runs[position].IsBroken()
}
