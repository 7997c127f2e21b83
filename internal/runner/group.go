package runner

import (
	"context"
	"errors"
	"sync"
)

// Group is a set of goroutines with one owner, which waits for all of them and
// gets their errors.
type Group struct {
	errs    chan error
	running sync.WaitGroup
}

// NewGroup returns a group without goroutines.
func NewGroup() *Group { return &Group{errs: make(chan error, 1)} }

// StartGroup returns a group of count goroutines that all run f.
func StartGroup(ctx context.Context, count int, f Func) *Group {
	g := NewGroup()
	for range count {
		g.Go(ctx, f)
	}
	return g
}

// Go runs f in one more goroutine of the group. Only the owner may call it, and
// not after Wait.
func (g *Group) Go(ctx context.Context, f Func) {
	g.running.Go(func() {
		if err := f(ctx); err != nil {
			g.errs <- err
		}
	})
}

// Wait blocks until every goroutine has returned, and returns their errors joined.
func (g *Group) Wait() error {
	go func() {
		g.running.Wait()
		close(g.errs)
	}()
	var errs []error
	for err := range g.errs {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
