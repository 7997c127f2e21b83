// Package runner runs the long-running functions of a process together: when one
// returns, or the process is interrupted, all are stopped.
package runner

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/oklog/run"
)

// Func is a function that runs until its context ends.
type Func func(ctx context.Context) error

// Run runs the functions until one returns or the process receives SIGINT or
// SIGTERM. It then cancels them in the order given, each after the one before it
// has returned, so that a function can rely on those after it until it returns.
// An interrupt or a cancelled context is not an error.
func Run(ctx context.Context, functions ...Func) error {
	var group run.Group
	signals, stop := context.WithCancel(ctx)
	defer stop()
	group.Add(run.SignalHandler(signals, os.Interrupt, syscall.SIGTERM))
	for _, f := range functions {
		functionCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		group.Add(
			func() error {
				defer close(ended)
				return f(functionCtx)
			},
			func(error) {
				cancel()
				<-ended
			},
		)
	}
	err := group.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
