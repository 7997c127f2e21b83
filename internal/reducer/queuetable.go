package reducer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// applyTable puts a table in force if its version is higher than the one that
// is; any other valid table is acknowledged without effect.
func (t *transition) applyTable() *modeler.RefusalError {
	table := *t.command.Table
	if refusal := table.Validate(); refusal != nil {
		return refusal
	}
	if table.Version <= t.Table.Version {
		return nil
	}
	before := t.Table.Version
	t.setTable(table)
	t.touch(TouchTable, "")
	t.record(t.audited("applyTable", "queueTable", before, table.Version, "applied"))
	t.result.Accepted = 1
	return nil
}

// setTable remembers the queues of earlier tables too, for the workflows that
// they have taken.
func (t *transition) setTable(table modeler.QueueTable) {
	t.Table = table
	for _, q := range table.Queues {
		t.Queues = t.Queues.Set(q.Name, q)
	}
}
