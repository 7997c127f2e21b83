package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Guards against occurrences that never start, or start before they are due, as the backlog
// doesn't hold all of them.
func TestOverdueOccurrencesAllRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const occurrences, due = 300, 250
		f := newFixture(t)
		f.announce(4)
		blocked := modeler.StepSpec{Count: 1, Need: modeler.Resources{Processors: 1}, Label: "no such label"}
		f.apply(reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &modeler.WorkflowSpec{
			ID: "a", Queue: "plain", Occurrences: occurrences, FirstAt: time.Now().Add(-due * time.Minute), Interval: time.Minute,
			Steps: []modeler.StepSpec{blocked, {Count: 2, Need: modeler.Resources{Processors: 1}}},
		}})
		ran := map[int]int{}
		for len(f.round("a")) > 0 {
			w, _ := f.state.Workflows.Get("a")
			for position, run := range w.Runs {
				for index, task := range run.Tasks {
					name := modeler.TaskName{Workflow: "a", Occurrence: position / 2, Step: position % 2, Index: index}
					if task.HoldsResources() {
						ran[name.Occurrence]++
						f.end(modeler.Attempt{Task: name, Session: task.Session, Number: task.Attempt}, reducer.AttemptFinished)
					}
				}
			}
		}
		for occurrence := range occurrences {
			want := 0
			if occurrence <= due {
				want = 2
			}
			if ran[occurrence] != want {
				t.Errorf("%d tasks of occurrence %d have run, want %d", ran[occurrence], occurrence, want)
			}
		}
	})
}
