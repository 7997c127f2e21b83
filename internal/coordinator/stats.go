package coordinator

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// recordLoopDelay records by how much a tick was late. Only the event loop calls it.
func (c *Coordinator) recordLoopDelay(delay time.Duration) {
	if int64(delay) > c.loopDelay.Load() {
		c.loopDelay.Store(int64(delay))
	}
}

// TakeLoopDelay returns the longest time for which a tick of the event loop was late
// since the last call. It shows that the loop waits for the disk or the processor.
func (c *Coordinator) TakeLoopDelay() time.Duration { return time.Duration(c.loopDelay.Swap(0)) }

func (c *Coordinator) publishReplicationStats() {
	stats, before := c.core.Stats(), *c.replicationStats.Load()
	if stats == before {
		return
	}
	c.replicationStats.Store(&stats)
	if lost := stats.Since(before).LostAcknowledged; lost > 0 {
		c.logLostAcknowledged(stats.LostAcknowledged)
	}
}

// ReplicationStats returns what this member has sent as a leader since it started.
func (c *Coordinator) ReplicationStats() replicator.Stats { return *c.replicationStats.Load() }
