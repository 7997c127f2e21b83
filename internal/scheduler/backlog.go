package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// maxUnbegunSteps is how many steps of occurrences that have not begun the backlog holds of
// one workflow, besides those of the first of these occurrences. Later occurrences have the
// same steps, so that what keeps those before them from starting keeps them too.
const maxUnbegunSteps = 64

// backlog holds the steps of active workflows that have tasks to start.
type backlog struct {
	// waiting holds the ready steps of each active workflow, by workflow id.
	waiting map[string]*waitingWorkflow
}

func newBacklog() *backlog { return &backlog{waiting: map[string]*waitingWorkflow{}} }

// sync replaces the entry of a workflow by its ready steps in the state, or
// removes it if the workflow is unknown or has ended.
func (b *backlog) sync(state reducer.State, id string) {
	w, ok := state.Workflows.Get(id)
	if !ok || w.IsEnded() {
		delete(b.waiting, id)
		return
	}
	b.waiting[id] = &waitingWorkflow{workflow: w}
}

// remove removes a workflow, and reports whether the backlog held it.
func (b *backlog) remove(id string) bool {
	_, ok := b.waiting[id]
	delete(b.waiting, id)
	return ok
}

// waitingWorkflow is a workflow with the ready steps of its occurrences that are due.
type waitingWorkflow struct {
	workflow modeler.Workflow
	// queue is set by ordered.
	queue modeler.Queue
	// steps are the ready steps of the occurrences before next.
	steps []readyStep
	// next is the first occurrence whose steps were not added yet.
	next int
	// unbegun is the number of steps that are of occurrences that have not begun.
	unbegun int
}

// addDue adds the ready steps of the occurrences that are due at the time now, up to
// maxUnbegunSteps.
func (e *waitingWorkflow) addDue(now time.Time) {
	w := &e.workflow
	for e.next < w.OccurrenceCount() && e.unbegun < maxUnbegunSteps && !w.DueAt(e.next).After(now) {
		steps := readySteps(w, e.next)
		e.steps = append(e.steps, steps...)
		if e.next >= w.BegunOccurrences() {
			e.unbegun += len(steps)
		}
		e.next++
	}
}

// readyStep is a step whose dependencies are met and that has tasks to start.
type readyStep struct {
	name adviser.StepName
	// workflow, queue and step are shared by the ready steps of a workflow.
	workflow *modeler.Workflow
	queue    *modeler.Queue
	step     *modeler.StepSpec
	run      modeler.StepRun
	// waiting holds the indexes of the waiting tasks.
	waiting []int
	// criticalPath and remainingPath are the sums of the step estimates along the
	// longest chain of dependent steps: of the whole workflow, and from this step on.
	criticalPath, remainingPath time.Duration
	// due is the deadline of the workflow, or of its occurrence, by the queue's objective.
	due time.Time
	// deadlineClass tells whether the deadline can still be met; the lowest is placed first.
	deadlineClass deadlineClass
	// beyondRate is 1 if the workflow was submitted beyond its department's rate, and
	// shareBand is the band of the department's share. Both are 0 without departments.
	beyondRate, shareBand int
}

// readySteps returns the steps of an occurrence that have tasks to start. It
// leaves queue, due and deadlineClass unset: these depend on the queue table and
// the time, and ordered sets them.
func readySteps(w *modeler.Workflow, occurrence int) []readyStep {
	var steps []readyStep
	for step := range w.Spec.Steps {
		spec := &w.Spec.Steps[step]
		run := w.Run(occurrence*len(w.Spec.Steps) + step)
		waiting := waitingTasks(spec, run)
		if len(waiting) == 0 || !w.DependenciesFinished(occurrence, step) {
			continue
		}
		steps = append(steps, readyStep{
			name:     adviser.StepName{Workflow: w.Spec.ID, Occurrence: occurrence, Step: step},
			workflow: w, step: spec, run: run, waiting: waiting,
			criticalPath: criticalPath(w.Spec.Steps, 0), remainingPath: criticalPath(w.Spec.Steps, step),
		})
	}
	return steps
}

