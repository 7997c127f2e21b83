package reducer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Kind identifies the operation that a command performs.
type Kind string

// The kinds of commands.
const (
	KindNoop              Kind = "noop"
	KindRegisterEntry     Kind = "registerEntry"
	KindExpireEntries     Kind = "expireEntries"
	KindAnnounceWorker    Kind = "announceWorker"
	KindLeaveWorker       Kind = "leaveWorker"
	KindMarkWorkersLost   Kind = "loseWorkers"
	KindRemoveLostWorkers Kind = "forgetWorkers"
	KindDrainWorker       Kind = "drainWorker"
	KindAssignOwners      Kind = "assignOwners"
	KindReleaseOwners     Kind = "releaseOwners"
	KindSubmitJob         Kind = "submitJob"
	KindCancelJobs        Kind = "cancelJobs"
	KindStartTasks        Kind = "startTasks"
	KindReportTasks       Kind = "reportTasks"
	KindPreemptTasks      Kind = "preemptTasks"
	KindApplyDocuments    Kind = "applyDocuments"
	KindRecordRequests    Kind = "recordRequests"
	KindSettleRequests    Kind = "settleRequests"
	KindApplyRetention    Kind = "retain"
	KindAuditMember       Kind = "auditMember"
	KindSubmitWorkflow    Kind = "submitWorkflow"
	KindCancelWorkflow    Kind = "cancelWorkflow"
	KindStartAttempts     Kind = "startAttempts"
	KindEndAttempts       Kind = "endAttempts"
	KindAnnounceSession   Kind = "announceSession"
	KindEndSessions       Kind = "endSessions"
	KindApplyQueueTable   Kind = "applyTable"
)

// Command is one entry of the replicated log. Only the fields that its kind
// uses are set.
type Command struct {
	Kind Kind `json:"kind"`
	// At is the time on the leader's clock when it proposed the command.
	At time.Time `json:"at"`
	// Actor identifies who requested the change; empty if the system itself did.
	Actor string `json:"actor,omitempty"`
	// ChangeID identifies a configuration change, so that a repeated submission
	// has no further effect.
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
	// Workflow is the submitted workflow. A cancellation sets only its ID and queue.
	Workflow *modeler.WorkflowSpec `json:"workflow,omitempty"`
	// Attempts are the attempts to start. Their numbers are assigned when the
	// command is applied.
	Attempts []modeler.Attempt `json:"attempts,omitempty"`
	// Begins are attempts that workers have confirmed or listed.
	Begins []modeler.Attempt `json:"begins,omitempty"`
	// Listed are attempts that the lives for which they were started have listed. They change no
	// state: members remember them, so that the next leader knows that no other life runs them.
	Listed []modeler.Attempt `json:"listed,omitempty"`
	Ends   []AttemptEnd      `json:"ends,omitempty"`
	// ReportsBegins is true if the leader commits begins, so that an attempt whose begin
	// is not committed when its session ends is unconfirmed.
	ReportsBegins bool                `json:"reportsBegins,omitempty"`
	Session       *modeler.Session    `json:"session,omitempty"`
	Table         *modeler.QueueTable `json:"table,omitempty"`
}

// WorkerSession identifies one session of one worker.
type WorkerSession struct {
	Worker  string `json:"worker"`
	Session uint64 `json:"session"`
}

// Ownership assigns a worker's backend server to an entry.
type Ownership struct {
	Worker string `json:"worker"`
	Entry  string `json:"entry"`
}

// Submission is a job in the form in which the caller sent it.
type Submission struct {
	Schema int             `json:"schema"`
	Raw    json.RawMessage `json:"raw"`
}

// Start places one task on a worker. It is valid only for the given session of
// the worker.
type Start struct {
	Task    modeler.TaskReference `json:"task"`
	Worker  string                `json:"worker"`
	Session uint64                `json:"session"`
}

// TaskReport is a worker's report of how one attempt ended.
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

// MemberChange describes a change of control's membership for the audit trail.
type MemberChange struct {
	Action string `json:"action"`
	ID     string `json:"id"`
}

// check refuses a command that lacks the field its kind requires.
func (c Command) check() *modeler.RefusalError {
	missing := ""
	switch c.Kind {
	case KindRegisterEntry:
		missing = fieldIf(c.Entry == nil, "entry")
	case KindAnnounceWorker:
		missing = fieldIf(c.Worker == nil, "worker")
	case KindSubmitJob:
		missing = fieldIf(c.Job == nil, "job")
	case KindAuditMember:
		missing = fieldIf(c.Member == nil, "member")
	case KindSubmitWorkflow, KindCancelWorkflow:
		missing = fieldIf(c.Workflow == nil, "workflow")
	case KindAnnounceSession:
		missing = fieldIf(c.Session == nil, "session")
	case KindApplyQueueTable:
		missing = fieldIf(c.Table == nil, "table")
	default:
	}
	if missing != "" {
		return modeler.Refuse(modeler.CodeInvalid, missing, "missing")
	}
	return nil
}

func fieldIf(missing bool, field string) string {
	if missing {
		return field
	}
	return ""
}

// maxNesting is how deeply the values of a command may be nested. The decoder refuses 10,000
// levels, and messages and the journal wrap a command in some more.
const maxNesting = 9000

// Encode returns the command in the form in which the log stores it. It refuses a command that
// members could not decode.
func (c Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err == nil && nesting(data) > maxNesting {
		return nil, fmt.Errorf("values are nested more than %d levels deep", maxNesting)
	}
	return data, err
}

// nesting returns how many levels deep the values of valid JSON are nested, or zero if it is too
// short for more than maxNesting.
func nesting(data []byte) int {
	if len(data) <= 2*maxNesting {
		return 0
	}
	depth, deepest, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
			deepest = max(deepest, depth)
		case c == ']' || c == '}':
			depth--
		default:
		}
	}
	return deepest
}

// DecodeCommand decodes a command that Encode encoded.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, err
}
