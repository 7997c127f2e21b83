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
