// Package reducer implements the replicated state machine of the cell. Apply is
// a pure, deterministic function that performs no I/O and reads no clock: the
// same commands in the same order produce the same state on every member.
package reducer

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Result is the result of applying one command.
type Result struct {
	// Revision is the revision of the state after the command.
	Revision uint64 `json:"revision"`
	// Refusal is nil if the command was accepted.
	Refusal *modeler.RefusalError `json:"refusal,omitempty"`
	// Session is the session assigned to an announced worker.
	Session uint64 `json:"session,omitempty"`
	// Versions are the document versions after a configuration change, in the
	// order of its documents.
	Versions []uint64 `json:"versions,omitempty"`
	// Request is the existing record of a caller's idempotency key, if the key
	// was already in use.
	Request *modeler.RequestRecord `json:"request,omitempty"`
	// Accepted counts the items of a batch that took effect.
	Accepted int `json:"accepted,omitempty"`
}

// RecordKind is the kind of a changed record.
type RecordKind string

// The kinds of records whose changes are reported.
const (
	RecordWorker     RecordKind = "worker"
	RecordEntry      RecordKind = "entry"
	RecordJob        RecordKind = "job"
	RecordDocument   RecordKind = "document"
	RecordWorkflow   RecordKind = "workflow"
	RecordSession    RecordKind = "session"
	RecordQueueTable RecordKind = "table"
)

// ChangedRecord identifies a record that a command changed or removed.
type ChangedRecord struct {
	Kind RecordKind `json:"kind"`
	Key  string     `json:"key"`
}

// transition applies one command: it holds the state, updated step by step, and
// the result so far.
type transition struct {
	State
	at      time.Time
	command Command
	changed []ChangedRecord
	result  Result
	// refusedAudit holds audit records that are kept although the command is
	// refused and its changes are discarded.
	refusedAudit []modeler.AuditRecord
}

// handler applies a command of one kind to the transition. If it returns a
// refusal, all of its changes are discarded.
type handler func(*transition) *modeler.RefusalError

// handlers maps each kind of command to its handler.
var handlers = map[Kind]handler{
	KindNoop:              func(*transition) *modeler.RefusalError { return nil },
	KindRegisterEntry:     (*transition).registerEntry,
	KindExpireEntries:     (*transition).expireEntries,
	KindAnnounceWorker:    (*transition).announceWorker,
	KindLeaveWorker:       (*transition).leaveWorker,
	KindMarkWorkersLost:   (*transition).markWorkersLost,
	KindRemoveLostWorkers: (*transition).removeLostWorkers,
	KindDrainWorker:       (*transition).drainWorker,
	KindAssignOwners:      (*transition).assignOwners,
	KindReleaseOwners:     (*transition).releaseOwners,
	KindSubmitJob:         (*transition).submitJob,
	KindCancelJobs:        (*transition).cancelJobs,
	KindStartTasks:        (*transition).startTasks,
	KindReportTasks:       (*transition).reportTasks,
	KindPreemptTasks:      (*transition).preemptTasks,
	KindApplyDocuments:    (*transition).applyDocuments,
	KindRecordRequests:    (*transition).recordRequests,
	KindSettleRequests:    (*transition).settleRequests,
	KindApplyRetention:    (*transition).applyRetention,
	KindAuditMember:       (*transition).auditMember,
	KindSubmitWorkflow:    (*transition).submitWorkflow,
	KindCancelWorkflow:    (*transition).cancelWorkflow,
	KindStartAttempts:     (*transition).startAttempts,
	KindEndAttempts:       (*transition).endAttempts,
	KindAnnounceSession:   (*transition).announceSession,
	KindEndSessions:       (*transition).endSessions,
	KindApplyQueueTable:   (*transition).applyQueueTable,
}

// Apply applies the command at the revision. It returns the new state, the
// result, and the records that changed. A refused command changes only the
// revision, the time and the audit trail. The time of the state never goes back,
// even if the command's time is earlier.
func Apply(state State, revision uint64, command Command) (State, Result, []ChangedRecord) {
	at := command.At
	if at.Before(state.Now) {
		at = state.Now
	}
	next := transition{State: state, at: at, command: command}
	next.Now = at
	next.Revision = revision
	before := next.State
	handle, ok := handlers[command.Kind]
	if !ok {
		refusal := modeler.Refuse(modeler.CodeUnsupported, "kind", "%q is not known", command.Kind)
		return before, Result{Revision: revision, Refusal: refusal}, nil
	}
	refusal := command.check()
	if refusal == nil {
		refusal = handle(&next)
	}
	if refusal != nil {
		refusedAudit := next.refusedAudit
		next = transition{State: before, at: at, command: command}
		next.result.Refusal = refusal
		for _, record := range refusedAudit {
			next.appendAudit(record)
		}
	}
	next.result.Revision = revision
	return next.State, next.result, next.changed
}

func (t *transition) markChanged(kind RecordKind, key string) {
	t.changed = append(t.changed, ChangedRecord{Kind: kind, Key: key})
}

func (t *transition) setWorker(w modeler.Worker) {
	t.Workers = t.Workers.Set(w.ID, w)
	t.markChanged(RecordWorker, w.ID)
}

func (t *transition) setJob(j modeler.Job) {
	if j.Ended.IsZero() && j.IsDone() {
		j = j.WithEnded(t.at)
	}
	if known, ok := t.Jobs.Get(j.Spec.ID); ok {
		t.WorkBytes -= known.MemoryBytes()
	}
	t.WorkBytes += j.MemoryBytes()
	t.Jobs = t.Jobs.Set(j.Spec.ID, j)
	if j.Count(modeler.TaskWaiting) > 0 {
		t.WaitingJobs = t.WaitingJobs.Set(j.Spec.ID, struct{}{})
	} else {
		t.WaitingJobs = t.WaitingJobs.Delete(j.Spec.ID)
	}
	t.markChanged(RecordJob, j.Spec.ID)
}

// newAuditRecord returns an audit record of the command.
func (t *transition) newAuditRecord(action, subject string, from, to uint64, result string) modeler.AuditRecord {
	return modeler.AuditRecord{
		Revision:    t.Revision,
		At:          t.at,
		Actor:       t.command.Actor,
		ChangeID:    t.command.ChangeID,
		Action:      action,
		Subject:     subject,
		FromVersion: from,
		ToVersion:   to,
		Result:      result,
	}
}

// appendAudit appends a record to the audit trail, and drops the oldest one
// beyond MaxAuditRecords.
func (t *transition) appendAudit(record modeler.AuditRecord) {
	t.Audit = t.Audit.Append(record)
	if t.Audit.Len() > MaxAuditRecords {
		t.Audit = t.Audit.Slice(1, t.Audit.Len())
	}
}

// keepRefusedAudit adds an audit record that is kept although the command is refused.
func (t *transition) keepRefusedAudit(record modeler.AuditRecord) {
	t.refusedAudit = append(t.refusedAudit, record)
}
