package messenger

import (
	"encoding/json"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// The methods of control about workflows, sessions and the table of queues.
const (
	MethodSubmitWorkflow  = "submitWorkflow"
	MethodGetWorkflow     = "getWorkflow"
	MethodCancelWorkflow  = "cancelWorkflow"
	MethodGetQueue        = "getQueue"
	MethodAnnounceSession = "announceSession"
	MethodLeaveSession    = "leaveSession"
	MethodApplyTable      = "applyTable"
	MethodGetTable        = "getTable"
)

// MethodLocate and MethodJoin are answered by members that do not lead, too.
const (
	MethodLocate = "locate"
	MethodJoin   = "join"
)

// MethodAdvise is a method that an entry answers to the leader.
const MethodAdvise = "advise"

// Place is where a caller's request came in; it decides the queue.
type Place struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitWorkflowCall submits a workflow whose id is the path after the queue's prefix.
type SubmitWorkflowCall struct {
	Place Place                `json:"place"`
	Spec  modeler.WorkflowSpec `json:"spec"`
}

// WorkflowCall asks for one workflow, or cancels it.
type WorkflowCall struct {
	Place Place `json:"place"`
}

// WorkflowStatus is what a caller sees of a workflow.
type WorkflowStatus struct {
	ID    string                `json:"id"`
	Phase modeler.WorkflowPhase `json:"phase"`
}

// QueueStatus is what a caller sees of a queue.
type QueueStatus struct {
	// Waiting counts the workflows of which nothing has started.
	Waiting int `json:"waiting"`
}

// AnnounceSessionCall is a worker's heartbeat.
type AnnounceSessionCall struct {
	Session modeler.Session `json:"session"`
}

// LeaveSessionCall says that a worker has ended.
type LeaveSessionCall struct {
	Worker string `json:"worker"`
}

// ApplyTableCall puts a table of queues in force.
type ApplyTableCall struct {
	Table modeler.QueueTable `json:"table"`
}

// TableAnswer is the table in force as it was sent.
type TableAnswer struct {
	Version uint64          `json:"version"`
	Raw     json.RawMessage `json:"raw"`
}

// LocateAnswer says where control is.
type LocateAnswer struct {
	Cell string `json:"cell"`
	// Leads says that the member that answers surely leads.
	Leads   bool                `json:"leads,omitempty"`
	Members []replicator.Member `json:"members"`
}

// JoinCall asks to become a member. The newcomer gets no vote before it has
// caught up.
type JoinCall struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// AdviseCall lets an entry ask the policy service about a step.
type AdviseCall struct {
	Workflow   string   `json:"workflow"`
	Occurrence int      `json:"occurrence,omitempty"`
	Step       int      `json:"step,omitempty"`
	Workers    []string `json:"workers"`
}

// AdviseAnswer holds the tickets by worker id.
type AdviseAnswer struct {
	Tickets        map[string]string `json:"tickets"`
	ValidityMillis int64             `json:"validityMillis"`
}
