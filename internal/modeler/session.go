package modeler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

const decimal = 10

// Session is one life of a worker that takes its orders by call. What runs on
// the worker ends with its session. It is immutable.
type Session struct {
	Worker string `json:"worker"`
	// Born is when the worker started, in Unix milliseconds by its own clock.
	Born       int64  `json:"born"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Service is the name of the pool whose queues the worker runs.
	Service  string    `json:"service"`
	Kind     string    `json:"kind,omitempty"`
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"capacity"`
	// Draining sessions get no new task, and never cease to drain.
	Draining bool `json:"draining,omitempty"`
	// Used is the sum of what Tasks take from the capacity.
	Used Resources `json:"used"`
	// Tasks are those that may still run on the worker, in order.
	Tasks []TaskName `json:"tasks,omitempty"`
}

// Key identifies the session among all lives of all workers.
func (s Session) Key() string { return SessionKey(s.Worker, s.Born) }

// SessionKey identifies one life of a worker.
func SessionKey(worker string, born int64) string {
	return worker + "@" + strconv.FormatInt(born, decimal)
}

// Free returns the capacity that no task holds.
func (s Session) Free() Resources { return s.Capacity.Minus(s.Used) }

// HasLabel reports whether the worker has the label; the empty one, every worker has.
func (s Session) HasLabel(label string) bool {
	return label == "" || slices.Contains(s.Labels, label)
}

// WithTask returns a copy of s that holds the task.
func (s Session) WithTask(name TaskName, need Resources) Session {
	position, found := slices.BinarySearchFunc(s.Tasks, name, TaskName.Compare)
	if found {
		return s
	}
	s.Tasks = slices.Insert(slices.Clone(s.Tasks), position, name)
	s.Used = s.Used.Plus(need)
	return s
}

// WithoutTask returns a copy of s that no longer holds the task.
func (s Session) WithoutTask(name TaskName, need Resources) Session {
	position, found := slices.BinarySearchFunc(s.Tasks, name, TaskName.Compare)
	if !found {
		return s
	}
	s.Tasks = slices.Delete(slices.Clone(s.Tasks), position, position+1)
	s.Used = s.Used.Minus(need)
	return s
}

// CountOf returns how many tasks of the step's occurrence the session holds.
func (s Session) CountOf(name TaskName) int {
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
