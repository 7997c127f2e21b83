package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// maxCallWait is the longest time a call is held; it is well below the caller's time-out for one attempt.
	maxCallWait = 500 * time.Millisecond
	// inForcePollInterval is the interval at which inForce checks the entries' revisions.
	inForcePollInterval = 10 * time.Millisecond
	// maxAuditRecords is the maximum number of audit records in one answer.
	maxAuditRecords = 1000
)

func (r *Responder) apply(ctx context.Context, _ *controller.LeaderState, call messenger.ApplyCall) (any, error) {
	result, err := r.propose(ctx, reducer.Command{
		Kind:      reducer.KindApplyDocuments,
		Actor:     call.Actor,
		ChangeID:  call.ChangeID,
		Documents: call.Documents,
	})
	if err != nil {
		return nil, err
	}
	return messenger.ApplyAnswer{Revision: result.Revision, Versions: result.Versions}, nil
}

// inForce reports whether every entry has the revision in force, and holds the
// call for up to maxCallWait until that is so. An entry that stops renewing loses
// its lease and is then removed from the state.
func (r *Responder) inForce(ctx context.Context, leader *controller.LeaderState, call messenger.InForceCall) (any, error) {
	waitCtx, cancel := context.WithTimeout(ctx, maxCallWait)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for !leader.InForce(r.coordinator.State(), call.Revision) {
		select {
		case <-waitCtx.Done():
			return messenger.InForceAnswer{}, nil
		case <-ticker.C:
		}
	}
	return messenger.InForceAnswer{InForce: true}, nil
}

func (r *Responder) getDocuments(
	ctx context.Context, _ *controller.LeaderState, call messenger.DocumentsCall,
) (any, error) {
	if call.Since > 0 {
		r.awaitDocuments(ctx, call)
	}
	state := r.coordinator.State()
	answer := messenger.DocumentsAnswer{Revision: state.Revision, Documents: []modeler.Document{}}
	for _, d := range reducer.Values(state.Documents) {
		if (call.Kind != "" && d.Kind != call.Kind) || (call.Name != "" && d.Name != call.Name) {
			continue
		}
		converted, refusal := convertDocument(d, call.Schema)
		if refusal != nil {
			return nil, refusal
		}
		answer.Documents = append(answer.Documents, converted)
	}
	return answer, nil
}

