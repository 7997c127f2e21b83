package replicator

import (
	"encoding/json"
	"slices"
)

// TakeSnapshot records data as the snapshot at index, which must have been
// applied, and compacts the log. For members that are slightly behind it keeps up to
// keepEntries entries before index, as long as they are no longer than the snapshot.
func (c *Core) TakeSnapshot(index uint64, data json.RawMessage, keepEntries uint64) Snapshot {
	c.snapshot = Snapshot{Index: index, Term: c.termAt(index), Members: c.membersAt(index), Data: data}
	compactTo := index
	for kept := 0; compactTo > c.compactedIndex && index-compactTo < keepEntries; compactTo-- {
		if kept += len(c.entries[compactTo-c.compactedIndex-1].Data); kept > len(data) {
			break
		}
	}
	c.compactedTerm = c.termAt(compactTo)
	c.entries = slices.Clone(c.entries[compactTo-c.compactedIndex:])
	c.compactedIndex = compactTo
	for len(c.memberships) > 1 && c.memberships[1].index <= compactTo {
		c.memberships = c.memberships[1:]
	}
	return c.snapshot
}

// EntriesAfterSnapshot returns the entries of the log after the snapshot.
func (c *Core) EntriesAfterSnapshot() []Entry {
	return slices.Clone(c.entries[c.snapshot.Index-c.compactedIndex:])
}
