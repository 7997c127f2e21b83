package modeler

import (
	"encoding/json"
	"strings"
	"time"
)

// Queue takes workflows of one kind and says where and how they run. It is immutable.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix say which requests belong to the queue.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Service names the pool of workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority zero comes first.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch times the work of the longest chain, plus Slack, is the time in
	// which a workflow is to finish.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Timeout bounds the answer to one request.
	Timeout time.Duration `json:"timeout"`
	// Permit is nil where any worker of the service may run any step.
	Permit *PermitPolicy `json:"permit,omitempty"`
}

// PermitPolicy describes the service that says which workers may run a step.
type PermitPolicy struct {
	// BaseDelay and DelayPerWorker make up the time of one answer.
	BaseDelay      time.Duration `json:"baseDelay"`
	DelayPerWorker time.Duration `json:"delayPerWorker"`
	// Validity is how long a ticket may be used.
	Validity time.Duration `json:"validity"`
}

// Pool is a set of workers that run the tasks of queues.
type Pool struct {
	Name string `json:"name"`
	// GuardsCapacity says that its workers refuse what does not fit.
	GuardsCapacity bool `json:"guardsCapacity,omitempty"`
	// Spare pools hold machines that are off.
	Spare bool `json:"spare,omitempty"`
}

// QueueTable is a configuration that an outside operator applies as a whole.
// The highest version is in force. It is immutable.
type QueueTable struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	// Raw is the configuration as it was sent.
	Raw json.RawMessage `json:"raw,omitempty"`
}

// Queue returns the queue of the name, and whether there is one.
func (t QueueTable) Queue(name string) (Queue, bool) {
	for _, q := range t.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Route returns the queue with the host and the longest prefix of the path.
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

// Validate returns a refusal that names the first field at fault, or nil.
func (t QueueTable) Validate() *RefusalError {
	if t.Version == 0 {
		return Refuse(CodeInvalid, "version", "missing")
	}
	pools := map[string]bool{}
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			return Refuse(CodeInvalid, "pools", "the name %q is missing or there twice", p.Name)
		}
		pools[p.Name] = true
	}
	names, places := map[string]bool{}, map[string]bool{}
	for _, q := range t.Queues {
		if refusal := q.validate(pools); refusal != nil {
			return refusal
		}
		if names[q.Name] {
			return Refuse(CodeInvalid, "queues."+q.Name, "the name is there twice")
		}
		if place := q.Host + q.Prefix; places[place] {
			return Refuse(CodeInvalid, "queues."+q.Name, "%s belongs to another queue too", place)
		}
		names[q.Name] = true
		places[q.Host+q.Prefix] = true
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
		return nil
	}
}
