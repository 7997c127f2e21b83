package controller

import (
	"context"
	"time"

	"github.com/samphirewick/samphirewick/internal/reducer"
)

// checkLeases ends the leases that their holders have not renewed for surely longer
// than the lease. A lease that is marked as ending is no longer renewed, so that no
// answer can extend it while its end is being committed.
func (l *LeaderState) checkLeases(ctx context.Context) {
	state := l.coordinator.State()
	l.expireWorkers(ctx, state)
	l.removeLostWorkers(ctx, state)
	l.expireEntries(ctx, state)
}

func (l *LeaderState) expireWorkers(ctx context.Context, state reducer.State) {
	ended := l.markExpiredWorkerLeases(state)
	if len(ended) == 0 {
		return
	}
	_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindMarkWorkersLost, Sessions: ended})
}

func (l *LeaderState) markExpiredWorkerLeases(state reducer.State) []reducer.WorkerSession {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.coordinator.Now()
	limit := withMargin(l.options.WorkerLease)
	var ended []reducer.WorkerSession
	for it := state.Workers.Iterator(); !it.Done(); {
		id, w, _ := it.Next()
		if w.Lost {
			continue
		}
		known := l.workerLease(id, w.Session)
		if now-known.renewed <= limit {
			continue
		}
		known.ending = true
		known.lostAt = now
		l.workers[id] = known
		ended = append(ended, reducer.WorkerSession{Worker: id, Session: w.Session})
	}
	return ended
}

func (l *LeaderState) removeLostWorkers(ctx context.Context, state reducer.State) {
	var expired []reducer.WorkerSession
	l.mutex.Lock()
	now := l.coordinator.Now()
	for it := state.Workers.Iterator(); !it.Done(); {
		id, w, _ := it.Next()
		lostAt := l.workerLease(id, w.Session).renewed
		if w.Lost && now-lostAt > l.options.KeepLostWorkers {
			expired = append(expired, reducer.WorkerSession{Worker: id, Session: w.Session})
			delete(l.workers, id)
		}
	}
	l.mutex.Unlock()
	if len(expired) > 0 {
		_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindRemoveLostWorkers, Sessions: expired})
	}
}

func (l *LeaderState) expireEntries(ctx context.Context, state reducer.State) {
	var ended []string
	l.mutex.Lock()
	now := l.coordinator.Now()
	for it := state.Entries.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		known, ok := l.entries[id]
		if !ok {
			known.renewed = l.leadingSince
		}
		if now-known.renewed <= withMargin(l.options.EntryLease) {
			continue
		}
		known.ending = true
		l.entries[id] = known
		ended = append(ended, id)
	}
	l.mutex.Unlock()
	if len(ended) > 0 {
		_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindExpireEntries, Names: ended})
	}
}

// applyRetention proposes to drop what the state no longer has to keep, including the
// jobs and workflows that ended more than KeepJobs ago, or KeepJobsLeast while memory is
// short. It does so at each call while memory is short, and else at intervals.
func (l *LeaderState) applyRetention(ctx context.Context) {
	keep, isShort := l.options.KeepJobs, l.isShortOfMemory()
	if !isShort && time.Since(l.lastRetention) < retentionInterval {
		return
	}
	if isShort && l.options.KeepJobsLeast > 0 {
		keep = min(keep, l.options.KeepJobsLeast)
	}
	l.lastRetention = time.Now()
	before := l.lastRetention.Add(-keep)
	_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindApplyRetention, Before: before})
}

// isShortOfMemory reports whether accepted work takes more than half of its memory.
func (l *LeaderState) isShortOfMemory() bool {
	return l.options.WorkBytes > 0 && l.coordinator.State().WorkBytes > l.options.WorkBytes/2
}
