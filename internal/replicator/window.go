package replicator

const (
	// maxInFlightEntries is how many entries above its matchIndex a member may
	// have been sent before the leader sends it no more of them.
	maxInFlightEntries = 4096
	// maxBatchBytes bounds the entries in one message, in bytes, unless it holds a single
	// one. A member that reads 1 MB/s reads it in an eighth of a second.
	maxBatchBytes = 128 << 10
	// maxInFlightBytes is how many bytes of entries above its matchIndex a member may have
	// been sent before the leader sends it no more of them. A heartbeat waits behind them:
	// for 20 ms on a link of 200 Mbit/s.
	maxInFlightBytes = 4 * maxBatchBytes
)

// sendNewEntries sends the entries that the member has not been sent yet, until it has
// too many unacknowledged ones. It sends none while the member is probed or awaits a
// snapshot.
func (c *Core) sendNewEntries(id string, p *progress) {
	for !p.probing && p.snapshotSentAt == 0 && p.nextIndex <= c.lastIndex() && !c.isWindowFull(p) {
		c.sendAppend(id, p)
	}
}

// isWindowFull reports whether the member has so many unacknowledged entries that it is
// sent no more.
func (c *Core) isWindowFull(p *progress) bool {
	if p.nextIndex-p.matchIndex > maxInFlightEntries {
		return true
	}
	return c.entryBytes(p.matchIndex, p.nextIndex-1) >= maxInFlightBytes
}

// entryBytes returns the size of the entries in the log after one index up to another.
func (c *Core) entryBytes(after, upTo uint64) int {
	size := 0
	for index := max(after, c.compactedIndex) + 1; index <= min(upTo, c.lastIndex()); index++ {
		size += len(c.entries[index-c.compactedIndex-1].Data)
	}
	return size
}

// lastOfBatch returns the index of the last entry that fits into one message after the
// entry at previousIndex. A message holds at least one entry, if there is one.
func (c *Core) lastOfBatch(previousIndex uint64) uint64 {
	last := max(previousIndex, min(c.lastIndex(), previousIndex+uint64(c.config.MaxBatch)))
	size := 0
	for index := previousIndex + 1; index <= last; index++ {
		size += len(c.entries[index-c.compactedIndex-1].Data)
		if size > maxBatchBytes {
			return max(index-1, previousIndex+1)
		}
	}
	return last
}
