package replicator

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// snapshotRetry is how long a leader waits for the answer to a snapshot.
	snapshotRetry = 5 * time.Second
	// silentHeartbeats is after how many heartbeats without an answer a member is probed.
	silentHeartbeats = 3
	// maxInFlight bounds the entries that a member has been sent and not acknowledged.
	maxInFlight = 4096
)

func (c *Core) lastIndex() uint64 {
	return c.offset + uint64(len(c.entries))
}

func (c *Core) lastTerm() uint64 {
	return c.termAt(c.lastIndex())
}

// termAt returns the term of the entry at the index, or zero where it is unknown.
func (c *Core) termAt(index uint64) uint64 {
	switch {
	case index == c.offset:
		return c.offsetTerm
	case index < c.offset || index > c.lastIndex():
		return 0
	default:
		return c.entries[index-c.offset-1].Term
	}
}

// Propose appends data and returns the index of its entry. Whether it gets
// committed shows in Ready: an entry of another term at the index says no.
func (c *Core) Propose(data json.RawMessage) (uint64, error) {
	if c.role != RoleLeader || c.transferring {
		return 0, ErrNotLeader
	}
	return c.appendEntry(Entry{Data: data}), nil
}

// Flush sends what has been proposed.
func (c *Core) Flush() {
	if c.role != RoleLeader {
		return
	}
	for id, p := range c.sortedPeers() {
		c.sendNew(id, p)
	}
}

func (c *Core) appendEntry(e Entry) uint64 {
	e.Index = c.lastIndex() + 1
	e.Term = c.hard.Term
	c.entries = append(c.entries, e)
	c.noteMembership(e)
	if e.Members != nil {
		c.syncPeers()
	}
	return e.Index
}

// sortedPeers iterates in the order of the membership, for determinism.
func (c *Core) sortedPeers() func(func(string, *progress) bool) {
	return func(yield func(string, *progress) bool) {
		for _, m := range c.Members() {
			p, ok := c.peers[m.ID]
			if ok && !yield(m.ID, p) {
				return
			}
		}
	}
}

// broadcast sends a heartbeat to each member. One that has been silent is
// probed from then on, so that nothing piles up on the way to it.
func (c *Core) broadcast() {
	c.nextHeartbeat = c.now + c.config.HeartbeatInterval
	for id, p := range c.sortedPeers() {
		if c.now-max(p.acked, c.elected) > silentHeartbeats*c.config.HeartbeatInterval {
			p.probing = true
			p.next = p.match + 1
		}
		c.send(id, p)
	}
}

// sendNew sends the entries that the member has not been sent, if it keeps up.
func (c *Core) sendNew(id string, p *progress) {
	if p.probing || p.snapshotAt != 0 || p.next > c.lastIndex() || p.next-p.match > maxInFlight {
		return
	}
	c.send(id, p)
}

// send sends an append, with entries unless the member is probed or does not keep up.
func (c *Core) send(id string, p *progress) {
	if p.next <= c.offset {
		c.sendSnapshot(id, p)
		return
	}
	previous := p.next - 1
	last := previous
	if !p.probing && p.next-p.match <= maxInFlight {
		last = max(last, min(c.lastIndex(), previous+uint64(c.config.MaxBatch)))
	}
	var entries []Entry
	if last > previous {
		entries = slices.Clone(c.entries[previous-c.offset : last-c.offset])
	}
	c.sendEarly(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   previous,
		LogTerm: c.termAt(previous),
		Entries: entries,
		Commit:  c.commit,
		SentAt:  c.now,
	})
	p.next = last + 1
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotAt != 0 && c.now-p.snapshotAt < snapshotRetry {
		c.sendEarly(Message{Kind: MessageAppend, To: id, Index: p.match, LogTerm: c.termAt(p.match), SentAt: c.now})
		return
	}
	p.snapshotAt = c.now
	copied := c.snapshot
	c.sendEarly(Message{Kind: MessageSnapshot, To: id, Snapshot: &copied, SentAt: c.now})
}

func (c *Core) handleAppend(m Message) {
	if c.role != RoleFollower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.heard = c.now
	c.resetDeadline()
	reply := Message{Kind: MessageAppendReply, To: m.From, SentAt: m.SentAt}
	if m.Index < c.commit {
		reply.Index = c.commit
		c.sendLate(reply)
		return
	}
	if m.Index > c.lastIndex() || c.termAt(m.Index) != m.LogTerm {
		reply.Reject = true
		reply.Rejected = m.Index
		reply.Index = min(m.Index-1, c.lastIndex())
		c.sendLate(reply)
		return
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.advanceCommit(min(m.Commit, reply.Index))
	c.sendLate(reply)
}

// mergeEntries appends what is new and replaces what differs.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if c.termAt(e.Index) == e.Term && e.Index <= c.lastIndex() {
			continue
		}
		c.entries = slices.Clone(c.entries[:e.Index-c.offset-1])
		c.forgetMemberships(e.Index)
		c.stable = min(c.stable, e.Index-1)
		c.unstable = min(c.unstable, e.Index)
		c.entries = append(c.entries, entries[i:]...)
		for _, added := range entries[i:] {
			c.noteMembership(added)
		}
		return
	}
}

