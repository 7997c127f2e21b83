package checker

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Change is what a table changes in one entry. It contains no keys of departments.
type Change struct {
	Entry string `json:"entry"`
	// Changes are sentences such as "timeout 1s -> 3s".
	Changes []string `json:"changes"`
}

// Compare returns what the table changes in the one in force: the queues, the pools and
// the departments, each ordered by name.
func Compare(inForce, table modeler.QueueTable) []Change {
	changes := compareEntries("queue", inForce.Queues, table.Queues,
		func(q modeler.Queue) string { return q.Name },
		func(was, is modeler.Queue) []string { return changedFields(queueFields(was), queueFields(is)) })
	changes = append(changes, compareEntries("pool", inForce.Pools, table.Pools,
		func(p modeler.Pool) string { return p.Name },
		func(was, is modeler.Pool) []string { return changedFields(poolFields(was), poolFields(is)) })...)
	return append(changes, compareEntries("department", inForce.Departments, table.Departments,
		func(d modeler.Department) string { return d.Name }, changesOfDepartment)...)
}

// field is a field of an entry as a person reads it.
type field struct {
	name  string
	value any
}

func queueFields(q modeler.Queue) []field {
	permit := "none"
	if p := q.Permit; p != nil {
		permit = fmt.Sprintf("%s + %s for each worker, valid for %s", p.BaseDelay, p.DelayPerWorker, p.Validity)
	}
	return []field{
		{"host", q.Host},
		{"prefix", q.Prefix},
		{"pool", q.Service},
		{"priority", q.Priority},
		{"attempts", q.MaxAttempts},
		{"objective", fmt.Sprintf("%g times the longest path + %s", q.DeadlineFactor, q.DeadlineSlack)},
		{"timeout", q.Timeout},
		{"permit", permit},
		{"public", q.Public},
	}
}

func poolFields(p modeler.Pool) []field {
	return []field{{"workers refuse overload", p.EnforcesCapacity}, {"spare", p.Spare}}
}

func departmentFields(d modeler.Department) []field {
	return []field{
		{"weight", d.Weight},
		{"cap", fmt.Sprintf("%d millicores, %d bytes, %d accelerators", d.Cap.Processors, d.Cap.Memory, d.Cap.Accelerators)},
	}
}

// changesOfDepartment says how many keys change, and not which.
func changesOfDepartment(was, is modeler.Department) []string {
	changes := changedFields(departmentFields(was), departmentFields(is))
	added, removed := missingFrom(was.Keys, is.Keys), missingFrom(is.Keys, was.Keys)
	if added+removed > 0 {
		changes = append(changes, fmt.Sprintf("keys: %d added, %d removed", added, removed))
	}
	return changes
}

// missingFrom returns the number of the keys that the list lacks.
func missingFrom(list, keys []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(list, key) {
			count++
		}
	}
	return count
}

// compareEntries compares the entries of one kind. describe returns what differs between
// two entries of the same name.
func compareEntries[E any](kind string, inForce, table []E, name func(E) string, describe func(was, is E) []string) []Change {
	before, after := byName(inForce, name), byName(table, name)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, n := range slices.Sorted(maps.Keys(names)) {
		was, existed := before[n]
		is, exists := after[n]
		change := Change{Entry: fmt.Sprintf("%s %s", kind, n)}
		switch {
		case !existed:
			change.Changes = []string{"added"}
		case !exists:
			change.Changes = []string{"removed"}
		default:
			change.Changes = describe(was, is)
		}
		if len(change.Changes) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

func byName[E any](entries []E, name func(E) string) map[string]E {
	named := make(map[string]E, len(entries))
	for _, e := range entries {
		named[name(e)] = e
	}
	return named
}

func changedFields(before, after []field) []string {
	var changed []string
	for i, f := range after {
		if before[i].value != f.value {
			changed = append(changed, fmt.Sprintf("%s %v -> %v", f.name, before[i].value, f.value))
		}
	}
	return changed
}

// Report is the outcome of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// MarshalJSON encodes absent findings and changes as empty lists.
func (r Report) MarshalJSON() ([]byte, error) {
	type report Report
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	if r.Changes == nil {
		r.Changes = []Change{}
	}
	return json.Marshal(report(r))
}
