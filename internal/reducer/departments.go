package reducer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// MayControl reports whether a call of the department may cancel the workflow, and is
// told that it has submitted it. The department is empty if the call needed no key. Any
// call may control a workflow without a department: its caller may have got a key only
// after it submitted it. Without departments in the queue table, any call may control
// any workflow.
func (s State) MayControl(department string, w modeler.Workflow) bool {
	owner := w.Spec.Department
	return owner == "" || owner == department || len(s.QueueTable.Departments) == 0
}

// isCancelledBy reports whether the department has cancelled the workflow before its
// submission arrived.
func (t *transition) isCancelledBy(department string, w modeler.Workflow) bool {
	return w.Spec.Department == department || slices.Contains(w.AlsoCancelledBy, department) ||
		len(t.QueueTable.Departments) == 0
}

// fitsInCap reports whether the department stays within its cap if its tasks hold the
// amount in addition.
func (t *transition) fitsInCap(department string, amount modeler.Resources) bool {
	d, ok := t.Departments.Get(department)
	if !ok {
		return true
	}
	usage, _ := t.DepartmentUsage.Get(department)
	return !d.Exceeds(usage.Plus(amount))
}

// addDepartmentUsage adds the amount, which may be negative, to what the tasks of the
// department's workflows hold.
func (t *transition) addDepartmentUsage(department string, amount modeler.Resources) {
	if department == "" {
		return
	}
	usage, _ := t.DepartmentUsage.Get(department)
	usage = usage.Plus(amount)
	if usage == (modeler.Resources{}) {
		t.DepartmentUsage = t.DepartmentUsage.Delete(department)
		return
	}
	t.DepartmentUsage = t.DepartmentUsage.Set(department, usage)
}

// countDepartmentUsage adds what the workflow's tasks hold to its department's usage.
func (t *transition) countDepartmentUsage(w modeler.Workflow) {
	for i, run := range w.Runs {
		for _, task := range run.Tasks {
			if task.HoldsResources() {
				t.addDepartmentUsage(w.Spec.Department, w.Spec.Steps[i%len(w.Spec.Steps)].Need)
			}
		}
	}
}

// takeRate takes a token for one workflow of the department, and reports whether there
// was one. Work without a department has no rate.
func (t *transition) takeRate(department string) bool {
	d, ok := t.Departments.Get(department)
	if !ok {
		return true
	}
	bucket, _ := t.Rates.Get(department)
	bucket.Department = department
	bucket, ok = bucket.Take(d, t.at)
	t.Rates = t.Rates.Set(department, bucket)
	return ok
}

// keyChange counts the keys that a table adds to a department and removes from it.
type keyChange struct{ added, removed int }

// auditKeyChanges records whose keys the table adds or removes, without the keys.
func (t *transition) auditKeyChanges(before, after modeler.QueueTable) {
	changes := map[string]keyChange{}
	formerOwners, owners := keyOwners(before), keyOwners(after)
	for key, department := range owners {
		if formerOwners[key] != department {
			c := changes[department]
			changes[department] = keyChange{c.added + 1, c.removed}
		}
	}
	for key, department := range formerOwners {
		if owners[key] != department {
			c := changes[department]
			changes[department] = keyChange{c.added, c.removed + 1}
		}
	}
	for _, department := range slices.Sorted(maps.Keys(changes)) {
		result := fmt.Sprintf("%d added, %d removed", changes[department].added, changes[department].removed)
		t.appendAudit(t.newAuditRecord("changeKeys", "department:"+department, before.Version, after.Version, result))
	}
}

// keyOwners returns the department of each key.
func keyOwners(table modeler.QueueTable) map[string]string {
	owners := map[string]string{}
	for _, d := range table.Departments {
		for _, key := range d.Keys {
			owners[key] = d.Name
		}
	}
	return owners
}
