package reducer

import (
	"math"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// TestAbsurdTaskNamesAreIgnored guards against a command on which every member fails,
// again at each start. Names of tasks come from workers.
func TestAbsurdTaskNamesAreIgnored(t *testing.T) {
	t.Parallel()
	tests := map[string]modeler.TaskName{
		"occurrence too large": {Workflow: "a", Occurrence: math.MaxInt, Step: 1},
		"product overflows":    {Workflow: "a", Occurrence: math.MaxInt/2 + 1},
		"occurrence below 0":   {Workflow: "a", Occurrence: -1},
		"step too large":       {Workflow: "a", Step: math.MaxInt},
		"step below 0":         {Workflow: "a", Step: math.MinInt},
		"index too large":      {Workflow: "a", Index: math.MaxInt},
		"index below 0":        {Workflow: "a", Index: -1},
	}
	for name, task := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			defer func() {
				if failure := recover(); failure != nil {
					t.Errorf("member fails on the command: %v", failure)
				}
			}()
			f := newWorkflowFixture(t)
			worker := f.announce("w0", 1)
			f.submit("a", step(1, 1), step(1, 1))
			if started := f.start(worker, task); started != 0 {
				t.Errorf("%d attempts of a task that doesn't exist were started", started)
			}
			if ended := f.end(worker, task, 0, AttemptFinished); ended != 0 {
				t.Errorf("%d attempts of a task that doesn't exist were ended", ended)
			}
		})
	}
}

// TestAbsurdWorkflowIsRefused guards against a workflow that overflows sums of the
// scheduler or takes the memory of every member.
func TestAbsurdWorkflowIsRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*modeler.WorkflowSpec){
		"too many tasks in all": func(s *modeler.WorkflowSpec) {
			s.Occurrences = modeler.MaxOccurrences
			s.Steps[0].Count = modeler.MaxTasksPerJob
		},
		"first occurrence after any date": func(s *modeler.WorkflowSpec) { s.FirstAt = time.UnixMilli(math.MaxInt64) },
		"interval too long":               func(s *modeler.WorkflowSpec) { s.Interval = math.MaxInt64 },
		"memory too much":                 func(s *modeler.WorkflowSpec) { s.Steps[0].Need.Memory = math.MaxInt64 },
		"processors too many":             func(s *modeler.WorkflowSpec) { s.Steps[0].Need.Processors = math.MaxInt64 },
		"estimate too long":               func(s *modeler.WorkflowSpec) { s.Steps[0].Estimate = math.MaxInt64 },
		"target too long":                 func(s *modeler.WorkflowSpec) { s.Steps[0].TailLatencyTarget = math.MaxInt64 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spec := modeler.WorkflowSpec{ID: "a", Queue: "quotes", Steps: []modeler.StepSpec{step(1, 1)}}
			change(&spec)
			if refusal := spec.Validate(); refusal == nil || refusal.Code != modeler.CodeInvalid {
				t.Errorf("workflow is refused by %v, want a refusal as invalid", refusal)
			}
		})
	}
}

// TestAbsurdQueueTableIsRefused guards against times of a queue that overflow.
func TestAbsurdQueueTableIsRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*modeler.Queue){
		"timeout too long":    func(q *modeler.Queue) { q.Timeout = math.MaxInt64 },
		"slack too long":      func(q *modeler.Queue) { q.DeadlineSlack = math.MaxInt64 },
		"slack below zero":    func(q *modeler.Queue) { q.DeadlineSlack = -1 },
		"factor too large":    func(q *modeler.Queue) { q.DeadlineFactor = 1e300 },
		"factor below zero":   func(q *modeler.Queue) { q.DeadlineFactor = -1 },
		"attempts below zero": func(q *modeler.Queue) { q.MaxAttempts = -1 },
		"validity too long":   func(q *modeler.Queue) { q.Permit = &modeler.PermitPolicy{Validity: math.MaxInt64} },
		"delay below zero":    func(q *modeler.Queue) { q.Permit = &modeler.PermitPolicy{BaseDelay: -1} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queue := modeler.Queue{Name: "q", Host: "h", Prefix: "/", Service: "p", Timeout: time.Second}
			change(&queue)
			table := modeler.QueueTable{Version: 1, Pools: []modeler.Pool{{Name: "p"}}, Queues: []modeler.Queue{queue}}
			if refusal := table.Validate(); refusal == nil || refusal.Code != modeler.CodeInvalid {
				t.Errorf("table is refused by %v, want a refusal as invalid", refusal)
			}
		})
	}
}
