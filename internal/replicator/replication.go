package replicator

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// snapshotReplyTimeout is how long a leader waits for the reply to a snapshot, or to
	// a later message, before it sends the snapshot again.
	snapshotReplyTimeout = 5 * time.Second
	// probeAfterHeartbeats is the number of heartbeat intervals without any reply
	// after which a member is probed.
	probeAfterHeartbeats = 3
)

// progress is the replication progress of another member, as the leader knows it.
type progress struct {
	// matchIndex is the index of the last entry known to be on the member's disk. It falls
	// only if the member turns out to lack entries that it acknowledged.
	matchIndex uint64
	// matchSentAt is the SentAt of the message whose answer raised matchIndex last.
	matchSentAt time.Duration
	// nextIndex is the index of the next entry to send; it is always above matchIndex.
	nextIndex uint64
	// ackedSentAt is the latest SentAt of a message that the member has answered.
	ackedSentAt time.Duration
	// answeredAt is when an answer of the member last arrived; zero if none has.
	answeredAt time.Duration
	// reply is the time of the last reply that arrived within this leader's lease.
	reply replyTime
	// trackedSince is when this leader began to track the member.
	trackedSince time.Duration
	// snapshotSentAt is when a snapshot was sent whose reply is outstanding; zero if there is none.
	snapshotSentAt time.Duration
	// probing is set while nextIndex is not confirmed to match the member's
	// log. The member then gets appends without entries, one per heartbeat or
	// reply. It ends with the answer to a message that was sent at probedAt or later.
	probing bool
	// probedAt is when probing began.
	probedAt time.Duration
	// leavingUntil is the time until which the member is taken for one that stops.
	leavingUntil time.Duration
	// highestSent is the highest index of an entry that the member was sent.
	highestSent uint64
}

func (c *Core) lastIndex() uint64 {
	return c.compactedIndex + uint64(len(c.entries))
}

func (c *Core) lastTerm() uint64 {
	return c.termAt(c.lastIndex())
}

// termAt returns the term of the entry at index, or zero if the log does not
// hold the entry.
func (c *Core) termAt(index uint64) uint64 {
	switch {
	case index == c.compactedIndex:
		return c.compactedTerm
	case index < c.compactedIndex || index > c.lastIndex():
		return 0
	default:
		return c.entries[index-c.compactedIndex-1].Term
	}
}

// Propose appends data to the log and returns the index of its entry. Ready
// returns the committed entry of that index in Committed: the proposal itself,
// or, if it was lost, an entry of another term. Propose returns ErrNotLeader if
// this member does not lead or transfers its leadership.
func (c *Core) Propose(data json.RawMessage) (uint64, error) {
	if c.role != RoleLeader || c.transferring {
		return 0, ErrNotLeader
	}
	return c.appendEntry(Entry{Data: data}), nil
}

// Flush sends the proposed entries to the other members.
func (c *Core) Flush() {
	if c.role != RoleLeader {
		return
	}
	for id, p := range c.sortedPeers() {
		c.sendNewEntries(id, p)
	}
}

func (c *Core) appendEntry(e Entry) uint64 {
	e.Index = c.lastIndex() + 1
	e.Term = c.hardState.Term
	c.entries = append(c.entries, e)
	c.recordMembership(e)
	if e.Members != nil {
		c.updatePeers()
	}
	return e.Index
}

// sortedPeers iterates over the peers in the order of the membership, so that
// the order of messages is deterministic.
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

// broadcastHeartbeat sends a heartbeat to each other member. A member of which nothing
// came for probeAfterHeartbeats intervals is probed from then on, so that entries do not
// accumulate in the network on the way to it.
func (c *Core) broadcastHeartbeat() {
	c.nextHeartbeat = c.now + c.config.HeartbeatInterval
	for id, p := range c.sortedPeers() {
		silence := c.now - max(p.answeredAt, c.electedAt)
		if !p.probing && silence > probeAfterHeartbeats*c.config.HeartbeatInterval {
			c.probe(p, p.matchIndex+1)
		}
		c.sendAppend(id, p)
	}
}

// probe makes the next append to the member one without entries, before nextIndex.
func (c *Core) probe(p *progress, nextIndex uint64) {
	c.stats.Probes++
	p.probing, p.probedAt = true, c.now
	p.nextIndex = nextIndex
}

