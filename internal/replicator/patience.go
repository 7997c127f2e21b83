package replicator

import "time"

const (
	// delaysToBear is how many delays as long as the last one the other members bear.
	delaysToBear = 2
	// patienceDecay is the part of the patience that is lost with each tick is one over
	// it.
	patienceDecay = 16
)

// RecordDelay records by how much the caller was late to tick. A leader that is late asks
// the other members to wait longer for it: its messages are late too, and a successor
// would take over the same work.
func (c *Core) RecordDelay(delay time.Duration) {
	c.setPatience(max(c.patience, delaysToBear*(delay-c.config.HeartbeatInterval)))
}

func (c *Core) setPatience(patience time.Duration) { c.patience = min(patience, c.maxPatience()) }

// maxPatience bounds by how much a leader that was late and then fails delays an election.
func (c *Core) maxPatience() time.Duration { return 2 * c.config.ElectionTimeout }

func (c *Core) decayPatience() { c.patience -= c.patience / patienceDecay }

// electionTimeout returns the minimum time without contact to the leader after which
// this member starts an election or votes in one.
func (c *Core) electionTimeout() time.Duration { return c.config.ElectionTimeout + c.leaderPatience }
