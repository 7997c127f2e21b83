package replicator

import "time"

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	if c.role == RoleLeader {
		c.ledUntil = c.now
	}
	c.role = RoleFollower
	c.leader = leader
	c.transferring = false
	c.votes = nil
	c.peers = nil
	c.leaderPatience = 0
	if leader != "" {
		c.lastLeaderContact = c.now
	}
	c.resetElectionDeadline()
}

func (c *Core) resetElectionDeadline() {
	jitter := time.Duration(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDeadline = c.now + c.electionTimeout() + jitter
}

// hasRecentLeader reports whether a leader may still hold a lease that relies
// on this member.
func (c *Core) hasRecentLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.now-c.lastLeaderContact < c.electionTimeout()
}

// campaign requests votes from the other voters. With preVote it only asks
// whether they would vote for this member, and leaves the term unchanged.
func (c *Core) campaign(preVote bool) {
	c.leader, c.leaderPatience = "", 0
	if c.role == RoleFollower {
		c.campaignSince = c.now
	}
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElectionDeadline()
	kind, term := MessageVote, c.hardState.Term+1
	if preVote {
		kind = MessagePreVote
		c.role = RolePreCandidate
	} else {
		c.hardState = HardState{Term: term, Vote: c.config.ID}
		c.role = RoleCandidate
	}
	if c.hasQuorum(c.votes) {
		c.winElection()
		return
	}
	for _, m := range c.Members() {
		if m.Voter && m.ID != c.config.ID {
			c.sendAfterSync(Message{
				Kind: kind, To: m.ID, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm(),
				Transferred: c.campaignTransfer,
			})
		}
	}
}

func (c *Core) winElection() {
	if c.role == RolePreCandidate {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) handlePreVote(m Message) {
	noLeader, upToDate := !c.hasRecentLeader(), c.isUpToDate(m)
	grant := noLeader && upToDate
	if noLeader && !upToDate {
		// The sender's log is out of date: this member starts an election at
		// its next tick, without waiting for its own timeout.
		c.electionDeadline = c.now
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.sendAfterSync(reply)
}

func (c *Core) handleVote(m Message) {
	if m.Kind == MessagePreVote {
		c.handlePreVote(m)
		return
	}
	mayVote := c.hardState.Vote == "" || c.hardState.Vote == m.From
	grant := mayVote && c.role == RoleFollower && c.isUpToDate(m)
	if grant {
		c.hardState.Vote = m.From
		c.resetElectionDeadline()
	}
	c.sendAfterSync(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

// isUpToDate reports whether the log of the sender is at least as up to date as
// the log of this member: it ends with a later term, or with the same term and at
// least the same index.
func (c *Core) isUpToDate(m Message) bool {
	if m.LogTerm != c.lastTerm() {
		return m.LogTerm > c.lastTerm()
	}
	return m.Index >= c.lastIndex()
}

func (c *Core) handleVoteReply(m Message) {
	expectedRole := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		expectedRole = RolePreCandidate
	}
	forNextTerm := m.Kind == MessagePreVoteReply && m.Term == c.hardState.Term+1
	if c.role != expectedRole || m.Reject || (m.Kind == MessagePreVoteReply && !forNextTerm) {
		return
	}
	c.votes[m.From] = true
	if c.hasQuorum(c.votes) {
		c.winElection()
	}
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.transferring = false
	c.leader = c.config.ID
	c.electedAt = c.now
	c.votes = nil
	c.peers = map[string]*progress{}
	c.updatePeers()
	for id, p := range c.peers {
		p.trackedSince = c.silentSince(id)
	}
	c.appendEntry(Entry{})
	// The work that has waited for a leader arrives at once.
	c.setPatience(max(c.patience, c.config.ElectionTimeout))
	c.broadcastHeartbeat()
}

// tickLeader sends heartbeats. It steps down if no quorum has answered for
// maxTimeoutsWithoutQuorum election timeouts, or if a transfer has timed out.
func (c *Core) tickLeader() {
	const maxTimeoutsWithoutQuorum = 2
	sinceQuorumContact := c.now - max(c.quorumAckedSentAt(), c.electedAt)
	transferTimedOut := c.transferring && c.now >= c.transferDeadline
	if transferTimedOut || sinceQuorumContact > maxTimeoutsWithoutQuorum*c.config.ElectionTimeout+c.patience {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.now >= c.nextHeartbeat {
		c.broadcastHeartbeat()
	}
}

// neverAcked is the ackedSentAt of a member that has answered no append or
// snapshot in this term. A vote does not count as an answer, since the voter may
// vote for another member a moment later.
const neverAcked time.Duration = -1 << 60

// LeaseUntil returns the end of the leadership lease: no other member can be
// elected before it. It returns zero if this member is not the leader, or
// transfers its leadership.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != RoleLeader || c.transferring {
		return 0
	}
	return c.quorumAckedSentAt() + c.config.LeaseDuration
}

// CommittedInTerm reports whether an entry of the current term is committed,
// and with it all entries before it, and Ready has returned all of them.
func (c *Core) CommittedInTerm() bool {
	return c.termAt(c.commitIndex) == c.hardState.Term && c.lastApplied == c.commitIndex
}

// quorumAckedSentAt returns the latest time such that a quorum, this member
// included, has answered a message that was sent at that time or later.
func (c *Core) quorumAckedSentAt() time.Duration {
	return quorumValue(c, func(id string) time.Duration {
		if id == c.config.ID {
			return c.now
		}
		if p, ok := c.peers[id]; ok {
			return p.ackedSentAt
		}
		return neverAcked
	})
}
