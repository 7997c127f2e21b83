package responder

import (
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// maxRaftNumber bounds terms and indexes. A cell that commits a million entries a second
// reaches it after 285 years; a term near the end of 64 bits could never be followed by
// another one.
const maxRaftNumber = 1 << 53

// checkMessages refuses a batch in which a message lacks what its kind needs, or whose
// numbers no member can have reached. The core takes messages as they are, so a member
// would fail on them.
func checkMessages(batch messenger.RaftBatch) *modeler.RefusalError {
	for _, m := range batch.Messages {
		if max(m.Term, m.Index, m.LogTerm, m.Commit, m.Rejected) > maxRaftNumber {
			return modeler.Refuse(modeler.CodeInvalid, "messages", "a number of a %s of %q is too large", m.Kind, m.From)
		}
		if m.Kind == replicator.MessageSnapshot && (m.Snapshot == nil || max(m.Snapshot.Index, m.Snapshot.Term) > maxRaftNumber) {
			return modeler.Refuse(modeler.CodeInvalid, "messages", "the snapshot of %q is missing or out of range", m.From)
		}
		for i, e := range m.Entries {
			if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
				return modeler.Refuse(modeler.CodeInvalid, "messages", "the entry %d of %q doesn't follow on %d", e.Index, m.From, m.Index)
			}
		}
	}
	return nil
}
