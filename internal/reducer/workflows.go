package reducer

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// AttemptEnd says how an attempt of a workflow's task ended.
type AttemptEnd struct {
	Attempt modeler.Attempt `json:"attempt"`
	Outcome AttemptOutcome  `json:"outcome"`
	// Checkpoint is where the next attempt may go on; empty for no news of it.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	AttemptFinished AttemptOutcome = "finished"
	AttemptFailed   AttemptOutcome = "failed"
	// AttemptStopped attempts ended on an order or with the rest of their gang.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptLapsed attempts ended with the lease or the session of their worker.
	AttemptLapsed AttemptOutcome = "lapsed"
	// AttemptRefused attempts never began.
	AttemptRefused AttemptOutcome = "refused"
)

// maxFailedOn bounds the workers that a task remembers to have failed on.
const maxFailedOn = 8

func (t *transition) submitWorkflow() *modeler.RefusalError {
	spec := *t.command.Workflow
	if refusal := spec.Validate(); refusal != nil {
		return refusal
	}
	if known, ok := t.Workflows.Get(spec.ID); ok {
		t.resubmitWorkflow(known, spec)
		return nil
	}
	if _, ok := t.Table.Queue(spec.Queue); !ok {
		return modeler.Refuse(modeler.CodeNotFound, "queue", "%q is not configured", spec.Queue)
	}
	t.setWorkflow(modeler.NewWorkflow(spec, t.at))
	t.result.Accepted = 1
	return nil
}

// resubmitWorkflow takes the spec of a workflow that was cancelled before it
// came; any other one is accepted once more without effect.
func (t *transition) resubmitWorkflow(known modeler.Workflow, spec modeler.WorkflowSpec) {
	if len(known.Runs) > 0 {
		return
	}
	t.setWorkflow(modeler.NewWorkflow(spec, t.at).WithPhase(modeler.WorkflowCancelled, t.at))
}

// cancelWorkflow cancels a workflow. One that is not known is remembered as
// cancelled, so that a submission of it that arrives later does not run.
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
		return nil
	}
	t.result.Accepted = 1
	if !known.IsEnded() {
		t.endWorkflow(known, modeler.WorkflowCancelled)
	}
	return nil
}

// endWorkflow moves the workflow to a final phase. What still runs holds its
// resources until its end is known.
func (t *transition) endWorkflow(w modeler.Workflow, phase modeler.WorkflowPhase) {
	w.Runs = slices.Clone(w.Runs)
	for i, run := range w.Runs {
		run.Tasks = slices.Clone(run.Tasks)
		for k, task := range run.Tasks {
			if task.Phase == modeler.TaskWaiting || task.Phase == modeler.TaskStarted {
				run.Tasks[k].Phase = modeler.TaskCancelled
			}
		}
		w.Runs[i] = run
	}
	t.setWorkflow(w.WithPhase(phase, t.at))
}

func (t *transition) setWorkflow(w modeler.Workflow) {
	t.Workflows = t.Workflows.Set(w.Spec.ID, w)
	if !w.IsEnded() || w.HoldsAny() {
		t.ActiveWorkflows = t.ActiveWorkflows.Set(w.Spec.ID, struct{}{})
	} else {
		t.ActiveWorkflows = t.ActiveWorkflows.Delete(w.Spec.ID)
	}
	t.touch(TouchWorkflow, w.Spec.ID)
}

// startAttempts commits starts step by step; those of a gang are taken as a whole.
func (t *transition) startAttempts() *modeler.RefusalError {
	starts := t.command.Attempts
	for len(starts) > 0 {
		count := 1
		for count < len(starts) && sameRun(starts[count].Task, starts[0].Task) {
			count++
		}
		t.startRun(starts[:count])
		starts = starts[count:]
	}
	return nil
}

func sameRun(a, b modeler.TaskName) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func (t *transition) startRun(starts []modeler.Attempt) {
	name := starts[0].Task
	w, ok := t.Workflows.Get(name.Workflow)
	position, known := w.RunOf(name)
	if !ok || !known || w.IsEnded() || !w.IsUnblocked(name.Occurrence, name.Step) {
		return
	}
	step, run := w.Spec.Steps[name.Step], w.Runs[position]
	before := *t
	run.Tasks = slices.Clone(run.Tasks)
	if step.Gang {
		run.Attempt++
	}
	accepted := 0
	for _, s := range starts {
		if t.startOne(w.Spec, &run, s) {
			accepted++
		}
	}
	isWhole := accepted == step.Count && !w.Runs[position].HoldsAny()
	if accepted == 0 || (step.Gang && !isWhole) {
		*t = before
		return
	}
	t.result.Accepted += accepted
	t.setWorkflow(w.WithRun(position, run).WithPhase(modeler.WorkflowRunning, t.at))
}

