package modeler

import (
	"encoding/json"
	"slices"
	"time"
)

// JobKind determines how the tasks of a job start and end.
type JobKind string

// The kinds of jobs.
const (
	// KindBatch is a job whose tasks start independently and run to completion.
	KindBatch JobKind = "batch"
	// KindGang is a job whose tasks all start together and run to completion.
	KindGang JobKind = "gang"
	// KindService is a job whose tasks start independently and are started again
	// whenever they end.
	KindService JobKind = "service"
)

// Limits of a job.
const (
	// MaxTasksPerJob is the maximum number of tasks of a job, and of a workflow step.
	MaxTasksPerJob = 1000
	// MaxNameLength is the maximum length of an identifier, in bytes.
	MaxNameLength = 128
	// DefaultMaxAttempts is the number of failed attempts after which a task
	// fails, unless another number is specified.
	DefaultMaxAttempts = 4
	// maxFailingWorkers is the maximum length of a job's FailingWorkers list.
	maxFailingWorkers = 8
)

// SpreadBy is the topology level over which the tasks of a job are spread.
type SpreadBy string

// The levels over which tasks can be spread.
const (
	SpreadNone       SpreadBy = ""
	SpreadRack       SpreadBy = "rack"
	SpreadDataCentre SpreadBy = "dataCentre"
	SpreadWorker     SpreadBy = "worker"
)

