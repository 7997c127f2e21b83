package responder

import (
	"context"
	"time"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

// maxWatchWait is the longest time a watch call is held; it is well below an entry's lease.
const maxWatchWait = 400 * time.Millisecond

// watch renews the entry's lease and returns the changes since the entry's revision.
func (r *Responder) watch(
	ctx context.Context, leader *controller.LeaderState, call messenger.WatchCall,
) (any, error) {
	if err := r.register(ctx, call.Entry); err != nil {
		return nil, err
	}
	if !leader.RenewEntry(call.Entry.ID, call.Since, call.Loads) {
		return nil, modeler.Refuse(modeler.CodeStale, "entry", "the lease of %q has ended", call.Entry.ID)
	}
	r.awaitChange(ctx, call)
	view := r.viewSince(call.Since)
	return messenger.WatchAnswer{
		Cell:  r.coordinator.Identity().Cell,
		Lease: r.options.EntryLease,
		View:  view,
		Loads: leader.Loads(call.Entry.ID),
	}, nil
}

// register commits an entry that is new or whose record has changed, such as one that is leaving.
func (r *Responder) register(ctx context.Context, e modeler.Entry) error {
	known, ok := r.coordinator.State().Entries.Get(e.ID)
	if ok && known == e {
		return nil
	}
	_, err := r.propose(ctx, reducer.Command{Kind: reducer.KindRegisterEntry, Entry: &e})
	return err
}

// awaitChange blocks until something changes after the entry's revision, or the
// wait ends. It returns at once for an entry that needs a full view.
func (r *Responder) awaitChange(ctx context.Context, call messenger.WatchCall) {
	changed := r.coordinator.ViewFeed.Changed()
	changes, _, ok := r.coordinator.ViewFeed.Since(call.Since)
	if !ok || len(changes) > 0 || call.Since == 0 {
		return
	}
	timer := time.NewTimer(min(call.Wait, maxWatchWait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// viewSince returns the changes since a revision, or the full view if the feed
// no longer covers that revision.
func (r *Responder) viewSince(since uint64) viewer.View {
	changes, latest, ok := r.coordinator.ViewFeed.Since(since)
	state := r.coordinator.State()
	if !ok || since == 0 {
		return viewer.Full(state)
	}
	view := viewer.Delta(state, changes)
	view.Revision = min(view.Revision, latest)
	return view
}

func (r *Responder) recordRequest(
	ctx context.Context, _ *controller.LeaderState, call messenger.RecordCall,
) (any, error) {
	result, err := r.propose(ctx, reducer.Command{
		Kind:     reducer.KindRecordRequests,
		Requests: []modeler.RequestRecord{call.Request},
	})
	if err != nil {
		return nil, err
	}
	answer := messenger.RecordAnswer{New: result.Accepted > 0}
	if result.Request != nil {
		answer.Earlier = *result.Request
	}
	return answer, nil
}

func (r *Responder) settleRequests(
	ctx context.Context, _ *controller.LeaderState, call messenger.SettleCall,
) (any, error) {
	_, err := r.propose(ctx, reducer.Command{Kind: reducer.KindSettleRequests, Requests: call.Requests})
	return struct{}{}, err
}
