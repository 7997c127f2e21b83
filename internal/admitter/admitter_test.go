package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/admitter"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func queueOf(priority int) modeler.Queue {
	return modeler.Queue{
		Name: fmt.Sprint("p", priority), Service: "s", Priority: priority, DeadlineFactor: 2, DeadlineSlack: time.Second,
	}
}

// stateOf returns a state of ten workers of ten processors, of which used are in use.
func stateOf(used int64) reducer.State {
	s := reducer.NewState()
	for i := range 10 {
		key := fmt.Sprint("w", i)
		s.Sessions = s.Sessions.Set(key, modeler.Session{
			Worker: key, Service: "s", Capacity: modeler.Resources{Processors: 10}, Used: modeler.Resources{Processors: used / 10},
		})
	}
	for i := range 3 {
		s.Queues = s.Queues.Set(queueOf(i).Name, queueOf(i))
	}
	s.Departments = s.Departments.Set("d", modeler.Department{Name: "d", Weight: 1, Cap: modeler.Resources{Processors: 10}})
	return s
}

func specOf(id string, priority, tasks int) modeler.WorkflowSpec {
	return modeler.WorkflowSpec{ID: id, Queue: queueOf(priority).Name, Steps: []modeler.StepSpec{
		{Count: tasks, Need: modeler.Resources{Processors: 1}, Estimate: time.Second},
	}}
}

func withWaiting(s reducer.State, spec modeler.WorkflowSpec, submitted time.Time) reducer.State {
	s.Workflows = s.Workflows.Set(spec.ID, modeler.NewWorkflow(spec, submitted))
	s.ActiveWorkflows = s.ActiveWorkflows.Set(spec.ID, struct{}{})
	return s
}

// TestAdmission guards against work that is accepted and never served, and against refusals
// while workers are free. Each workflow takes a second and may take nine.
func TestAdmission(t *testing.T) {
	t.Parallel()
	slow := &modeler.PermitPolicy{BaseDelay: 8500 * time.Millisecond, DelayPerWorker: time.Millisecond}
	for name, tt := range map[string]struct {
		used int64
		// waiting is the number of seconds that the work which waits takes on all workers.
		waiting, waitingPriority int
		waitingFor               string
		since                    time.Duration
		change                   func(r *admitter.Request)
		want                     bool
	}{
		"an empty cell":                      {want: true},
		"full workers and a short backlog":   {used: 100, waiting: 4, waitingPriority: 1, want: true},
		"a backlog that takes too long":      {used: 100, waiting: 20, waitingPriority: 1},
		"workers are free, whatever waits":   {used: 70, waiting: 100, waitingPriority: 1, want: true},
		"less urgent work is not in the way": {used: 100, waiting: 100, waitingPriority: 2, want: true},
		"more urgent work is":                {used: 100, waiting: 20, waitingPriority: 0},
		"work that can no longer earn is not in the way": {
			used: 100, waiting: 20, waitingPriority: 1, since: time.Minute, want: true,
		},
		"work beyond the rate comes after all within it": {
			used: 100, waiting: 20, waitingPriority: 2, change: func(r *admitter.Request) { r.BeyondRate = true },
		},
		"permits that take too long":                         {used: 100, change: func(r *admitter.Request) { r.Queue.Permit = slow }},
		"permits that take too long, while workers are free": {want: true, change: func(r *admitter.Request) { r.Queue.Permit = slow }},
		"a department whose cap its own backlog fills": {
			used: 100, waiting: 1, waitingPriority: 2, waitingFor: "d", change: func(r *admitter.Request) { r.Spec.Department = "d" },
		},
		"the backlog of another department at its cap": {used: 100, waiting: 1, waitingPriority: 2, waitingFor: "d", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			state := stateOf(tt.used)
			if tt.waiting > 0 {
				spec := specOf("waiting", tt.waitingPriority, 100*tt.waiting)
				spec.Department = tt.waitingFor
				state = withWaiting(state, spec, noon.Add(-tt.since))
			}
			request := admitter.Request{Spec: specOf("new", 1, 1), Queue: queueOf(1), GrantRate: 0.5}
			if tt.change != nil {
				tt.change(&request)
			}
			got := admitter.Summarize(state, noon).Decide(request)
			if got.Accepted != tt.want || got.Accepted != (got.RetryAfter == 0) {
				t.Errorf("decision is %+v, want accepted %t", got, tt.want)
			}
		})
	}
}

// TestRefusedCallersComeBackWhenServable checks the time to come back: once the backlog has
// run for so long, the workflow is accepted, and callers are spread out.
func TestRefusedCallersComeBackWhenServable(t *testing.T) {
	t.Parallel()
	const backlog = 20
	times := map[time.Duration]bool{}
	for i := range 20 {
		request := admitter.Request{Spec: specOf(fmt.Sprint("new", i), 1, 1), Queue: queueOf(1)}
		after := admitter.Summarize(withWaiting(stateOf(100), specOf("w", 1, 100*backlog), noon), noon).Decide(request).RetryAfter
		times[after] = true
		// The workers run 0.8 of their capacity a second.
		left := max(1, int(100*(backlog-0.8*after.Seconds())))
		later := withWaiting(stateOf(100), specOf("w", 1, left), noon)
		if got := admitter.Summarize(later, noon).Decide(request); after == 0 || !got.Accepted {
			t.Errorf("refused for %v and then %+v, want to be accepted", after, got)
		}
	}
	if len(times) < 10 {
		t.Errorf("20 callers come back at %d times, want most to differ", len(times))
	}
}
