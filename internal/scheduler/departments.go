package scheduler

import (
	"math"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Departments answer this load: one of 20 teams sends several times its usual work, and the
// others are to be served as before. Its work beyond its rate comes last, and what is within
// its rate yields to departments that hold less of what they are entitled to. No department
// gets more than its cap, however much is free.

// maxShareBand is the last band of shares.
const maxShareBand = 6

// shareBands returns a function that returns the band of a department: 0 up to what it is
// entitled to under full load, and one more for each doubling beyond that. Within a band the
// order is by deadline, so that the bands are coarse. It returns nil if there are no
// departments.
func shareBands(state reducer.State) func(department string) int {
	if state.Departments.Len() == 0 {
		return nil
	}
	weights := 0.0
	for _, d := range state.QueueTable.Departments {
		weights += d.Weight
	}
	var total modeler.Resources
	for it := state.Sessions.Iterator(); !it.Done(); {
		_, session, _ := it.Next()
		total = total.Plus(session.Capacity)
	}
	known := map[string]int{}
	return func(name string) int {
		band, ok := known[name]
		if !ok {
			department, _ := state.Departments.Get(name)
			usage, _ := state.DepartmentUsage.Get(name)
			band = shareBand(usage.DominantShare(total), department.Weight, weights)
			known[name] = band
		}
		return band
	}
}

// shareBand returns the band of a department with a share of the workers and a weight, where
// weights is the sum over all departments. A department without a weight is entitled to
// nothing.
func shareBand(share, weight, weights float64) int {
	switch {
	case share*weights <= weight:
		return 0
	case weight <= 0:
		return maxShareBand
	default:
		return min(maxShareBand, 1+int(math.Log2(share*weights/weight)))
	}
}

// capRoom returns the number of further tasks of the step, limit at most, that may start
// before its department is at its cap. It counts the tasks that the plan starts and those for
// which it keeps capacity for a gang.
func (p *plan) capRoom(r *readyStep, limit int) int {
	department, ok := p.departmentOf(r)
	if !ok {
		return limit
	}
	usage, ok := p.usage[department.Name]
	if !ok {
		usage, _ = p.state.DepartmentUsage.Get(department.Name)
	}
	return tasksWithin(department, usage, r.step.Need, limit)
}

// departmentOf returns the department of the step's workflow, or false if it has none or one
// without a cap.
func (p *plan) departmentOf(r *readyStep) (modeler.Department, bool) {
	if r.workflow.Spec.Department == "" {
		return modeler.Department{}, false
	}
	department, ok := p.state.Departments.Get(r.workflow.Spec.Department)
	return department, ok && department.Cap != modeler.Resources{}
}

// tasksWithin returns the number of tasks, limit at most, with which the department does not
// exceed its cap.
func tasksWithin(d modeler.Department, usage, need modeler.Resources, limit int) int {
	low, high := 0, limit
	for low < high {
		middle := (low + high + 1) / 2
		if d.Exceeds(usage.Plus(need.Times(int64(middle)))) {
			high = middle - 1
		} else {
			low = middle
		}
	}
	return low
}

// countUsage counts a number of the step's tasks against the cap of its department.
func (p *plan) countUsage(r *readyStep, tasks int) {
	department, ok := p.departmentOf(r)
	if !ok || tasks == 0 {
		return
	}
	usage, ok := p.usage[department.Name]
	if !ok {
		usage, _ = p.state.DepartmentUsage.Get(department.Name)
	}
	if p.usage == nil {
		p.usage = map[string]modeler.Resources{}
	}
	p.usage[department.Name] = usage.Plus(r.step.Need.Times(int64(tasks)))
}

// limitToCap returns the step with as many of its waiting tasks as its department may start,
// or nil if that is none. Of a gang these are all tasks or none.
func (p *plan) limitToCap(r *readyStep) *readyStep {
	room := p.capRoom(r, len(r.waiting))
	switch {
	case room == len(r.waiting):
		return r
	case !r.step.Gang && room > 0:
		limited := *r
		limited.waiting = r.waiting[:room]
		return &limited
	case r.step.Gang:
		p.reportWiderThanCap(r)
	default:
	}
	return nil
}

// reportWiderThanCap logs a gang that its department's cap never lets start.
func (p *plan) reportWiderThanCap(r *readyStep) {
	department, _ := p.departmentOf(r)
	slots := tasksWithin(department, modeler.Resources{}, r.step.Need, len(r.waiting))
	if log := p.scheduler.options.Log; slots < len(r.waiting) && p.scheduler.reportHopeless(r.name) {
		log.Warn("gang does not fit in its department's cap", zap.String("workflow", r.name.Workflow),
			zap.Int("step", r.name.Step), zap.String("department", department.Name),
			zap.Int("tasks", len(r.waiting)), zap.Int("slots", slots))
	}
}
