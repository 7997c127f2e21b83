package reducer

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// AttemptEnd describes how an attempt of a workflow task ended.
type AttemptEnd struct {
	Attempt modeler.Attempt `json:"attempt"`
	Outcome AttemptOutcome  `json:"outcome"`
	// Checkpoint is the position from which the next attempt may resume; empty
	// if no new checkpoint was reported.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	AttemptFinished AttemptOutcome = "finished"
	AttemptFailed   AttemptOutcome = "failed"
	// AttemptStopped means that the attempt was stopped by request, or together
	// with the rest of its gang.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptLapsed means that the attempt ended because the worker's lease or
	// session ended.
	AttemptLapsed AttemptOutcome = "lapsed"
	// AttemptUnconfirmed means that the attempt is over, and that no worker confirmed or
	// listed it: it may have run.
	AttemptUnconfirmed AttemptOutcome = "unconfirmed"
	// AttemptRefused means that the attempt never started.
	AttemptRefused AttemptOutcome = "refused"
)

// hasBegun reports whether an attempt that ended so is known to have begun.
func (o AttemptOutcome) hasBegun() bool { return o != AttemptRefused && o != AttemptUnconfirmed }

// maxFailedOn is the maximum number of workers in the FailedOn list of a task;
// the oldest is dropped first.
const maxFailedOn = 8

func (t *transition) submitWorkflow() *modeler.RefusalError {
	spec := *t.command.Workflow
	if refusal := spec.Validate(); refusal != nil {
		return refusal
	}
	known, ok := t.Workflows.Get(spec.ID)
	if ok && len(known.Runs) > 0 {
		return t.resubmitWorkflow(known, spec)
	}
	if ok && t.isCancelledBy(spec.Department, known) {
		t.setWorkflow(modeler.NewWorkflow(spec, t.at).WithPhase(modeler.WorkflowCancelled, t.at))
		return nil
	}
	if _, ok := t.QueueTable.Queue(spec.Queue); !ok {
		return modeler.Refuse(modeler.CodeNotFound, "queue", "%q is not configured", spec.Queue)
	}
	w := modeler.NewWorkflow(spec, t.at)
	w.BeyondRate = !t.takeRate(spec.Department)
	t.setWorkflow(w)
	t.result.Accepted = 1
	return nil
}

// resubmitWorkflow accepts the submission of an ID that was submitted before, without
// effect, or refuses it if another department submitted it.
func (t *transition) resubmitWorkflow(known modeler.Workflow, spec modeler.WorkflowSpec) *modeler.RefusalError {
	if !t.MayControl(spec.Department, known) {
		return modeler.Refuse(modeler.CodeConflict, "workflow", "%q is in use", spec.ID)
	}
	return nil
}

// cancelWorkflow cancels a workflow. An unknown workflow is recorded as cancelled by the
// department, so that it does not run if the department's submission arrives later.
// Another department's workflow is left as it is.
func (t *transition) cancelWorkflow() *modeler.RefusalError {
	spec := *t.command.Workflow
	if refusal := modeler.CheckName("id", spec.ID); refusal != nil {
		return refusal
	}
	known, ok := t.Workflows.Get(spec.ID)
	if !ok {
		t.setWorkflow(modeler.Workflow{Spec: spec, Submitted: t.at}.WithPhase(modeler.WorkflowCancelled, t.at))
		return nil
	}
	if len(known.Runs) == 0 {
		if !t.isCancelledBy(spec.Department, known) {
			known.AlsoCancelledBy = append(slices.Clone(known.AlsoCancelledBy), spec.Department)
			t.setWorkflow(known)
		}
		return nil
	}
	if !t.MayControl(spec.Department, known) {
		return nil
	}
	t.result.Accepted = 1
	if !known.IsEnded() {
		t.endWorkflow(known, modeler.WorkflowCancelled)
	}
	return nil
}

// endWorkflow moves the workflow to a final phase. Attempts that are still
// running hold their resources until their ends are known.
func (t *transition) endWorkflow(w modeler.Workflow, phase modeler.WorkflowPhase) {
	w.Runs = slices.Clone(w.Runs)
	for i, run := range w.Runs {
		if run.IsFinished() {
			continue
		}
		run.Tasks = slices.Clone(run.Tasks)
		for k, task := range run.Tasks {
			if task.Phase == modeler.TaskWaiting || task.Phase == modeler.TaskStarted {
				run.Tasks[k].Phase = modeler.TaskCancelled
			}
		}
		w.Runs[i] = run.Compact()
	}
	t.setWorkflow(w.WithPhase(phase, t.at))
}

