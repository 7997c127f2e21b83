package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// backlog holds the steps that have tasks to start.
type backlog struct {
	// workflows are those with a waiting task, by id.
	workflows map[string]modeler.Workflow
}

func newBacklog() *backlog { return &backlog{workflows: map[string]modeler.Workflow{}} }

// sync takes the present state of a workflow.
func (b *backlog) sync(state reducer.State, id string) {
	w, ok := state.Workflows.Get(id)
	if !ok || w.IsEnded() {
		delete(b.workflows, id)
		return
	}
	b.workflows[id] = w
}

// ready is a step of which tasks wait to be started.
type ready struct {
	name     adviser.StepName
	workflow modeler.Workflow
	queue    modeler.Queue
	step     modeler.StepSpec
	run      modeler.StepRun
	// waiting are the indexes of the tasks that wait.
	waiting []int
	// due is when the workflow, or its occurrence, should have finished.
	due time.Time
}

// ordered returns the steps with tasks to start, the most pressing ones first.
func (b *backlog) ordered(state reducer.State) []ready {
	var steps []ready
	for _, w := range b.workflows {
		queue, ok := state.Queues.Get(w.Spec.Queue)
		if !ok {
			continue
		}
		for position, run := range w.Runs {
			occurrence, step := position/len(w.Spec.Steps), position%len(w.Spec.Steps)
			r := ready{
				name:     adviser.StepName{Workflow: w.Spec.ID, Occurrence: occurrence, Step: step},
				workflow: w, queue: queue, step: w.Spec.Steps[step], run: run,
			}
			if r.waiting = waitingTasks(r.step, run); len(r.waiting) == 0 || !w.IsUnblocked(occurrence, step) {
				continue
			}
			r.due = dueTime(w, queue, occurrence)
			steps = append(steps, r)
		}
	}
	slices.SortFunc(steps, func(a, b ready) int {
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			a.due.Compare(b.due),
			cmp.Compare(a.name.Workflow, b.name.Workflow),
			cmp.Compare(a.name.Step, b.name.Step),
		)
	})
	return steps
}

// waitingTasks returns the tasks that may start: of a gang all or none.
func waitingTasks(step modeler.StepSpec, run modeler.StepRun) []int {
	var waiting []int
	for i, task := range run.Tasks {
		if task.Phase == modeler.TaskWaiting && !task.IsHeld() {
			waiting = append(waiting, i)
		}
	}
	if step.Gang && len(waiting) < step.Count {
		return nil
	}
	return waiting
}

// dueTime is when the work should have finished by its queue's objective.
func dueTime(w modeler.Workflow, queue modeler.Queue, occurrence int) time.Time {
	chain := longestChain(w.Spec.Steps)
	objective := time.Duration(queue.Stretch*float64(chain)) + queue.Slack
	begin := w.Submitted
	if at := w.DueAt(occurrence); !at.IsZero() {
		begin = at
	}
	return begin.Add(objective)
}

// longestChain is the declared time of the longest chain of dependent steps.
func longestChain(steps []modeler.StepSpec) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, step := range steps {
		for _, d := range step.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
