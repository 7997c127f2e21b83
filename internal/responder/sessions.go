package responder

import (
	"context"
	"encoding/json"
	"slices"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// announceSession commits what is new in a worker's heartbeat.
func (r *Responder) announceSession(
	ctx context.Context, _ *controller.Lead, call messenger.AnnounceSessionCall,
) (any, error) {
	if r.KnowsSession(call.Session) {
		return struct{}{}, nil
	}
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindAnnounceSession, Session: &call.Session})
	r.options.Log.Info("session announced", zap.String("session", call.Session.Key()),
		zap.String("address", call.Session.Address), zap.Bool("draining", call.Session.Draining),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return struct{}{}, err
}

// KnowsSession reports whether this member has applied all that the worker says
// of itself. Such a heartbeat needs no leader: what was committed once is not
// taken back by it, and whether the worker is alive the leader sees by its looks.
func (r *Responder) KnowsSession(said modeler.Session) bool {
	known, ok := r.coordinator.State().Sessions.Get(said.Key())
	return ok && sameAnnouncement(known, said)
}

func sameAnnouncement(known, said modeler.Session) bool {
	return known.Address == said.Address && known.Service == said.Service && known.Capacity == said.Capacity &&
		slices.Equal(known.Labels, said.Labels) && (known.Draining || !said.Draining)
}

// leaveSession takes a worker's last word as its draining: what it still runs
// ends with its lease, which is not renewed once the worker is gone.
func (r *Responder) leaveSession(ctx context.Context, _ *controller.Lead, call messenger.LeaveSessionCall) (any, error) {
	for _, s := range reducer.Values(r.coordinator.State().Sessions) {
		if s.Worker != call.Worker || s.Draining {
			continue
		}
		s.Draining = true
		if _, err := r.propose(ctx, reducer.Command{Kind: reducer.KindAnnounceSession, Session: &s}); err != nil {
			return nil, err
		}
	}
	return struct{}{}, nil
}

func (r *Responder) applyTable(ctx context.Context, _ *controller.Lead, call messenger.ApplyTableCall) (any, error) {
	if refusal := call.Table.Validate(); refusal != nil {
		return nil, refusal
	}
	if call.Table.Version <= r.coordinator.State().Table.Version {
		return struct{}{}, nil
	}
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindApplyTable, Table: &call.Table})
	r.options.Log.Info("table of queues applied", zap.Uint64("version", call.Table.Version),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return struct{}{}, err
}

func (r *Responder) getTable(context.Context, *controller.Lead, struct{}) (any, error) {
	table := r.coordinator.State().Table
	if table.Version == 0 {
		return nil, modeler.Refuse(modeler.CodeUnavailable, "table", "no queues are configured yet")
	}
	return messenger.TableAnswer{Version: table.Version, Raw: table.Raw}, nil
}

// locate says where control is, as far as this member knows.
func (r *Responder) locate(context.Context, json.RawMessage) (any, error) {
	return messenger.LocateAnswer{
		Cell:    r.coordinator.Identity().Cell,
		Leads:   r.coordinator.ConfirmLeadership(),
		Members: r.coordinator.MemberList(),
	}, nil
}

// join adds a newcomer without a vote.
func (r *Responder) join(ctx context.Context, _ *controller.Lead, call messenger.JoinCall) (any, error) {
	if refusal := modeler.CheckName("id", call.ID); refusal != nil {
		return nil, refusal
	}
	if call.Address == "" {
		return nil, modeler.Refuse(modeler.CodeInvalid, "address", "missing")
	}
	isSame := func(m replicator.Member) bool { return m.ID == call.ID }
	if slices.ContainsFunc(r.coordinator.MemberList(), isSame) {
		return struct{}{}, nil
	}
	err := r.coordinator.ChangeMembers(ctx, func(members []replicator.Member) ([]replicator.Member, *modeler.RefusalError) {
		if slices.ContainsFunc(members, isSame) {
			return nil, modeler.Refuse(modeler.CodeDuplicate, "id", "%q is a member", call.ID)
		}
		return append(members, replicator.Member{ID: call.ID, Address: call.Address}), nil
	})
	return struct{}{}, err
}