// startOne reports whether the start holds against the ledger, and takes it.
func (t *transition) startOne(spec modeler.WorkflowSpec, run *modeler.StepRun, s modeler.Attempt) bool {
	step := spec.Steps[s.Task.Step]
	session, ok := t.Sessions.Get(s.Session)
	if !ok || s.Task.Index < 0 || s.Task.Index >= len(run.Tasks) {
		return false
	}
	task := run.Tasks[s.Task.Index]
	if task.Phase != modeler.TaskWaiting || task.IsHeld() || !t.mayRun(spec, session, s.Task) {
		return false
	}
	task.Phase = modeler.TaskStarted
	task.Session = s.Session
	task.Attempt++
	if step.Gang {
		task.Attempt = run.Attempt
	}
	run.Tasks[s.Task.Index] = task
	t.setSession(session.WithTask(s.Task, step.CountedNeed()))
	return true
}

// mayRun reports whether the session may take one more task of the step.
func (t *transition) mayRun(spec modeler.WorkflowSpec, session modeler.Session, name modeler.TaskName) bool {
	step := spec.Steps[name.Step]
	queue, ok := t.Queues.Get(spec.Queue)
	if !ok || session.Draining || session.Service != queue.Service || !session.HasLabel(step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && session.CountOf(name) >= step.MaxPerWorker {
		return false
	}
	return step.CountedNeed().FitsIn(session.Free())
}

// endAttempts takes what is known of ended attempts. News of any but the
// attempt that holds resources changes nothing.
func (t *transition) endAttempts() *modeler.RefusalError {
	for _, e := range t.command.Ends {
		if t.endAttempt(e) {
			t.result.Accepted++
		}
	}
	return nil
}

func (t *transition) endAttempt(e AttemptEnd) bool {
	name := e.Attempt.Task
	w, ok := t.Workflows.Get(name.Workflow)
	task, known := w.Task(name)
	if !ok || !known || !task.IsHeld() || task.Session != e.Attempt.Session || task.Attempt != e.Attempt.Number {
		return false
	}
	step := w.Spec.Steps[name.Step]
	worker := task.Session
	if session, ok := t.Sessions.Get(task.Session); ok {
		worker = session.Worker
		t.setSession(session.WithoutTask(name, step.CountedNeed()))
	}
	position, _ := w.RunOf(name)
	run := w.Runs[position]
	task.Session = ""
	if e.Outcome == AttemptFailed {
		task.FailedOn = withFailure(task.FailedOn, worker)
	}
	run, failed := t.concludeTask(w.Spec, run.WithTask(name.Index, task), e)
	w = w.WithRun(position, run)
	switch {
	case w.IsEnded():
		t.setWorkflow(w)
	case failed:
		t.endWorkflow(w, modeler.WorkflowFailed)
	case w.HasFinished():
		t.setWorkflow(w.WithPhase(modeler.WorkflowFinished, t.at))
	default:
		t.setWorkflow(w)
	}
	return true
}

func withFailure(failedOn []string, worker string) []string {
	if len(failedOn) >= maxFailedOn {
		failedOn = failedOn[1:]
	}
	return append(slices.Clone(failedOn), worker)
}

// concludeTask decides where a task goes from the end of its attempt, and
// whether its workflow fails with it.
func (t *transition) concludeTask(spec modeler.WorkflowSpec, run modeler.StepRun, e AttemptEnd) (modeler.StepRun, bool) {
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
	run = withFailureOf(run, step, e.Attempt)
	failures := task.Failures
	if step.Gang {
		failures = run.Failures
	}
	return run, failures >= t.maxAttempts(spec)
}

// withFailureOf counts the failed attempt of a gang, once for all of its tasks.
func withFailureOf(run modeler.StepRun, step modeler.StepSpec, a modeler.Attempt) modeler.StepRun {
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

// withGangFinished marks the other tasks of the attempt as finished: the end of
// one stands for all. They hold their resources until their own ends are known.
func withGangFinished(run modeler.StepRun, attempt int) modeler.StepRun {
	run.Tasks = slices.Clone(run.Tasks)
	for i, task := range run.Tasks {
		if task.Attempt == attempt && (task.Phase == modeler.TaskStarted || task.Phase == modeler.TaskWaiting) {
			run.Tasks[i].Phase = modeler.TaskFinished
		}
	}
	return run
}

// retainWorkflows forgets workflows that ended before the instant.
func (t *transition) retainWorkflows() {
	for it := t.Workflows.Iterator(); !it.Done(); {
		id, w, _ := it.Next()
		if w.IsEnded() && w.Ended.Before(t.command.Before) && !w.HoldsAny() {
			t.Workflows = t.Workflows.Delete(id)
			t.touch(TouchWorkflow, id)
		}
	}
}
