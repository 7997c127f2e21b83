package messenger

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// The methods of control for workflows, sessions and the queue table.
const (
	MethodSubmitWorkflow  = "submitWorkflow"
	MethodGetWorkflow     = "getWorkflow"
	MethodCancelWorkflow  = "cancelWorkflow"
	MethodGetQueue        = "getQueue"
	MethodAnnounceSession = "announceSession"
	MethodLeaveSession    = "leaveSession"
	MethodApplyQueueTable = "applyTable"
	MethodGetQueueTable   = "getTable"
	MethodGetDepartments  = "getDepartments"
)

// The methods for finding and joining the members. Every member handles
// MethodLocate; only the leader handles MethodJoin.
const (
	MethodLocate = "locate"
	MethodJoin   = "join"
)

// MethodRequestPermits is the method by which the leader has an entry request permits from the policy service.
const MethodRequestPermits = "advise"

// RequestTarget is the host, the path and the key of a caller's request. It determines
// the queue and the department.
type RequestTarget struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the key of the caller's department, or empty. It may not appear in logs.
	Key string `json:"key,omitempty"`
}

// SubmitWorkflowCall submits a workflow. Its id is the path after the queue's prefix.
type SubmitWorkflowCall struct {
	Target RequestTarget        `json:"place"`
	Spec   modeler.WorkflowSpec `json:"spec"`
}

// WorkflowCall names the workflow or queue to get, or the workflow to cancel.
type WorkflowCall struct {
	Target RequestTarget `json:"place"`
	// MinTable is the lowest version of the queue table by which the call may be answered.
	MinTable uint64 `json:"minTable,omitempty"`
}

// WorkflowReceipt answers the submission or the cancellation of a workflow.
type WorkflowReceipt struct {
	// Table is the version of the queue table by which the call was answered.
	Table uint64 `json:"table,omitempty"`
}

// WorkflowStatus describes a workflow to a caller.
type WorkflowStatus struct {
	ID    string                `json:"id"`
	Phase modeler.WorkflowPhase `json:"phase"`
	// Table is the version of the queue table by which the call was answered.
	Table uint64 `json:"table,omitempty"`
}

// QueueStatus describes a queue to a caller.
type QueueStatus struct {
	// Waiting is the number of workflows of which no step has started.
	Waiting int `json:"waiting"`
	// Table is the version of the queue table by which the call was answered.
	Table uint64 `json:"table,omitempty"`
}

// AnnounceSessionCall passes on the heartbeat of a worker.
type AnnounceSessionCall struct {
	Session modeler.Session `json:"session"`
}

// LeaveSessionCall reports that a worker shuts down. It may be handled late, in a later life of the
// worker.
type LeaveSessionCall struct {
	Worker string `json:"worker"`
}

// ApplyQueueTableCall puts a queue table in force.
type ApplyQueueTableCall struct {
	Table modeler.QueueTable `json:"table"`
}

// QueueTableAnswer is the queue table in force, with its original encoding.
type QueueTableAnswer struct {
	Version uint64             `json:"version"`
	Raw     modeler.SourceText `json:"raw"`
}

// LocateAnswer lists the members of control, and reports whether the answering member leads.
type LocateAnswer struct {
	Cell string `json:"cell"`
	// IsLeader reports whether the answering member is confirmed as leader.
	IsLeader bool `json:"leads,omitempty"`
	// Members may hold members without an ID: addresses at which the answering process
	// searches for members itself.
	Members []replicator.Member `json:"members"`
}

// WithAddresses returns a copy of a that also holds the addresses, unless they are those
// of members in it.
func (a LocateAnswer) WithAddresses(addresses []string) LocateAnswer {
	a.Members = slices.Clone(a.Members)
	for _, address := range addresses {
		if !slices.ContainsFunc(a.Members, func(m replicator.Member) bool { return m.Address == address }) {
			a.Members = append(a.Members, replicator.Member{Address: address})
		}
	}
	return a
}

// JoinCall requests to join the members. The joining member gets no vote before
// it has caught up with the log.
type JoinCall struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// PermitCall makes an entry request permits for a step from the policy service.
type PermitCall struct {
	Workflow   string   `json:"workflow"`
	Occurrence int      `json:"occurrence,omitempty"`
	Step       int      `json:"step,omitempty"`
	Workers    []string `json:"workers"`
}

// PermitAnswer holds the permits' tickets by worker id, and how long they are valid.
type PermitAnswer struct {
	Tickets        map[string]string `json:"tickets"`
	ValidityMillis int64             `json:"validityMillis"`
}
