package coordinator

import "testing"

func TestSnapshotsCostNoMoreThanTheLog(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		revision      uint64
		snapshotBytes int
		logBytes      int
		want          bool
	}{
		"fewer entries than SnapshotEvery":        {revision: 199, logBytes: 5000},
		"enough entries and no previous snapshot": {revision: 200, logBytes: 5000, want: true},
		"a log shorter than the snapshot":         {revision: 200, snapshotBytes: 5001, logBytes: 5000},
		"a log as long as the snapshot":           {revision: 200, snapshotBytes: 5000, logBytes: 5000, want: true},
		"few large entries": {
			revision: 110, snapshotBytes: 1 << 20, logBytes: 32 << 20, want: true,
		},
		"few large entries and no previous snapshot": {revision: 110, logBytes: 32 << 20, want: true},
		"few large entries and a snapshot as large": {
			revision: 110, snapshotBytes: 32 << 20, logBytes: 32 << 20,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &Coordinator{
				options: Options{SnapshotEvery: 100}, lastSnapshotIndex: 100,
				snapshotBytes: tt.snapshotBytes, logBytesSinceSnapshot: tt.logBytes,
			}
			if got := c.isSnapshotDue(tt.revision); got != tt.want {
				t.Errorf("snapshot due is %v, want %v", got, tt.want)
			}
		})
	}
}
