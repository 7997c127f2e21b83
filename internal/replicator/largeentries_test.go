package replicator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// TestEmptyMemberCatchesUpThoughEntriesAreLarge checks that a member with an empty disk
// catches up although it can read all entries that it needs only in several times the
// time after which a message is lost.
func TestEmptyMemberCatchesUpThoughEntriesAreLarge(t *testing.T) {
	t.Parallel()
	const entryBytes, maxWaitingBytes = 20 << 10, 1 << 20
	tests := map[string]struct {
		// entries is how many large entries precede the empty member, and readBytes how
		// many bytes a member reads in a step.
		entries, readBytes int
		// within is how long it may take. At readBytes the entries take two thirds of it.
		within time.Duration
	}{
		"the entries take two seconds longer than a message may":    {entries: 300, readBytes: 15 << 10, within: 6 * time.Second},
		"the entries take twelve seconds longer than a message may": {entries: 1050, readBytes: 15 << 10, within: 21 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCellOf(t, 7, 3, 512)
			c.lossPercent, c.ordered = 0, true
			leader := c.awaitLeader()
			for range tt.entries {
				c.proposeBytes(entryBytes)
				c.run(stepInterval)
			}
			c.addInstance("empty", 1, nil)
			empty := c.instanceByID("empty")
			c.bytesPerStep = tt.readBytes
			c.proposeMembers(leader, append(slices.Clone(leader.core.Members()), replicator.Member{ID: "empty"}))
			for until := c.now + tt.within; c.now < until; {
				c.run(stepInterval)
				if waiting := c.waitingBytes("empty"); waiting > maxWaitingBytes {
					t.Fatalf("%d bytes are on their way to the empty member, want at most %d", waiting, maxWaitingBytes)
				}
			}
			if leader.core.Role() != replicator.RoleLeader {
				t.Errorf("the leader was replaced while the empty member caught up")
			}
			if lag, active := leader.core.Lag("empty"); empty.core.Commit() != leader.core.Commit() {
				t.Errorf("the empty member has %d of %d entries after %s (lag %d, active %v)",
					empty.core.Commit(), leader.core.Commit(), tt.within, lag, active)
			}
		})
	}
}