func (t *transition) setWorkflow(w modeler.Workflow) {
	if !w.IsEnded() || w.HoldsResources() {
		t.ActiveWorkflows = t.ActiveWorkflows.Set(w.Spec.ID, struct{}{})
	} else {
		t.ActiveWorkflows = t.ActiveWorkflows.Delete(w.Spec.ID)
		if len(w.Runs) > 0 {
			// Ended workflows are most of the state, and are kept for long.
			w = w.WithoutTasks()
		}
	}
	if known, ok := t.Workflows.Get(w.Spec.ID); ok {
		t.WorkBytes -= known.MemoryBytes()
	}
	t.WorkBytes += w.MemoryBytes()
	t.Workflows = t.Workflows.Set(w.Spec.ID, w)
	t.markChanged(RecordWorkflow, w.Spec.ID)
}

// startAttempts applies the starts of each step run. Either all tasks of a gang
// start, or none.
func (t *transition) startAttempts() *modeler.RefusalError {
	starts := t.command.Attempts
	for len(starts) > 0 {
		count := 1
		for count < len(starts) && sameRun(starts[count].Task, starts[0].Task) {
			count++
		}
		t.startStepRun(starts[:count])
		starts = starts[count:]
	}
	return nil
}

func sameRun(a, b modeler.TaskName) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func (t *transition) startStepRun(starts []modeler.Attempt) {
	name := starts[0].Task
	w, ok := t.Workflows.Get(name.Workflow)
	position, exists := w.RunIndex(name)
	if !ok || !exists || w.IsEnded() || !w.DependenciesFinished(name.Occurrence, name.Step) {
		return
	}
	step, run := w.Spec.Steps[name.Step], w.Run(position)
	before := *t
	run.Tasks = slices.Clone(run.Tasks)
	if step.Gang {
		run.Attempt++
	}
	accepted := 0
	for _, s := range starts {
		if t.startAttempt(w.Spec, &run, s) {
			accepted++
		}
	}
	isComplete := accepted == step.Count && !w.Run(position).HoldsResources()
	if accepted == 0 || (step.Gang && !isComplete) {
		*t = before
		return
	}
	t.result.Accepted += accepted
	t.setWorkflow(w.WithRun(position, run).WithPhase(modeler.WorkflowRunning, t.at))
}

// startAttempt applies the start if the task is waiting and the session can run
// it. It reports whether the start was applied.
func (t *transition) startAttempt(spec modeler.WorkflowSpec, run *modeler.StepRun, s modeler.Attempt) bool {
	step := spec.Steps[s.Task.Step]
	session, ok := t.Sessions.Get(s.Session)
	if !ok || s.Task.Index < 0 || s.Task.Index >= len(run.Tasks) {
		return false
	}
	task := run.Tasks[s.Task.Index]
	if task.Phase != modeler.TaskWaiting || task.HoldsResources() || !t.canRun(spec, session, s.Task) {
		return false
	}
	if !t.fitsInCap(spec.Department, step.Need) {
		return false
	}
	t.addDepartmentUsage(spec.Department, step.Need)
	task.Phase = modeler.TaskStarted
	task.Session = s.Session
	task.Attempt++
	if step.Gang {
		task.Attempt = run.Attempt
	}
	run.Tasks[s.Task.Index] = task
	t.setSession(session.WithTask(s.Task, step.CapacityNeed()))
	return true
}

