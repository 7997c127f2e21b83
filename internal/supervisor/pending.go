package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/reducer"
)

// pendingEnds counts the commits of ends that are under way, by workflow.
type pendingEnds struct {
	mutex sync.Mutex
	// commits are closed once the last commit about the workflow is done.
	commits map[string]*pendingCommit
}

type pendingCommit struct {
	count int
	done  chan struct{}
}

func newPendingEnds() *pendingEnds { return &pendingEnds{commits: map[string]*pendingCommit{}} }

// begin notes that the ends are being committed, and returns what ends that.
func (p *pendingEnds) begin(ends []reducer.AttemptEnd) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	workflows := map[string]struct{}{}
	for _, e := range ends {
		workflows[e.Attempt.Task.Workflow] = struct{}{}
	}
	for id := range workflows {
		c, ok := p.commits[id]
		if !ok {
			c = &pendingCommit{done: make(chan struct{})}
			p.commits[id] = c
		}
		c.count++
	}
	return func() { p.finish(workflows) }
}

func (p *pendingEnds) finish(workflows map[string]struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id := range workflows {
		c := p.commits[id]
		if c.count--; c.count == 0 {
			close(c.done)
			delete(p.commits, id)
		}
	}
}

// wait returns once nothing about the workflow is being committed, or the
// context or the time is over.
func (p *pendingEnds) wait(ctx context.Context, id string, atMost time.Duration) {
	p.mutex.Lock()
	c, ok := p.commits[id]
	p.mutex.Unlock()
	if !ok {
		return
	}
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.done:
	}
}
