// Package replicator is the core of the replicated log: elections with
// pre-vote, a leadership lease, replication, snapshots and one-at-a-time
// membership changes. It is a step function: the caller brings messages and
// the time, and carries out what Ready returns. It does no input or output,
// reads no clock and starts no goroutine.
package replicator

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// Member is one instance of control.
type Member struct {
	// ID is drawn when the member's data folder is formatted; it stands on its disk.
	ID      string `json:"id"`
	Address string `json:"address"`
	// Voter is false until the member has caught up.
	Voter bool `json:"voter"`
}

// Entry is one record of the log. Either Data or Members is set, or neither.
type Entry struct {
	Index uint64          `json:"index"`
	Term  uint64          `json:"term"`
	Data  json.RawMessage `json:"data,omitempty"`
	// Members is the whole membership that holds from this entry on.
	Members []Member `json:"members,omitempty"`
}

// HardState must be on disk before any message that follows from it leaves.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot is the state at an index, with the membership that held there.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data"`
}

// MessageKind is the kind of a message between members.
type MessageKind string

// The kinds of messages.
const (
	MessagePreVote       MessageKind = "preVote"
	MessagePreVoteReply  MessageKind = "preVoteReply"
	MessageVote          MessageKind = "vote"
	MessageVoteReply     MessageKind = "voteReply"
	MessageAppend        MessageKind = "append"
	MessageAppendReply   MessageKind = "appendReply"
	MessageSnapshot      MessageKind = "snapshot"
	MessageSnapshotReply MessageKind = "snapshotReply"
	// MessageCampaign is from a leader that hands over.
	MessageCampaign MessageKind = "campaign"
)

