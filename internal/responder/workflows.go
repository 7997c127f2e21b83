package responder

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// routing is the queue, the department and the workflow that a request belongs to by one
// queue table.
type routing struct {
	queue modeler.Queue
	// department is empty if the queue needs no key.
	department string
	// id is the path after the queue's prefix.
	id string
	// table is the version of the queue table.
	table uint64
}

func (r *Responder) route(target messenger.RequestTarget) (routing, *modeler.RefusalError) {
	return routeBy(r.coordinator.State().QueueTable, target)
}

func routeBy(table modeler.QueueTable, target messenger.RequestTarget) (routing, *modeler.RefusalError) {
	if table.Version == 0 {
		return routing{}, modeler.Refuse(modeler.CodeUnavailable, "table", "no queues are configured yet")
	}
	found := routing{table: table.Version}
	queue, ok := table.Route(target.Host, target.Path)
	if !ok {
		return found, found.notFound("queue", "%s%s belongs to no queue", target.Host, target.Path)
	}
	found.queue, found.id = queue, strings.TrimPrefix(target.Path, queue.Prefix)
	if len(table.Departments) == 0 {
		return found, nil
	}
	department, known := table.DepartmentOfKey(target.Key)
	switch {
	case !known && target.Key != "":
		return found, found.refuse(modeler.CodeUnauthenticated, "key", "the key is not known")
	case queue.Public:
		return found, nil
	case !known:
		return found, found.refuse(modeler.CodeUnauthenticated, "key", "queue %q needs a key", queue.Name)
	default:
		found.department = department.Name
		return found, nil
	}
}

// refuse returns a refusal that follows from the queue table.
func (r routing) refuse(code modeler.RefusalCode, field, format string, args ...any) *modeler.RefusalError {
	refusal := modeler.Refuse(code, field, format, args...)
	refusal.QueueTable = r.table
	return refusal
}

func (r routing) notFound(field, format string, args ...any) *modeler.RefusalError {
	return r.refuse(modeler.CodeNotFound, field, format, args...)
}

func (r routing) receipt() messenger.WorkflowReceipt {
	return messenger.WorkflowReceipt{Table: r.table}
}

func (r *Responder) submitWorkflow(
	ctx context.Context, _ *controller.LeaderState, call messenger.SubmitWorkflowCall,
) (any, error) {
	routed, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	spec, id := call.Spec, routed.id
	spec.ID, spec.Queue, spec.Department = id, routed.queue.Name, routed.department
	if refusal := spec.Validate(); refusal != nil {
		return nil, refusal
	}
	state := r.coordinator.State()
	if known, ok := state.Workflows.Get(id); ok && len(known.Runs) > 0 && state.MayControl(routed.department, known) {
		return routed.receipt(), nil
	}
	key := submissionKey{workflow: id, department: routed.department}
	bytes := modeler.NewWorkflow(spec, time.Time{}).MemoryBytes()
	result, err := r.submissions.commit(ctx, key, bytes, r.room(), func() (reducer.Result, error) {
		return r.propose(ctx, reducer.Command{Kind: reducer.KindSubmitWorkflow, Workflow: &spec})
	})
	submitted, _ := r.coordinator.State().Workflows.Get(id)
	r.options.Log.Info("workflow submitted", zap.String("workflow", id), zap.String("queue", routed.queue.Name),
		zap.String("department", routed.department), zap.Bool("beyondRate", submitted.BeyondRate),
		zap.Uint64("revision", result.Revision), zap.Error(err))
	return routed.receipt(), routed.withTable(err)
}

// withTable returns a conflict with the version of the queue table that it follows from,
// and any other error unchanged.
func (r routing) withTable(err error) error {
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) && refusal.Code == modeler.CodeConflict {
		return r.refuse(refusal.Code, refusal.Field, "%s", refusal.Reason)
	}
	return err
}

func (r *Responder) getWorkflow(ctx context.Context, leader *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	routed, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	leader.AwaitEnds(ctx, routed.id)
	w, ok := r.coordinator.State().Workflows.Get(routed.id)
	if !ok || len(w.Runs) == 0 {
		return nil, routed.notFound("workflow", "%q is not known", routed.id)
	}
	return messenger.WorkflowStatus{ID: routed.id, Phase: w.ReportedPhase(), Table: routed.table}, nil
}

// cancelWorkflow commits the cancellation of a workflow. It commits the
// cancellation of an unknown workflow too, because the submission may arrive later.
func (r *Responder) cancelWorkflow(ctx context.Context, _ *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	routed, refusal := r.route(call.Target)
	if refusal != nil {
		return nil, refusal
	}
	if _, known := r.coordinator.State().Workflows.Get(routed.id); !known && r.room() <= 0 {
		// The cancellation of an unknown workflow is recorded too.
		return nil, exhausted()
	}
	result, err := r.propose(ctx, reducer.Command{
		Kind:     reducer.KindCancelWorkflow,
		Workflow: &modeler.WorkflowSpec{ID: routed.id, Queue: routed.queue.Name, Department: routed.department},
	})
	r.options.Log.Info("workflow cancelled", zap.String("workflow", routed.id), zap.String("queue", routed.queue.Name),
		zap.String("department", routed.department),
		zap.Bool("known", result.Accepted > 0), zap.Uint64("revision", result.Revision), zap.Error(err))
	if err != nil {
		return nil, err
	}
	if result.Accepted == 0 {
		return nil, routed.notFound("workflow", "%q is not known", routed.id)
	}
	return routed.receipt(), nil
}

func (r *Responder) getQueue(_ context.Context, _ *controller.LeaderState, call messenger.WorkflowCall) (any, error) {
	state := r.coordinator.State()
	routed, refusal := routeBy(state.QueueTable, call.Target)
	if refusal != nil {
		return nil, refusal
	}
	return messenger.QueueStatus{Waiting: r.queueCounts.waiting(state, routed.queue.Name), Table: routed.table}, nil
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
