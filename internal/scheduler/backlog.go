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
	// waiting are the steps of each workflow that has not ended, by its id.
	waiting map[string][]ready
}

func newBacklog() *backlog { return &backlog{waiting: map[string][]ready{}} }

// sync takes the present state of a workflow.
func (b *backlog) sync(state reducer.State, id string) {
	w, ok := state.Workflows.Get(id)
	if !ok || w.IsEnded() {
		delete(b.waiting, id)
		return
	}
	b.waiting[id] = readySteps(w)
}

// forget drops a workflow, and reports whether it was there.
func (b *backlog) forget(id string) bool {
	_, ok := b.waiting[id]
	delete(b.waiting, id)
	return ok
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
	// chain and rest are the declared times of the longest chain of steps, of the
	// whole workflow and from this step on.
	chain, rest time.Duration
	// due is when the workflow, or its occurrence, should have finished.
	due time.Time
	// chance is what can still be gained; the lowest comes first.
	chance chance
}

// readySteps returns the steps of the workflow that have tasks to start,
// without what depends on the queue and the time.
func readySteps(w modeler.Workflow) []ready {
	var steps []ready
	for position, run := range w.Runs {
		occurrence, step := position/len(w.Spec.Steps), position%len(w.Spec.Steps)
		waiting := waitingTasks(w.Spec.Steps[step], run)
		if len(waiting) == 0 || !w.IsUnblocked(occurrence, step) {
			continue
		}
		steps = append(steps, ready{
			name:     adviser.StepName{Workflow: w.Spec.ID, Occurrence: occurrence, Step: step},
			workflow: w, step: w.Spec.Steps[step], run: run, waiting: waiting,
			chain: longestChain(w.Spec.Steps, 0), rest: longestChain(w.Spec.Steps, step),
		})
	}
	return steps
}

// chance is what a workflow can still gain by being started now.
type chance int

const (
	// chanceInTime workflows can still finish within their objective.
	chanceInTime chance = iota
	// chanceLate workflows can still finish within lateFactor times it.
	chanceLate
	// chanceNone workflows are owed all the same, but gain nothing by haste.
	chanceNone
)

// lateFactor is up to how many times its objective a workflow counts as late;
// the users state it.
const lateFactor = 3

// ordered returns the steps with tasks to start, the most pressing ones first.
func (b *backlog) ordered(state reducer.State, now time.Time) []*ready {
	var steps []*ready
	for _, waiting := range b.waiting {
		for i := range waiting {
			r := &waiting[i]
			queue, ok := state.Queues.Get(r.workflow.Spec.Queue)
			if !ok {
				continue
			}
			r.queue = queue
			r.due, r.chance = r.prospects(now)
			steps = append(steps, r)
		}
	}
	slices.SortFunc(steps, func(a, b *ready) int {
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			cmp.Compare(a.chance, b.chance),
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

// prospects returns when the workflow, or its occurrence, should have finished
// by its queue's objective, and what it can still gain.
func (r *ready) prospects(now time.Time) (time.Time, chance) {
	objective := time.Duration(r.queue.Stretch*float64(r.chain)) + r.queue.Slack
	begin := r.workflow.Submitted
	if at := r.workflow.DueAt(r.name.Occurrence); !at.IsZero() {
		begin = at
	}
	ends := now.Add(r.rest)
	due := begin.Add(objective)
	switch {
	case !ends.After(due):
		return due, chanceInTime
	case !ends.After(begin.Add(lateFactor * objective)):
		return due, chanceLate
	default:
		return due, chanceNone
	}
}

// longestChain is the declared time of the longest chain of dependent steps
// from the step on.
func longestChain(steps []modeler.StepSpec, from int) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := from; i < len(steps); i++ {
		for _, d := range steps[i].DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
