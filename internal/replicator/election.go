package replicator

import "time"

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.transferring = false
	c.votes = nil
	c.peers = nil
	if leader != "" {
		c.heard = c.now
	}
	c.resetDeadline()
}

func (c *Core) resetDeadline() {
	spread := time.Duration(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.deadline = c.now + c.config.ElectionTimeout + spread
}

// hearsLeader reports whether a leader may hold a lease that this member granted.
func (c *Core) hearsLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.now-c.heard < c.config.ElectionTimeout
}

// campaign asks for votes: first, without a new term, whether it would get them.
func (c *Core) campaign(trial bool) {
	c.leader = ""
	c.votes = map[string]bool{c.config.ID: true}
	c.resetDeadline()
	kind, term := MessageVote, c.hard.Term+1
	if trial {
		kind = MessagePreVote
		c.role = RolePreCandidate
	} else {
		c.hard = HardState{Term: term, Vote: c.config.ID}
		c.role = RoleCandidate
	}
	if c.hasQuorum(c.votes) {
		c.winVotes()
		return
	}
	for _, m := range c.Members() {
		if m.Voter && m.ID != c.config.ID {
			c.sendLate(Message{
				Kind: kind, To: m.ID, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm(),
				Transferred: c.transferred,
			})
		}
	}
}

func (c *Core) winVotes() {
	if c.role == RolePreCandidate {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) handlePreVote(m Message) {
	free, upToDate := !c.hearsLeader(), c.isUpToDate(m)
	grant := free && upToDate
	if free && !upToDate {
		// The sender cannot win, so this member asks in its place.
		c.deadline = c.now
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.sendLate(reply)
}

func (c *Core) handleVote(m Message) {
	if m.Kind == MessagePreVote {
		c.handlePreVote(m)
		return
	}
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	grant := free && c.role == RoleFollower && c.isUpToDate(m)
	if grant {
		c.hard.Vote = m.From
		c.resetDeadline()
	}
	c.sendLate(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) isUpToDate(m Message) bool {
	if m.LogTerm != c.lastTerm() {
		return m.LogTerm > c.lastTerm()
	}
	return m.Index >= c.lastIndex()
}

func (c *Core) handleVoteReply(m Message) {
	awaited := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		awaited = RolePreCandidate
	}
	trialTerm := m.Kind == MessagePreVoteReply && m.Term == c.hard.Term+1
	if c.role != awaited || m.Reject || (m.Kind == MessagePreVoteReply && !trialTerm) {
		return
	}
	c.votes[m.From] = true
	if c.hasQuorum(c.votes) {
		c.winVotes()
	}
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.transferring = false
	c.leader = c.config.ID
	c.elected = c.now
	c.votes = nil
	c.peers = map[string]*progress{}
	c.syncPeers()
	c.appendEntry(Entry{})
	c.broadcast()
}

// tickLeader sends heartbeats, and steps down when a quorum has been silent.
func (c *Core) tickLeader() {
	const silentTimeouts = 2
	silent := c.now - max(c.quorumAcked(), c.elected)
	handedOver := c.transferring && c.now >= c.transferUntil
	if handedOver || silent > silentTimeouts*c.config.ElectionTimeout {
		c.becomeFollower(c.hard.Term, "")
		return
	}
	if c.now >= c.nextHeartbeat {
		c.broadcast()
	}
}

// neverAcked stands for a member that has answered nothing in the term. A vote
// is no answer: its giver may vote for another member a moment later.
const neverAcked time.Duration = -1 << 60

// LeaseUntil returns the time before which no other member can be elected, or
// zero where the member does not lead.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != RoleLeader || c.transferring {
		return 0
	}
	return c.quorumAcked() + c.config.LeaseDuration
}

// CommittedInTerm reports whether an entry of the current term is committed,
// and with it all that came before.
func (c *Core) CommittedInTerm() bool {
	return c.termAt(c.commit) == c.hard.Term && c.applied == c.commit
}

// quorumAcked returns the latest time such that a quorum has answered a message
// sent at that time or later.
func (c *Core) quorumAcked() time.Duration {
	return quorumValue(c, func(id string) time.Duration {
		if id == c.config.ID {
			return c.now
		}
		if p, ok := c.peers[id]; ok {
			return p.acked
		}
		return neverAcked
	})
}
