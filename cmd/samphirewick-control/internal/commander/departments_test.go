package commander

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// TestDepartmentGaugesAreBounded guards against metrics that grow with the departments
// that come and go, and against a gauge that keeps the usage of a department that ended.
func TestDepartmentGaugesAreBounded(t *testing.T) {
	t.Parallel()
	scope := tally.NewTestScope("", nil)
	gauges := newDepartmentGauges(scope)
	state := reducer.NewState()
	for i := range 100 {
		state.DepartmentUsage = state.DepartmentUsage.Set(fmt.Sprintf("d%02d", i), modeler.Resources{Processors: 2})
	}
	gauges.update(state)
	names := 0
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == "department_millicores" {
			names++
		}
		if g.Name() == "department_millicores" && g.Tags()["department"] == otherDepartments && g.Value() != 72 {
			t.Errorf("other departments use %g millicores, want 72", g.Value())
		}
	}
	if names != maxNamedDepartments+1 {
		t.Errorf("%d names of departments, want %d", names, maxNamedDepartments+1)
	}
	gauges.update(reducer.NewState())
	for _, g := range scope.Snapshot().Gauges() {
		if g.Value() != 0 {
			t.Errorf("%s of %s is %g without any usage", g.Name(), g.Tags()["department"], g.Value())
		}
	}
}