// Message goes from one member to another. It may be lost, repeated or late.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm are the last entry of a candidate, or the entry before Entries.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Rejected is the Index of the append that a reply rejects; Index then is
	// the last entry that may agree.
	Rejected uint64 `json:"rejected,omitempty"`
	// SentAt is the leader's clock; a reply brings it back.
	SentAt   time.Duration `json:"sentAt,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
	// Transferred says that the leader gave up its lease for the candidate.
	Transferred bool `json:"transferred,omitempty"`
}

// Ready is what the caller has to do, in this order: send Early, save
// Snapshot, HardState and Entries and sync them, call Advance, send Late,
// apply Committed.
type Ready struct {
	Early []Message
	// Snapshot, where set, replaces the state and the log.
	Snapshot  *Snapshot
	HardState *HardState
	// Entries replace all entries from the index of the first one on.
	Entries []Entry
	// Commit is saved along with what is saved anyway, so that a member that
	// starts again can apply at once what it knows to be committed.
	Commit    uint64
	Late      []Message
	Committed []Entry
}

// Role is what a member does in its term.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Config holds the settings of a core.
type Config struct {
	ID string
	// ElectionTimeout is the shortest silence after which a follower campaigns;
	// the longest is twice that. Followers grant no vote within it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is well below ElectionTimeout.
	HeartbeatInterval time.Duration
	// LeaseDuration is below ElectionTimeout by the margin for clock rates.
	LeaseDuration time.Duration
	// MaxBatch bounds the entries of one message.
	MaxBatch int
	// Seed feeds the spread of election timeouts.
	Seed uint64
}

// Restored is what a member finds on its disk.
type Restored struct {
	HardState HardState
	// Snapshot is at index zero where none was taken; Members then is the
	// membership at the format of the cell.
	Snapshot Snapshot
	Entries  []Entry
	// Commit is an index up to which the log is known to be committed.
	Commit uint64
}

// membershipAt is the membership that holds from an index on.
type membershipAt struct {
	index   uint64
	members []Member
}

// progress is what a leader knows of another member.
type progress struct {
	// match is the last entry known to be on the member's disk.
	match uint64
	// next is the next entry to send; always above match.
	next uint64
	// acked is the latest SentAt that the member has answered.
	acked time.Duration
	// since is when the member became known to this leader.
	since time.Duration
	// snapshotAt is when a snapshot was sent that has not been answered; zero for none.
	snapshotAt time.Duration
	// probing members get empty appends, one a heartbeat or answer, until next
	// is known to follow what they have.
	probing bool
}

// Core is the replicated log of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	now    time.Duration

	role   Role
	hard   HardState
	saved  HardState
	leader string
	votes  map[string]bool
	// deadline is when a follower campaigns or a candidate tries again.
	deadline time.Duration
	// heard is when a leader was last heard of, or the start.
	heard time.Duration
	// nextHeartbeat is when a leader sends again without news.
	nextHeartbeat time.Duration
	// elected is when the member became leader.
	elected time.Duration
	// transferring leaders hand over: they have no lease and take no proposals.
	transferring bool
	// transferUntil is when a leader that hands over steps down in any case.
	transferUntil time.Duration
	// transferred is set while the member campaigns on the word of the leader.
	transferred bool

	snapshot Snapshot
	// entries start right after offset.
	entries []Entry
	// offset is the index before entries[0]; never above snapshot.Index.
	offset     uint64
	offsetTerm uint64
	// stable is the last index known to be on disk.
	stable uint64
	// unstable is the first index not yet returned by Ready.
	unstable    uint64
	commit      uint64
	applied     uint64
	memberships []membershipAt
	peers       map[string]*progress

	pendingSnapshot *Snapshot
	early           []Message
	late            []Message
}

// New returns a core that starts as a follower at the time.
func New(config Config, restored Restored, now time.Duration) *Core {
	c := &Core{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed)),
		now:        now,
		hard:       restored.HardState,
		saved:      restored.HardState,
		snapshot:   restored.Snapshot,
		entries:    slices.Clone(restored.Entries),
		offset:     restored.Snapshot.Index,
		offsetTerm: restored.Snapshot.Term,
		commit:     restored.Snapshot.Index,
		applied:    restored.Snapshot.Index,
		heard:      now,
	}
	c.memberships = []membershipAt{{restored.Snapshot.Index, restored.Snapshot.Members}}
	for _, e := range c.entries {
		c.noteMembership(e)
	}
	c.stable = c.lastIndex()
	c.unstable = c.stable + 1
	c.advanceCommit(restored.Commit)
	c.becomeFollower(c.hard.Term, "")
	return c
}

// Role returns what the member does now.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Leader returns the id of the leader, or empty where none is known.
func (c *Core) Leader() string { return c.leader }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() uint64 { return c.lastIndex() }

// Members returns the membership that holds now.
func (c *Core) Members() []Member {
	return c.memberships[len(c.memberships)-1].members
}

// Tick brings the time, which never goes back.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.deadline && c.isVoter(c.config.ID) {
		c.campaign(true)
	}
}

// Step takes one message at the time.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	if m.Term > c.hard.Term && !c.raiseTerm(m) {
		return
	}
	if m.Term < c.hard.Term {
		c.answerOldTerm(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend:
		c.handleAppend(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	case MessageAppendReply, MessageSnapshotReply:
		c.handleAppendReply(m)
	case MessageCampaign:
		c.handleCampaign(m)
	}
}

// raiseTerm moves to the term of the message, and reports whether the message
// is to be handled at all.
func (c *Core) raiseTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
		return false
	case MessagePreVoteReply:
		if m.Reject {
			c.becomeFollower(m.Term, "")
			return false
		}
		c.handleVoteReply(m)
		return false
	case MessageVote:
		if c.hearsLeader() && !m.Transferred {
			return false
		}
		c.becomeFollower(m.Term, "")
	case MessageAppend, MessageSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, "")
	}
	return true
}

// answerOldTerm tells a leader or a candidate of an older term the newer one.
func (c *Core) answerOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.sendLate(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: c.commit})
	case MessagePreVote:
		c.sendLate(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) sendLate(m Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.late = append(c.late, m)
}

func (c *Core) sendEarly(m Message) {
	m.From = c.config.ID
	m.Term = c.hard.Term
	c.early = append(c.early, m)
}
