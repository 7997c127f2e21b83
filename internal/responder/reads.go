package responder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// maxReadAge is the maximum age of the state by which a follower answers. Callers
	// accept numbers of waiting workflows that are 2 s old.
	maxReadAge = time.Second
	// readWait is how long a follower waits for a workflow to end before it answers
	// that it has not. Callers often ask right after the last task has ended: its end
	// is committed within a few tens of milliseconds, and the leader tells followers so
	// with its next heartbeat at the latest.
	readWait = 120 * time.Millisecond
	// readInterval is how often the follower checks meanwhile.
	readInterval = 20 * time.Millisecond
)

// reader answers a call by the state of a follower. It returns false if the leader has
// to answer.
type reader[P any] func(r *Responder, ctx context.Context, params P) (any, bool)

// onAnyMember wraps a method that the leader handles, and that a follower with a recent
// state answers as far as it can. It relieves the leader of the calls that grow with
// the number of workflows that wait, and so with the leader's load.
func onAnyMember[P any](r *Responder, read reader[P], handle leaderMethod[P]) method {
	leaderOnly := onLeader(r, handle)
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		if r.manager.LeaderState() != nil || !r.coordinator.IsStateRecent(maxReadAge) {
			return leaderOnly(ctx, raw)
		}
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
		}
		if answer, ok := read(r, ctx, params); ok {
			return answer, nil
		}
		return leaderOnly(ctx, raw)
	}
}

// readWorkflow returns the phase of a workflow that this follower knows. Until the
// workflow is known and has ended, it waits for readWait.
func (r *Responder) readWorkflow(ctx context.Context, call messenger.WorkflowCall) (any, bool) {
	for deadline := time.Now().Add(readWait); ; {
		state := r.coordinator.State()
		routed, refusal := routeBy(state.QueueTable, call.Target)
		if refusal != nil || routed.table < call.MinTable {
			return nil, false
		}
		w, known := state.Workflows.Get(routed.id)
		known = known && len(w.Runs) > 0
		if w.IsEnded() || !time.Now().Before(deadline) {
			return messenger.WorkflowStatus{ID: routed.id, Phase: w.ReportedPhase(), Table: routed.table}, known
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-time.After(readInterval):
		}
	}
}

// readQueue returns the number of waiting workflows of a queue that this follower knows.
func (r *Responder) readQueue(_ context.Context, call messenger.WorkflowCall) (any, bool) {
	state := r.coordinator.State()
	routed, refusal := routeBy(state.QueueTable, call.Target)
	if refusal != nil || routed.table < call.MinTable {
		return nil, false
	}
	return messenger.QueueStatus{Waiting: r.queueCounts.waiting(state, routed.queue.Name), Table: routed.table}, true
}
