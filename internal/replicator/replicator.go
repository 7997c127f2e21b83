// Package replicator implements the consensus core of the replicated log, in
// the manner of Raft: elections with pre-vote, a leadership lease, log
// replication, snapshots and membership changes of one voter at a time. The
// core is a deterministic state machine: the caller passes in messages and the
// current time, and performs the work that Ready returns. The core does no
// input or output, reads no clock and starts no goroutine.
package replicator

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// Member is one control process that takes part in the replicated log.
type Member struct {
	// ID is generated when the member's data folder is formatted, and stored there.
	ID      string `json:"id"`
	Address string `json:"address"`
	// Voter is false for a learner, which has no vote until it has caught up.
	Voter bool `json:"voter"`
}

// Entry is one record of the log. At most one of Data and Members is set; the
// entry that a new leader appends at the start of its term has neither.
type Entry struct {
	Index uint64          `json:"index"`
	Term  uint64          `json:"term"`
	Data  json.RawMessage `json:"data,omitempty"`
	// Members is the complete membership that applies from this entry on.
	Members []Member `json:"members,omitempty"`
}

// HardState is the state of elections that must be on disk before any message
// that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot is the state of the application at Index, with the membership that
// applies there.
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
	// MessageTimeoutNow is sent by a leader that transfers its leadership: the
	// receiver starts an election at once.
	MessageTimeoutNow MessageKind = "campaign"
	// MessageLeave is sent to the leader by a voter that is about to stop.
	MessageLeave MessageKind = "leave"
)