// awaitDocuments blocks until a document changes after the revision call.Since, or the wait ends.
func (r *Responder) awaitDocuments(ctx context.Context, call messenger.DocumentsCall) {
	timer := time.NewTimer(min(call.Wait, maxCallWait))
	defer timer.Stop()
	isDocument := func(t reducer.ChangedRecord) bool { return t.Kind == reducer.RecordDocument }
	for {
		changed := r.coordinator.ViewFeed.Changed()
		changes, _, ok := r.coordinator.ViewFeed.Since(call.Since)
		if !ok || slices.ContainsFunc(changes, isDocument) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func (r *Responder) drain(ctx context.Context, _ *controller.LeaderState, call messenger.DrainCall) (any, error) {
	_, err := r.propose(ctx, reducer.Command{
		Kind:     reducer.KindDrainWorker,
		Actor:    call.Actor,
		Names:    call.Workers,
		Draining: call.Draining,
	})
	return struct{}{}, err
}

func (r *Responder) audit(_ context.Context, _ *controller.LeaderState, call messenger.AuditCall) (any, error) {
	trail := r.coordinator.State().Audit
	limit := call.Limit
	if limit < 1 || limit > maxAuditRecords {
		limit = maxAuditRecords
	}
	lines := []modeler.AuditRecord{}
	for i := max(0, trail.Len()-limit); i < trail.Len(); i++ {
		lines = append(lines, trail.Get(i))
	}
	return lines, nil
}

// interference returns what the leader has learnt about tasks that slow each other down.
func (r *Responder) interference(_ context.Context, leader *controller.LeaderState, _ struct{}) (any, error) {
	return leader.Interference(), nil
}

func (r *Responder) members(context.Context, *controller.LeaderState, struct{}) (any, error) {
	return r.memberStatuses(), nil
}

func (r *Responder) memberStatuses() []messenger.MemberStatus {
	statuses := []messenger.MemberStatus{}
	for _, m := range r.coordinator.Members() {
		statuses = append(statuses, messenger.MemberStatus{
			ID: m.ID, Address: m.Address, Voter: m.Voter, Lag: m.Lag, Active: m.Active,
		})
	}
	return statuses
}

// addMember adds a member as a learner. The leader promotes it to a voter once
// it has caught up with the log.
func (r *Responder) addMember(ctx context.Context, _ *controller.LeaderState, call messenger.MemberCall) (any, error) {
	if refusal := modeler.CheckName("id", call.ID); refusal != nil {
		return nil, refusal
	}
	if refusal := modeler.CheckAddress("address", call.Address); refusal != nil {
		return nil, refusal
	}
	return r.changeMembers(ctx, "add", call, func(members []replicator.Member) ([]replicator.Member, *modeler.RefusalError) {
		for _, m := range members {
			if m.ID == call.ID {
				return nil, modeler.Refuse(modeler.CodeDuplicate, "id", "%q is a member", call.ID)
			}
		}
		return append(members, replicator.Member{ID: call.ID, Address: call.Address}), nil
	})
}

func (r *Responder) removeMember(ctx context.Context, _ *controller.LeaderState, call messenger.MemberCall) (any, error) {
	return r.changeMembers(ctx, "remove", call, func(members []replicator.Member) ([]replicator.Member, *modeler.RefusalError) {
		kept := slices.DeleteFunc(members, func(m replicator.Member) bool { return m.ID == call.ID })
		if len(kept) == len(r.coordinator.Members()) {
			return nil, modeler.Refuse(modeler.CodeNotFound, "id", "%q is no member", call.ID)
		}
		return kept, nil
	})
}

// changeMembers commits a change of the membership, and an audit record of it.
func (r *Responder) changeMembers(
	ctx context.Context, action string, call messenger.MemberCall,
	change func([]replicator.Member) ([]replicator.Member, *modeler.RefusalError),
) (any, error) {
	if err := r.coordinator.ChangeMembers(ctx, change); err != nil {
		return nil, err
	}
	_, err := r.propose(ctx, reducer.Command{
		Kind:   reducer.KindAuditMember,
		Actor:  call.Actor,
		Member: &reducer.MemberChange{Action: action, ID: call.ID},
	})
	return r.memberStatuses(), err
}

// snapshot returns the whole encoded state, for a backup outside of the cell.
func (r *Responder) snapshot(context.Context, *controller.LeaderState, struct{}) (any, error) {
	data, err := r.coordinator.State().Encode()
	return json.RawMessage(data), err
}

// status summarises the cell and lists its problems.
func (r *Responder) status(_ context.Context, leader *controller.LeaderState, _ struct{}) (any, error) {
	state := r.coordinator.State()
	leadership := r.coordinator.Leadership()
	s := messenger.Status{
		Cell:     r.coordinator.Identity().Cell,
		Revision: state.Revision,
		Term:     leadership.Term,
		Leader:   leadership.ID,
		Members:  r.memberStatuses(),
		Entries:  entryStatuses(leader, state),
		Pools:    poolStatuses(state),
		Services: serviceStatuses(state),
		Problems: []string{},
	}
	if d, ok := leader.Delegation(); ok {
		s.Delegation = &messenger.DelegationStatus{Workers: d.Workers, Entries: d.Entries, Failures: d.Failures}
	}
	s.Problems = append(s.Problems, memberProblems(s.Members)...)
	s.Problems = append(s.Problems, stateProblems(state, leader)...)
	return s, nil
}

func entryStatuses(leader *controller.LeaderState, state reducer.State) []messenger.EntryStatus {
	owns := map[string]int{}
	for _, w := range reducer.Values(state.Workers) {
		owns[w.Owner]++
	}
	statuses := []messenger.EntryStatus{}
	for _, e := range reducer.Values(state.Entries) {
		acked, sinceRenewal := leader.AckedRevision(e.ID)
		statuses = append(statuses, messenger.EntryStatus{
			Entry: e, Revision: acked, SinceRenewal: sinceRenewal.Round(time.Millisecond).String(), OwnedBackends: owns[e.ID],
		})
	}
	return statuses
}

func poolStatuses(state reducer.State) []messenger.PoolStatus {
	var statuses []messenger.PoolStatus
	for it := state.Pools.Iterator(); !it.Done(); {
		name, _, _ := it.Next()
		s := messenger.PoolStatus{Pool: name}
		for _, w := range reducer.Values(state.Workers) {
			if w.Pool == name && !w.Lost {
				s.Workers++
				s.Capacity = s.Capacity.Plus(w.Capacity.Minus(w.Reserve))
				s.Used = s.Used.Plus(w.Used)
				s.Running += len(w.Tasks)
			}
		}
		for jobs := state.WaitingJobs.Iterator(); !jobs.Done(); {
			id, _, _ := jobs.Next()
			if job, _ := state.Jobs.Get(id); job.Spec.Pool == name {
				s.Waiting += job.Count(modeler.TaskWaiting)
			}
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func serviceStatuses(state reducer.State) []messenger.ServiceStatus {
	var statuses []messenger.ServiceStatus
	indexes := map[string]int{}
	for _, w := range reducer.Values(state.Workers) {
		if w.Service == "" || w.Lost {
			continue
		}
		index, ok := indexes[w.Service]
		if !ok {
			index = len(statuses)
			indexes[w.Service] = index
			statuses = append(statuses, messenger.ServiceStatus{Service: w.Service})
		}
		statuses[index].Backends++
		if w.IsServing() {
			statuses[index].Serving++
			statuses[index].Slots += w.Slots
		}
	}
	return statuses
}

func memberProblems(members []messenger.MemberStatus) []string {
	var problems []string
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
		if !m.Active {
			problems = append(problems, fmt.Sprintf("member %s at %s is silent", m.ID, m.Address))
		}
	}
	const minVoters = 3
	if voters < minVoters {
		problems = append(problems, fmt.Sprintf("%d members vote; fewer than %d survive no loss", voters, minVoters))
	}
	return problems
}

func stateProblems(state reducer.State, leader *controller.LeaderState) []string {
	var problems []string
	for _, w := range reducer.Values(state.Workers) {
		switch {
		case w.Lost && w.Leaving:
			// The worker left on its own, which is no problem.
		case w.Lost:
			problems = append(problems, fmt.Sprintf("worker %s is lost", w.ID))
		case w.Probation:
			problems = append(problems, fmt.Sprintf("worker %s is on probation after %d failures", w.ID, w.Failures))
		case w.IsServing() && w.Owner == "":
			problems = append(problems, fmt.Sprintf("backend server %s has no entry", w.ID))
		}
	}
	for it := state.WaitingJobs.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		job, _ := state.Jobs.Get(id)
		if _, ok := state.GrantInForce(job.Spec.Department, state.Now); !ok {
			problems = append(problems, fmt.Sprintf("job %s waits: %s", id, leader.WaitReason(id)))
		}
	}
	return problems
}
