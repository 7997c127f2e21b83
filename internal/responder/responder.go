// Package responder answers the calls that entries and members make to control.
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

// Responder answers calls. Its methods are safe for concurrent use.
type Responder struct {
	coordinator *coordinator.Coordinator
	manager     *controller.Manager
	options     Options
	methods     map[string]method
}

// Options are the settings of a responder.
type Options struct {
	WorkerLease   time.Duration
	EntryLease    time.Duration
	RenewInterval time.Duration
	// Learn is told the addresses of members that send messages. Never nil.
	Learn func(batch messenger.RaftBatch)
	// Log takes a line for each decision about a workflow. Never nil.
	Log *zap.Logger
}

// method answers one kind of call.
type method func(ctx context.Context, params json.RawMessage) (any, error)

// leaderMethod answers a call on the leader; its answer counts only if the
// member surely still leads afterwards.
type leaderMethod[P any] func(r *Responder, ctx context.Context, lead *controller.Lead, params P) (any, error)

// New returns a responder of the member.
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
		messenger.MethodStatus:         onLeader(r, (*Responder).status),
		messenger.MethodSnapshot:       onLeader(r, (*Responder).snapshot),
		messenger.MethodMembers:        onLeader(r, (*Responder).members),
		messenger.MethodAddMember:      onLeader(r, (*Responder).addMember),
		messenger.MethodRemoveMember:   onLeader(r, (*Responder).removeMember),
		messenger.MethodRecordRequest:  onLeader(r, (*Responder).recordRequest),
		messenger.MethodSettleRequests: onLeader(r, (*Responder).settleRequests),

		messenger.MethodSubmitWorkflow:  onLeader(r, (*Responder).submitWorkflow),
		messenger.MethodGetWorkflow:     onLeader(r, (*Responder).getWorkflow),
		messenger.MethodCancelWorkflow:  onLeader(r, (*Responder).cancelWorkflow),
		messenger.MethodGetQueue:        onLeader(r, (*Responder).getQueue),
		messenger.MethodAnnounceSession: onLeader(r, (*Responder).announceSession),
		messenger.MethodLeaveSession:    onLeader(r, (*Responder).leaveSession),
		messenger.MethodApplyTable:      onLeader(r, (*Responder).applyTable),
		messenger.MethodGetTable:        onLeader(r, (*Responder).getTable),
		messenger.MethodLocate:          r.locate,
		messenger.MethodJoin:            onLeader(r, (*Responder).join),
	}
	return r
}

// Handle answers one call.
func (r *Responder) Handle(ctx context.Context, name string, params json.RawMessage) (any, error) {
	m, ok := r.methods[name]
	if !ok {
		return nil, modeler.Refuse(modeler.CodeNotFound, "method", "%q is not known", name)
	}
	return m(ctx, params)
}

func onLeader[P any](r *Responder, work leaderMethod[P]) method {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
		}
		lead := r.manager.Lead()
		if lead == nil {
			return nil, r.notLeader()
		}
		answer, err := work(r, ctx, lead, params)
		var refusal *modeler.RefusalError
		if errors.As(err, &refusal) && !restsOnState(refusal.Code) {
			return nil, err
		}
		if !r.coordinator.ConfirmLeadership() {
			return nil, modeler.Refuse(modeler.CodeUnknownOutcome, "", "the leadership lease ended meanwhile")
		}
		return answer, err
	}
}

// restsOnState reports whether a refusal says something of the state, and so
// holds only where the member surely leads.
func restsOnState(code modeler.RefusalCode) bool {
	switch code {
	case modeler.CodeNotLeader, modeler.CodeOverloaded, modeler.CodeUnknownOutcome, modeler.CodeInvalid:
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
	r.options.Learn(batch)
	r.coordinator.Deliver(batch.Cell, batch.Messages)
	return struct{}{}, nil
}
