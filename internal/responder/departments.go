package responder

import (
	"context"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// getDepartments returns the departments of the current and all earlier queue tables,
// without their keys.
func (r *Responder) getDepartments(context.Context, *controller.LeaderState, struct{}) (any, error) {
	return departmentStatuses(r.coordinator.State()), nil
}

func departmentStatuses(state reducer.State) []messenger.DepartmentStatus {
	var total modeler.Resources
	for it := state.Sessions.Iterator(); !it.Done(); {
		_, s, _ := it.Next()
		total = total.Plus(s.Capacity)
	}
	statuses := make([]messenger.DepartmentStatus, 0, state.Departments.Len())
	indexes := map[string]int{}
	for _, d := range reducer.Values(state.Departments) {
		usage, _ := state.DepartmentUsage.Get(d.Name)
		_, isCurrent := state.QueueTable.Department(d.Name)
		indexes[d.Name] = len(statuses)
		statuses = append(statuses, messenger.DepartmentStatus{
			Name: d.Name, Weight: d.Weight, Cap: d.Cap, Usage: usage, Share: usage.DominantShare(total), Removed: !isCurrent,
		})
	}
	for it := state.ActiveWorkflows.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, _ := state.Workflows.Get(id)
		if index, ok := indexes[w.Spec.Department]; ok {
			countWorkflow(&statuses[index], w)
		}
	}
	return statuses
}

func countWorkflow(status *messenger.DepartmentStatus, w modeler.Workflow) {
	switch w.ReportedPhase() {
	case modeler.WorkflowWaiting:
		status.Waiting++
		if w.BeyondRate {
			status.BeyondRate++
		}
	case modeler.WorkflowRunning:
		status.Running++
	default:
	}
}
