package modeler

import (
	"slices"
	"time"
)

// Worker is a machine that has registered with control. It runs tasks, and its
// backend server answers requests to one service. It is immutable.
type Worker struct {
	ID         string `json:"id"`
	Schema     int    `json:"schema"`
	Service    string `json:"service,omitempty"`
	Address    string `json:"address"`
	Rack       string `json:"rack,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Pool is the pool whose tasks the worker may run; empty if none.
	Pool string `json:"pool,omitempty"`
	// Capacity is the total of the worker's resources; never negative.
	Capacity Resources `json:"capacity"`
	// Reserve is the part of Capacity that is reserved for the service's slots
	// and not available to tasks.
	Reserve Resources `json:"reserve"`
	// Used is the sum of the resources held by Tasks. It never exceeds Capacity
	// minus Reserve.
	Used Resources `json:"used"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections from the whole system to
	// the backend server.
	Connections int `json:"connections"`
	// Incarnation is an identifier that the backend server chooses at each start.
	Incarnation string `json:"incarnation"`
	// Session is the fencing epoch of the worker. It grows with each announcement
	// that begins a new session.
	Session uint64 `json:"session"`
	// Tasks lists the tasks that may be running on the worker, sorted by reference.
	Tasks []TaskReference `json:"tasks,omitempty"`
	// Owner is the entry that sends requests to the backend server; empty if none.
	Owner string `json:"owner,omitempty"`
	// OwnerEpoch grows with each change of Owner.
	OwnerEpoch uint64 `json:"ownerEpoch"`
	// PreviousOwner is the entry that may still send requests until it has
	// acknowledged ReleaseRevision or has been removed.
	PreviousOwner   string `json:"previousOwner,omitempty"`
	ReleaseRevision uint64 `json:"releaseRevision,omitempty"`
	// Draining reports whether the worker gets no new tasks and requests.
	Draining bool `json:"draining,omitempty"`
	// Lost reports whether the worker's lease has ended, so that its tasks are
	// certain to have ended.
	Lost bool `json:"lost,omitempty"`
	// Probation reports whether the worker runs only one task at a time until
	// one finishes.
	Probation bool `json:"probation,omitempty"`
	// Failures is the number of consecutive failed tasks.
	Failures int `json:"failures,omitempty"`
	// RetryAt is the time before which a worker on probation gets no task.
	RetryAt time.Time `json:"retryAt,omitzero"`
	// Leaving reports whether the worker asked to be drained itself. It returns
	// to service by announcing itself again.
	Leaving bool `json:"leaving,omitempty"`
}

// Free returns the resources that are available to further tasks.
func (w Worker) Free() Resources {
	return w.Capacity.Minus(w.Reserve).Minus(w.Used)
}

// IsSchedulable reports whether the worker may get new tasks at the given time.
func (w Worker) IsSchedulable(at time.Time) bool {
	if w.Lost || w.Draining || w.Pool == "" {
		return false
	}
	return !w.Probation || (len(w.Tasks) == 0 && !w.RetryAt.After(at))
}

// IsServing reports whether the backend server may get new requests.
func (w Worker) IsServing() bool {
	return !w.Lost && !w.Draining && w.Service != "" && w.Slots > 0
}

// WithTask returns a copy of w with the task added and its need counted as used.
func (w Worker) WithTask(task TaskReference, need Resources) Worker {
	position, found := slices.BinarySearchFunc(w.Tasks, task, TaskReference.Compare)
	if found {
		return w
	}
	w.Tasks = slices.Insert(slices.Clone(w.Tasks), position, task)
	w.Used = w.Used.Plus(need)
	return w
}

// WithoutTask returns a copy of w with the task removed and its need released.
func (w Worker) WithoutTask(task TaskReference, need Resources) Worker {
	position, found := slices.BinarySearchFunc(w.Tasks, task, TaskReference.Compare)
	if !found {
		return w
	}
	w.Tasks = slices.Delete(slices.Clone(w.Tasks), position, position+1)
	w.Used = w.Used.Minus(need)
	return w
}

// WithOwner returns a copy of w that is owned by the entry under the next epoch,
// and without a previous owner. An empty entry means no owner.
func (w Worker) WithOwner(entry string) Worker {
	w.Owner = entry
	w.OwnerEpoch++
	w.PreviousOwner = ""
	w.ReleaseRevision = 0
	return w
}

// WithReleasedOwner returns a copy of w without an owner. The previous owner has
// to acknowledge the revision before another entry may become the owner.
func (w Worker) WithReleasedOwner(revision uint64) Worker {
	w.PreviousOwner = w.Owner
	w.ReleaseRevision = revision
	w.Owner = ""
	w.OwnerEpoch++
	return w
}

// WithDraining returns a copy of w with Draining set to the value.
func (w Worker) WithDraining(draining bool) Worker {
	w.Draining = draining
	return w
}

// WithLost returns a copy of w marked as lost.
func (w Worker) WithLost() Worker {
	w.Lost = true
	return w
}

// WithLeaving returns a copy of w marked as leaving.
func (w Worker) WithLeaving() Worker {
	w.Leaving = true
	return w
}

// WithSuccess returns a copy of w with its failures reset, and not on probation.
func (w Worker) WithSuccess() Worker {
	w.Failures = 0
	w.Probation = false
	w.RetryAt = time.Time{}
	return w
}

// WithFailure returns a copy of w with one more failure counted. A backoff above
// zero puts the worker on probation; it gets no task until the backoff has passed.
func (w Worker) WithFailure(backoff time.Duration, at time.Time) Worker {
	w.Failures++
	if backoff > 0 {
		w.Probation = true
		w.RetryAt = at.Add(backoff)
	}
	return w
}

// Entry is an instance of the process that receives callers' requests. It is immutable.
type Entry struct {
	// ID is generated at each start of the process, because entries have no
	// persistent storage.
	ID string `json:"id"`
	// Address is the host and port at which other entries reach this entry.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Leaving reports whether the entry is shutting down. It gets no backend
	// servers and is removed once it stops.
	Leaving bool `json:"leaving,omitempty"`
}
