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

// latencyBuckets reach from a commit on a fast disk to the longest advice.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// measures counts what the duties about workflows do.
type measures struct {
	scope tally.Scope
}

func (m measures) timed(name string, began time.Time) {
	m.scope.Histogram(name, latencyBuckets).RecordDuration(time.Since(began))
}

func (m measures) count(name, tag, value string) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

// result is the tag of a call that had the error.
func result(err error) string {
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

// calls returns the calls, counted by result.
func (m measures) calls(c supervisor.Calls) supervisor.Calls {
	return supervisor.Calls{
		Start: func(ctx context.Context, s modeler.Session, o supervisor.StartOrder) (supervisor.StartResult, error) {
			verdict, err := c.Start(ctx, s, o)
			if err == nil {
				m.count("starts", "result", string(verdict))
			} else {
				m.count("starts", "result", result(err))
			}
			return verdict, err
		},
		Stop: func(ctx context.Context, s modeler.Session, o supervisor.StopOrder) error {
			err := c.Stop(ctx, s, o)
			m.count("stops", "result", result(err))
			return err
		},
		Pace: func(ctx context.Context, s modeler.Session, o supervisor.PaceOrder) error {
			err := c.Pace(ctx, s, o)
			m.count("paces", "result", result(err))
			return err
		},
		Poll: func(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (supervisor.PollResult, error) {
			look, err := c.Poll(ctx, s, o)
			m.count("looks", "result", result(err))
			return look, err
		},
	}
}

type proposeFunc func(context.Context, reducer.Command) (reducer.Result, error)

// proposes returns the proposal, with the time of each commit.
func (m measures) proposes(propose proposeFunc) proposeFunc {
	return func(ctx context.Context, c reducer.Command) (reducer.Result, error) {
		began := time.Now()
		r, err := propose(ctx, c)
		if err != nil {
			m.count("commits_failed", "kind", string(c.Kind))
			return r, err
		}
		m.timed("commit", began)
		return r, nil
	}
}

type askFunc func(context.Context, string, adviser.StepName, []string) (adviser.Decision, error)

// asks returns the question to the policy service, with the time of each answer.
func (m measures) asks(ask askFunc) askFunc {
	return func(ctx context.Context, address string, step adviser.StepName, workers []string) (adviser.Decision, error) {
		began := time.Now()
		answer, err := ask(ctx, address, step, workers)
		if err != nil {
			m.count("advice_failed", "entry", address)
			return answer, err
		}
		m.timed("advice", began)
		return answer, nil
	}
}
