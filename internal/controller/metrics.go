package controller

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// latencyBuckets range from the duration of a commit on a fast disk to the duration
// of the longest permit request.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics records the metrics of the workflow controller.
type metrics struct {
	scope tally.Scope
}

func (m metrics) recordSince(name string, began time.Time) {
	m.recordDuration(name, time.Since(began))
}

func (m metrics) recordDuration(name string, d time.Duration) {
	m.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

func (m metrics) count(name, tag, value string) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

// callResult returns the value of the result tag for a call that returned the error.
func callResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, supervisor.ErrNotSent):
		return "notSent"
	case errors.Is(err, supervisor.ErrOtherIncarnation):
		return "otherLife"
	default:
		return "unanswered"
	}
}

// instrumentCalls wraps the calls to workers, so that they are counted by result.
func (m metrics) instrumentCalls(c supervisor.Calls) supervisor.Calls {
	return supervisor.Calls{
		Start: func(ctx context.Context, s modeler.Session, o supervisor.StartOrder) (supervisor.StartResult, error) {
			result, err := c.Start(ctx, s, o)
			if err == nil {
				m.count("starts", "result", string(result))
			} else {
				m.count("starts", "result", callResult(err))
			}
			return result, err
		},
		Stop: func(ctx context.Context, s modeler.Session, o supervisor.StopOrder) error {
			err := c.Stop(ctx, s, o)
			m.count("stops", "result", callResult(err))
			return err
		},
		Pace: func(ctx context.Context, s modeler.Session, o supervisor.PaceOrder) error {
			err := c.Pace(ctx, s, o)
			m.count("paces", "result", callResult(err))
			return err
		},
		Poll: func(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (supervisor.PollResult, error) {
			result, err := c.Poll(ctx, s, o)
			m.count("looks", "result", callResult(err))
			return result, err
		},
	}
}

type proposeFunc func(context.Context, reducer.Command) (reducer.Result, error)

// instrumentPropose wraps the proposal of commands, so that the duration of each
// commit and each failure is recorded.
func (m metrics) instrumentPropose(propose proposeFunc) proposeFunc {
	return func(ctx context.Context, c reducer.Command) (reducer.Result, error) {
		began := time.Now()
		r, err := propose(ctx, c)
		if err != nil {
			m.count("commits_failed", "kind", string(c.Kind))
			return r, err
		}
		m.recordSince("commit", began)
		return r, nil
	}
}

type permitFunc func(context.Context, string, adviser.StepName, []string) (adviser.Decision, error)

// instrumentPermits wraps the call to the policy service, so that the duration of
// each answer and each failure is recorded.
func (m metrics) instrumentPermits(request permitFunc) permitFunc {
	return func(ctx context.Context, address string, step adviser.StepName, workers []string) (adviser.Decision, error) {
		began := time.Now()
		decision, err := request(ctx, address, step, workers)
		if err != nil {
			m.count("advice_failed", "entry", address)
			return decision, err
		}
		m.recordSince("advice", began)
		return decision, nil
	}
}
