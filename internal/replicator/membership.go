package replicator

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// The errors of proposals. An entry that was refused with one of them is not in the log.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrChangePending = errors.New("another membership change is pending")
	ErrNotReady      = errors.New("the leader has not committed in its term yet")
	ErrManyChanges   = errors.New("more than one voter would change")
	ErrNoVoter       = errors.New("no voter would be left")
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

// quorumValue returns the largest value that a quorum of voters has reached.
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

func (c *Core) noteMembership(e Entry) {
	if e.Members != nil {
		c.memberships = append(c.memberships, membershipAt{e.Index, e.Members})
	}
}

// forgetMemberships drops those of entries from index on, which were replaced.
func (c *Core) forgetMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// membersAt returns the membership that held at the index.
func (c *Core) membersAt(index uint64) []Member {
	members := c.memberships[0].members
	for _, m := range c.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// ProposeMembers appends a new membership, in which at most one voter differs,
// and returns the index of its entry.
func (c *Core) ProposeMembers(members []Member) (uint64, error) {
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if c.memberships[len(c.memberships)-1].index > c.commit {
		return 0, ErrChangePending
	}
	if c.termAt(c.commit) != c.hard.Term {
		return 0, ErrNotReady
	}
	if countVoters(members) == 0 {
		return 0, ErrNoVoter
	}
	if voterDifference(c.Members(), members)+voterDifference(members, c.Members()) > 1 {
		return 0, ErrManyChanges
	}
	index := c.appendEntry(Entry{Members: slices.Clone(members)})
	c.broadcast()
	return index, nil
}

// voterDifference counts the voters of left that are no voters in right.
func voterDifference(left, right []Member) int {
	count := 0
	for _, l := range left {
		same := func(r Member) bool { return r.ID == l.ID && r.Voter }
		if l.Voter && !slices.ContainsFunc(right, same) {
			count++
		}
	}
	return count
}

// syncPeers keeps one progress for each other member.
func (c *Core) syncPeers() {
	known := map[string]*progress{}
	for _, m := range c.Members() {
		if m.ID == c.config.ID {
			continue
		}
		p, ok := c.peers[m.ID]
		if !ok {
			p = &progress{next: c.lastIndex() + 1, acked: neverAcked, since: c.now, probing: true}
		}
		known[m.ID] = p
	}
	c.peers = known
}

// Lag returns how many entries the member's disk is behind, and whether the
// leader hears from it. Only a leader knows.
func (c *Core) Lag(id string) (uint64, bool) {
	p, ok := c.peers[id]
	if !ok || p.match == 0 {
		return 0, false
	}
	return c.lastIndex() - p.match, c.now-p.acked < c.config.ElectionTimeout
}

// Silence returns how long the leader has not heard of the member. One that has
// never answered counts from the election, or from when it was added.
func (c *Core) Silence(id string) time.Duration {
	p, ok := c.peers[id]
	if !ok {
		return 0
	}
	return c.now - max(p.acked, p.since, c.elected)
}
