package reducer

import (
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// failuresBeforeProbation is the number of consecutive task failures that
	// puts a worker on probation.
	failuresBeforeProbation = 3
	// minOtherFailingWorkers is the number of other workers on which a job must
	// have failed for its failures to be attributed to the job.
	minOtherFailingWorkers = 2
	// initialProbationBackoff and maxProbationBackoff bound the time for which a
	// worker on probation gets no task.
	initialProbationBackoff = 2 * time.Second
	maxProbationBackoff     = 5 * time.Minute
)

func (t *transition) submitJob() *modeler.RefusalError {
	submission := t.command.Job
	spec, refusal := converter.DecodeJob(submission.Raw, submission.Schema)
	if refusal != nil {
		return refusal
	}
	if known, ok := t.Jobs.Get(spec.ID); ok {
		return t.resubmitJob(known, submission)
	}
	if _, ok := t.Pools.Get(spec.Pool); !ok {
		return modeler.Refuse(modeler.CodeNotFound, "pool", "%q is not configured", spec.Pool)
	}
	job := modeler.Job{
		Spec:      spec,
		Schema:    submission.Schema,
		Raw:       submission.Raw,
		Submitted: t.at,
		Tasks:     make([]modeler.Task, spec.Count),
	}
	for i := range job.Tasks {
		job.Tasks[i].Phase = modeler.TaskWaiting
	}
	t.setJob(job)
	t.result.Accepted = 1
	return nil
}

// resubmitJob handles a job whose ID already exists: an identical submission is
// accepted without effect, a different one is refused.
func (t *transition) resubmitJob(known modeler.Job, repeated *Submission) *modeler.RefusalError {
	if known.Schema == repeated.Schema && string(known.Raw) == string(repeated.Raw) {
		return nil
	}
	return modeler.Refuse(modeler.CodeConflict, "id", "another job is named %q", known.Spec.ID)
}

func (t *transition) cancelJobs() *modeler.RefusalError {
	if len(t.command.Names) == 1 {
		if _, ok := t.Jobs.Get(t.command.Names[0]); !ok {
			return modeler.Refuse(modeler.CodeNotFound, "job", "%q is not known", t.command.Names[0])
		}
	}
	for _, id := range t.command.Names {
		job, ok := t.Jobs.Get(id)
		if !ok || job.IsDone() {
			continue
		}
		t.setJob(withCancelledTasks(job))
		t.result.Accepted++
	}
	return nil
}

func withCancelledTasks(job modeler.Job) modeler.Job {
	job = job.WithCancelled()
	tasks := slices.Clone(job.Tasks)
	for i, task := range tasks {
		switch task.Phase {
		case modeler.TaskWaiting:
			tasks[i] = task.WithPhase(modeler.TaskCancelled)
		case modeler.TaskStarted, modeler.TaskStopping:
			tasks[i] = task.WithStopping(false)
		}
	}
	job.Tasks = tasks
	return job
}

// startTasks applies the starts of each job. Either all tasks of a gang start,
// or none.
func (t *transition) startTasks() *modeler.RefusalError {
	starts := t.command.Starts
	for len(starts) > 0 {
		count := 1
		for count < len(starts) && starts[count].Task.Job == starts[0].Task.Job {
			count++
		}
		t.startJob(starts[:count])
		starts = starts[count:]
	}
	return nil
}

func (t *transition) startJob(starts []Start) {
	job, ok := t.Jobs.Get(starts[0].Task.Job)
	if !ok {
		return
	}
	if job.Spec.Kind == modeler.KindGang && job.Count(modeler.TaskStopping) > 0 {
		return
	}
	before := *t
	job.Tasks = slices.Clone(job.Tasks)
	for _, s := range starts {
		if t.startTask(&job, s) {
			t.result.Accepted++
			continue
		}
		if job.Spec.Kind == modeler.KindGang {
			*t = before
			return
		}
	}
	if job.Spec.Kind == modeler.KindGang && job.Count(modeler.TaskWaiting) > 0 {
		*t = before
		return
	}
	t.setJob(job)
}

// startTask applies the start if the worker's session, its free resources and
// the department's grant allow it. It reports whether the start was applied.
func (t *transition) startTask(job *modeler.Job, s Start) bool {
	task, exists := job.Task(s.Task.Index)
	w, ok := t.Workers.Get(s.Worker)
	if !ok || !exists || task.Phase != modeler.TaskWaiting || job.Cancelled {
		return false
	}
	if w.Session != s.Session || !w.IsSchedulable(t.at) || w.Pool != job.Spec.Pool {
		return false
	}
	need := job.Spec.Need
	if !need.FitsIn(w.Free()) || !t.withinGrant(job.Spec.Department, need) {
		return false
	}
	job.Tasks[s.Task.Index] = task.WithStart(s.Worker, s.Session, t.at)
	t.setWorker(w.WithTask(s.Task, need))
	t.addUsage(job.Spec.Department, need)
	return true
}

