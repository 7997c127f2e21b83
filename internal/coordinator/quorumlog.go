package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// missingQuorumLogAfter is the time without a leader after which a voter logs why it
	// is not elected. An election takes less.
	missingQuorumLogAfter = time.Second
	// missingQuorumLogInterval is the minimum interval of that log line.
	missingQuorumLogInterval = time.Second
	// stalledCommitLogAfter is the time without a commit after which a leader that holds its
	// lease logs which members answer. A commit takes two syncs.
	stalledCommitLogAfter = time.Second
	// stalledCommitLogInterval is the minimum interval of that log line.
	stalledCommitLogInterval = time.Second
	// lostAcknowledgedLogInterval is the minimum interval of the log line on entries that a
	// member acknowledged and lacks.
	lostAcknowledgedLogInterval = time.Second
	// neverHeard is logged instead of the time since a member was heard.
	neverHeard = -1
)

// proposedChange is a change of the membership that this member has proposed as the leader.
type proposedChange struct {
	index      uint64
	reason     string
	proposedAt time.Duration
	// heard holds the members before the change.
	heard []heardMember
}

// heardMember is a member as it appears in the log.
type heardMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	// HeardMillisAgo is the time since a message of the member last arrived.
	HeardMillisAgo int64 `json:"heardMillisAgo"`
}

// heardMembers returns the members with the time since each was last heard; zero for this
// member itself.
func (c *Coordinator) heardMembers() []heardMember {
	var heard []heardMember
	for _, m := range c.core.Members() {
		h := heardMember{ID: m.ID, Address: m.Address, Voter: m.Voter, HeardMillisAgo: neverHeard}
		if since, ok := c.core.SinceHeard(m.ID); ok {
			h.HeardMillisAgo = since.Milliseconds()
		}
		if m.ID == c.Identity().Member {
			h.HeardMillisAgo = 0
		}
		heard = append(heard, h)
	}
	return heard
}

// logMissingQuorum logs at most once per missingQuorumLogInterval which members answer
// while no leader is known for missingQuorumLogAfter.
func (c *Coordinator) logMissingQuorum() {
	now := c.Now()
	since := c.core.SinceLeaderContact()
	if c.core.Leader() != "" || since < missingQuorumLogAfter || now < c.nextMissingQuorumLog {
		return
	}
	c.nextMissingQuorumLog = now + missingQuorumLogInterval
	members := c.heardMembers()
	votes := false
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
			votes = votes || m.ID == c.Identity().Member
		}
	}
	c.options.Log.Warn("no leader", zap.Duration("since", since), zap.Bool("votes", votes),
		zap.Int("votesNeeded", voters/2+1), zap.Uint64("term", c.core.Term()), zap.Uint64("lastIndex", c.core.LastIndex()),
		zap.Uint64("commit", c.core.Commit()), zap.Any("members", members))
}

// checkCommit records since when this leader has committed nothing although entries wait and
// a quorum renews its lease, and logs at most once per stalledCommitLogInterval how far
// behind each member is.
func (c *Coordinator) checkCommit() {
	now, commit := c.Now(), c.core.Commit()
	if c.core.LeaseUntil() <= now || commit == c.core.LastIndex() || commit != c.lastCommit {
		c.lastCommit, c.lastCommitAt = commit, now
	}
	stalled := now - c.lastCommitAt
	c.commitStalledFor.Store(int64(stalled))
	if stalled < stalledCommitLogAfter || now < c.nextStalledCommitLog {
		return
	}
	c.nextStalledCommitLog = now + stalledCommitLogInterval
	c.options.Log.Error("nothing is committed although a quorum answers", zap.Duration("for", stalled),
		zap.Uint64("term", c.core.Term()), zap.Uint64("commit", commit), zap.Uint64("lastIndex", c.core.LastIndex()),
		zap.Any("members", c.Members()))
}

// CommitStalledFor returns for how long this leader has committed nothing although entries
// wait and a quorum renews its lease. It is zero for a follower.
func (c *Coordinator) CommitStalledFor() time.Duration {
	return time.Duration(c.commitStalledFor.Load())
}

// logLostAcknowledged logs at most once per lostAcknowledgedLogInterval that a member lacks
// entries that it acknowledged, with the count of such rejections since the start.
func (c *Coordinator) logLostAcknowledged(rejections uint64) {
	now := c.Now()
	if now < c.nextLostAcknowledgedLog {
		return
	}
	c.nextLostAcknowledgedLog = now + lostAcknowledgedLogInterval
	c.options.Log.Error("a member lacks entries that it acknowledged", zap.Uint64("rejections", rejections),
		zap.Uint64("commit", c.core.Commit()), zap.Uint64("lastIndex", c.core.LastIndex()), zap.Any("members", c.Members()))
}

// recordProposedChange keeps what logCommittedChange needs once the change is committed.
func (c *Coordinator) recordProposedChange(index uint64, reason string, before []heardMember) {
	c.proposedChange = proposedChange{index: index, reason: reason, proposedAt: c.Now(), heard: before}
}

// logCommittedChange logs a change of the membership once it is committed.
func (c *Coordinator) logCommittedChange(e replicator.Entry) {
	if e.Members == nil || c.core.Role() != replicator.RoleLeader {
		return
	}
	fields := []zap.Field{zap.Uint64("index", e.Index), zap.Uint64("term", e.Term), zap.Any("members", e.Members)}
	if p := c.proposedChange; p.index == e.Index {
		fields = append(fields, zap.String("reason", p.reason), zap.Duration("took", c.Now()-p.proposedAt),
			zap.Any("before", p.heard))
	}
	c.options.Log.Info("membership change committed", fields...)
}
