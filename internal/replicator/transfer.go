package replicator

import "time"

// transferTimeout is how long a leader that hands over waits for the other
// member to be elected before it steps down. It never has a lease again in its
// term, as the message to the other member may still arrive.
const transferTimeout = 300 * time.Millisecond

// Transfer hands the leadership to a voter that has the whole log, and reports
// whether there is one. From then on the leader has no lease: the caller must
// have made that known before the message leaves.
func (c *Core) Transfer() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	for _, m := range c.Members() {
		p, ok := c.peers[m.ID]
		if !ok || !m.Voter || p.match < c.lastIndex() || c.now-p.acked >= c.config.ElectionTimeout {
			continue
		}
		c.transferring = true
		c.transferUntil = c.now + transferTimeout
		c.sendEarly(Message{Kind: MessageCampaign, To: m.ID})
		return true
	}
	return false
}

// handleCampaign campaigns at once, as the leader has given up its lease.
func (c *Core) handleCampaign(m Message) {
	if c.role == RoleFollower && c.leader == m.From && c.isVoter(c.config.ID) {
		c.transferred = true
		c.campaign(false)
		c.transferred = false
	}
}
