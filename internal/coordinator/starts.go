package coordinator

import (
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// keepStarts is how long the times of starts are kept. A new leader needs them for 15 s where
// workers grant leases of up to 10 s.
const keepStarts = 16 * time.Second

// startTimes holds when this member applied the starts of workflow tasks. Followers keep it too,
// so that a new leader knows how old the attempts are that it inherits.
type startTimes struct {
	mutex sync.Mutex
	// completeSince is the time from which on all starts are held.
	completeSince time.Duration
	// starts are the starts, oldest first.
	starts []appliedStarts
}

type appliedStarts struct {
	at       time.Duration
	attempts []modeler.Attempt
}

// reset drops all starts, since some may have been missed before the time.
func (s *startTimes) reset(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.completeSince, s.starts = now, nil
}

// add adds the starts of one command, and drops those that are too old.
func (s *startTimes) add(now time.Duration, attempts []modeler.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dropped := 0
	for dropped < len(s.starts) && s.starts[dropped].at < now-keepStarts {
		dropped++
	}
	if dropped > 0 {
		s.completeSince = max(s.completeSince, now-keepStarts)
		s.starts = s.starts[dropped:]
	}
	s.starts = append(s.starts, appliedStarts{at: now, attempts: attempts})
}

// startedBy returns a function that returns the latest time at which the last start of a task
// may have been applied.
func (s *startTimes) startedBy() func(modeler.TaskName) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times := map[modeler.TaskName]time.Duration{}
	for _, applied := range s.starts {
		for _, a := range applied.attempts {
			times[a.Task] = applied.at
		}
	}
	completeSince := s.completeSince
	return func(name modeler.TaskName) time.Duration {
		if at, ok := times[name]; ok {
			return at
		}
		return completeSince
	}
}

// StartedBy returns a function that returns the time, on this member's clock, by which the last
// start of a workflow's task had been committed. For a start that this member has not seen, or
// that is older than keepStarts, that is the time since which it has seen all.
func (c *Coordinator) StartedBy() func(modeler.TaskName) time.Duration { return c.starts.startedBy() }
