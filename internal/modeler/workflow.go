package modeler

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of one workflow.
const (
	// MaxStepsPerWorkflow bounds the steps of one workflow.
	MaxStepsPerWorkflow = 64
	// MaxOccurrences bounds how often the steps of one workflow run.
	MaxOccurrences = 1000
	// MaxPayloadBytes bounds what a workflow hands to its tasks.
	MaxPayloadBytes = 4096
)

// WorkflowSpec is a job of several steps, the third schema version of jobs.
type WorkflowSpec struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Payload goes to the workers as it is.
	Payload string     `json:"payload,omitempty"`
	Steps   []StepSpec `json:"steps"`
	// Occurrences is how often the steps run; the first one is due at FirstAt,
	// each later one Interval after the one before. They may overlap.
	Occurrences int           `json:"occurrences,omitempty"`
	FirstAt     time.Time     `json:"firstAt,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// StepSpec is a set of like tasks of a workflow.
type StepSpec struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the declared run time of one task; it may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists earlier steps, all tasks of which have to finish first.
	DependsOn []int `json:"dependsOn,omitempty"`
	// Checkpointing tasks save their progress and go on from there.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only together: all of one attempt have to be present.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the workflow is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Fills says that the tasks use processors that others leave idle, so that
	// their processors are not counted against a worker's capacity.
	Fills bool `json:"fills,omitempty"`
	// Label is a label that the worker must have; empty for any.
	Label string `json:"label,omitempty"`
	// Rack is where the data is; tasks are slower on other racks.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero for no bound.
	MaxPerWorker int    `json:"maxPerWorker,omitempty"`
	Image        string `json:"image,omitempty"`
	// TailTarget is the bound on the tail of a serving task's response times.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// MaxAway is how many long-running tasks may be away by the system's own actions.
	MaxAway int `json:"maxAway,omitempty"`
}

// CountedNeed is what a task of the step takes from a worker's capacity.
func (s StepSpec) CountedNeed() Resources {
	need := s.Need
	if s.Fills {
		need.Processors = 0
	}
	return need
}

// Validate returns a refusal that names the first field at fault, or nil.
func (s WorkflowSpec) Validate() *RefusalError {
	if refusal := CheckName("id", s.ID); refusal != nil {
		return refusal
	}
	if len(s.Payload) > MaxPayloadBytes {
		return Refuse(CodeInvalid, "payload", "longer than %d bytes", MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxStepsPerWorkflow {
		return Refuse(CodeInvalid, "steps", "%d is not within 1 and %d", len(s.Steps), MaxStepsPerWorkflow)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return Refuse(CodeInvalid, "occurrences", "%d is not within 0 and %d", s.Occurrences, MaxOccurrences)
	}
	if s.Interval < 0 {
		return Refuse(CodeInvalid, "interval", "is negative")
	}
	for i, step := range s.Steps {
		if refusal := step.validate(i); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s StepSpec) validate(position int) *RefusalError {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", position, name) }
	if s.Count < 1 || s.Count > MaxTasksPerJob {
		return Refuse(CodeInvalid, field("count"), "%d is not within 1 and %d", s.Count, MaxTasksPerJob)
	}
	if s.Need.IsNegative() {
		return Refuse(CodeInvalid, field("need"), "is negative")
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxAway < 0 {
		return Refuse(CodeInvalid, field("estimate"), "durations and bounds may not be negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= position {
			return Refuse(CodeInvalid, field("dependsOn"), "%d is no earlier step", d)
		}
	}
	return nil
}

// TaskName names one task of one occurrence of a step.
type TaskName struct {
	Workflow   string `json:"workflow"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
}

// String returns the name as workflow/occurrence/step/index.
func (n TaskName) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", n.Workflow, n.Occurrence, n.Step, n.Index)
}

// Attempt names one start of one task.
type Attempt struct {
	Task TaskName `json:"task"`
	// Session is the key of the worker session that the start was meant for.
	Session string `json:"session"`
	Number  int    `json:"number"`
}

// WorkflowTask is the state of one task. It is immutable.
type WorkflowTask struct {
	Phase TaskPhase `json:"phase"`
	// Attempt is the number of the last start; it never shrinks.
	Attempt int `json:"attempt,omitempty"`
	// Session holds the task's resources until the end of the attempt is known;
	// empty where nothing is held.
	Session string `json:"session,omitempty"`
	// Failures counts the attempts that ended as failed.
	Failures int `json:"failures,omitempty"`
	// Checkpoint is where the next attempt goes on; empty for the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn lists workers that failed the task, newest last.
	FailedOn []string `json:"failedOn,omitempty"`
}

// IsHeld reports whether an attempt of the task may still use its worker.
func (t WorkflowTask) IsHeld() bool { return t.Session != "" }

