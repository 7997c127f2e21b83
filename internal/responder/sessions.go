package responder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// announceSession commits the changes that a worker's heartbeat announces. It
// commits nothing if there are none.
func (r *Responder) announceSession(
	ctx context.Context, leader *controller.LeaderState, call messenger.AnnounceSessionCall,
) (any, error) {
	if refusal := call.Session.Validate(); refusal != nil {
		return nil, refusal
	}
	if r.KnowsSession(call.Session) {
		return struct{}{}, nil
	}
	if err := r.confirmAnnouncement(ctx, leader, call.Session); err != nil {
		return nil, err
	}
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindAnnounceSession, ReportsBegins: true, Session: &call.Session})
	r.options.Log.Info("session announced", zap.String("session", call.Session.Key()),
		zap.String("address", call.Session.Address), zap.Bool("draining", call.Session.Draining),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return struct{}{}, err
}

// confirmAnnouncement asks the worker itself before an announcement may end or move a
// session. Anyone can send a heartbeat, and the worker that holds the session may be
// running its tasks. It refuses an announcement that the worker doesn't confirm.
//
// The worker's answer also refutes conflicting sessions of a later life that were known
// before it was asked. Those that hold no task and don't answer are ended; as no worker
// would ever end them, they would keep this one out for good.
func (r *Responder) confirmAnnouncement(ctx context.Context, leader *controller.LeaderState, s modeler.Session) error {
	conflicts := conflictingSessions(r.coordinator.State(), s)
	if len(conflicts) == 0 {
		return nil
	}
	err := leader.AskSession(ctx, s)
	if errors.Is(err, supervisor.ErrOtherIncarnation) {
		return modeler.Refuse(modeler.CodeStale, "born", "another life of a worker is at %s", s.Address)
	}
	if err != nil {
		return modeler.Refuse(modeler.CodeUnavailable, "address", "worker at %s doesn't confirm its life: %v", s.Address, err)
	}
	if refusal := awaitEarlierLives(ctx, leader, s, conflicts); refusal != nil {
		return refusal
	}
	var refuted []string
	for _, other := range conflicts {
		if other.StartedAtMillis > s.StartedAtMillis && len(other.Tasks) == 0 && !leader.IsSessionReachable(other.Key()) {
			refuted = append(refuted, other.Key())
		}
	}
	if len(refuted) == 0 {
		return nil
	}
	_, err = r.propose(ctx, reducer.Command{Kind: reducer.KindEndSessions, ReportsBegins: true, Names: refuted})
	r.options.Log.Info("sessions ended that no worker confirms", zap.Strings("sessions", refuted),
		zap.String("confirmed", s.Key()), zap.Error(err))
	return err
}

// awaitEarlierLives waits until the sessions of earlier lives of the worker at its address
// have ended: the confirmed life may have got starts that were meant for them.
func awaitEarlierLives(
	ctx context.Context, leader *controller.LeaderState, s modeler.Session, conflicts []modeler.Session,
) *modeler.RefusalError {
	for _, other := range conflicts {
		if other.Worker != s.Worker || other.Address != s.Address || other.StartedAtMillis > s.StartedAtMillis {
			continue
		}
		if err := leader.AwaitSessionEnd(ctx, other.Key()); err != nil {
			return modeler.Refuse(modeler.CodeUnavailable, "born", "an earlier life of the worker has not ended: %v", err)
		}
	}
	return nil
}

// conflictingSessions returns the sessions that the announcement would end, and the
// announced session itself if it is at another address.
func conflictingSessions(state reducer.State, announced modeler.Session) []modeler.Session {
	var conflicts []modeler.Session
	for _, other := range reducer.Values(state.Sessions) {
		sameWorker, sameAddress := other.Worker == announced.Worker, other.Address == announced.Address
		if sameAddress && other.Key() == announced.Key() {
			continue
		}
		if sameWorker || sameAddress {
			conflicts = append(conflicts, other)
		}
	}
	return conflicts
}

// confirmSession answers a heartbeat that announces nothing new on any member, and
// commits what another one announces on the leader.
func (r *Responder) confirmSession(ctx context.Context, raw json.RawMessage) (any, error) {
	var call messenger.AnnounceSessionCall
	if err := json.Unmarshal(raw, &call); err == nil && r.KnowsSession(call.Session) {
		return struct{}{}, nil
	}
	return onLeader(r, (*Responder).announceSession)(ctx, raw)
}

