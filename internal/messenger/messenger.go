// Package messenger defines the calls between entries and control, and the messages
// about tasks between backend servers and control. Package replicator defines the
// messages of the replicated log.
package messenger

import (
	"encoding/json"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

// The methods that control handles.
const (
	MethodRaft           = "raft"
	MethodWatch          = "watch"
	MethodAnnounce       = "announce"
	MethodRenew          = "renew"
	MethodLeaveWorker    = "leaveWorker"
	MethodSubmitJob      = "submitJob"
	MethodGetJob         = "getJob"
	MethodListJobs       = "listJobs"
	MethodCancelJobs     = "cancelJobs"
	MethodApply          = "apply"
	MethodInForce        = "inForce"
	MethodGetDocuments   = "getDocuments"
	MethodDrain          = "drain"
	MethodAudit          = "audit"
	MethodInterference   = "interference"
	MethodStatus         = "status"
	MethodSnapshot       = "snapshot"
	MethodMembers        = "members"
	MethodAddMember      = "addMember"
	MethodRemoveMember   = "removeMember"
	MethodRecordRequest  = "recordRequest"
	MethodSettleRequests = "settleRequests"
)

// MethodForward is the method that an entry handles for other entries.
const MethodForward = "forward"

// RaftBatch is a batch of replication messages from one member to another.
type RaftBatch struct {
	Cell string `json:"cell"`
	// From is the sending member, with the address at which it can be reached.
	From     replicator.Member    `json:"from"`
	Messages []replicator.Message `json:"messages"`
}

// Load is the load of an entry for one service.
type Load struct {
	Service string `json:"service"`
	// Free is the number of free slots, Queued the number of requests that wait for a slot.
	Free   int `json:"free"`
	Queued int `json:"queued"`
}

// EntryLoad is the load of one entry, by service.
type EntryLoad struct {
	Entry string `json:"entry"`
	Loads []Load `json:"loads"`
}

// WatchCall renews an entry's lease and requests the changes since a revision.
type WatchCall struct {
	Entry modeler.Entry `json:"entry"`
	// Since is the revision that the entry has in force, or zero if it has none.
	Since uint64 `json:"since"`
	// Wait is the longest time for which control may hold the call while nothing changes.
	Wait  time.Duration `json:"wait"`
	Loads []Load        `json:"loads,omitempty"`
}

// WatchAnswer holds what an entry has to put in force. The lease starts at the
// time at which the entry sent its call.
type WatchAnswer struct {
	Cell  string        `json:"cell"`
	Lease time.Duration `json:"lease"`
	View  viewer.View   `json:"view"`
	Loads []EntryLoad   `json:"loads,omitempty"`
}

// AnnounceAnswer assigns a session to a worker. The lease starts at the time at
// which the worker sent its announcement.
type AnnounceAnswer struct {
	Session     uint64 `json:"session"`
	LeaseMillis int64  `json:"leaseMillis"`
	RenewMillis int64  `json:"renewMillis"`
}

// RunningTask is an attempt that a worker runs.
type RunningTask struct {
	Task    modeler.TaskReference `json:"task"`
	Attempt int                   `json:"attempt"`
	// Usage is the resources that the task uses, as far as the worker knows them.
	Usage modeler.Resources `json:"usage,omitzero"`
}

// TaskEnd is an attempt that has ended on a worker.
type TaskEnd struct {
	Task    modeler.TaskReference `json:"task"`
	Attempt int                   `json:"attempt"`
	Result  reducer.TaskResult    `json:"result"`
}

// Renewal renews the lease of a worker and reports the attempts that it runs and that have ended.
type Renewal struct {
	Worker  string        `json:"worker"`
	Session uint64        `json:"session"`
	Running []RunningTask `json:"running,omitempty"`
	// Ended holds the attempts that have ended. The worker repeats them until a
	// renewal that contained them is answered.
	Ended []TaskEnd `json:"ended,omitempty"`
}

// TaskStart is an attempt that a worker has to start.
type TaskStart struct {
	Task       modeler.TaskReference `json:"task"`
	Attempt    int                   `json:"attempt"`
	Department string                `json:"department"`
	Need       modeler.Resources     `json:"need"`
	Seconds    float64               `json:"seconds,omitempty"`
	Payload    json.RawMessage       `json:"payload,omitempty"`
}

// TaskStop is an attempt that a worker has to stop, whether it has started or not.
type TaskStop struct {
	Task    modeler.TaskReference `json:"task"`
	Attempt int                   `json:"attempt"`
	// Checkpoint reports that the task will be started again later.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Assignment holds the attempts that a worker has to start and stop. A worker
// refuses an assignment for another session, and does not start an attempt that
// it has started or stopped before.
type Assignment struct {
	Worker  string      `json:"worker"`
	Session uint64      `json:"session"`
	Start   []TaskStart `json:"start,omitempty"`
	Stop    []TaskStop  `json:"stop,omitempty"`
}

// RenewalAnswer answers one renewal.
type RenewalAnswer struct {
	Worker string `json:"worker"`
	// Stale reports that the session has ended. The worker then stops its tasks and
	// announces itself again.
	Stale       bool       `json:"stale,omitempty"`
	LeaseMillis int64      `json:"leaseMillis"`
	Assignment  Assignment `json:"assignment"`
}

// RenewCall holds a batch of renewals that an entry has collected.
type RenewCall struct {
	Renewals []Renewal `json:"renewals"`
}

// RenewAnswer holds the answers to the renewals of a RenewCall, in the same order.
type RenewAnswer struct {
	Answers []RenewalAnswer `json:"answers"`
}

// SubmitCall submits a job.
type SubmitCall struct {
	Actor string             `json:"actor"`
	Job   reducer.Submission `json:"job"`
}

// JobStatus describes a job to a caller.
type JobStatus struct {
	ID         string          `json:"id"`
	Department string          `json:"department"`
	Schema     int             `json:"schema"`
	Spec       json.RawMessage `json:"spec"`
	Phase      string          `json:"phase"`
	// WaitReason is the reason why tasks wait; empty if none waits.
	WaitReason string         `json:"why,omitempty"`
	Submitted  time.Time      `json:"submitted"`
	Ended      time.Time      `json:"ended,omitzero"`
	Tasks      []modeler.Task `json:"tasks"`
}

// JobCall requests a job. Schema is the schema of the answer; zero means the schema
// in which the job was submitted.
type JobCall struct {
	ID     string `json:"id"`
	Schema int    `json:"schema"`
}

// ListJobsCall requests the jobs of a department, or of all departments if it is empty.
type ListJobsCall struct {
	Department string `json:"department,omitempty"`
	Limit      int    `json:"limit"`
	Schema     int    `json:"schema"`
}

// CancelCall cancels jobs of the department, or of any department if it is empty.
type CancelCall struct {
	Actor      string   `json:"actor"`
	Department string   `json:"department,omitempty"`
	IDs        []string `json:"ids"`
}

// ApplyCall submits a configuration change.
type ApplyCall struct {
	Actor     string             `json:"actor"`
	ChangeID  string             `json:"changeId"`
	Documents []modeler.Document `json:"documents"`
}

// InForceCall asks whether every live entry has the revision in force. Control
// holds the call for a short time until that is the case.
type InForceCall struct {
	Revision uint64 `json:"revision"`
}

// InForceAnswer answers an InForceCall.
type InForceAnswer struct {
	InForce bool `json:"inForce"`
}

// ApplyAnswer answers an accepted change.
type ApplyAnswer struct {
	Revision uint64   `json:"revision"`
	Versions []uint64 `json:"versions"`
	// InForce reports whether every live entry has the change in force.
	InForce bool `json:"inForce"`
}

// DocumentsCall requests documents. An empty kind or name matches every document;
// a zero schema leaves each document in its own schema.
type DocumentsCall struct {
	Kind   modeler.DocumentKind `json:"kind,omitempty"`
	Name   string               `json:"name,omitempty"`
	Schema int                  `json:"schema"`
	// Since, if not zero, makes the call wait until a document changes after this
	// revision, for at most Wait.
	Since uint64        `json:"since,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// DocumentsAnswer holds the requested documents and the revision of the state they are from.
type DocumentsAnswer struct {
	Revision  uint64             `json:"revision"`
	Documents []modeler.Document `json:"documents"`
}

// DrainCall starts or ends the draining of workers.
type DrainCall struct {
	Actor    string   `json:"actor"`
	Workers  []string `json:"workers"`
	Draining bool     `json:"draining"`
}

// AuditCall requests the newest records of the audit trail.
type AuditCall struct {
	Limit int `json:"limit"`
}

// InterferenceAnswer holds what the leader has learnt about tasks that slow each other
// down. Avoid is false, and Pairs is empty, if the settings do not ask for it.
type InterferenceAnswer struct {
	Avoid bool               `json:"avoid"`
	Pairs []InterferencePair `json:"pairs"`
}

// InterferencePair is the estimated slowdown of tasks of one workload beside those of
// another one.
type InterferencePair struct {
	// Slowed and By are images, or "queue:" and the name of a queue.
	Slowed string `json:"slowed"`
	By     string `json:"by"`
	// Slowdown is the run time, or the tail of a serving task, relative to that without
	// By. Lower is below it by two standard errors.
	Slowdown float64 `json:"slowdown"`
	Lower    float64 `json:"lower"`
	// Runs is the number of steps that were seen with and without By, decayed over time.
	Runs int `json:"runs"`
	// FoundAt is since when placement avoids the pair; zero if it does not.
	FoundAt    time.Time `json:"foundAt,omitzero"`
	EvidenceAt time.Time `json:"evidenceAt"`
}

// MemberCall adds or removes a member of control.
type MemberCall struct {
	Actor   string `json:"actor"`
	ID      string `json:"id"`
	Address string `json:"address,omitempty"`
}

// RecordCall records a request that is not repeatable.
type RecordCall struct {
	Request modeler.RequestRecord `json:"request"`
}

// RecordAnswer reports whether the request is new and may be sent. If it is not
// new, Earlier is the record of the earlier request with the same key.
type RecordAnswer struct {
	New     bool                  `json:"new"`
	Earlier modeler.RequestRecord `json:"first"`
}

// SettleCall records the outcomes of requests.
type SettleCall struct {
	Requests []modeler.RequestRecord `json:"requests"`
}

// EntryStatus describes an entry as known to the leader.
type EntryStatus struct {
	modeler.Entry
	// Revision is the revision that the entry has in force.
	Revision      uint64 `json:"revision"`
	SinceRenewal  string `json:"silentFor"`
	OwnedBackends int    `json:"owns"`
}

// PoolStatus summarises the workers and jobs of a pool.
type PoolStatus struct {
	Pool     string            `json:"pool"`
	Workers  int               `json:"workers"`
	Capacity modeler.Resources `json:"capacity"`
	Used     modeler.Resources `json:"used"`
	Waiting  int               `json:"waitingTasks"`
	Running  int               `json:"runningTasks"`
}

// Status summarises the state of a cell for operators.
type Status struct {
	Cell     string          `json:"cell"`
	Revision uint64          `json:"revision"`
	Term     uint64          `json:"term"`
	Leader   string          `json:"leader"`
	Members  []MemberStatus  `json:"members"`
	Entries  []EntryStatus   `json:"entries"`
	Pools    []PoolStatus    `json:"pools"`
	Services []ServiceStatus `json:"services"`
	// Delegation is missing if the leader makes all calls to workers itself.
	Delegation *DelegationStatus `json:"delegation,omitempty"`
	// Problems describes what is wrong, one sentence each, problems of members
	// first. It is empty if nothing is wrong.
	Problems []string `json:"problems"`
}

// DelegationStatus tells how many workers the leader does not call itself.
type DelegationStatus struct {
	// Workers is the number of delegated workers, Entries that of the entries that call them.
	Workers int `json:"workers"`
	Entries int `json:"entries"`
	// Failures counts the entries that did not make calls, since the leader began to lead.
	Failures uint64 `json:"failures"`
}

// MemberStatus describes a member of control as known to the leader.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Lag     uint64 `json:"lag"`
	Active  bool   `json:"active"`
}

// ServiceStatus summarises the backend servers of a service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Backends int    `json:"backendServers"`
	Serving  int    `json:"serving"`
	Slots    int    `json:"slots"`
}

// ForwardCall forwards a request to an entry that owns backend servers of the service.
type ForwardCall struct {
	ID         string          `json:"id"`
	Service    string          `json:"service"`
	Department string          `json:"department"`
	Method     string          `json:"method"`
	Path       string          `json:"path"`
	Headers    []ForwardHeader `json:"headers,omitempty"`
	Body       []byte          `json:"body,omitempty"`
	Repeatable bool            `json:"repeatable"`
	Class      string          `json:"class"`
	// Wait limits the time in the queue, Run the time at the backend server.
	Wait time.Duration `json:"wait"`
	Run  time.Duration `json:"run"`
}

// ForwardHeader is a header of a request or an answer.
type ForwardHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ForwardAnswer is the result of a forwarded request.
type ForwardAnswer struct {
	// ID is the id of the call that is answered.
	ID      string          `json:"id"`
	Outcome modeler.Outcome `json:"outcome"`
	// Refusal is nil only if the request ran.
	Refusal *modeler.RefusalError `json:"refusal,omitempty"`
	// CanRetry reports that the request was not run here and may be sent to another entry.
	CanRetry bool            `json:"retry,omitempty"`
	Status   int             `json:"status,omitempty"`
	Headers  []ForwardHeader `json:"headers,omitempty"`
	Body     []byte          `json:"body,omitempty"`
	Backend  string          `json:"backend,omitempty"`
	Load     Load            `json:"load"`
}
