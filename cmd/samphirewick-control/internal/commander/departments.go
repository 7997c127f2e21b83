package commander

import (
	"github.com/uber-go/tally/v4"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

const (
	// maxNamedDepartments bounds the departments that metrics name, as a scope keeps each
	// name until the process ends.
	maxNamedDepartments = 64
	// otherDepartments is the name under which metrics add up all further ones.
	otherDepartments = "other"
)

// departmentGauges reports what departments use. It is not safe for concurrent use.
type departmentGauges struct {
	scope tally.Scope
	// named holds the departments that have gauges of their own.
	named map[string]bool
}

func newDepartmentGauges(scope tally.Scope) *departmentGauges {
	return &departmentGauges{scope: scope, named: map[string]bool{}}
}

// update sets the gauges. Those of a department that uses nothing any more become zero.
func (g *departmentGauges) update(state reducer.State) {
	usage := map[string]modeler.Resources{}
	for it := state.DepartmentUsage.Iterator(); !it.Done(); {
		name, amount, _ := it.Next()
		if len(g.named) < maxNamedDepartments {
			g.named[name] = true
		}
		if !g.named[name] {
			name = otherDepartments
		}
		usage[name] = usage[name].Plus(amount)
	}
	for name := range g.named {
		g.set(name, usage[name])
	}
	if len(g.named) == maxNamedDepartments {
		g.set(otherDepartments, usage[otherDepartments])
	}
}

func (g *departmentGauges) set(department string, usage modeler.Resources) {
	tagged := g.scope.Tagged(map[string]string{"department": department})
	tagged.Gauge("department_millicores").Update(float64(usage.Processors))
	tagged.Gauge("department_memory_bytes").Update(float64(usage.Memory))
	tagged.Gauge("department_accelerators").Update(float64(usage.Accelerators))
}