// KnowsSession reports whether this member has already applied everything that
// the heartbeat announces. Any member may answer such a heartbeat, because it
// changes nothing that is committed, and the leader detects whether the worker
// is alive by polling it.
func (r *Responder) KnowsSession(announced modeler.Session) bool {
	known, ok := r.coordinator.State().Sessions.Get(announced.Key())
	return ok && sameAnnouncement(known, announced)
}

// sameAnnouncement reports whether the announcement adds nothing to the known
// session. A session that is draining stays draining, so an announcement without
// that flag adds nothing.
func sameAnnouncement(known, announced modeler.Session) bool {
	return known.Address == announced.Address && known.Service == announced.Service && known.Capacity == announced.Capacity &&
		slices.Equal(known.Labels, announced.Labels) && (known.Draining || !announced.Draining)
}

// leaveSession keeps new tasks from a worker that shuts down. It commits nothing: the call names
// no life of the worker, and a worker that has left is unreachable from then on. What the worker
// still runs ends with its lease, which is not renewed once the worker is gone.
func (r *Responder) leaveSession(
	_ context.Context, leader *controller.LeaderState, call messenger.LeaveSessionCall,
) (any, error) {
	r.options.Log.Info("worker leaves", zap.String("worker", call.Worker))
	leader.LeaveWorker(call.Worker)
	return struct{}{}, nil
}

func (r *Responder) applyQueueTable(
	ctx context.Context, _ *controller.LeaderState, call messenger.ApplyQueueTableCall,
) (any, error) {
	if refusal := call.Table.Validate(); refusal != nil {
		return nil, refusal
	}
	if call.Table.Version <= r.coordinator.State().QueueTable.Version {
		return struct{}{}, nil
	}
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindApplyQueueTable, Table: &call.Table})
	r.options.Log.Info("queue table applied", zap.Uint64("version", call.Table.Version),
		zap.Int("departments", len(call.Table.Departments)),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return struct{}{}, err
}

func (r *Responder) getQueueTable(context.Context, *controller.LeaderState, struct{}) (any, error) {
	table := r.coordinator.State().QueueTable
	if table.Version == 0 {
		return nil, modeler.Refuse(modeler.CodeUnavailable, "table", "no queues are configured yet")
	}
	return messenger.QueueTableAnswer{Version: table.Version, Raw: table.Raw}, nil
}

// locateWait bounds how long locate waits until the leadership is confirmed. Callers wait
// for 250 ms.
const locateWait = 150 * time.Millisecond

// locate returns the members that this member knows of, and whether it is the confirmed
// leader. A member that does not lead may be joining, or outdated, and adds all other
// addresses that it knows.
func (r *Responder) locate(ctx context.Context, _ json.RawMessage) (any, error) {
	answer := messenger.LocateAnswer{
		Cell:     r.coordinator.Identity().Cell,
		IsLeader: r.coordinator.AwaitLeadership(ctx, r.coordinator.Leadership().Term, locateWait),
		Members:  r.coordinator.MemberList(),
	}
	if !answer.IsLeader && r.options.KnownAddresses != nil {
		answer = answer.WithAddresses(r.options.KnownAddresses())
	}
	return answer, nil
}

// join adds the calling member as a learner. It does nothing if the member is in the list already.
func (r *Responder) join(ctx context.Context, _ *controller.LeaderState, call messenger.JoinCall) (any, error) {
	if refusal := modeler.CheckName("id", call.ID); refusal != nil {
		return nil, refusal
	}
	if refusal := modeler.CheckAddress("address", call.Address); refusal != nil {
		return nil, refusal
	}
	isSame := func(m replicator.Member) bool { return m.ID == call.ID }
	err := r.coordinator.ChangeMembers(ctx, func(members []replicator.Member) ([]replicator.Member, *modeler.RefusalError) {
		if slices.ContainsFunc(members, isSame) {
			return nil, modeler.Refuse(modeler.CodeDuplicate, "id", "%q is a member", call.ID)
		}
		return append(members, replicator.Member{ID: call.ID, Address: call.Address}), nil
	})
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) && refusal.Code == modeler.CodeDuplicate {
		return struct{}{}, nil
	}
	return struct{}{}, err
}