// deadlineClass classifies a workflow by whether it can still meet its deadline.
type deadlineClass int

const (
	// deadlineReachable workflows can still finish within their objective.
	deadlineReachable deadlineClass = iota
	// deadlineLate workflows can still finish within lateFactor times their objective.
	deadlineLate
	// deadlineMissed workflows must still run, but starting them early gains nothing.
	deadlineMissed
)

// lateFactor is the multiple of its objective within which a finished workflow
// counts as late and no longer as missed. The users' requirements state it.
const lateFactor = 3

// maxObjective bounds an objective. lateFactor times it is 90 of the 292 years that a
// duration can hold.
const maxObjective = 30 * 365 * 24 * time.Hour

// ordered returns the ready steps that are due and whose queue is in the state, in the
// order in which to place them: those within their department's rate first, then by queue priority,
// deadline class, the department's share, deadline and name.
func (b *backlog) ordered(state reducer.State, now time.Time) []*readyStep {
	var steps []*readyStep
	band := shareBands(state)
	for _, entry := range b.waiting {
		queue, ok := state.Queues.Get(entry.workflow.Spec.Queue)
		if !ok {
			continue
		}
		entry.queue = queue
		entry.addDue(now)
		for i := range entry.steps {
			r := &entry.steps[i]
			r.queue = &entry.queue
			r.due, r.deadlineClass = r.classifyDeadline(now)
			r.beyondRate, r.shareBand = 0, 0
			if band != nil && r.workflow.Spec.Department != "" {
				r.shareBand = band(r.workflow.Spec.Department)
				if r.workflow.BeyondRate {
					r.beyondRate = 1
				}
			}
			steps = append(steps, r)
		}
	}
	slices.SortFunc(steps, func(a, b *readyStep) int {
		return cmp.Or(
			cmp.Compare(a.beyondRate, b.beyondRate),
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			cmp.Compare(a.deadlineClass, b.deadlineClass),
			cmp.Compare(a.shareBand, b.shareBand),
			a.due.Compare(b.due),
			cmp.Compare(a.name.Workflow, b.name.Workflow),
			cmp.Compare(a.name.Step, b.name.Step),
		)
	})
	return steps
}

// taskIndexes holds the indexes of the tasks of the widest step. Steps of which no task has
// started share them.
var taskIndexes = func() []int {
	indexes := make([]int, modeler.MaxTasksPerJob)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}()

// waitingTasks returns the indexes of the tasks that may start: of a gang all or none. They
// must not be changed in place.
func waitingTasks(step *modeler.StepSpec, run modeler.StepRun) []int {
	if count := len(run.Tasks); run.IsUntouched() && count <= len(taskIndexes) {
		return taskIndexes[:count:count]
	}
	var waiting []int
	for i, task := range run.Tasks {
		if task.Phase == modeler.TaskWaiting && !task.HoldsResources() {
			waiting = append(waiting, i)
		}
	}
	if step.Gang && len(waiting) < step.Count {
		return nil
	}
	return waiting
}

// classifyDeadline returns the deadline of the workflow, or of its occurrence, by
// the queue's objective, and its class at the time now.
func (r *readyStep) classifyDeadline(now time.Time) (time.Time, deadlineClass) {
	objective := time.Duration(min(float64(maxObjective), r.queue.DeadlineFactor*float64(r.criticalPath))) + r.queue.DeadlineSlack
	begin := r.workflow.Submitted
	if at := r.workflow.DueAt(r.name.Occurrence); !at.IsZero() {
		begin = at
	}
	ends := now.Add(r.remainingPath)
	due := begin.Add(objective)
	switch {
	case !ends.After(due):
		return due, deadlineReachable
	case !ends.After(begin.Add(lateFactor * objective)):
		return due, deadlineLate
	default:
		return due, deadlineMissed
	}
}

// criticalPath returns the sum of the estimates along the longest chain of
// dependent steps, counting only steps with an index of at least from.
func criticalPath(steps []modeler.StepSpec, from int) time.Duration {
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
