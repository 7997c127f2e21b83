package modeler

import (
	"fmt"
	"slices"
	"time"
)

// Limits of a workflow.
const (
	// MaxStepsPerWorkflow is the maximum number of steps.
	MaxStepsPerWorkflow = 64
	// MaxOccurrences is the maximum number of times that the steps run.
	MaxOccurrences = 1000
	// MaxTasksPerWorkflow is the maximum number of tasks of all steps and occurrences: 200
	// for each of MaxOccurrences.
	MaxTasksPerWorkflow = 200_000
	// MaxPayloadBytes is the maximum size of the payload passed to the tasks.
	MaxPayloadBytes = 4096
	// maxDuration bounds each duration, so that sums over steps and multiples by
	// occurrence stay below the 292 years that a duration can hold: 64 steps or 1000
	// occurrences of 90 days are 16 or 247 years.
	maxDuration = 90 * 24 * time.Hour
	// maxYear is the last year that the text form of a time can hold, less the
	// occurrences after it.
	maxYear = 9000
)

// WorkflowSpec is the specification of a job with several steps. It is the third
// schema version of jobs.
type WorkflowSpec struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Department is the department that submitted the workflow; empty if it needed no key.
	Department string `json:"department,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload string     `json:"payload,omitempty"`
	Steps   []StepSpec `json:"steps"`
	// Occurrences is the number of times that the steps run. The first occurrence
	// is due at FirstAt, each later one Interval after the previous one.
	// Occurrences may overlap.
	Occurrences int           `json:"occurrences,omitempty"`
	FirstAt     time.Time     `json:"firstAt,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// StepSpec is the specification of a workflow step, a set of identical tasks.
type StepSpec struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the declared run time of one task; it may be inaccurate.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the indexes of earlier steps whose tasks all have to finish
	// before this step starts.
	DependsOn []int `json:"dependsOn,omitempty"`
	// Checkpointing reports whether tasks save their progress and resume from it.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang reports whether the tasks work only together, so that all tasks of an
	// attempt have to run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack reports whether the tasks are slower if they run on different racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Speculative reports whether several copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning reports whether the tasks run until the workflow is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// UsesIdleProcessors reports whether the tasks use only processors that other
	// tasks leave idle. Their processors are not counted against a worker's capacity.
	UsesIdleProcessors bool `json:"fills,omitempty"`
	// Label is a label that the worker must have; empty if any worker will do.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the tasks' data; tasks are slower on other racks.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of one occurrence on one
	// worker; zero means no limit.
	MaxPerWorker int    `json:"maxPerWorker,omitempty"`
	Image        string `json:"image,omitempty"`
	// TailLatencyTarget is the target for the tail latency of a serving task.
	TailLatencyTarget time.Duration `json:"tailTarget,omitempty"`
	// MaxUnavailable is the maximum number of long-running tasks that may be
	// unavailable because of actions of the system itself.
	MaxUnavailable int `json:"maxAway,omitempty"`
}

// CapacityNeed returns the resources that a task of the step takes from a
// worker's capacity.
func (s StepSpec) CapacityNeed() Resources {
	need := s.Need
	if s.UsesIdleProcessors {
		need.Processors = 0
	}
	return need
}

// Validate returns a refusal that names the first invalid field, or nil.
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
	if refusal := s.validateTimes(); refusal != nil {
		return refusal
	}
	tasks := 0
	for i, step := range s.Steps {
		if refusal := step.validate(i); refusal != nil {
			return refusal
		}
		tasks += step.Count * max(1, s.Occurrences)
	}
	if tasks > MaxTasksPerWorkflow {
		return Refuse(CodeInvalid, "steps", "%d tasks are more than %d", tasks, MaxTasksPerWorkflow)
	}
	return nil
}

func (s WorkflowSpec) validateTimes() *RefusalError {
	if s.Interval < 0 || s.Interval > maxDuration {
		return Refuse(CodeInvalid, "interval", "%s is not within 0 and %s", s.Interval, maxDuration)
	}
	if year := s.FirstAt.UTC().Year(); year < 1 || year > maxYear {
		return Refuse(CodeInvalid, "firstAt", "the year %d is not within 1 and %d", year, maxYear)
	}
	return nil
}