// Message is sent from one member to another. It may be lost, duplicated,
// delayed or reordered.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm identify the last entry of a candidate's log, or the
	// entry that precedes Entries.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Rejected is the Index of the append that a reply rejects. The Index of
	// such a reply is the last entry at which the two logs may agree.
	Rejected uint64 `json:"rejected,omitempty"`
	// SentAt is the time of the leader's clock when it sent the message; the
	// reply repeats it.
	SentAt time.Duration `json:"sentAt,omitempty"`
	// ReplySentAt is the time of the follower's clock when it made a reply to an append.
	// In an append it is that of an earlier reply of the receiver, and states that nothing
	// was committed beyond Commit by then; zero if the leader can't state that of any.
	ReplySentAt time.Duration `json:"replySentAt,omitempty"`
	// ReplyLife is the Life of the follower whose clock ReplySentAt is of.
	ReplyLife uint64 `json:"replyLife,omitempty"`
	// Patience is by how much longer than usual the receiver of an append or a snapshot
	// waits for the leader before it starts an election, or votes in one.
	Patience time.Duration `json:"patience,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
	// ArrivedAt is the time of the receiver's clock at which the message had arrived, which may
	// be before Step gets it; zero if it is not known.
	ArrivedAt time.Duration `json:"-"`
	// Transferred is set in the vote requests of a leadership transfer: the
	// leader has given up its lease for the candidate.
	Transferred bool `json:"transferred,omitempty"`
}

// Ready holds the work that the caller has to do, in this order: send
// MessagesBeforeSync; save Snapshot, HardState and Entries and sync them; call
// Advance; send MessagesAfterSync; apply Committed.
type Ready struct {
	MessagesBeforeSync []Message
	// Snapshot, if not nil, replaces the state and the log.
	Snapshot  *Snapshot
	HardState *HardState
	// Entries replace all entries of the log from the index of the first one on.
	Entries []Entry
	// Commit is the commit index. It causes no write of its own, but is saved
	// with the other fields, so that a restarted member can at once apply the
	// entries that it knows to be committed.
	Commit            uint64
	MessagesAfterSync []Message
	Committed         []Entry
}

// Role is the role of a member in its current term.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Config holds the settings of a Core.
type Config struct {
	ID string
	// ElectionTimeout is the minimum time without contact to a leader after
	// which a follower starts an election; the actual timeout is random, up to
	// twice that. Within ElectionTimeout of that contact it grants no vote. A leader that
	// is late may ask for up to twice ElectionTimeout more.
	ElectionTimeout time.Duration
	// HeartbeatInterval must be well below ElectionTimeout.
	HeartbeatInterval time.Duration
	// LeaseDuration must be below ElectionTimeout by a margin that covers the
	// differences between the rates of the members' clocks.
	LeaseDuration time.Duration
	// MaxBatch is the maximum number of entries in one message. It is positive.
	MaxBatch int
	// Seed initializes the random choice of election timeouts.
	Seed uint64
	// Life differs between the starts of a member, whose clock may show the same times
	// again after a start.
	Life uint64
}

// RestoredState is the state that a member reads from its disk at startup.
type RestoredState struct {
	HardState HardState
	// Snapshot has index zero if none was taken; its Members are then the
	// initial membership of the cell.
	Snapshot Snapshot
	Entries  []Entry
	// Commit is an index up to which the entries are known to be committed.
	Commit uint64
}

// membershipAt is the membership that applies from an index on.
type membershipAt struct {
	index   uint64
	members []Member
}

// Core is the consensus state of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	now    time.Duration

	role           Role
	hardState      HardState
	savedHardState HardState
	leader         string
	votes          map[string]bool
	// heardAt is when a message of a member last arrived, in any role of this one.
	heardAt map[string]time.Duration
	// electionDeadline is when a follower starts an election, or a candidate starts another one.
	electionDeadline time.Duration
	// lastLeaderContact is when the member last had contact to a leader, or when it started.
	lastLeaderContact time.Duration
	// ledUntil is when the member last stopped leading; zero if it has not.
	ledUntil time.Duration
	// patience is what this member asks for as a leader, leaderPatience what the leader
	// has asked for; zero if none is known. Both are at most maxPatience.
	patience, leaderPatience time.Duration
	// currentAsOf is the latest time up to which nothing was committed beyond the commit
	// index, as a leader has stated; zero if none has.
	currentAsOf time.Duration
	// nextHeartbeat is when a leader sends the next heartbeats.
	nextHeartbeat time.Duration
	// lastLeader is the last leader that this member has followed.
	lastLeader string
	// campaignSince is when the current or last series of elections began.
	campaignSince time.Duration
	// electedAt is when the member became leader.
	electedAt time.Duration
	// transferring is set on a leader that transfers its leadership: it holds no
	// lease and accepts no proposals.
	transferring bool
	// transferSent is set once a member was asked to take over.
	transferSent bool
	// transferDeadline is when a leader that transfers its leadership steps
	// down even if no other member was elected.
	transferDeadline time.Duration
	// campaignTransfer is set while the member campaigns because a leader
	// transfers its leadership to it.
	campaignTransfer bool

	snapshot Snapshot
	// entries begin at compactedIndex+1.
	entries []Entry
	// compactedIndex is the last index that was dropped from the log; it is
	// never above snapshot.Index. compactedTerm is the term of its entry.
	compactedIndex uint64
	compactedTerm  uint64
	// lastStable is the last index known to be on disk.
	lastStable uint64
	// firstUnstable is the first index that Ready has not returned yet.
	firstUnstable uint64
	commitIndex   uint64
	lastApplied   uint64
	memberships   []membershipAt
	peers         map[string]*progress

	stats           Stats
	pendingSnapshot *Snapshot
	beforeSync      []Message
	afterSync       []Message
}

// New returns a core that starts as a follower at time now.
func New(config Config, restored RestoredState, now time.Duration) *Core {
	c := &Core{
		config:            config,
		random:            rand.New(rand.NewPCG(config.Seed, config.Seed)),
		now:               now,
		hardState:         restored.HardState,
		savedHardState:    restored.HardState,
		snapshot:          restored.Snapshot,
		entries:           slices.Clone(restored.Entries),
		compactedIndex:    restored.Snapshot.Index,
		compactedTerm:     restored.Snapshot.Term,
		commitIndex:       restored.Snapshot.Index,
		lastApplied:       restored.Snapshot.Index,
		lastLeaderContact: now,
		heardAt:           map[string]time.Duration{},
	}
	c.memberships = []membershipAt{{restored.Snapshot.Index, restored.Snapshot.Members}}
	for _, e := range c.entries {
		c.recordMembership(e)
	}
	c.lastStable = c.lastIndex()
	c.firstUnstable = c.lastStable + 1
	c.advanceCommitIndex(restored.Commit)
	c.becomeFollower(c.hardState.Term, "")
	return c
}

// Role returns the current role of the member.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Leader returns the ID of the leader, or the empty string if none is known.
func (c *Core) Leader() string { return c.leader }

// Commit returns the commit index: the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commitIndex }

// LastIndex returns the index of the last entry of the log, committed or not.
func (c *Core) LastIndex() uint64 { return c.lastIndex() }

// Members returns the latest membership in the log, which applies even before
// its entry is committed. The caller must not modify it.
func (c *Core) Members() []Member {
	return c.memberships[len(c.memberships)-1].members
}

// Tick advances the time of the core; a time before the current one is
// ignored. It sends heartbeats or starts an election where one is due.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	c.decayPatience()
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.campaign(true)
	}
}

// Step handles a message that was received at time now.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	c.recordHeard(m.From)
	if m.Term > c.hardState.Term && !c.handleHigherTerm(m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.replyToOldTerm(m)
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
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	case MessageLeave:
		c.handleLeave(m)
	}
}

// handleHigherTerm handles a message of a term above the current one. It
// reports whether Step has to go on with the message: it moves to the term of
// the message, except for a pre-vote and its grant, which must not change the
// term, and for a vote request while a leader may hold a lease.
func (c *Core) handleHigherTerm(m Message) bool {
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
		if c.hasRecentLeader() && !m.Transferred {
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
