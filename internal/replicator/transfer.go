package replicator

import "time"

// transferTimeout is how long a leader that transfers its leadership waits for
// the other member to be elected before it steps down. It cannot resume its
// lease in the same term, since the message to the other member may still
// arrive.
const transferTimeout = 300 * time.Millisecond

// TransferLeadership transfers the leadership to a voter that holds the whole
// log, and reports whether there is one. From then on the leader has no lease:
// the caller must stop relying on it before the message of the transfer is
// sent.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	for _, m := range c.Members() {
		p, ok := c.peers[m.ID]
		if !ok || !m.Voter || p.matchIndex < c.lastIndex() || c.now-p.ackedSentAt >= c.config.ElectionTimeout {
			continue
		}
		c.transferring = true
		c.transferDeadline = c.now + transferTimeout
		c.sendBeforeSync(Message{Kind: MessageTimeoutNow, To: m.ID})
		return true
	}
	return false
}

// handleTimeoutNow starts an election at once and without pre-vote, since the
// leader has given up its lease.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == RoleFollower && c.leader == m.From && c.isVoter(c.config.ID) {
		c.campaignTransfer = true
		c.campaign(false)
		c.campaignTransfer = false
	}
}