// StepRun is the state of one occurrence of a step. It is immutable.
type StepRun struct {
	// Tasks has one element for each task of the step.
	Tasks []WorkflowTask `json:"tasks"`
	// Attempt is the last attempt of a gang, which all of its tasks share.
	Attempt int `json:"attempt,omitempty"`
	// Failures counts the attempts of a gang in which a task failed.
	Failures int `json:"failures,omitempty"`
	// FailedAttempt is the last attempt of a gang that was counted as failed.
	FailedAttempt int `json:"failedAttempt,omitempty"`
	// Checkpoint is where the next attempt of a gang goes on.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// WithTask returns a copy of r in which the task at index is replaced.
func (r StepRun) WithTask(index int, task WorkflowTask) StepRun {
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[index] = task
	return r
}

// IsFinished reports whether every task has finished.
func (r StepRun) IsFinished() bool {
	return !slices.ContainsFunc(r.Tasks, func(t WorkflowTask) bool { return t.Phase != TaskFinished })
}

// HoldsAny reports whether any task is held by a session.
func (r StepRun) HoldsAny() bool { return slices.ContainsFunc(r.Tasks, WorkflowTask.IsHeld) }

// IsBroken reports whether the attempt of a gang has lost a task, so that the
// rest of it has to stop.
func (r StepRun) IsBroken() bool {
	held, lost := false, false
	for _, t := range r.Tasks {
		held = held || t.Phase == TaskStarted
		lost = lost || t.Phase == TaskWaiting
	}
	return held && lost
}

// WorkflowPhase sums up a workflow.
type WorkflowPhase string

// The phases of a workflow.
const (
	WorkflowWaiting   WorkflowPhase = "waiting"
	WorkflowRunning   WorkflowPhase = "running"
	WorkflowFinished  WorkflowPhase = "finished"
	WorkflowFailed    WorkflowPhase = "failed"
	WorkflowCancelled WorkflowPhase = "cancelled"
)

// Workflow is a job of several steps and what became of it. It is immutable.
type Workflow struct {
	Spec      WorkflowSpec  `json:"spec"`
	Submitted time.Time     `json:"submitted"`
	Phase     WorkflowPhase `json:"phase"`
	// Runs has one element for each step of each occurrence, by occurrence
	// first; it is empty in a workflow that was cancelled before it came.
	Runs []StepRun `json:"runs"`
	// Ended is set once the phase is final.
	Ended time.Time `json:"ended,omitzero"`
}

// NewWorkflow returns a workflow of which nothing has started.
func NewWorkflow(spec WorkflowSpec, at time.Time) Workflow {
	w := Workflow{Spec: spec, Submitted: at, Phase: WorkflowWaiting}
	for range max(1, spec.Occurrences) {
		for _, step := range spec.Steps {
			run := StepRun{Tasks: make([]WorkflowTask, step.Count)}
			for i := range run.Tasks {
				run.Tasks[i].Phase = TaskWaiting
			}
			w.Runs = append(w.Runs, run)
		}
	}
	return w
}

// IsEnded reports whether the phase is final.
func (w Workflow) IsEnded() bool {
	return w.Phase == WorkflowFinished || w.Phase == WorkflowFailed || w.Phase == WorkflowCancelled
}

// RunOf returns the position of the step's occurrence in Runs, and whether there is one.
func (w Workflow) RunOf(name TaskName) (int, bool) {
	if name.Step < 0 || name.Step >= len(w.Spec.Steps) || name.Occurrence < 0 {
		return 0, false
	}
	position := name.Occurrence*len(w.Spec.Steps) + name.Step
	return position, position < len(w.Runs)
}

// Task returns the task of the name, and whether there is one.
func (w Workflow) Task(name TaskName) (WorkflowTask, bool) {
	position, ok := w.RunOf(name)
	if !ok || name.Index < 0 || name.Index >= len(w.Runs[position].Tasks) {
		return WorkflowTask{}, false
	}
	return w.Runs[position].Tasks[name.Index], true
}

// WithRun returns a copy of w in which the run at the position is replaced.
func (w Workflow) WithRun(position int, run StepRun) Workflow {
	w.Runs = slices.Clone(w.Runs)
	w.Runs[position] = run
	return w
}

// WithPhase returns a copy of w in the phase; a final phase notes the instant.
func (w Workflow) WithPhase(phase WorkflowPhase, at time.Time) Workflow {
	w.Phase = phase
	if w.IsEnded() {
		w.Ended = at
	}
	return w
}

// DueAt returns the instant at which the occurrence is due; zero for at once.
func (w Workflow) DueAt(occurrence int) time.Time {
	if w.Spec.Occurrences == 0 {
		return time.Time{}
	}
	return w.Spec.FirstAt.Add(time.Duration(occurrence) * w.Spec.Interval)
}

// IsUnblocked reports whether all steps that the step depends on have finished.
func (w Workflow) IsUnblocked(occurrence, step int) bool {
	for _, d := range w.Spec.Steps[step].DependsOn {
		if !w.Runs[occurrence*len(w.Spec.Steps)+d].IsFinished() {
			return false
		}
	}
	return true
}

// HasFinished reports whether every task of every occurrence has finished.
func (w Workflow) HasFinished() bool {
	return !slices.ContainsFunc(w.Runs, func(r StepRun) bool { return !r.IsFinished() })
}

// HoldsAny reports whether any task is held by a session.
func (w Workflow) HoldsAny() bool { return slices.ContainsFunc(w.Runs, StepRun.HoldsAny) }
