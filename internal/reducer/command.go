package reducer

import (
	"encoding/json"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Kind is the kind of a command.
type Kind string

// The kinds of commands.
const (
	KindNoop            Kind = "noop"
	KindRegisterEntry   Kind = "registerEntry"
	KindExpireEntries   Kind = "expireEntries"
	KindAnnounceWorker  Kind = "announceWorker"
	KindLeaveWorker     Kind = "leaveWorker"
	KindLoseWorkers     Kind = "loseWorkers"
	KindForgetWorkers   Kind = "forgetWorkers"
	KindDrainWorker     Kind = "drainWorker"
	KindAssignOwners    Kind = "assignOwners"
	KindReleaseOwners   Kind = "releaseOwners"
	KindSubmitJob       Kind = "submitJob"
	KindCancelJobs      Kind = "cancelJobs"
	KindStartTasks      Kind = "startTasks"
	KindReportTasks     Kind = "reportTasks"
	KindPreemptTasks    Kind = "preemptTasks"
	KindApplyDocuments  Kind = "applyDocuments"
	KindRecordRequests  Kind = "recordRequests"
	KindSettleRequests  Kind = "settleRequests"
	KindRetain          Kind = "retain"
	KindAuditMember     Kind = "auditMember"
	KindSubmitWorkflow  Kind = "submitWorkflow"
	KindCancelWorkflow  Kind = "cancelWorkflow"
	KindStartAttempts   Kind = "startAttempts"
	KindEndAttempts     Kind = "endAttempts"
	KindAnnounceSession Kind = "announceSession"
	KindEndSessions     Kind = "endSessions"
	KindApplyTable      Kind = "applyTable"
)

// Command is one record of the replicated log. Only the field that belongs to
// its kind is set.
type Command struct {
	Kind Kind `json:"kind"`
	// At is the leader's clock when it proposed the command.
	At time.Time `json:"at"`
	// Actor is who asked for the change; empty for the system itself.
	Actor string `json:"actor,omitempty"`
	// ChangeID makes a change idempotent.
	ChangeID string `json:"changeId,omitempty"`

	Entry     *modeler.Entry          `json:"entry,omitempty"`
	Worker    *modeler.Worker         `json:"worker,omitempty"`
	Names     []string                `json:"names,omitempty"`
	Sessions  []WorkerSession         `json:"sessions,omitempty"`
	Draining  bool                    `json:"draining,omitempty"`
	Owners    []Ownership             `json:"owners,omitempty"`
	Job       *Submission             `json:"job,omitempty"`
	Starts    []Start                 `json:"starts,omitempty"`
	Reports   []TaskReport            `json:"reports,omitempty"`
	Tasks     []modeler.TaskReference `json:"tasks,omitempty"`
	Documents []modeler.Document      `json:"documents,omitempty"`
	Requests  []modeler.RequestRecord `json:"requests,omitempty"`
	Before    time.Time               `json:"before,omitzero"`
	Member    *MemberChange           `json:"member,omitempty"`
	// Workflow names only the workflow and its queue where it is cancelled.
	Workflow *modeler.WorkflowSpec `json:"workflow,omitempty"`
	// Attempts have no number yet where they are started.
	Attempts []modeler.Attempt   `json:"attempts,omitempty"`
	Ends     []AttemptEnd        `json:"ends,omitempty"`
	Session  *modeler.Session    `json:"session,omitempty"`
	Table    *modeler.QueueTable `json:"table,omitempty"`
}

// WorkerSession names one session of one worker.
type WorkerSession struct {
	Worker  string `json:"worker"`
	Session uint64 `json:"session"`
}

// Ownership gives a worker's backend server to an entry.
type Ownership struct {
	Worker string `json:"worker"`
	Entry  string `json:"entry"`
}

// Submission is a job as a caller sent it.
type Submission struct {
	Schema int             `json:"schema"`
	Raw    json.RawMessage `json:"raw"`
}

// Start places one task on one session of a worker.
type Start struct {
	Task    modeler.TaskReference `json:"task"`
	Worker  string                `json:"worker"`
	Session uint64                `json:"session"`
}

// TaskReport is what a worker says became of one attempt.
type TaskReport struct {
	Task    modeler.TaskReference `json:"task"`
	Worker  string                `json:"worker"`
	Session uint64                `json:"session"`
	Attempt int                   `json:"attempt"`
	Result  TaskResult            `json:"result"`
}

// TaskResult is how an attempt ended.
type TaskResult string

// The results of an attempt.
const (
	TaskResultFinished TaskResult = "finished"
	TaskResultFailed   TaskResult = "failed"
	TaskResultStopped  TaskResult = "stopped"
)

// MemberChange is the audited part of a change of control's members.
type MemberChange struct {
	Action string `json:"action"`
	ID     string `json:"id"`
}

// check refuses a command without the record that its kind is about.
func (c Command) check() *modeler.RefusalError {
	missing := ""
	switch c.Kind {
	case KindRegisterEntry:
		missing = missingIf(c.Entry == nil, "entry")
	case KindAnnounceWorker:
		missing = missingIf(c.Worker == nil, "worker")
	case KindSubmitJob:
		missing = missingIf(c.Job == nil, "job")
	case KindAuditMember:
		missing = missingIf(c.Member == nil, "member")
	case KindSubmitWorkflow, KindCancelWorkflow:
		missing = missingIf(c.Workflow == nil, "workflow")
	case KindAnnounceSession:
		missing = missingIf(c.Session == nil, "session")
	case KindApplyTable:
		missing = missingIf(c.Table == nil, "table")
	default:
	}
	if missing != "" {
		return modeler.Refuse(modeler.CodeInvalid, missing, "missing")
	}
	return nil
}

func missingIf(missing bool, field string) string {
	if missing {
		return field
	}
	return ""
}

// Encode returns the command as it stands in the log.
func (c Command) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// DecodeCommand reads what Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, err
}