func (c *Core) advanceCommit(index uint64) {
	c.commit = max(c.commit, min(index, c.lastIndex()))
}

func (c *Core) handleSnapshot(m Message) {
	if c.role != RoleFollower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.heard = c.now
	c.resetDeadline()
	reply := Message{Kind: MessageSnapshotReply, To: m.From, SentAt: m.SentAt}
	if m.Snapshot.Index > c.commit {
		c.installSnapshot(*m.Snapshot)
	}
	reply.Index = c.commit
	c.sendLate(reply)
}

func (c *Core) installSnapshot(s Snapshot) {
	c.snapshot = s
	c.pendingSnapshot = &s
	c.entries = nil
	c.offset = s.Index
	c.offsetTerm = s.Term
	c.stable = s.Index
	c.unstable = s.Index + 1
	c.commit = s.Index
	c.applied = s.Index
	c.memberships = []membershipAt{{s.Index, s.Members}}
}

func (c *Core) handleAppendReply(m Message) {
	p, ok := c.peers[m.From]
	if c.role != RoleLeader || !ok {
		return
	}
	p.acked = max(p.acked, m.SentAt)
	if m.Kind == MessageSnapshotReply {
		p.snapshotAt = 0
	}
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	p.match = max(p.match, m.Index)
	if p.match >= c.offset {
		// The snapshot arrived, even if the answer to it was lost.
		p.snapshotAt = 0
	}
	if p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	c.leaderCommit()
	c.sendNew(m.From, p)
}

// handleReject goes back to what the member may have and probes there. A
// reject of any but the latest append says nothing new.
func (c *Core) handleReject(m Message, p *progress) {
	stale := m.Rejected <= p.match || (p.probing && m.Rejected != p.next-1)
	if stale || p.snapshotAt != 0 {
		return
	}
	p.probing = true
	p.next = max(p.match, min(m.Rejected-1, m.Index)) + 1
	c.send(m.From, p)
}

// leaderCommit commits what a quorum has on disk, if it is of this term.
func (c *Core) leaderCommit() {
	reached := quorumValue(c, func(id string) uint64 {
		if id == c.config.ID {
			return c.stable
		}
		if p, ok := c.peers[id]; ok {
			return p.match
		}
		return 0
	})
	if reached > c.commit && c.termAt(reached) == c.hard.Term {
		c.commit = reached
	}
}

// HasReady reports whether Ready would return anything.
func (c *Core) HasReady() bool {
	return len(c.early)+len(c.late) > 0 || c.pendingSnapshot != nil || c.hard != c.saved ||
		c.unstable <= c.lastIndex() || c.applied < c.commit
}

// Ready returns what there is to do. It must be followed by Advance before it
// is called again.
func (c *Core) Ready() Ready {
	r := Ready{Early: c.early, Late: c.late, Snapshot: c.pendingSnapshot, Commit: c.commit}
	c.early, c.late, c.pendingSnapshot = nil, nil, nil
	if c.hard != c.saved {
		hard := c.hard
		r.HardState = &hard
		c.saved = hard
		r.Late = append(r.Early, r.Late...)
		r.Early = nil
	}
	if c.unstable <= c.lastIndex() {
		r.Entries = slices.Clone(c.entries[c.unstable-c.offset-1:])
		c.unstable = c.lastIndex() + 1
	}
	if c.applied < c.commit {
		r.Committed = slices.Clone(c.entries[c.applied-c.offset : c.commit-c.offset])
		c.applied = c.commit
	}
	return r
}

// Advance says that what Ready returned is on disk. A leader that is no longer
// a voter steps down once that is committed.
func (c *Core) Advance() {
	c.stable = c.unstable - 1
	if c.role != RoleLeader {
		return
	}
	c.leaderCommit()
	removed := !c.isVoter(c.config.ID)
	if removed && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.broadcast()
		c.becomeFollower(c.hard.Term, "")
	}
}

// TakeSnapshot remembers the state at an applied index, and drops the entries
// before it but for the number to keep for members that are a little behind.
func (c *Core) TakeSnapshot(index uint64, data json.RawMessage, keep uint64) Snapshot {
	c.snapshot = Snapshot{Index: index, Term: c.termAt(index), Members: c.membersAt(index), Data: data}
	cut := c.offset
	if index > keep {
		cut = max(cut, index-keep)
	}
	c.offsetTerm = c.termAt(cut)
	c.entries = slices.Clone(c.entries[cut-c.offset:])
	c.offset = cut
	for len(c.memberships) > 1 && c.memberships[1].index <= cut {
		c.memberships = c.memberships[1:]
	}
	return c.snapshot
}

// Retained returns the entries after the snapshot.
func (c *Core) Retained() []Entry {
	return slices.Clone(c.entries[c.snapshot.Index-c.offset:])
}
