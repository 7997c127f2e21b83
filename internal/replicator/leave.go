package replicator

import "time"

// leaveTimeout is how long a request to leave holds. A member that stops repeats it, and one
// that comes back keeps its vote if nobody has taken it over by then.
const leaveTimeout = time.Second

// Leave asks the leader to move the vote of this member to a learner, since the member is
// about to stop. The caller repeats it, since the message may be lost. It reports whether
// this member follows a leader and has a vote.
func (c *Core) Leave() bool {
	if c.role != RoleFollower || c.leader == "" || !c.isVoter(c.config.ID) {
		return false
	}
	c.sendBeforeSync(Message{Kind: MessageLeave, To: c.leader})
	return true
}

func (c *Core) handleLeave(m Message) {
	if p, ok := c.peers[m.From]; ok && c.role == RoleLeader {
		p.leavingUntil = c.now + leaveTimeout
	}
}

// IsLeaving reports whether the member has told this leader within leaveTimeout that it is
// about to stop.
func (c *Core) IsLeaving(id string) bool {
	p, ok := c.peers[id]
	return ok && c.now < p.leavingUntil
}
