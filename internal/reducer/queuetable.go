package reducer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// applyQueueTable replaces the queue table if the version of the new one is higher.
// Any other valid table is accepted without effect.
func (t *transition) applyQueueTable() *modeler.RefusalError {
	table := *t.command.Table
	if refusal := table.Validate(); refusal != nil {
		return refusal
	}
	if table.Version <= t.QueueTable.Version {
		return nil
	}
	before := t.QueueTable
	t.setQueueTable(table)
	t.markChanged(RecordQueueTable, "")
	t.appendAudit(t.newAuditRecord("applyTable", "queueTable", before.Version, table.Version, "applied"))
	t.auditKeyChanges(before, table)
	t.result.Accepted = 1
	return nil
}

// setQueueTable replaces the queue table. Queues and departments of earlier tables are
// kept, because workflows that were submitted to them or by them still refer to them.
func (t *transition) setQueueTable(table modeler.QueueTable) {
	t.QueueTable = table.WithKeyIndex()
	for _, q := range table.Queues {
		t.Queues = t.Queues.Set(q.Name, q)
	}
	for _, d := range table.Departments {
		t.Departments = t.Departments.Set(d.Name, d.WithoutKeys())
	}
}
