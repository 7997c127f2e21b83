package coordinator

import (
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// keepStarts is how long the times of starts are kept. A new leader needs them for 36 s where
// workers grant leases of up to 10 s and carry out orders up to 12 s late.
const keepStarts = 40 * time.Second

// startTimes holds when this member applied the starts of workflow tasks, and which attempts were
// listed by the lives for which they were started. Followers keep it too, so that a new leader
// knows how old the attempts are that it inherits, and which may run on another life.
type startTimes struct {
	mutex sync.Mutex
	// completeSince is the time from which on all starts are held.
	completeSince time.Duration
	// starts are the starts, and listed the listed attempts, oldest first.
	starts, listed []appliedAttempts
}

type appliedAttempts struct {
	at       time.Duration
	attempts []modeler.Attempt
}

// withoutOld returns the attempts that were applied from the time on.
func withoutOld(applied []appliedAttempts, since time.Duration) []appliedAttempts {
	dropped := 0
	for dropped < len(applied) && applied[dropped].at < since {
		dropped++
	}
	return applied[dropped:]
}

// reset drops everything, since some starts may have been missed before the time.
func (s *startTimes) reset(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.completeSince, s.starts, s.listed = now, nil, nil
}

// add adds the starts of one command, and drops those that are too old.
func (s *startTimes) add(now time.Duration, attempts []modeler.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := len(s.starts)
	s.starts = withoutOld(s.starts, now-keepStarts)
	if len(s.starts) < held {
		s.completeSince = max(s.completeSince, now-keepStarts)
	}
	s.starts = append(s.starts, appliedAttempts{at: now, attempts: attempts})
}

// addListed adds listed attempts, and drops those that are too old.
func (s *startTimes) addListed(now time.Duration, attempts []modeler.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listed = withoutOld(s.listed, now-keepStarts)
	s.listed = append(s.listed, appliedAttempts{at: now, attempts: attempts})
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

// wasListed returns a function that reports whether an attempt was listed.
func (s *startTimes) wasListed() func(modeler.Attempt) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := map[modeler.Attempt]struct{}{}
	for _, applied := range s.listed {
		for _, a := range applied.attempts {
			listed[a] = struct{}{}
		}
	}
	return func(a modeler.Attempt) bool {
		_, ok := listed[a]
		return ok
	}
}

// StartedBy returns a function that returns the time, on this member's clock, by which the last
// start of a workflow's task had been committed. For a start that this member has not seen, or
// that is older than keepStarts, that is the time since which it has seen all.
func (c *Coordinator) StartedBy() func(modeler.TaskName) time.Duration { return c.starts.startedBy() }

// WasListed returns a function that reports whether a leader has committed that the life for which
// the attempt was started had listed it. Of attempts that were listed longer than keepStarts ago,
// or that this member has not seen, it reports that they were not.
func (c *Coordinator) WasListed() func(modeler.Attempt) bool { return c.starts.wasListed() }
