package controller

import (
	"context"
	"errors"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// askTimeout bounds the call that asks a worker whether it is the one announced. A
// worker answers within a few milliseconds, and a heartbeat is answered within 800 ms.
const askTimeout = 300 * time.Millisecond

// settleTimeout bounds the time in which the attempts of an earlier life are settled before
// a heartbeat is answered. The worker sends another one after a refusal.
const settleTimeout = 400 * time.Millisecond

// AskSession asks the worker at the session's address whether it is in the life that
// the session describes. The error is supervisor.ErrOtherIncarnation if it is not, and
// another one if it gave no answer. The call renews no lease and acknowledges no end.
// Where no worker takes its orders by call, none is asked.
func (l *LeaderState) AskSession(ctx context.Context, s modeler.Session) error {
	if l.options.Workflows == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	fence := supervisor.Fence(l.term, 0)
	if workers := l.supervisor.Load(); workers != nil {
		fence = workers.WorkerFence(s.Worker)
	}
	result, err := l.options.Workflows.Calls.Poll(bounded, s, supervisor.PollOrder{Fence: fence})
	if err == nil && result.StartedAtMillis != s.StartedAtMillis {
		err = supervisor.ErrOtherIncarnation
	}
	return err
}

// IsSessionReachable reports whether the session's worker has answered this leader's
// last poll in time.
func (l *LeaderState) IsSessionReachable(key string) bool {
	workers := l.supervisor.Load()
	return workers != nil && workers.Reachability()(key)
}

// LeaveWorker records that a worker says that it leaves, see supervisor.Leave.
func (l *LeaderState) LeaveWorker(worker string) {
	if workers := l.supervisor.Load(); workers != nil {
		workers.Leave(worker)
	}
}

// AwaitSessionEnd waits until the session of a worker that has started again at the same
// address has ended. Where no worker takes its orders by call, it returns at once.
func (l *LeaderState) AwaitSessionEnd(ctx context.Context, key string) error {
	if l.options.Workflows == nil {
		return nil
	}
	workers := l.supervisor.Load()
	if workers == nil {
		return errors.New("workers are not supervised yet")
	}
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return workers.AwaitEnd(bounded, key)
}
