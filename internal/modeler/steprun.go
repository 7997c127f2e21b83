package modeler

import (
	"encoding/json"
	"fmt"
	"slices"
)

// StepRun is the state of one occurrence of a step. It is immutable.
type StepRun struct {
	// Tasks has one element per task of the step.
	Tasks TaskList `json:"tasks"`
	// Attempt is the number of the last attempt of a gang, shared by all its tasks.
	Attempt int `json:"attempt,omitempty"`
	// Failures is the number of attempts of a gang in which a task failed.
	Failures int `json:"failures,omitempty"`
	// FailedAttempt is the number of the last attempt of a gang that was counted
	// as failed.
	FailedAttempt int `json:"failedAttempt,omitempty"`
	// Checkpoint is the position from which the next attempt of a gang resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// waitingRun returns the run of a step of which no task has started.
func waitingRun(step StepSpec) StepRun { return StepRun{Tasks: uniformTasks(step.Count, TaskWaiting)} }

// WithTask returns a copy of r with the task at the index replaced.
func (r StepRun) WithTask(index int, task WorkflowTask) StepRun {
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[index] = task
	return r
}

// Compact returns r with its tasks in shared memory if they are alike.
func (r StepRun) Compact() StepRun {
	r.Tasks = r.Tasks.compact()
	return r
}

// IsUntouched reports whether no task of the run has ever started.
func (r StepRun) IsUntouched() bool {
	phase, ok := r.Tasks.uniformPhase()
	return ok && phase == TaskWaiting
}

// IsFinished reports whether all tasks have finished.
func (r StepRun) IsFinished() bool {
	if phase, ok := r.Tasks.uniformPhase(); ok {
		return phase == TaskFinished
	}
	return !slices.ContainsFunc(r.Tasks, func(t WorkflowTask) bool { return t.Phase != TaskFinished })
}

// HoldsResources reports whether any task holds resources of a session.
func (r StepRun) HoldsResources() bool {
	if _, ok := r.Tasks.uniformPhase(); ok {
		return false
	}
	return slices.ContainsFunc(r.Tasks, WorkflowTask.HoldsResources)
}

// HasLostTask reports whether an attempt of a gang has lost a task, so that its
// remaining tasks have to stop.
func (r StepRun) HasLostTask() bool {
	hasStarted, hasWaiting := false, false
	for _, t := range r.Tasks {
		hasStarted = hasStarted || t.Phase == TaskStarted
		hasWaiting = hasWaiting || t.Phase == TaskWaiting
	}
	return hasStarted && hasWaiting
}

// TaskList holds the tasks of a step run. Tasks that are alike are encoded as their
// number and their phase.
type TaskList []WorkflowTask

// uniform holds the most tasks that a step may have, all alike, for each phase in which the
// tasks of a run without resources can be alike. Lists share its memory, so that the tasks
// of work that has not begun or is over take none.
var uniform = map[TaskPhase]TaskList{
	TaskWaiting:   newUniformTasks(MaxTasksPerJob, TaskWaiting),
	TaskFinished:  newUniformTasks(MaxTasksPerJob, TaskFinished),
	TaskCancelled: newUniformTasks(MaxTasksPerJob, TaskCancelled),
}

func newUniformTasks(count int, phase TaskPhase) TaskList {
	tasks := make(TaskList, count)
	for i := range tasks {
		tasks[i].Phase = phase
	}
	return tasks
}

// uniformTasks returns tasks that are all in the phase, in shared memory unless they are more
// than a valid step has. Their capacity is their number, so that an append copies them.
func uniformTasks(count int, phase TaskPhase) TaskList {
	if count > MaxTasksPerJob {
		return newUniformTasks(count, phase)
	}
	return uniform[phase][:count:count]
}

// uniformPhase returns the phase of tasks in shared memory, and whether these are such.
func (l TaskList) uniformPhase() (TaskPhase, bool) {
	if len(l) == 0 {
		return "", false
	}
	shared, ok := uniform[l[0].Phase]
	return l[0].Phase, ok && &shared[0] == &l[0]
}

// compact returns the tasks in shared memory if they are alike: if none has ever started, or
// if all are over, as the attempts of such tasks matter no more.
func (l TaskList) compact() TaskList {
	if len(l) == 0 || len(l) > MaxTasksPerJob {
		return l
	}
	phase := l[0].Phase
	if _, ok := uniform[phase]; !ok || slices.ContainsFunc(l, func(t WorkflowTask) bool { return !t.isAlike(phase) }) {
		return l
	}
	return uniformTasks(len(l), phase)
}

// isAlike reports whether the task doesn't differ from others in the phase.
func (t WorkflowTask) isAlike(phase TaskPhase) bool {
	if t.Phase != phase || t.HoldsResources() {
		return false
	}
	return phase != TaskWaiting || t.Attempt == 0 && t.Failures == 0 && t.Checkpoint == "" && len(t.FailedOn) == 0
}

// encodedTasks is the encoded form of tasks that are alike. It is an object, not a list with
// fewer elements, so that releases that don't know it refuse it.
type encodedTasks struct {
	Count int       `json:"count"`
	Phase TaskPhase `json:"phase"`
}

// MarshalJSON implements json.Marshaler.
func (l TaskList) MarshalJSON() ([]byte, error) {
	if phase, ok := l.uniformPhase(); ok {
		return json.Marshal(encodedTasks{len(l), phase})
	}
	return json.Marshal([]WorkflowTask(l))
}

// UnmarshalJSON implements json.Unmarshaler. It also decodes the form of earlier releases, a
// list of all tasks.
func (l *TaskList) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '{' {
		var tasks []WorkflowTask
		if err := json.Unmarshal(data, &tasks); err != nil {
			return err
		}
		*l = TaskList(tasks).compact()
		return nil
	}
	var encoded encodedTasks
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	if _, ok := uniform[encoded.Phase]; !ok || encoded.Count < 1 || encoded.Count > MaxTasksPerJob {
		return fmt.Errorf("%d tasks in the phase %q are not a list of tasks", encoded.Count, encoded.Phase)
	}
	*l = uniformTasks(encoded.Count, encoded.Phase)
	return nil
}
