package replicator

import (
	"cmp"
	"errors"
	"slices"
)

// The errors of Propose and ProposeMembers. A proposal that was refused with
// one of them is not in the log.
var (
	ErrNotLeader            = errors.New("not the leader")
	ErrChangePending        = errors.New("another membership change is pending")
	ErrNoCommitInTerm       = errors.New("the leader has not committed in its term yet")
	ErrMultipleVoterChanges = errors.New("more than one voter would change")
	ErrNoVoters             = errors.New("no voter would be left")
)

func (c *Core) isVoter(id string) bool {
	return slices.ContainsFunc(c.Members(), func(m Member) bool { return m.ID == id && m.Voter })
}

func (c *Core) voterCount() int {
	return countVoters(c.Members())
}

func countVoters(members []Member) int {
	count := 0
	for _, m := range members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (c *Core) hasQuorum(votes map[string]bool) bool {
	count := 0
	for _, m := range c.Members() {
		if m.Voter && votes[m.ID] {
			count++
		}
	}
	return count > c.voterCount()/2
}

// quorumValue returns the largest value that a quorum of voters has reached or
// exceeded.
func quorumValue[T cmp.Ordered](c *Core, value func(id string) T) T {
	var values []T
	for _, m := range c.Members() {
		if m.Voter {
			values = append(values, value(m.ID))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (c *Core) recordMembership(e Entry) {
	if e.Members != nil {
		c.memberships = append(c.memberships, membershipAt{e.Index, e.Members})
	}
}

// truncateMemberships drops the memberships of the entries from index on, which
// were replaced by others.
func (c *Core) truncateMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// membersAt returns the membership that applies at index.
func (c *Core) membersAt(index uint64) []Member {
	members := c.memberships[0].members
	for _, m := range c.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// ProposeMembers appends a new membership and returns the index of its entry.
// The new membership may differ from the current one by at most one voter.
func (c *Core) ProposeMembers(members []Member) (uint64, error) {
	if c.role != RoleLeader || c.transferring {
		return 0, ErrNotLeader
	}
	if c.memberships[len(c.memberships)-1].index > c.commitIndex {
		return 0, ErrChangePending
	}
	if c.termAt(c.commitIndex) != c.hardState.Term {
		return 0, ErrNoCommitInTerm
	}
	if countVoters(members) == 0 {
		return 0, ErrNoVoters
	}
	if votersMissingIn(c.Members(), members)+votersMissingIn(members, c.Members()) > 1 {
		return 0, ErrMultipleVoterChanges
	}
	index := c.appendEntry(Entry{Members: slices.Clone(members)})
	c.broadcastHeartbeat()
	return index, nil
}

// votersMissingIn counts the voters of left that are not voters in right.
func votersMissingIn(left, right []Member) int {
	count := 0
	for _, l := range left {
		isVoterInRight := func(r Member) bool { return r.ID == l.ID && r.Voter }
		if l.Voter && !slices.ContainsFunc(right, isVoterInRight) {
			count++
		}
	}
	return count
}

// updatePeers makes c.peers hold the progress of exactly the other members. A
// member that is new to the leader is probed first.
func (c *Core) updatePeers() {
	peers := map[string]*progress{}
	for _, m := range c.Members() {
		if m.ID == c.config.ID {
			continue
		}
		p, ok := c.peers[m.ID]
		if !ok {
			p = &progress{nextIndex: c.lastIndex() + 1, ackedSentAt: neverAcked, trackedSince: c.now, probing: true, probedAt: c.now}
		}
		peers[m.ID] = p
	}
	c.peers = peers
}

// Lag returns by how many entries the member's disk is behind the log, and
// whether the member has answered a message that was sent within the election
// timeout. It returns zero and false on a member that is not the leader, or if
// no entry is known to be on the member's disk.
func (c *Core) Lag(id string) (uint64, bool) {
	p, ok := c.peers[id]
	if !ok || p.matchIndex == 0 {
		return 0, false
	}
	return c.lastIndex() - p.matchIndex, c.now-p.ackedSentAt < c.config.ElectionTimeout+c.patience
}

// Missing returns the number and the total size of the entries up to index that are not
// known to be on the member's disk. Of entries that the log no longer holds the size is
// not counted.
func (c *Core) Missing(id string, index uint64) (uint64, int) {
	p, ok := c.peers[id]
	if !ok || p.matchIndex >= index {
		return 0, 0
	}
	return index - p.matchIndex, c.entryBytes(p.matchIndex, index)
}