func (s StepSpec) validate(position int) *RefusalError {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", position, name) }
	if s.Count < 1 || s.Count > MaxTasksPerJob {
		return Refuse(CodeInvalid, field("count"), "%d is not within 1 and %d", s.Count, MaxTasksPerJob)
	}
	if refusal := CheckResources(field("need"), s.Need); refusal != nil {
		return refusal
	}
	if min(s.Estimate, s.TailLatencyTarget) < 0 || min(s.MaxPerWorker, s.MaxUnavailable) < 0 {
		return Refuse(CodeInvalid, field("estimate"), "durations and bounds may not be negative")
	}
	if max(s.Estimate, s.TailLatencyTarget) > maxDuration {
		return Refuse(CodeInvalid, field("estimate"), "durations may not be above %s", maxDuration)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= position {
			return Refuse(CodeInvalid, field("dependsOn"), "%d is no earlier step", d)
		}
	}
	return nil
}

// TaskName identifies one task of one occurrence of a workflow step.
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

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Task TaskName `json:"task"`
	// Session is the key of the worker session for which the start was committed.
	Session string `json:"session"`
	Number  int    `json:"number"`
}

// WorkflowTask is the state of one task of a workflow. It is immutable.
type WorkflowTask struct {
	Phase TaskPhase `json:"phase"`
	// Attempt is the number of the last attempt; it never decreases.
	Attempt int `json:"attempt,omitempty"`
	// Session is the key of the session that holds the task's resources until the
	// end of the attempt is known; empty if no resources are held.
	Session string `json:"session,omitempty"`
	// Failures is the number of failed attempts.
	Failures int `json:"failures,omitempty"`
	// Checkpoint is the position from which the next attempt resumes; empty to
	// start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn lists the workers on which the task failed, most recent last.
	FailedOn []string `json:"failedOn,omitempty"`
}

// HoldsResources reports whether an attempt of the task may still use its worker.
func (t WorkflowTask) HoldsResources() bool { return t.Session != "" }

// WorkflowPhase is the phase of a workflow's life cycle.
type WorkflowPhase string

// The phases of a workflow.
const (
	WorkflowWaiting   WorkflowPhase = "waiting"
	WorkflowRunning   WorkflowPhase = "running"
	WorkflowFinished  WorkflowPhase = "finished"
	WorkflowFailed    WorkflowPhase = "failed"
	WorkflowCancelled WorkflowPhase = "cancelled"
)

// Workflow is a job with several steps and its state. It is immutable.
type Workflow struct {
	Spec      WorkflowSpec  `json:"spec"`
	Submitted time.Time     `json:"submitted"`
	Phase     WorkflowPhase `json:"phase"`
	// Runs has one element per step of each occurrence, ordered by occurrence and
	// then by step. It ends with the first occurrence of which no task has started, as
	// the later ones don't differ from it; Run returns these too. It is empty if the
	// workflow was cancelled before its submission arrived, and holds one run without
	// tasks once the workflow has ended and no task holds resources.
	Runs []StepRun `json:"runs"`
	// Begun is true once a worker has confirmed or listed one of the workflow's attempts.
	Begun bool `json:"begun,omitempty"`
	// BeyondRate is true if the department had submitted more workflows than its rate
	// allows when it submitted this one.
	BeyondRate bool `json:"beyondRate,omitempty"`
	// AlsoCancelledBy holds further departments that cancelled the ID before its submission
	// arrived; the first one is in Spec.
	AlsoCancelledBy []string `json:"alsoCancelledBy,omitempty"`
	// Ended is the time at which the workflow reached a final phase; zero before.
	Ended time.Time `json:"ended,omitzero"`

	// payloadBytes is the encoded length of the payload of a workflow with steps.
	payloadBytes int
}

// NewWorkflow returns a workflow whose tasks are all waiting.
func NewWorkflow(spec WorkflowSpec, at time.Time) Workflow {
	w := Workflow{Spec: spec, Submitted: at, Phase: WorkflowWaiting, payloadBytes: encodedLength(spec.Payload)}
	return w.withRunsUntil(0)
}

// OccurrenceCount returns how many times the steps run.
func (w Workflow) OccurrenceCount() int { return max(1, w.Spec.Occurrences) }

// withRunsUntil returns a copy of w whose Runs hold the occurrence.
func (w Workflow) withRunsUntil(occurrence int) Workflow {
	steps := len(w.Spec.Steps)
	missing := (min(occurrence, w.OccurrenceCount()-1)+1)*steps - len(w.Runs)
	if missing <= 0 {
		return w
	}
	runs := slices.Grow(slices.Clone(w.Runs), missing)
	for range missing {
		runs = append(runs, waitingRun(w.Spec.Steps[len(runs)%steps]))
	}
	w.Runs = runs
	return w
}

// BegunOccurrences returns how many occurrences are before the first of which no task has
// started.
func (w Workflow) BegunOccurrences() int {
	occurrences := len(w.Runs) / max(1, len(w.Spec.Steps))
	for occurrences > 0 && w.isUntouched(occurrences-1) {
		occurrences--
	}
	return occurrences
}

