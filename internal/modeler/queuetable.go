package modeler

import (
	"slices"
	"strings"
	"time"
)

// Queue is the configuration of one queue of workflows: which requests belong to
// it, and where and how its workflows run. It is immutable.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix match the requests that belong to the queue.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Service is the name of the pool whose workers run the queue's tasks.
	Service string `json:"service"`
	// Priority is the priority of the queue; zero is the highest.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// DeadlineFactor and DeadlineSlack define the target duration of a workflow:
	// DeadlineFactor times the work on its critical path, plus DeadlineSlack.
	DeadlineFactor float64       `json:"stretch,omitempty"`
	DeadlineSlack  time.Duration `json:"slack,omitempty"`
	// Timeout is the maximum time for answering one request.
	Timeout time.Duration `json:"timeout"`
	// Permit configures the policy service that restricts which workers may run
	// a step; nil if there is no restriction.
	Permit *PermitPolicy `json:"permit,omitempty"`
	// Public reports whether calls to the queue need no key of a department.
	Public bool `json:"public,omitempty"`
}

// PermitPolicy describes the policy service that decides which workers may run a step.
type PermitPolicy struct {
	// BaseDelay and DelayPerWorker are the fixed part of the service's response
	// time and the part that it takes for each worker in the request.
	BaseDelay      time.Duration `json:"baseDelay"`
	DelayPerWorker time.Duration `json:"delayPerWorker"`
	// Validity is the time for which a ticket is valid.
	Validity time.Duration `json:"validity"`
}

// Pool is a set of workers that run the tasks of one or more queues.
type Pool struct {
	Name string `json:"name"`
	// EnforcesCapacity reports whether the workers themselves refuse tasks that
	// exceed their capacity.
	EnforcesCapacity bool `json:"guardsCapacity,omitempty"`
	// Spare reports whether the pool consists of machines that are switched off.
	Spare bool `json:"spare,omitempty"`
}

// QueueTable is the configuration of all queues and pools, which an external
// operator applies as a whole. The highest version applies. It is immutable.
type QueueTable struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	// Departments own the workflows of queues that are not public. Without any, no call
	// needs a key.
	Departments []Department `json:"departments,omitempty"`
	// Raw is the table as it was submitted.
	Raw SourceText `json:"raw,omitempty"`
	// departmentsByKey indexes Departments by key; nil if the table has no index.
	departmentsByKey map[string]Department
}

// Queue returns the queue with the name, and whether it exists.
func (t QueueTable) Queue(name string) (Queue, bool) {
	for _, q := range t.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Route returns the queue with the host and the longest matching prefix of the
// path, and whether there is one.
func (t QueueTable) Route(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, q := range t.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// Department returns the department with the name, and whether it exists.
func (t QueueTable) Department(name string) (Department, bool) {
	for _, d := range t.Departments {
		if d.Name == name {
			return d, true
		}
	}
	return Department{}, false
}

// WithKeyIndex returns a copy of t whose DepartmentOfKey takes the same time for any
// number of keys. A table without departments has no index, so that the zero table stays
// zero.
func (t QueueTable) WithKeyIndex() QueueTable {
	if len(t.Departments) == 0 {
		return t
	}
	t.departmentsByKey = make(map[string]Department, len(t.Departments))
	for _, d := range t.Departments {
		for _, key := range d.Keys {
			t.departmentsByKey[key] = d
		}
	}
	return t
}

// DepartmentOfKey returns the department with the key, and whether there is one. No
// department has the empty key.
func (t QueueTable) DepartmentOfKey(key string) (Department, bool) {
	if key == "" {
		return Department{}, false
	}
	if t.departmentsByKey != nil {
		d, ok := t.departmentsByKey[key]
		return d, ok
	}
	for _, d := range t.Departments {
		if slices.Contains(d.Keys, key) {
			return d, true
		}
	}
	return Department{}, false
}

// Validate returns a refusal that names the first invalid field, or nil.
func (t QueueTable) Validate() *RefusalError {
	if t.Version == 0 {
		return Refuse(CodeInvalid, "version", "missing")
	}
	if refusal := t.validateDepartments(); refusal != nil {
		return refusal
	}
	pools := map[string]bool{}
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			return Refuse(CodeInvalid, "pools", "the name %q is missing or there twice", p.Name)
		}
		pools[p.Name] = true
	}
	names, routes := map[string]bool{}, map[string]bool{}
	for _, q := range t.Queues {
		if refusal := q.validate(pools); refusal != nil {
			return refusal
		}
		if names[q.Name] {
			return Refuse(CodeInvalid, "queues."+q.Name, "the name is there twice")
		}
		if route := q.Host + q.Prefix; routes[route] {
			return Refuse(CodeInvalid, "queues."+q.Name, "%s belongs to another queue too", route)
		}
		names[q.Name] = true
		routes[q.Host+q.Prefix] = true
	}
	return nil
}

// validateDepartments names departments only, because keys may not appear in errors.
func (t QueueTable) validateDepartments() *RefusalError {
	names, owners := map[string]bool{}, map[string]string{}
	for _, d := range t.Departments {
		if d.Name == "" || names[d.Name] {
			return Refuse(CodeInvalid, "departments", "the name %q is missing or there twice", d.Name)
		}
		names[d.Name] = true
		if refusal := d.validate(); refusal != nil {
			return refusal
		}
		for _, key := range d.Keys {
			owner, ok := owners[key]
			if ok && owner != d.Name {
				return Refuse(CodeInvalid, "departments", "%q and %q have a key in common", owner, d.Name)
			}
			if ok {
				return Refuse(CodeInvalid, "departments."+d.Name+".keys", "a key is there twice")
			}
			owners[key] = d.Name
		}
	}
	return nil
}

func (q Queue) validate(pools map[string]bool) *RefusalError {
	switch {
	case q.Name == "":
		return Refuse(CodeInvalid, "queues", "a name is missing")
	case !pools[q.Service]:
		return Refuse(CodeInvalid, "queues."+q.Name+".service", "%q is not configured", q.Service)
	case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
		return Refuse(CodeInvalid, "queues."+q.Name, "needs a host and a prefix that begins with /")
	case q.Timeout <= 0:
		return Refuse(CodeInvalid, "queues."+q.Name+".timeout", "is not above zero")
	default:
		return q.validateNumbers()
	}
}

func (q Queue) validateNumbers() *RefusalError {
	if q.MaxAttempts < 0 {
		return Refuse(CodeInvalid, "queues."+q.Name+".maxAttempts", "is negative")
	}
	if q.DeadlineFactor < 0 || q.DeadlineFactor > maxDeadlineFactor {
		return Refuse(CodeInvalid, "queues."+q.Name+".stretch", "%g is not within 0 and %d", q.DeadlineFactor, maxDeadlineFactor)
	}
	durations := []time.Duration{q.Timeout, q.DeadlineSlack}
	if p := q.Permit; p != nil {
		durations = append(durations, p.BaseDelay, p.DelayPerWorker, p.Validity)
	}
	for _, d := range durations {
		if d < 0 || d > maxDuration {
			return Refuse(CodeInvalid, "queues."+q.Name, "the duration %s is not within 0 and %s", d, maxDuration)
		}
	}
	return nil
}

// maxDeadlineFactor bounds how many times its longest path a workflow may take. The
// factors in use are below ten.
const maxDeadlineFactor = 1000
