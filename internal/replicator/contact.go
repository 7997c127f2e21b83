package replicator

import (
	"maps"
	"slices"
	"time"
)

// recordHeard records that a message of the member has arrived. It forgets former members.
func (c *Core) recordHeard(id string) {
	isMember := func(id string) bool {
		return slices.ContainsFunc(c.Members(), func(m Member) bool { return m.ID == id })
	}
	if !isMember(id) {
		return
	}
	c.heardAt[id] = c.now
	if len(c.heardAt) > len(c.Members()) {
		maps.DeleteFunc(c.heardAt, func(id string, _ time.Duration) bool { return !isMember(id) })
	}
}

// SinceHeard returns the time since a message of the member last arrived, and whether any
// has arrived since the start. Unlike SinceLastContact it does not depend on who leads.
func (c *Core) SinceHeard(id string) (time.Duration, bool) {
	at, ok := c.heardAt[id]
	return c.now - at, ok
}

// SinceLeaderContact returns the time since the last contact to a leader, or since this
// member led, or since its start if there was neither. It is zero for a leader.
func (c *Core) SinceLeaderContact() time.Duration {
	if c.role == RoleLeader {
		return 0
	}
	return c.now - max(c.lastLeaderContact, c.ledUntil)
}
