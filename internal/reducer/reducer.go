// Package reducer holds the state of the cell and its transitions. Apply is a
// pure, deterministic function: the same commands in the same order give the
// same state on every member, without input, output or a clock.
package reducer

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Result is what one command led to.
type Result struct {
	// Revision is the revision of the state after the command.
	Revision uint64 `json:"revision"`
	// Refusal is nil where the command took effect.
	Refusal *modeler.RefusalError `json:"refusal,omitempty"`
	// Session is the session that an announcement was given.
	Session uint64 `json:"session,omitempty"`
	// Versions are the versions in force after a configuration change, in the
	// order of its documents.
	Versions []uint64 `json:"versions,omitempty"`
	// Request is the record that a caller's key led to.
	Request *modeler.RequestRecord `json:"request,omitempty"`
	// Accepted counts the items of a batch that took effect.
	Accepted int `json:"accepted,omitempty"`
}

// TouchKind is the kind of a record that a command changed.
type TouchKind string

// The kinds of records that watchers follow.
const (
	TouchWorker   TouchKind = "worker"
	TouchEntry    TouchKind = "entry"
	TouchJob      TouchKind = "job"
	TouchDocument TouchKind = "document"
	TouchWorkflow TouchKind = "workflow"
	TouchSession  TouchKind = "session"
	TouchTable    TouchKind = "table"
)

// Touch names a record that a command changed or removed.
type Touch struct {
	Kind TouchKind `json:"kind"`
	Key  string    `json:"key"`
}

// transition is the work of one command: the state so far, and what it led to.
type transition struct {
	State
	at      time.Time
	command Command
	touched []Touch
	result  Result
	// refused are lines that the audit trail keeps although the command is undone.
	refused []modeler.AuditRecord
}

// handler changes the transition's state; a refusal undoes all of it.
type handler func(*transition) *modeler.RefusalError

// handlers lists what each kind of command does.
var handlers = map[Kind]handler{
	KindNoop:            func(*transition) *modeler.RefusalError { return nil },
	KindRegisterEntry:   (*transition).registerEntry,
	KindExpireEntries:   (*transition).expireEntries,
	KindAnnounceWorker:  (*transition).announceWorker,
	KindLeaveWorker:     (*transition).leaveWorker,
	KindLoseWorkers:     (*transition).loseWorkers,
	KindForgetWorkers:   (*transition).forgetWorkers,
	KindDrainWorker:     (*transition).drainWorker,
	KindAssignOwners:    (*transition).assignOwners,
	KindReleaseOwners:   (*transition).releaseOwners,
	KindSubmitJob:       (*transition).submitJob,
	KindCancelJobs:      (*transition).cancelJobs,
	KindStartTasks:      (*transition).startTasks,
	KindReportTasks:     (*transition).reportTasks,
	KindPreemptTasks:    (*transition).preemptTasks,
	KindApplyDocuments:  (*transition).applyDocuments,
	KindRecordRequests:  (*transition).recordRequests,
	KindSettleRequests:  (*transition).settleRequests,
	KindRetain:          (*transition).retain,
	KindAuditMember:     (*transition).auditMember,
	KindSubmitWorkflow:  (*transition).submitWorkflow,
	KindCancelWorkflow:  (*transition).cancelWorkflow,
	KindStartAttempts:   (*transition).startAttempts,
	KindEndAttempts:     (*transition).endAttempts,
	KindAnnounceSession: (*transition).announceSession,
	KindEndSessions:     (*transition).endSessions,
	KindApplyTable:      (*transition).applyTable,
}

// Apply returns the state after the command at the revision, what the command
// led to, and the records that it changed. A refused command changes nothing
// but the revision, the clock and the audit trail.
func Apply(state State, revision uint64, command Command) (State, Result, []Touch) {
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
		refused := next.refused
		next = transition{State: before, at: at, command: command}
		next.result.Refusal = refusal
		for _, line := range refused {
			next.record(line)
		}
	}
	next.result.Revision = revision
	return next.State, next.result, next.touched
}

func (t *transition) touch(kind TouchKind, key string) {
	t.touched = append(t.touched, Touch{Kind: kind, Key: key})
}

func (t *transition) setWorker(w modeler.Worker) {
	t.Workers = t.Workers.Set(w.ID, w)
	t.touch(TouchWorker, w.ID)
}

func (t *transition) setJob(j modeler.Job) {
	if j.Ended.IsZero() && j.IsDone() {
		j = j.WithEnded(t.at)
	}
	t.Jobs = t.Jobs.Set(j.Spec.ID, j)
	if j.Count(modeler.TaskWaiting) > 0 {
		t.Waiting = t.Waiting.Set(j.Spec.ID, struct{}{})
	} else {
		t.Waiting = t.Waiting.Delete(j.Spec.ID)
	}
	t.touch(TouchJob, j.Spec.ID)
}

// audited returns a line of the audit trail about the command.
func (t *transition) audited(action, subject string, from, to uint64, result string) modeler.AuditRecord {
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

// record adds a line to the audit trail.
func (t *transition) record(line modeler.AuditRecord) {
	t.Audit = t.Audit.Append(line)
	if t.Audit.Len() > MaxAuditRecords {
		t.Audit = t.Audit.Slice(1, t.Audit.Len())
	}
}

// recordRefused adds a line that stays although the command is refused.
func (t *transition) recordRefused(line modeler.AuditRecord) {
	t.refused = append(t.refused, line)
}
