package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// placementInterval is the longest time between two plans. It bounds how late the
// planner reacts to the passage of time alone.
const placementInterval = 100 * time.Millisecond

// placeTasks plans task placements and proposes them, one plan at a time, until the
// context ends.
func (l *LeaderState) placeTasks(ctx context.Context) error {
	revision := l.resetPlanner()
	for {
		changed := l.coordinator.TaskFeed.Changed()
		changes, latest, ok := l.coordinator.TaskFeed.Since(revision)
		if ok {
			l.syncPlanner(changes)
			revision = latest
		} else {
			revision = l.resetPlanner()
		}
		if l.placeOnce(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(placementInterval):
		}
	}
}

func (l *LeaderState) resetPlanner() uint64 {
	_, revision, _ := l.coordinator.TaskFeed.Since(0)
	state := l.coordinator.State()
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	l.planner = planner.New(state)
	return revision
}

func (l *LeaderState) syncPlanner(changes []reducer.ChangedRecord) {
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	l.planner.Sync(l.coordinator.State(), changes)
}

// placeOnce makes one plan and proposes it. It reports whether any of its commands
// took effect, and so whether another plan is worth making at once.
func (l *LeaderState) placeOnce(ctx context.Context) bool {
	plan := l.plan()
	if len(plan.Starts) == 0 && len(plan.Preempt) == 0 {
		return false
	}
	accepted := 0
	if len(plan.Preempt) > 0 {
		result, err := l.propose(ctx, reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: plan.Preempt})
		if err == nil {
			accepted += result.Accepted
		}
	}
	if len(plan.Starts) > 0 {
		result, err := l.propose(ctx, reducer.Command{Kind: reducer.KindStartTasks, Starts: plan.Starts})
		if err == nil {
			accepted += result.Accepted
		}
		if err == nil && result.Accepted < len(plan.Starts) {
			l.log.Info("task starts refused by the reducer", zap.Int("count", len(plan.Starts)-result.Accepted))
		}
	}
	l.reconcilePlanner(plan)
	return accepted > 0 && ctx.Err() == nil
}

func (l *LeaderState) plan() planner.Plan {
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	return l.planner.Plan(l.coordinator.State(), time.Now())
}

func (l *LeaderState) reconcilePlanner(plan planner.Plan) {
	l.plannerMutex.Lock()
	defer l.plannerMutex.Unlock()
	l.planner.Reconcile(l.coordinator.State(), plan)
}
