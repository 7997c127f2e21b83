package replicator

import (
	"encoding/json"
	"testing"
	"time"
)

// TestSnapshotKeepsNoLargerLogThanItself checks that a member that is behind is sent a
// snapshot where the entries before it would be longer.
func TestSnapshotKeepsNoLargerLogThanItself(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	tests := map[string]struct {
		entryBytes, snapshotBytes, keepEntries int
		// wantKept is how many entries up to the snapshot stay in the log.
		wantKept int
	}{
		"small entries":                      {entryBytes: 10, snapshotBytes: 10_000, keepEntries: 50, wantKept: 50},
		"entries as long as the snapshot":    {entryBytes: 1000, snapshotBytes: 10_000, keepEntries: 10, wantKept: 10},
		"entries longer than the snapshot":   {entryBytes: 1000, snapshotBytes: 10_000, keepEntries: 50, wantKept: 10},
		"one entry longer than the snapshot": {entryBytes: 20_000, snapshotBytes: 10_000, keepEntries: 50, wantKept: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core := New(Config{
				ID: "m0", ElectionTimeout: timeout, HeartbeatInterval: timeout / 5, MaxBatch: 16,
			}, RestoredState{
				Snapshot: Snapshot{Members: []Member{{ID: "m0", Voter: true}}},
			}, 0)
			core.Tick(2 * timeout)
			for range 100 {
				if _, err := core.Propose(make(json.RawMessage, tt.entryBytes)); err != nil {
					t.Fatal(err)
				}
			}
			core.Ready()
			core.Advance()
			core.Ready()
			core.TakeSnapshot(core.LastIndex(), make(json.RawMessage, tt.snapshotBytes), uint64(tt.keepEntries))
			if kept := int(core.snapshot.Index - core.compactedIndex); kept != tt.wantKept {
				t.Errorf("%d entries are kept, want %d", kept, tt.wantKept)
			}
		})
	}
}
