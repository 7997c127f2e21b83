package replicator

import "time"

// transferTimeout is how long a leader that transfers its leadership waits for
// the other member to be elected before it steps down. It cannot resume its
// lease in the same term, since the message to the other member may still
// arrive.
const transferTimeout = 300 * time.Millisecond

// TransferLeadership transfers the leadership to another voter, and reports whether any
// answers. From then on the leader has no lease and accepts no proposals: the caller must
// stop relying on the lease before the messages of the transfer are sent. The first voter
// that holds the whole log starts an election.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	for _, m := range c.Members() {
		if m.Voter && c.hasAnsweredLately(m.ID) {
			c.transferring, c.transferSent = true, false
			c.transferDeadline = c.now + transferTimeout
			c.continueTransfer()
			return true
		}
	}
	return false
}

// hasAnsweredLately reports whether the member has answered a message that this leader sent
// within the election timeout.
func (c *Core) hasAnsweredLately(id string) bool {
	p, ok := c.peers[id]
	return ok && c.now-p.ackedSentAt < c.config.ElectionTimeout
}

// continueTransfer asks a voter that holds the whole log to start an election, if the
// leadership is being transferred and none has been asked yet.
func (c *Core) continueTransfer() {
	if !c.transferring || c.transferSent {
		return
	}
	for _, m := range c.Members() {
		if !m.Voter || !c.hasAnsweredLately(m.ID) || c.peers[m.ID].matchIndex < c.lastIndex() {
			continue
		}
		c.transferSent = true
		c.sendBeforeSync(Message{Kind: MessageTimeoutNow, To: m.ID})
		return
	}
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
