// Package responder handles the calls that entries and other members make to control.
package responder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Responder handles calls. Its methods are safe for concurrent use.
type Responder struct {
	coordinator *coordinator.Coordinator
	manager     *controller.Manager
	options     Options
	methods     map[string]method
	queueCounts queueCounts
	submissions submissions
}

// Options configures a Responder.
type Options struct {
	WorkerLease   time.Duration
	EntryLease    time.Duration
	RenewInterval time.Duration
	// WorkBytes bounds the memory that accepted work takes, in bytes; zero means no bound.
	WorkBytes int64
	// LearnAddress records the address of the member that sent a batch. Never nil.
	LearnAddress func(batch messenger.RaftBatch)
	// KnownAddresses returns the addresses of control that the process knows besides the
	// members. Nil if it knows no others.
	KnownAddresses func() []string
	// Log receives a line for each change of a workflow, a session or the queue table. Never nil.
	Log *zap.Logger
}

// method handles one kind of call.
type method func(ctx context.Context, params json.RawMessage) (any, error)

// leaderMethod handles a call on the leader. Its answer is sent only if the
// member is still confirmed as leader afterwards.
type leaderMethod[P any] func(r *Responder, ctx context.Context, leader *controller.LeaderState, params P) (any, error)

// New returns the responder of a member.
func New(c *coordinator.Coordinator, m *controller.Manager, options Options) *Responder {
	r := &Responder{coordinator: c, manager: m, options: options}
	r.methods = map[string]method{
		messenger.MethodRaft:           r.raft,
		messenger.MethodWatch:          onLeader(r, (*Responder).watch),
		messenger.MethodAnnounce:       onLeader(r, (*Responder).announce),
		messenger.MethodRenew:          onLeader(r, (*Responder).renew),
		messenger.MethodLeaveWorker:    onLeader(r, (*Responder).leaveWorker),
		messenger.MethodSubmitJob:      onLeader(r, (*Responder).submitJob),
		messenger.MethodGetJob:         onLeader(r, (*Responder).getJob),
		messenger.MethodListJobs:       onLeader(r, (*Responder).listJobs),
		messenger.MethodCancelJobs:     onLeader(r, (*Responder).cancelJobs),
		messenger.MethodApply:          onLeader(r, (*Responder).apply),
		messenger.MethodInForce:        onLeader(r, (*Responder).inForce),
		messenger.MethodGetDocuments:   onLeader(r, (*Responder).getDocuments),
		messenger.MethodDrain:          onLeader(r, (*Responder).drain),
		messenger.MethodAudit:          onLeader(r, (*Responder).audit),
		messenger.MethodInterference:   onLeader(r, (*Responder).interference),
		messenger.MethodStatus:         onLeader(r, (*Responder).status),
		messenger.MethodSnapshot:       onLeader(r, (*Responder).snapshot),
		messenger.MethodMembers:        onLeader(r, (*Responder).members),
		messenger.MethodAddMember:      onLeader(r, (*Responder).addMember),
		messenger.MethodRemoveMember:   onLeader(r, (*Responder).removeMember),
		messenger.MethodRecordRequest:  onLeader(r, (*Responder).recordRequest),
		messenger.MethodSettleRequests: onLeader(r, (*Responder).settleRequests),

		messenger.MethodSubmitWorkflow:  onLeader(r, (*Responder).submitWorkflow),
		messenger.MethodGetWorkflow:     onAnyMember(r, (*Responder).readWorkflow, (*Responder).getWorkflow),
		messenger.MethodCancelWorkflow:  onLeader(r, (*Responder).cancelWorkflow),
		messenger.MethodGetQueue:        onAnyMember(r, (*Responder).readQueue, (*Responder).getQueue),
		messenger.MethodAnnounceSession: r.confirmSession,
		messenger.MethodLeaveSession:    onLeader(r, (*Responder).leaveSession),
		messenger.MethodApplyQueueTable: onLeader(r, (*Responder).applyQueueTable),
		messenger.MethodGetQueueTable:   onLeader(r, (*Responder).getQueueTable),
		messenger.MethodGetDepartments:  onLeader(r, (*Responder).getDepartments),
		messenger.MethodLocate:          r.locate,
		messenger.MethodJoin:            onLeader(r, (*Responder).join),
	}
	return r
}

// Handle decodes and handles one call. It refuses an unknown method with CodeNotFound.
func (r *Responder) Handle(ctx context.Context, name string, params json.RawMessage) (any, error) {
	m, ok := r.methods[name]
	if !ok {
		return nil, modeler.Refuse(modeler.CodeNotFound, "method", "%q is not known", name)
	}
	leader := r.manager.LeaderState()
	if leader == nil {
		return m(ctx, params)
	}
	leader.CountCall(name)
	answer, err := m(ctx, params)
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) {
		leader.CountRefusal(refusal.Code)
	}
	return answer, err
}

// confirmTimeout bounds how long an answer waits until the leadership is confirmed. A
// leader that reaches no quorum steps down sooner.
const confirmTimeout = time.Second

// onLeader wraps a method that only the leader handles. An answer, and a refusal
// that depends on the state, is sent only once leadership is confirmed.
func onLeader[P any](r *Responder, handle leaderMethod[P]) method {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
		}
		leader := r.manager.LeaderState()
		if leader == nil {
			return nil, r.notLeader()
		}
		answer, err := handle(r, ctx, leader, params)
		var refusal *modeler.RefusalError
		if errors.As(err, &refusal) && !dependsOnState(refusal.Code) {
			return nil, err
		}
		if !r.coordinator.AwaitLeadership(ctx, leader.Term(), confirmTimeout) {
			if refusal != nil && refusal.Code == modeler.CodeUnauthenticated {
				// Nothing was run, and a later table may have the key.
				return nil, modeler.Refuse(modeler.CodeUnavailable, "key", "whether the key is valid is not known")
			}
			return nil, modeler.Refuse(modeler.CodeUnknownOutcome, "", "the leadership lease ended meanwhile")
		}
		return answer, err
	}
}

// dependsOnState reports whether a refusal describes the replicated state. Such
// a refusal is valid only if the member is confirmed as leader.
func dependsOnState(code modeler.RefusalCode) bool {
	switch code {
	case modeler.CodeNotLeader, modeler.CodeOverloaded, modeler.CodeUnknownOutcome, modeler.CodeInvalid, modeler.CodeExhausted:
		return false
	default:
		return true
	}
}

func (r *Responder) notLeader() *modeler.RefusalError {
	address := r.coordinator.Leadership().Address
	return modeler.Refuse(modeler.CodeNotLeader, address, "this member does not lead")
}

func (r *Responder) propose(ctx context.Context, command reducer.Command) (reducer.Result, error) {
	return r.coordinator.Propose(ctx, command)
}

func (r *Responder) raft(_ context.Context, raw json.RawMessage) (any, error) {
	var batch messenger.RaftBatch
	if err := json.Unmarshal(raw, &batch); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	if refusal := checkMessages(batch); refusal != nil {
		return nil, refusal
	}
	r.options.LearnAddress(batch)
	r.coordinator.Deliver(batch.Cell, batch.Messages)
	return struct{}{}, nil
}