// JobSpec is the specification of a job, in the current schema.
type JobSpec struct {
	ID         string    `json:"id"`
	Department string    `json:"department"`
	Pool       string    `json:"pool"`
	Kind       JobKind   `json:"kind"`
	Count      int       `json:"count"`
	Need       Resources `json:"need"`
	Urgent     bool      `json:"urgent,omitempty"`
	Spread     SpreadBy  `json:"spread,omitempty"`
	// Seconds is the declared run time of one task; it may be inaccurate.
	Seconds     float64 `json:"seconds,omitempty"`
	MaxAttempts int     `json:"maxAttempts,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Validate returns a refusal that names the first invalid field, or nil.
func (s JobSpec) Validate() *RefusalError {
	names := []struct{ field, value string }{
		{"id", s.ID}, {"department", s.Department}, {"pool", s.Pool},
	}
	for _, n := range names {
		if refusal := CheckName(n.field, n.value); refusal != nil {
			return refusal
		}
	}
	if !slices.Contains([]JobKind{KindBatch, KindGang, KindService}, s.Kind) {
		return Refuse(CodeInvalid, "kind", "%q is none of batch, gang, service", s.Kind)
	}
	if !slices.Contains([]SpreadBy{SpreadNone, SpreadRack, SpreadDataCentre, SpreadWorker}, s.Spread) {
		return Refuse(CodeInvalid, "spread", "%q is none of rack, dataCentre, worker", s.Spread)
	}
	if s.Count < 1 || s.Count > MaxTasksPerJob {
		return Refuse(CodeInvalid, "count", "%d is not within 1 and %d", s.Count, MaxTasksPerJob)
	}
	if s.Need.IsNegative() || s.Need.Processors == 0 {
		return Refuse(CodeInvalid, "need", "needs processors above zero and nothing negative")
	}
	if s.MaxAttempts < 0 || s.Seconds < 0 {
		return Refuse(CodeInvalid, "maxAttempts", "neither attempts nor seconds may be negative")
	}
	return nil
}

// CheckName refuses a name that is empty, longer than MaxNameLength, or contains
// characters other than ASCII letters, digits and . _ - /.
func CheckName(field, name string) *RefusalError {
	if name == "" {
		return Refuse(CodeInvalid, field, "missing")
	}
	if len(name) > MaxNameLength {
		return Refuse(CodeInvalid, field, "longer than %d bytes", MaxNameLength)
	}
	for _, c := range name {
		if !isNameRune(c) {
			return Refuse(CodeInvalid, field, "holds %q; letters, digits and . _ - / are allowed", c)
		}
	}
	return nil
}

func isNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-' || c == '/'
	}
}

// TaskPhase is the phase of a task's life cycle.
type TaskPhase string

// The phases of a task.
const (
	// TaskWaiting is the phase of a task that waits for a start and holds no resources.
	TaskWaiting TaskPhase = "waiting"
	// TaskStarted is the phase of a task whose start is committed. It holds
	// resources on a worker.
	TaskStarted TaskPhase = "started"
	// TaskStopping is the phase of a task that is being stopped. It holds
	// resources until the worker confirms the stop.
	TaskStopping  TaskPhase = "stopping"
	TaskFinished  TaskPhase = "finished"
	TaskFailed    TaskPhase = "failed"
	TaskCancelled TaskPhase = "cancelled"
)

// Task is the state of one task of a job. It is immutable.
type Task struct {
	Phase TaskPhase `json:"phase"`
	// Worker is the worker that runs the task in the phases started and
	// stopping; empty in others.
	Worker string `json:"worker,omitempty"`
	// Session is the worker session for which the start was committed.
	Session uint64 `json:"session,omitempty"`
	// Attempt is the number of the last attempt. It grows with every start and
	// never decreases.
	Attempt int `json:"attempt"`
	// Started is the time of the last committed start.
	Started time.Time `json:"started,omitzero"`
	// FailedOn lists the workers on which the task failed, most recent last.
	FailedOn []string `json:"failedOn,omitempty"`
	// Requeue reports whether the task returns to waiting after its stop, for
	// example because it was preempted.
	Requeue bool `json:"requeue,omitempty"`
}

// HoldsResources reports whether the task may be running on a worker.
func (t Task) HoldsResources() bool {
	return t.Phase == TaskStarted || t.Phase == TaskStopping
}

// IsDone reports whether the task will never run again.
func (t Task) IsDone() bool {
	return t.Phase == TaskFinished || t.Phase == TaskFailed || t.Phase == TaskCancelled
}

// WithStart returns a copy of t whose next attempt is started on the worker.
func (t Task) WithStart(worker string, session uint64, at time.Time) Task {
	t.Phase = TaskStarted
	t.Worker = worker
	t.Session = session
	t.Attempt++
	t.Started = at
	t.Requeue = false
	return t
}

// WithPhase returns a copy of t in a phase in which it holds no resources.
func (t Task) WithPhase(phase TaskPhase) Task {
	t.Phase = phase
	t.Worker = ""
	t.Session = 0
	t.Requeue = false
	return t
}

// WithStopping returns a copy of t that waits for its worker to confirm the stop.
func (t Task) WithStopping(requeue bool) Task {
	t.Phase = TaskStopping
	t.Requeue = requeue
	return t
}

// WithFailureOn returns a copy of t with the worker added to FailedOn.
func (t Task) WithFailureOn(worker string) Task {
	t.FailedOn = append(slices.Clone(t.FailedOn), worker)
	return t
}

// Job is a set of identical tasks and their state. It is immutable.
type Job struct {
	Spec JobSpec `json:"spec"`
	// Schema is the schema version in which the job was submitted.
	Schema int `json:"schema"`
	// Raw is the job as submitted, including fields unknown to this version.
	Raw       json.RawMessage `json:"raw,omitempty"`
	Submitted time.Time       `json:"submitted"`
	// Tasks has Spec.Count elements.
	Tasks     []Task `json:"tasks"`
	Cancelled bool   `json:"cancelled,omitempty"`
	// FailingWorkers lists distinct workers on which a task of the job failed.
	FailingWorkers []string `json:"failingWorkers,omitempty"`
	// Ended is the time at which the last task was done; zero before.
	Ended time.Time `json:"ended,omitzero"`
}

// Task returns the task at the index, and whether it exists.
func (j Job) Task(index int) (Task, bool) {
	if index < 0 || index >= len(j.Tasks) {
		return Task{}, false
	}
	return j.Tasks[index], true
}

// WithTask returns a copy of j with the task at the index replaced.
func (j Job) WithTask(index int, task Task) Job {
	j.Tasks = slices.Clone(j.Tasks)
	j.Tasks[index] = task
	return j
}

// WithCancelled returns a copy of j marked as cancelled.
func (j Job) WithCancelled() Job {
	j.Cancelled = true
	return j
}

// WithFailingWorker returns a copy of j with the worker added to FailingWorkers,
// unless it is listed already or the list is full.
func (j Job) WithFailingWorker(worker string) Job {
	if len(j.FailingWorkers) >= maxFailingWorkers || slices.Contains(j.FailingWorkers, worker) {
		return j
	}
	j.FailingWorkers = append(slices.Clone(j.FailingWorkers), worker)
	return j
}

// WithEnded returns a copy of j with the end time set.
func (j Job) WithEnded(at time.Time) Job {
	j.Ended = at
	return j
}

// Count returns the number of tasks in the phase.
func (j Job) Count(phase TaskPhase) int {
	count := 0
	for _, t := range j.Tasks {
		if t.Phase == phase {
			count++
		}
	}
	return count
}

// IsDone reports whether all tasks are done.
func (j Job) IsDone() bool {
	return !slices.ContainsFunc(j.Tasks, func(t Task) bool { return !t.IsDone() })
}

// Phase summarises the phases of the tasks for display.
func (j Job) Phase() string {
	switch {
	case j.IsDone() && j.Count(TaskFailed) > 0:
		return "failed"
	case j.IsDone() && j.Cancelled:
		return "cancelled"
	case j.IsDone():
		return "finished"
	case j.Cancelled:
		return "stopping"
	case j.Count(TaskStarted) > 0:
		return "running"
	default:
		return "waiting"
	}
}
