package responder

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// route returns the queue that the host and path belong to, and the workflow id,
// which is the path after the queue's prefix.
func (r *Responder) route(target messenger.RequestTarget) (modeler.Queue, string, *modeler.RefusalError) {
	table := r.coordinator.State().QueueTable
	if table.Version == 0 {
		return modeler.Queue{}, "", modeler.Refuse(modeler.CodeUnavailable, "table", "no queues are configured yet")
	}
	queue, ok := table.Route(target.Host, target.Path)
	if !ok {
		return queue, "", modeler.Refuse(modeler.CodeNotFound, "queue", "%s%s belongs to no queue", target.Host, target.Path)
	}
	return queue, strings.TrimPrefix(target.Path, queue.Prefix), nil
}

func (r *Responder) submitWorkflow(
	ctx context.Context, _ *controller.LeaderState, call messenger.SubmitWorkflowCall,
) (any, error) {
	queue, id, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	spec := call.Spec
	spec.ID, spec.Queue = id, queue.Name
	if refusal := spec.Validate(); refusal != nil {
		return nil, refusal
	}
	if known, ok := r.coordinator.State().Workflows.Get(id); ok && len(known.Runs) > 0 {
		return struct{}{}, nil
	}
	result, err := r.submissions.commit(ctx, id, func() (reducer.Result, error) {
		return r.propose(ctx, reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &spec})
	})
	r.options.Log.Info("workflow submitted", zap.String("workflow", id), zap.String("queue", queue.Name),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return struct{}{}, err
}

func (r *Responder) getWorkflow(ctx context.Context, leader *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	_, id, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	leader.AwaitEnds(ctx, id)
	w, ok := r.coordinator.State().Workflows.Get(id)
	if !ok || len(w.Runs) == 0 {
		return nil, modeler.Refuse(modeler.CodeNotFound, "workflow", "%q is not known", id)
	}
	return messenger.WorkflowStatus{ID: id, Phase: w.ReportedPhase(), Table: r.coordinator.State().QueueTable.Version}, nil
}

// cancelWorkflow commits the cancellation of a workflow. It commits the
// cancellation of an unknown workflow too, because the submission may arrive later.
func (r *Responder) cancelWorkflow(ctx context.Context, _ *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	queue, id, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	result, err := r.propose(ctx, reducer.Command{
		Kind:     reducer.KindCancelWorkflow,
		Workflow: &modeler.WorkflowSpec{ID: id, Queue: queue.Name},
	})
	r.options.Log.Info("workflow cancelled", zap.String("workflow", id), zap.String("queue", queue.Name),
		zap.Bool("known", result.Accepted > 0), zap.Uint64("revision", result.Revision), zap.Error(err))
	if err != nil {
		return nil, err
	}
	if result.Accepted == 0 {
		return nil, modeler.Refuse(modeler.CodeNotFound, "workflow", "%q is not known", id)
	}
	return struct{}{}, nil
}

func (r *Responder) getQueue(_ context.Context, _ *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	queue, _, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	state := r.coordinator.State()
	return messenger.QueueStatus{Waiting: r.queueCounts.waiting(state, queue.Name), Table: state.QueueTable.Version}, nil
}

// queueCountMaxAge is the maximum age of the numbers of waiting workflows. Callers
// accept numbers that are 2 s old.
const queueCountMaxAge = 200 * time.Millisecond

// queueCounts holds the numbers of waiting workflows by queue. Callers ask for them far
// more often than they have to be current, and each count visits all active workflows.
type queueCounts struct {
	mutex   sync.Mutex
	counted time.Time
	byQueue map[string]int
}

// waiting returns the number of the queue's waiting workflows in the state, or in one
// that is queueCountMaxAge older at most.
func (q *queueCounts) waiting(state reducer.State, queue string) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.byQueue != nil && time.Since(q.counted) < queueCountMaxAge {
		return q.byQueue[queue]
	}
	q.byQueue, q.counted = map[string]int{}, time.Now()
	for it := state.ActiveWorkflows.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if w, _ := state.Workflows.Get(id); w.ReportedPhase() == modeler.WorkflowWaiting {
			q.byQueue[w.Spec.Queue]++
		}
	}
	return q.byQueue[queue]
}
