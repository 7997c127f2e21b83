package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/reducer"
)

// pendingEnds tracks, by workflow, the commits of ends that are in progress.
type pendingEnds struct {
	mutex sync.Mutex
	// commits holds an entry for each workflow with ends being committed. Its done
	// channel is closed when the last of these commits returns.
	commits map[string]*pendingCommit
}

type pendingCommit struct {
	count int
	done  chan struct{}
}

func newPendingEnds() *pendingEnds { return &pendingEnds{commits: map[string]*pendingCommit{}} }

// beginCommit records that the ends are being committed. The caller must call the
// returned function once the commit has returned.
func (p *pendingEnds) beginCommit(ends []reducer.AttemptEnd) func() {
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
	return func() { p.finishCommit(workflows) }
}

func (p *pendingEnds) finishCommit(workflows map[string]struct{}) {
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

// wait blocks until no end of the workflow is being committed, the context ends
// or the timeout has passed.
func (p *pendingEnds) wait(ctx context.Context, id string, timeout time.Duration) {
	p.mutex.Lock()
	c, ok := p.commits[id]
	p.mutex.Unlock()
	if !ok {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.done:
	}
}