func (w Workflow) isUntouched(occurrence int) bool {
	steps := len(w.Spec.Steps)
	return !slices.ContainsFunc(w.Runs[occurrence*steps:(occurrence+1)*steps], func(r StepRun) bool { return !r.IsUntouched() })
}

// Run returns the run at the position, which is that of RunIndex.
func (w Workflow) Run(position int) StepRun {
	if position < len(w.Runs) {
		return w.Runs[position]
	}
	return waitingRun(w.Spec.Steps[position%len(w.Spec.Steps)])
}

// endedRuns is the run without tasks that ended workflows share.
var endedRuns = []StepRun{{}}

// WithoutTasks returns a copy of an ended workflow that keeps only what callers may
// still ask for. It has one run without tasks, as a workflow without any run was never
// submitted.
func (w Workflow) WithoutTasks() Workflow {
	w.Spec = WorkflowSpec{ID: w.Spec.ID, Queue: w.Spec.Queue, Department: w.Spec.Department}
	w.payloadBytes = 0
	w.Runs = endedRuns
	return w
}

// ReportedPhase returns the phase that callers are told. A workflow whose starts are
// committed is waiting for them until one of its attempts is known to have begun.
func (w Workflow) ReportedPhase() WorkflowPhase {
	if w.Phase == WorkflowRunning && !w.Begun {
		return WorkflowWaiting
	}
	return w.Phase
}

// IsEnded reports whether the phase is final.
func (w Workflow) IsEnded() bool {
	return w.Phase == WorkflowFinished || w.Phase == WorkflowFailed || w.Phase == WorkflowCancelled
}

// RunIndex returns the position of the named task's step and occurrence, and
// whether it exists.
func (w Workflow) RunIndex(name TaskName) (int, bool) {
	if name.Step < 0 || name.Step >= len(w.Spec.Steps) || name.Occurrence < 0 || name.Occurrence >= w.OccurrenceCount() {
		return 0, false
	}
	return name.Occurrence*len(w.Spec.Steps) + name.Step, true
}

// Task returns the named task, and whether it exists.
func (w Workflow) Task(name TaskName) (WorkflowTask, bool) {
	position, ok := w.RunIndex(name)
	if !ok {
		return WorkflowTask{}, false
	}
	tasks := w.Run(position).Tasks
	if name.Index < 0 || name.Index >= len(tasks) {
		return WorkflowTask{}, false
	}
	return tasks[name.Index], true
}

// WithRun returns a copy of w with the run at the position replaced.
func (w Workflow) WithRun(position int, run StepRun) Workflow {
	w = w.withRunsUntil(position/len(w.Spec.Steps) + 1)
	w.Runs = slices.Clone(w.Runs)
	w.Runs[position] = run.Compact()
	return w
}

// Compact returns w in the least memory: without the runs that Run returns without them,
// and with tasks in shared memory where they are alike.
func (w Workflow) Compact() Workflow {
	if len(w.Spec.Steps) == 0 {
		return w
	}
	w.payloadBytes = encodedLength(w.Spec.Payload)
	runs := slices.Clone(w.Runs)
	for i, run := range runs {
		runs[i] = run.Compact()
	}
	w.Runs = runs
	w.Runs = slices.Clone(runs[:min(len(runs), (w.BegunOccurrences()+1)*len(w.Spec.Steps))])
	return w
}

// WithPhase returns a copy of w in the phase. A final phase sets the end time.
func (w Workflow) WithPhase(phase WorkflowPhase, at time.Time) Workflow {
	w.Phase = phase
	if w.IsEnded() {
		w.Ended = at
	}
	return w
}

// DueAt returns the time at which the occurrence is due; the zero time means
// immediately.
func (w Workflow) DueAt(occurrence int) time.Time {
	if w.Spec.Occurrences == 0 {
		return time.Time{}
	}
	return w.Spec.FirstAt.Add(time.Duration(occurrence) * w.Spec.Interval)
}

// DependenciesFinished reports whether all dependencies of the step have finished.
func (w Workflow) DependenciesFinished(occurrence, step int) bool {
	for _, d := range w.Spec.Steps[step].DependsOn {
		if !w.Run(occurrence*len(w.Spec.Steps) + d).IsFinished() {
			return false
		}
	}
	return true
}

// HasFinished reports whether all tasks of all occurrences have finished. Runs ends with an
// occurrence that has not begun if there is one.
func (w Workflow) HasFinished() bool {
	return !slices.ContainsFunc(w.Runs, func(r StepRun) bool { return !r.IsFinished() })
}

// HoldsResources reports whether any task holds resources of a session.
func (w Workflow) HoldsResources() bool { return slices.ContainsFunc(w.Runs, StepRun.HoldsResources) }