func (t *transition) withinGrant(department string, need modeler.Resources) bool {
	grant, ok := t.GrantInForce(department, t.at)
	if !ok {
		return false
	}
	usage, _ := t.Usage.Get(department)
	return usage.Plus(need).FitsIn(grant.Limit)
}

// reportTasks applies task reports. A report is ignored unless it is about the
// attempt that currently holds resources.
func (t *transition) reportTasks() *modeler.RefusalError {
	for _, r := range t.command.Reports {
		job, ok := t.Jobs.Get(r.Task.Job)
		task, exists := job.Task(r.Task.Index)
		if !ok || !exists || !task.HoldsResources() || task.Worker != r.Worker ||
			task.Session != r.Session || task.Attempt != r.Attempt {
			continue
		}
		t.endTask(job, r.Task, r.Result)
		t.result.Accepted++
	}
	return nil
}

// endTasks ends every task on a worker whose session has ended.
func (t *transition) endTasks(w modeler.Worker) {
	for _, ref := range w.Tasks {
		if job, ok := t.Jobs.Get(ref.Job); ok {
			t.endTask(job, ref, TaskResultStopped)
		}
	}
}

// endTask releases the resources of the task and moves it to its next phase. If
// a task of a gang has to be started again, the rest of the gang is stopped.
func (t *transition) endTask(job modeler.Job, ref modeler.TaskReference, result TaskResult) {
	task := job.Tasks[ref.Index]
	failed := result == TaskResultFailed
	if w, ok := t.Workers.Get(task.Worker); ok {
		w = w.WithoutTask(ref, job.Spec.Need)
		if result != TaskResultStopped {
			countsAgainstWorker := failed && !failsOnOtherWorkers(job, w.ID)
			w = t.updateProbation(w, failed, countsAgainstWorker)
		}
		t.setWorker(w)
	}
	t.addUsage(job.Spec.Department, job.Spec.Need.Times(-1))
	if failed {
		job = job.WithFailingWorker(task.Worker)
		task = task.WithFailureOn(task.Worker)
	}
	ended := task.WithPhase(nextPhase(job, task, result))
	job = job.WithTask(ref.Index, ended)
	if job.Spec.Kind == modeler.KindGang && ended.Phase == modeler.TaskWaiting {
		job = withGangStopped(job)
	}
	t.setJob(job)
}

// failsOnOtherWorkers reports whether the job failed on so many other workers
// that its failures are attributed to the job and not to this worker.
func failsOnOtherWorkers(job modeler.Job, worker string) bool {
	others := 0
	for _, failing := range job.FailingWorkers {
		if failing != worker {
			others++
		}
	}
	return others >= minOtherFailingWorkers
}

func (t *transition) updateProbation(w modeler.Worker, failed, countsAgainstWorker bool) modeler.Worker {
	if !failed {
		return w.WithSuccess()
	}
	if !countsAgainstWorker {
		return w
	}
	backoff := time.Duration(0)
	if excess := w.Failures + 1 - failuresBeforeProbation; excess >= 0 {
		backoff = min(maxProbationBackoff, initialProbationBackoff<<min(excess, 8))
	}
	return w.WithFailure(backoff, t.at)
}

func nextPhase(job modeler.Job, task modeler.Task, result TaskResult) modeler.TaskPhase {
	switch {
	case result == TaskResultFinished && job.Spec.Kind != modeler.KindService:
		return modeler.TaskFinished
	case job.Cancelled:
		return modeler.TaskCancelled
	case job.Spec.Kind == modeler.KindService:
		return modeler.TaskWaiting
	case result == TaskResultFailed && len(task.FailedOn) >= job.Spec.MaxAttempts:
		return modeler.TaskFailed
	default:
		return modeler.TaskWaiting
	}
}

// withGangStopped marks the remaining tasks of a gang as stopping after it lost
// a task, so that the whole gang starts again together.
func withGangStopped(job modeler.Job) modeler.Job {
	tasks := slices.Clone(job.Tasks)
	for i, task := range tasks {
		if task.Phase == modeler.TaskStarted {
			tasks[i] = task.WithStopping(true)
		}
	}
	job.Tasks = tasks
	return job
}

// preemptTasks stops tasks to free resources. They return to the waiting phase.
func (t *transition) preemptTasks() *modeler.RefusalError {
	for _, ref := range t.command.Tasks {
		job, ok := t.Jobs.Get(ref.Job)
		task, exists := job.Task(ref.Index)
		if !ok || !exists || task.Phase != modeler.TaskStarted {
			continue
		}
		t.setJob(job.WithTask(ref.Index, task.WithStopping(true)))
		t.result.Accepted++
	}
	return nil
}
