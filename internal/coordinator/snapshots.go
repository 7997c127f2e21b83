package coordinator

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// minLargeLogBytes is the length of the log from which on a snapshot may be due although
	// the log has few entries. A member reads that many in a fifth of a second.
	minLargeLogBytes = 4 << 20
	// maxLogToSnapshot is how many times as long as the snapshot a log of few entries may be.
	maxLogToSnapshot = 4
)

// startSnapshot passes the state to the encoder if a snapshot is due and none is
// in progress.
func (c *Coordinator) startSnapshot() {
	state := c.State()
	if c.snapshotInProgress || !c.isSnapshotDue(state.Revision) {
		return
	}
	c.snapshotInProgress = true
	c.logBytesSinceSnapshot = 0
	c.statesToEncode <- state
}

// isSnapshotDue reports whether the log since the last snapshot has at least
// SnapshotEvery entries, and at least as many bytes as that snapshot. The second
// condition keeps the cost of snapshots in proportion to the cost of the log,
// however large the state is. A log of fewer entries is due once it has several times as
// many bytes as the snapshot: a member with an empty disk has to read all of it.
func (c *Coordinator) isSnapshotDue(revision uint64) bool {
	if revision >= c.lastSnapshotIndex+c.options.SnapshotEvery {
		return c.logBytesSinceSnapshot >= c.snapshotBytes
	}
	return c.logBytesSinceSnapshot >= max(minLargeLogBytes, maxLogToSnapshot*c.snapshotBytes)
}

// encodeSnapshots encodes states until ctx is done. It runs in its own
// goroutine, so that the event loop is not blocked meanwhile.
func (c *Coordinator) encodeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-c.statesToEncode:
			data, err := state.Encode()
			if err != nil {
				return err
			}
			c.encodedSnapshots <- replicator.Snapshot{Index: state.Revision, Data: json.RawMessage(data)}
		}
	}
}

func (c *Coordinator) handleEncodedSnapshot(s replicator.Snapshot) error {
	c.snapshotInProgress = false
	if s.Index <= c.lastSnapshotIndex {
		return nil
	}
	c.lastSnapshotIndex, c.snapshotBytes = s.Index, len(s.Data)
	snapshot := c.core.TakeSnapshot(s.Index, s.Data, c.options.KeepEntries)
	c.options.Log.Info("snapshot taken", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return c.options.Journal.Compact(snapshot, c.core.EntriesAfterSnapshot())
}
