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

// silentSince returns since when the member has been silent at the election of this one:
// the last leader since its last message, another member since it was first asked for its
// vote, unless it has sent a message later.
func (c *Core) silentSince(id string) time.Duration {
	if id == c.lastLeader {
		return c.heardAt[id]
	}
	return max(c.heardAt[id], c.campaignSince)
}

// SinceLastContact returns the time since the leader sent the latest message that the
// member has answered. For a member that has not answered this leader it counts from
// when it fell silent, or from when it was added, whichever is later, but within
// ElectionTimeout of the election only from there, so that each member can answer. It
// returns zero for this member itself and for unknown members.
func (c *Core) SinceLastContact(id string) time.Duration {
	p, ok := c.peers[id]
	if !ok {
		return 0
	}
	since := max(p.ackedSentAt, p.trackedSince)
	if p.ackedSentAt == neverAcked && c.now < c.electedAt+c.config.ElectionTimeout {
		since = max(since, c.electedAt)
	}
	return c.now - since
}
