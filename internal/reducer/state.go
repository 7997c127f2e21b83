package reducer

import (
	"encoding/json"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Limits of the records that the state retains.
const (
	// MaxAuditRecords is the maximum number of audit records held in memory.
	MaxAuditRecords = 20000
	// RequestWindow is how long the record of a non-repeatable request is kept.
	// A request whose key is older than this is refused.
	RequestWindow = 15 * time.Minute
	// ChangeWindow is how long the result of a configuration change is kept.
	ChangeWindow = 24 * time.Hour
)

// Map is an immutable map that is sorted by its string key.
type Map[V any] = immutable.SortedMap[string, V]

func newMap[V any]() *Map[V] {
	return immutable.NewSortedMap[string, V](nil)
}

// ChangeRecord stores the result of a configuration change, which is returned
// if the change is sent again.
type ChangeRecord struct {
	ID     string    `json:"id"`
	At     time.Time `json:"at"`
	Digest string    `json:"digest"`
	Result Result    `json:"result"`
}

// State is the replicated state of the cell. It is immutable.
type State struct {
	// Revision is the log index of the last command applied.
	Revision uint64
	// Now is the latest time of any applied command; it never goes back.
	Now                  time.Time
	Workers              *Map[modeler.Worker]
	Entries              *Map[modeler.Entry]
	Jobs                 *Map[modeler.Job]
	Documents            *Map[modeler.Document]
	ConfigurationChanges *Map[ChangeRecord]
	Requests             *Map[modeler.RequestRecord]
	Audit                *immutable.List[modeler.AuditRecord]
	Workflows            *Map[modeler.Workflow]
	// Sessions holds the sessions of workers that control calls to start and
	// stop tasks, by session key.
	Sessions *Map[modeler.Session]
	// QueueTable is the current queue table.
	QueueTable modeler.QueueTable
	// Queues holds the queues of the current and all earlier tables, by name.
	Queues *Map[modeler.Queue]
	// Departments holds the departments of the current and all earlier tables, by name.
	// They have no keys: only those of the current table are valid.
	Departments *Map[modeler.Department]
	// Rates holds the token buckets of the departments' submissions, by department.
	Rates *Map[modeler.RateBucket]

	// ActiveWorkflows holds the IDs of workflows that have not ended or whose
	// tasks still hold resources; derived from Workflows.
	ActiveWorkflows *Map[struct{}]
	// WorkBytes is about how many bytes of memory the workflows and the jobs take; derived
	// from Workflows and Jobs.
	WorkBytes int64
	// WaitingJobs holds the IDs of jobs that have a waiting task; derived from Jobs.
	WaitingJobs *Map[struct{}]
	// Usage holds the resources that the tasks of each department use; derived
	// from Jobs.
	Usage *Map[modeler.Resources]
	// DepartmentUsage holds the resources that the tasks of each department's workflows
	// hold, with the processors of fill tasks; derived from Workflows.
	DepartmentUsage *Map[modeler.Resources]
	// Pools, Policies and Grants are decoded from Documents, by document name.
	Pools    *Map[modeler.PoolSpec]
	Policies *Map[modeler.PolicySpec]
	Grants   *Map[modeler.GrantSpec]
}

// NewState returns the state before the first command.
func NewState() State {
	return State{
		Workers:              newMap[modeler.Worker](),
		Entries:              newMap[modeler.Entry](),
		Jobs:                 newMap[modeler.Job](),
		Documents:            newMap[modeler.Document](),
		ConfigurationChanges: newMap[ChangeRecord](),
		Requests:             newMap[modeler.RequestRecord](),
		Audit:                immutable.NewList[modeler.AuditRecord](),
		Workflows:            newMap[modeler.Workflow](),
		Sessions:             newMap[modeler.Session](),
		Queues:               newMap[modeler.Queue](),
		Departments:          newMap[modeler.Department](),
		Rates:                newMap[modeler.RateBucket](),

		ActiveWorkflows: newMap[struct{}](),

		WaitingJobs: newMap[struct{}](),
		Usage:       newMap[modeler.Resources](),

		DepartmentUsage: newMap[modeler.Resources](),

		Pools:    newMap[modeler.PoolSpec](),
		Policies: newMap[modeler.PolicySpec](),
		Grants:   newMap[modeler.GrantSpec](),
	}
}

// GrantInForce returns the department's grant at the given time, which is the
// one with the latest start, and whether there is one. A grant does not expire;
// it applies until its successor starts. If two grants start at the same time,
// the one of the later year applies.
func (s State) GrantInForce(department string, at time.Time) (modeler.GrantSpec, bool) {
	var best modeler.GrantSpec
	found := false
	for _, g := range Values(s.Grants) {
		if g.Department != department || g.From.After(at) {
			continue
		}
		if !found || g.From.After(best.From) || (g.From.Equal(best.From) && g.Year > best.Year) {
			best = g
			found = true
		}
	}
	return best, found
}

// Pool returns the pool with the name, and whether there is one.
func (s State) Pool(name string) (modeler.PoolSpec, bool) {
	return s.Pools.Get(name)
}

// Values returns the values of a map, sorted by key.
func Values[V any](m *Map[V]) []V {
	values := make([]V, 0, m.Len())
	for it := m.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		values = append(values, v)
	}
	return values
}

