package coordinator

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// TestStartTimesAreNeverTooEarly guards against a new leader that takes an inherited attempt for
// older than it is, and gives it up while it may run.
func TestStartTimesAreNeverTooEarly(t *testing.T) {
	t.Parallel()
	name := func(workflow string) modeler.TaskName { return modeler.TaskName{Workflow: workflow} }
	started := func(workflow string) []modeler.Attempt { return []modeler.Attempt{{Task: name(workflow)}} }
	var s startTimes
	s.reset(100 * time.Second)
	s.add(101*time.Second, started("old"))
	s.add(102*time.Second, started("again"))
	s.add(103*time.Second, started("again"))
	s.add(103*time.Second, started("recent"))
	check := func(when string, want map[string]time.Duration) {
		t.Helper()
		startedBy := s.startedBy()
		for workflow, at := range want {
			if got := startedBy(name(workflow)); got != at {
				t.Errorf("%s: %q was started by %v, want %v", when, workflow, got, at)
			}
		}
	}
	check("all are held", map[string]time.Duration{
		"unknown": 100 * time.Second, "old": 101 * time.Second, "again": 103 * time.Second, "recent": 103 * time.Second,
	})
	s.add(102500*time.Millisecond+keepStarts, started("new"))
	check("the oldest are dropped", map[string]time.Duration{
		"unknown": 102500 * time.Millisecond, "old": 102500 * time.Millisecond, "again": 103 * time.Second,
	})
	s.reset(130 * time.Second)
	check("a snapshot is installed", map[string]time.Duration{"recent": 130 * time.Second, "unknown": 130 * time.Second})
}

// TestListedAttemptsAreForgottenWithTheStarts guards against a new leader that takes an attempt for
// listed which no life has listed, or that keeps listed attempts for good.
func TestListedAttemptsAreForgottenWithTheStarts(t *testing.T) {
	t.Parallel()
	attempt := modeler.Attempt{Task: modeler.TaskName{Workflow: "a"}, Session: "w@1", Number: 2}
	var s startTimes
	s.reset(100 * time.Second)
	s.addListed(101*time.Second, []modeler.Attempt{attempt})
	check := func(when string, a modeler.Attempt, want bool) {
		t.Helper()
		if got := s.wasListed()(a); got != want {
			t.Errorf("%s: attempt %+v was listed: %t, want %t", when, a, got, want)
		}
	}
	check("it is held", attempt, true)
	check("an earlier attempt", modeler.Attempt{Task: attempt.Task, Session: "w@1", Number: 1}, false)
	check("on another life", modeler.Attempt{Task: attempt.Task, Session: "w@2", Number: 2}, false)
	s.addListed(102*time.Second+keepStarts, nil)
	check("the oldest are dropped", attempt, false)
	s.addListed(150*time.Second, []modeler.Attempt{attempt})
	s.reset(151 * time.Second)
	check("a snapshot is installed", attempt, false)
}