// sendAppend sends an append, or a snapshot if the log no longer holds the
// entries that the member needs. The append carries no entries if the member is
// probed or has too many unacknowledged entries.
func (c *Core) sendAppend(id string, p *progress) {
	if p.nextIndex <= c.compactedIndex {
		c.sendSnapshot(id, p)
		return
	}
	previousIndex := p.nextIndex - 1
	lastSent := previousIndex
	if !p.probing && !c.isWindowFull(p) {
		lastSent = c.lastOfBatch(previousIndex)
	}
	var entries []Entry
	if lastSent > previousIndex {
		entries = slices.Clone(c.entries[previousIndex-c.compactedIndex : lastSent-c.compactedIndex])
	}
	reply := c.replyCoveredByCommit(p)
	c.sendBeforeSync(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   previousIndex,
		LogTerm: c.termAt(previousIndex),
		Entries: entries,
		Commit:  c.commitIndex,
		SentAt:  c.now,

		ReplySentAt: reply.sentAt,
		ReplyLife:   reply.life,
		Patience:    c.patience,
	})
	c.countEntries(p, previousIndex, lastSent)
	p.nextIndex = lastSent + 1
}

// sendSnapshot sends the latest snapshot. Within snapshotReplyTimeout of a
// snapshot that was not answered, it sends an append without entries instead.
func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotSentAt != 0 && c.now-p.snapshotSentAt < snapshotReplyTimeout {
		c.sendBeforeSync(Message{
			Kind: MessageAppend, To: id, Index: p.matchIndex, LogTerm: c.termAt(p.matchIndex), SentAt: c.now, Patience: c.patience,
		})
		return
	}
	p.snapshotSentAt = c.now
	c.stats.SentSnapshots++
	snapshot := c.snapshot
	c.sendBeforeSync(Message{Kind: MessageSnapshot, To: id, Snapshot: &snapshot, SentAt: c.now, Patience: c.patience})
}

func (c *Core) handleAppend(m Message) {
	if c.role != RoleFollower {
		c.becomeFollower(m.Term, m.From)
	}
	c.recordLeaderContact(m)
	reply := c.mergeAppend(m)
	c.recordCurrent(m)
	c.sendAfterSync(reply)
}

// mergeAppend takes over what the log does not hold of an append, and returns the reply.
func (c *Core) mergeAppend(m Message) Message {
	reply := Message{
		Kind: MessageAppendReply, To: m.From, SentAt: m.SentAt, ReplySentAt: c.now, ReplyLife: c.config.Life,
	}
	if m.Index < c.commitIndex {
		reply.Index = c.commitIndex
		return reply
	}
	if m.Index > c.lastIndex() || c.termAt(m.Index) != m.LogTerm {
		reply.Reject = true
		reply.Rejected = m.Index
		reply.Index = min(m.Index-1, c.lastIndex())
		return reply
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.advanceCommitIndex(min(m.Commit, reply.Index))
	return reply
}

func (c *Core) recordLeaderContact(m Message) {
	c.leader, c.lastLeader = m.From, m.From
	c.lastLeaderContact = c.now
	c.leaderPatience = min(m.Patience, c.maxPatience())
	c.resetElectionDeadline()
}

// mergeEntries appends the entries that the log does not hold. From the first
// entry with another term on, it replaces the entries of the log.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if c.termAt(e.Index) == e.Term && e.Index <= c.lastIndex() {
			continue
		}
		c.entries = slices.Clone(c.entries[:e.Index-c.compactedIndex-1])
		c.truncateMemberships(e.Index)
		c.lastStable = min(c.lastStable, e.Index-1)
		c.firstUnstable = min(c.firstUnstable, e.Index)
		c.entries = append(c.entries, entries[i:]...)
		for _, added := range entries[i:] {
			c.recordMembership(added)
		}
		return
	}
}

// advanceCommitIndex raises the commit index to index, but not beyond the log.
func (c *Core) advanceCommitIndex(index uint64) {
	c.commitIndex = max(c.commitIndex, min(index, c.lastIndex()))
}

func (c *Core) handleSnapshot(m Message) {
	if c.role != RoleFollower {
		c.becomeFollower(m.Term, m.From)
	}
	c.recordLeaderContact(m)
	reply := Message{Kind: MessageSnapshotReply, To: m.From, SentAt: m.SentAt}
	switch s := *m.Snapshot; {
	case s.Index <= c.commitIndex:
	case s.Index <= c.lastIndex() && c.termAt(s.Index) == s.Term:
		// The log agrees with the leader's up to the snapshot. The entries after it may have
		// been acknowledged, so they stay.
		c.advanceCommitIndex(s.Index)
	default:
		c.installSnapshot(s)
	}
	reply.Index = c.commitIndex
	c.sendAfterSync(reply)
}

// installSnapshot replaces the state and the whole log. The log must not hold the last entry
// of the snapshot: any entries after it then differ from the leader's.
func (c *Core) installSnapshot(s Snapshot) {
	c.snapshot = s
	c.pendingSnapshot = &s
	c.entries = nil
	c.compactedIndex = s.Index
	c.compactedTerm = s.Term
	c.lastStable = s.Index
	c.firstUnstable = s.Index + 1
	c.commitIndex = s.Index
	c.lastApplied = s.Index
	c.memberships = []membershipAt{{s.Index, s.Members}}
}