// snapshot is the encoded form of a state. It omits derived fields.
type snapshot struct {
	Revision  uint64                  `json:"revision"`
	Now       time.Time               `json:"now"`
	Workers   []modeler.Worker        `json:"workers"`
	Entries   []modeler.Entry         `json:"entries"`
	Jobs      []modeler.Job           `json:"jobs"`
	Documents []modeler.Document      `json:"documents"`
	Changes   []ChangeRecord          `json:"changes"`
	Requests  []modeler.RequestRecord `json:"requests"`
	Audit     []modeler.AuditRecord   `json:"audit"`
	Workflows []modeler.Workflow      `json:"workflows,omitempty"`
	Sessions  []modeler.Session       `json:"sessions,omitempty"`
	Queues    []modeler.Queue         `json:"queues,omitempty"`
	Table     modeler.QueueTable      `json:"table,omitzero"`

	Departments []modeler.Department `json:"departments,omitempty"`
	Rates       []modeler.RateBucket `json:"rates,omitempty"`
}

// Encode returns the state in the form in which a snapshot stores it.
func (s State) Encode() ([]byte, error) {
	stored := snapshot{
		Revision:  s.Revision,
		Now:       s.Now,
		Workers:   Values(s.Workers),
		Entries:   Values(s.Entries),
		Jobs:      Values(s.Jobs),
		Documents: Values(s.Documents),
		Changes:   Values(s.ConfigurationChanges),
		Requests:  Values(s.Requests),
		Workflows: Values(s.Workflows),
		Sessions:  Values(s.Sessions),
		Queues:    Values(s.Queues),
		Table:     s.QueueTable,

		Departments: Values(s.Departments),
		Rates:       Values(s.Rates),
	}
	for it := s.Audit.Iterator(); !it.Done(); {
		_, record := it.Next()
		stored.Audit = append(stored.Audit, record)
	}
	return json.Marshal(stored)
}

// DecodeState decodes a state that Encode encoded, and restores its derived fields.
func DecodeState(data []byte) (State, error) {
	var stored snapshot
	if err := json.Unmarshal(data, &stored); err != nil {
		return State{}, err
	}
	t := transition{State: NewState(), at: stored.Now}
	t.Revision = stored.Revision
	t.Now = stored.Now
	for _, w := range stored.Workers {
		t.Workers = t.Workers.Set(w.ID, w)
	}
	for _, e := range stored.Entries {
		t.Entries = t.Entries.Set(e.ID, e)
	}
	for _, j := range stored.Jobs {
		t.setJob(j)
		t.countUsage(j)
	}
	for _, c := range stored.Changes {
		t.ConfigurationChanges = t.ConfigurationChanges.Set(c.ID, c)
	}
	for _, r := range stored.Requests {
		t.Requests = t.Requests.Set(requestID(r.Department, r.Key), r)
	}
	for _, d := range stored.Documents {
		if refusal := t.setDocument(d); refusal != nil {
			return State{}, refusal
		}
	}
	t.Audit = immutable.NewList(stored.Audit...)
	t.restoreWorkflows(stored)
	return t.State, nil
}

// restoreWorkflows restores workflows, and what they refer to.
func (t *transition) restoreWorkflows(stored snapshot) {
	for _, w := range stored.Workflows {
		w = w.Compact()
		t.setWorkflow(w)
		t.countDepartmentUsage(w)
	}
	for _, session := range stored.Sessions {
		t.setSession(session)
	}
	for _, q := range stored.Queues {
		t.Queues = t.Queues.Set(q.Name, q)
	}
	for _, d := range stored.Departments {
		t.Departments = t.Departments.Set(d.Name, d)
	}
	for _, b := range stored.Rates {
		t.Rates = t.Rates.Set(b.Department, b)
	}
	t.QueueTable = stored.Table.WithKeyIndex()
}

// countUsage adds the resources that the job's tasks hold to its department's usage.
func (t *transition) countUsage(j modeler.Job) {
	for _, task := range j.Tasks {
		if task.HoldsResources() {
			t.addUsage(j.Spec.Department, j.Spec.Need)
		}
	}
}

func (t *transition) addUsage(department string, amount modeler.Resources) {
	usage, _ := t.Usage.Get(department)
	usage = usage.Plus(amount)
	if usage == (modeler.Resources{}) {
		t.Usage = t.Usage.Delete(department)
		return
	}
	t.Usage = t.Usage.Set(department, usage)
}

// setDocument stores the document and its decoded form.
func (t *transition) setDocument(d modeler.Document) *modeler.RefusalError {
	var refusal *modeler.RefusalError
	switch d.Kind {
	case modeler.DocumentPool:
		var spec modeler.PoolSpec
		if spec, refusal = converter.DecodePool(d); refusal == nil {
			t.Pools = t.Pools.Set(d.Name, spec)
		}
	case modeler.DocumentPolicy:
		var spec modeler.PolicySpec
		if spec, refusal = converter.DecodePolicy(d); refusal == nil {
			t.Policies = t.Policies.Set(d.Name, spec)
		}
	case modeler.DocumentGrant:
		var spec modeler.GrantSpec
		if spec, refusal = converter.DecodeGrant(d); refusal == nil {
			t.Grants = t.Grants.Set(d.Name, spec)
		}
	default:
		refusal = modeler.Refuse(modeler.CodeInvalid, "kind", "%q is none of pool, policy, grant", d.Kind)
	}
	if refusal != nil {
		return refusal
	}
	t.Documents = t.Documents.Set(d.Key(), d)
	t.markChanged(RecordDocument, d.Key())
	return nil
}