// canRun reports whether the session can run one more task of the step.
func (t *transition) canRun(spec modeler.WorkflowSpec, session modeler.Session, name modeler.TaskName) bool {
	step := spec.Steps[name.Step]
	queue, ok := t.Queues.Get(spec.Queue)
	if !ok || session.Draining || session.Service != queue.Service || !session.HasLabel(step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && session.CountStepTasks(name) >= step.MaxPerWorker {
		return false
	}
	return step.CapacityNeed().FitsIn(session.Free())
}

// endAttempts applies the begins and the ends of attempts. Either is ignored unless it is
// about the attempt that currently holds resources.
func (t *transition) endAttempts() *modeler.RefusalError {
	for _, a := range t.command.Begins {
		t.beginAttempt(a)
	}
	for _, e := range t.command.Ends {
		if t.endAttempt(e) {
			t.result.Accepted++
		}
	}
	return nil
}

// beginAttempt records that the attempt's workflow has begun.
func (t *transition) beginAttempt(a modeler.Attempt) {
	if w, _, ok := t.heldTask(a); ok && !w.Begun {
		w.Begun = true
		t.setWorkflow(w)
	}
}

// heldTask returns the attempt's workflow and task, and whether it is this attempt that
// holds resources.
func (t *transition) heldTask(a modeler.Attempt) (modeler.Workflow, modeler.WorkflowTask, bool) {
	w, ok := t.Workflows.Get(a.Task.Workflow)
	task, exists := w.Task(a.Task)
	return w, task, ok && exists && task.HoldsResources() && task.Session == a.Session && task.Attempt == a.Number
}

func (t *transition) endAttempt(e AttemptEnd) bool {
	name := e.Attempt.Task
	w, task, ok := t.heldTask(e.Attempt)
	if !ok {
		return false
	}
	step := w.Spec.Steps[name.Step]
	worker := task.Session
	if session, ok := t.Sessions.Get(task.Session); ok {
		worker = session.Worker
		t.setSession(session.WithoutTask(name, step.CapacityNeed()))
	}
	t.addDepartmentUsage(w.Spec.Department, step.Need.Times(-1))
	position, _ := w.RunIndex(name)
	run := w.Run(position)
	task.Session = ""
	if e.Outcome == AttemptFailed {
		task.FailedOn = appendFailedOn(task.FailedOn, worker)
	}
	run, failed := t.applyAttemptEnd(w.Spec, run.WithTask(name.Index, task), e)
	w = w.WithRun(position, run)
	w.Begun = w.Begun || e.Outcome.hasBegun()
	if failed && !w.IsEnded() {
		t.endWorkflow(w, modeler.WorkflowFailed)
		return true
	}
	if phase := phaseAfterEnd(w); phase != w.Phase {
		w = w.WithPhase(phase, t.at)
	}
	t.setWorkflow(w)
	return true
}

// phaseAfterEnd returns the phase of a workflow after an attempt has ended that does
// not make it fail.
func phaseAfterEnd(w modeler.Workflow) modeler.WorkflowPhase {
	switch {
	case w.IsEnded():
		return w.Phase
	case w.HasFinished():
		return modeler.WorkflowFinished
	case !w.Begun && !w.HoldsResources():
		// No task is known to have begun, although starts were committed.
		return modeler.WorkflowWaiting
	default:
		return w.Phase
	}
}

func appendFailedOn(failedOn []string, worker string) []string {
	if len(failedOn) >= maxFailedOn {
		failedOn = failedOn[1:]
	}
	return append(slices.Clone(failedOn), worker)
}

// applyAttemptEnd updates the run after an attempt ended: it moves the task to
// its next phase, stores the checkpoint and counts failures. It reports whether
// the workflow fails because the maximum number of failed attempts is reached.
func (t *transition) applyAttemptEnd(spec modeler.WorkflowSpec, run modeler.StepRun, e AttemptEnd) (modeler.StepRun, bool) {
	index, step := e.Attempt.Task.Index, spec.Steps[e.Attempt.Task.Step]
	task := run.Tasks[index]
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
		if step.Gang {
			run.Checkpoint = e.Checkpoint
		}
	}
	if task.Phase != modeler.TaskStarted {
		return run.WithTask(index, task), false
	}
	task.Phase = modeler.TaskWaiting
	finished := e.Outcome == AttemptFinished && !step.LongRunning
	if finished {
		task.Phase = modeler.TaskFinished
	}
	if e.Outcome == AttemptFailed {
		task.Failures++
	}
	run = run.WithTask(index, task)
	if step.Gang && finished {
		run = withGangFinished(run, e.Attempt.Number)
	}
	if e.Outcome != AttemptFailed || step.LongRunning {
		return run, false
	}
	run = withGangFailure(run, step, e.Attempt)
	failures := task.Failures
	if step.Gang {
		failures = run.Failures
	}
	return run, failures >= t.maxAttempts(spec)
}

// withGangFailure counts a failed attempt of a gang, once even if several of its
// tasks fail.
func withGangFailure(run modeler.StepRun, step modeler.StepSpec, a modeler.Attempt) modeler.StepRun {
	if step.Gang && run.FailedAttempt < a.Number {
		run.FailedAttempt = a.Number
		run.Failures++
	}
	return run
}

func (t *transition) maxAttempts(spec modeler.WorkflowSpec) int {
	queue, _ := t.Queues.Get(spec.Queue)
	if queue.MaxAttempts == 0 {
		return modeler.DefaultMaxAttempts
	}
	return queue.MaxAttempts
}

// withGangFinished marks the other tasks of the attempt as finished, because a
// gang finishes when one of its tasks does. They hold their resources until
// their own ends are known.
func withGangFinished(run modeler.StepRun, attempt int) modeler.StepRun {
	run.Tasks = slices.Clone(run.Tasks)
	for i, task := range run.Tasks {
		if task.Attempt == attempt && (task.Phase == modeler.TaskStarted || task.Phase == modeler.TaskWaiting) {
			run.Tasks[i].Phase = modeler.TaskFinished
		}
	}
	return run
}

// removeEndedWorkflows removes workflows that ended before the time in the
// command and whose tasks hold no resources.
func (t *transition) removeEndedWorkflows() {
	for it := t.Workflows.Iterator(); !it.Done(); {
		id, w, _ := it.Next()
		if w.IsEnded() && w.Ended.Before(t.command.Before) && !w.HoldsResources() {
			t.WorkBytes -= w.MemoryBytes()
			t.Workflows = t.Workflows.Delete(id)
			t.markChanged(RecordWorkflow, id)
		}
	}
}