func (c *Core) handleAppendReply(m Message) {
	p, ok := c.peers[m.From]
	if c.role != RoleLeader || !ok {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.answeredAt = c.now
	c.recordReplyTime(m, p)
	if m.Kind == MessageSnapshotReply || m.SentAt >= p.snapshotSentAt+c.config.ElectionTimeout {
		// The snapshot has arrived, or is lost, since messages arrive in order.
		p.snapshotSentAt = 0
	}
	if m.Reject {
		c.stats.Rejections++
		if c.lacksAcknowledged(m, p) {
			// What the quorum has committed by these entries stays committed.
			c.stats.LostAcknowledged++
			p.matchIndex = min(p.matchIndex, m.Rejected-1, m.Index)
		}
		c.handleReject(m, p)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex, p.matchSentAt = m.Index, m.SentAt
	}
	if p.matchIndex >= c.compactedIndex {
		// The snapshot has arrived, even if the reply to it was lost.
		p.snapshotSentAt = 0
	}
	if p.probing && m.SentAt >= p.probedAt {
		// What was sent before the probe has arrived by now, or is lost.
		p.probing = false
		p.nextIndex = p.matchIndex + 1
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	c.commitAcknowledged()
	c.continueTransfer()
	c.sendNewEntries(m.From, p)
}

// lacksAcknowledged reports whether the rejection shows that the member lacks an entry that
// it has acknowledged: it rejects an append after such an entry that was sent later than
// what it acknowledged. A probe at an entry that the log no longer holds has no term, so
// its rejection shows nothing.
func (c *Core) lacksAcknowledged(m Message, p *progress) bool {
	return m.Rejected <= p.matchIndex && m.Rejected >= c.compactedIndex && m.SentAt > p.matchSentAt
}

// handleReject moves nextIndex back to where the member's log may match, and
// probes the member there. It ignores a rejection that is out of date: one at
// or below matchIndex, or of another append than the latest probe.
func (c *Core) handleReject(m Message, p *progress) {
	stale := m.Rejected <= p.matchIndex || (p.probing && m.Rejected != p.nextIndex-1)
	if stale || p.snapshotSentAt != 0 {
		return
	}
	c.probe(p, max(p.matchIndex, min(m.Rejected-1, m.Index))+1)
	c.sendAppend(m.From, p)
}

// commitAcknowledged advances the commit index to the last entry that a quorum
// has on disk, if that entry is of the current term. An entry of an earlier
// term is committed only along with a later entry of the current term.
func (c *Core) commitAcknowledged() {
	quorumIndex := quorumValue(c, func(id string) uint64 {
		if id == c.config.ID {
			return c.lastStable
		}
		if p, ok := c.peers[id]; ok {
			return p.matchIndex
		}
		return 0
	})
	if quorumIndex > c.commitIndex && c.termAt(quorumIndex) == c.hardState.Term {
		c.commitIndex = quorumIndex
	}
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return len(c.beforeSync)+len(c.afterSync) > 0 || c.pendingSnapshot != nil || c.hardState != c.savedHardState ||
		c.firstUnstable <= c.lastIndex() || c.lastApplied < c.commitIndex
}

// Ready returns the outstanding work. The caller must call Advance before it
// calls Ready again. If the hard state has changed, all messages are returned in
// MessagesAfterSync, since they may depend on it.
func (c *Core) Ready() Ready {
	r := Ready{MessagesBeforeSync: c.beforeSync, MessagesAfterSync: c.afterSync, Snapshot: c.pendingSnapshot, Commit: c.commitIndex}
	c.beforeSync, c.afterSync, c.pendingSnapshot = nil, nil, nil
	if c.hardState != c.savedHardState {
		hardState := c.hardState
		r.HardState = &hardState
		c.savedHardState = hardState
		r.MessagesAfterSync = append(r.MessagesBeforeSync, r.MessagesAfterSync...)
		r.MessagesBeforeSync = nil
	}
	if c.firstUnstable <= c.lastIndex() {
		r.Entries = slices.Clone(c.entries[c.firstUnstable-c.compactedIndex-1:])
		c.firstUnstable = c.lastIndex() + 1
	}
	if c.lastApplied < c.commitIndex {
		r.Committed = slices.Clone(c.entries[c.lastApplied-c.compactedIndex : c.commitIndex-c.compactedIndex])
		c.lastApplied = c.commitIndex
	}
	return r
}

// Advance reports that the work of the last Ready is on disk. A leader that is
// no longer a voter steps down once the membership without it is committed.
func (c *Core) Advance() {
	c.lastStable = c.firstUnstable - 1
	if c.role != RoleLeader {
		return
	}
	c.commitAcknowledged()
	removed := !c.isVoter(c.config.ID)
	if removed && c.memberships[len(c.memberships)-1].index <= c.commitIndex {
		c.broadcastHeartbeat()
		c.becomeFollower(c.hardState.Term, "")
	}
}
