package modeler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

const decimalBase = 10

// Session is one run of a worker process that control calls to start and stop
// tasks. A worker that restarts begins a new session, and all tasks on the worker
// end with the session. It is immutable.
type Session struct {
	Worker string `json:"worker"`
	// StartedAtMillis is the start time of the worker process, in Unix
	// milliseconds on its own clock.
	StartedAtMillis int64  `json:"born"`
	Address         string `json:"address"`
	DataCentre      string `json:"dataCentre,omitempty"`
	// Service is the name of the pool to which the worker belongs.
	Service  string    `json:"service"`
	Kind     string    `json:"kind,omitempty"`
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"capacity"`
	// Draining reports whether the session gets no new tasks. It is never unset.
	Draining bool `json:"draining,omitempty"`
	// Used is the part of Capacity that is held by Tasks.
	Used Resources `json:"used"`
	// Tasks lists the tasks that may still run on the worker, sorted by name.
	Tasks []TaskName `json:"tasks,omitempty"`
}

// Key returns the unique key of the session.
func (s Session) Key() string { return SessionKey(s.Worker, s.StartedAtMillis) }

// SessionKey returns the key of the worker's session with the start time, which
// is in Unix milliseconds.
func SessionKey(worker string, startedAtMillis int64) string {
	return worker + "@" + strconv.FormatInt(startedAtMillis, decimalBase)
}

// Free returns the capacity that is not held by tasks.
func (s Session) Free() Resources { return s.Capacity.Minus(s.Used) }

// HasLabel reports whether the worker has the label. It is true for an empty label.
func (s Session) HasLabel(label string) bool {
	return label == "" || slices.Contains(s.Labels, label)
}

// WithTask returns a copy of s with the task added and its need counted as used.
func (s Session) WithTask(name TaskName, need Resources) Session {
	position, found := slices.BinarySearchFunc(s.Tasks, name, TaskName.Compare)
	if found {
		return s
	}
	s.Tasks = slices.Insert(slices.Clone(s.Tasks), position, name)
	s.Used = s.Used.Plus(need)
	return s
}

// WithoutTask returns a copy of s with the task removed and its need released.
func (s Session) WithoutTask(name TaskName, need Resources) Session {
	position, found := slices.BinarySearchFunc(s.Tasks, name, TaskName.Compare)
	if !found {
		return s
	}
	s.Tasks = slices.Delete(slices.Clone(s.Tasks), position, position+1)
	s.Used = s.Used.Minus(need)
	return s
}

// CountStepTasks returns the number of tasks in the session that belong to the
// same step and occurrence as the named task.
func (s Session) CountStepTasks(name TaskName) int {
	count := 0
	for _, t := range s.Tasks {
		if t.Workflow == name.Workflow && t.Occurrence == name.Occurrence && t.Step == name.Step {
			count++
		}
	}
	return count
}

// Compare orders names by workflow, occurrence, step and index.
func (n TaskName) Compare(other TaskName) int {
	return cmp.Or(
		strings.Compare(n.Workflow, other.Workflow),
		cmp.Compare(n.Occurrence, other.Occurrence),
		cmp.Compare(n.Step, other.Step),
		cmp.Compare(n.Index, other.Index),
	)
}
