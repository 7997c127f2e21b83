package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// memberHealth is a member with its health, as the leader sees it.
type memberHealth struct {
	replicator.Member
	// ready is true if the member answers and has caught up.
	ready bool
	// sinceLastContact is the time since the leader last had contact to the
	// member; zero for the leader itself.
	sinceLastContact time.Duration
	// superseded is true if the member is silent and one that was added later has the same
	// address, which means that this one has lost its disk.
	superseded bool
	// leaving is true if the member has said that it is about to stop.
	leaving bool
}

// checkMembership proposes a change of the membership by one member if that
// repairs it.
func (c *Coordinator) checkMembership() {
	now := c.Now()
	isDue := now >= c.nextMembershipCheck
	if c.core.Role() != replicator.RoleLeader || (!isDue && !c.membershipChanged && !c.isVoterLeaving()) {
		return
	}
	c.membershipChanged = false
	healths := c.memberHealths()
	next, reason := repairMembership(healths, c.options.Voters)
	if isDue {
		c.nextMembershipCheck = now + membershipCheckInterval
		c.commitAtLastCheck = c.core.Commit()
	}
	if reason == "" {
		c.logMissingVoter(healths)
		return
	}
	before := c.heardMembers()
	index, err := c.core.ProposeMembers(next)
	if err != nil {
		c.options.Log.Warn("membership change not proposed", zap.String("reason", reason), zap.Error(err))
		return
	}
	c.recordProposedChange(index, reason, before)
	c.options.Log.Warn("membership change proposed", zap.String("reason", reason), zap.Any("members", next))
}

// isVoterLeaving reports whether a voter has little time left to hand over its vote.
func (c *Coordinator) isVoterLeaving() bool {
	return slices.ContainsFunc(c.core.Members(), func(m replicator.Member) bool { return m.Voter && c.core.IsLeaving(m.ID) })
}

// logMissingVoter logs the health of the members at most once per
// missingVoterLogInterval while a voter is lost or missing and no member can take its place.
func (c *Coordinator) logMissingVoter(healths []memberHealth) {
	summary := summarize(healths)
	isComplete := c.options.Voters == 0 || (summary.voters >= c.options.Voters && summary.lostVoter < 0)
	now := c.Now()
	if isComplete || now < c.nextMissingVoterLog {
		return
	}
	c.nextMissingVoterLog = now + missingVoterLogInterval
	type health struct {
		ID                 string `json:"id"`
		Voter              bool   `json:"voter"`
		Lag                uint64 `json:"lag"`
		Active             bool   `json:"active"`
		Ready              bool   `json:"ready"`
		Superseded         bool   `json:"superseded"`
		SinceContactMillis int64  `json:"sinceContactMillis"`
	}
	logged := make([]health, len(healths))
	for i, h := range healths {
		lag, active := c.core.Lag(h.ID)
		logged[i] = health{h.ID, h.Voter, lag, active, h.ready, h.superseded, h.sinceLastContact.Milliseconds()}
	}
	c.options.Log.Warn("no member can replace a missing voter",
		zap.Uint64("commit", c.core.Commit()), zap.Any("members", logged))
}

func (c *Coordinator) memberHealths() []memberHealth {
	members := c.core.Members()
	healths := make([]memberHealth, len(members))
	for i, m := range members {
		health := memberHealth{Member: m}
		if m.ID != c.Identity().Member {
			_, active := c.core.Lag(m.ID)
			// Answers to the latest entries are on their way, the more the busier the cell is.
			health.ready = active && hasCaughtUp(c.core.Missing(m.ID, c.commitAtLastCheck))
			health.sinceLastContact = c.core.SinceLastContact(m.ID)
			health.leaving = c.core.IsLeaving(m.ID)
		}
		health.superseded = isSuperseded(m, members[i+1:], health.sinceLastContact, c.options.Core.ElectionTimeout)
		healths[i] = health
	}
	return healths
}

// hasCaughtUp reports whether a member that lacks the entries of that size can vote: until
// it has read them, the cell has to wait for it if another voter is lost.
func hasCaughtUp(missing uint64, size int) bool {
	return missing <= maxPromotionLag && size <= maxPromotionLagBytes
}

// isSuperseded reports whether one of the members that were added later is at the address
// of the member, which has been silent for longer than the time. A member that answers is
// at its address itself, whatever another one says of its own.
func isSuperseded(m replicator.Member, later []replicator.Member, silence, atLeast time.Duration) bool {
	isAtSameAddress := func(other replicator.Member) bool { return other.Address == m.Address }
	return silence > atLeast && slices.ContainsFunc(later, isAtSameAddress)
}

// membershipSummary counts the voters, and holds the positions of the members
// that a repair may change; -1 stands for none.
type membershipSummary struct {
	voters int
	// lostVoter is a voter that has lost its disk, or else the one of those that do not
	// answer or are about to stop that has been silent for longest.
	lostVoter int
	// readyLearner is the first learner that has caught up.
	readyLearner int
	// lostLearner is a learner that does not answer or has lost its disk.
	lostLearner int
}

func summarize(healths []memberHealth) membershipSummary {
	c := membershipSummary{lostVoter: -1, readyLearner: -1, lostLearner: -1}
	for i, s := range healths {
		if s.Voter {
			c.voters++
		}
		switch {
		case s.Voter && (s.leaving || s.isLost(replaceVoterAfter)):
			c.lostVoter = moreLost(healths, c.lostVoter, i)
		case s.Voter:
		case s.isLost(removeLearnerAfter):
			c.lostLearner = i
		case s.ready && !s.leaving && c.readyLearner < 0:
			c.readyLearner = i
		}
	}
	return c
}

// isLost reports whether the member has lost its disk or does not answer for longer than
// the time.
func (h memberHealth) isLost(silence time.Duration) bool {
	return h.superseded || h.sinceLastContact > silence
}

// moreLost returns the position of the member that is less likely to vote again: it has
// lost its disk, or has not answered for longer. A negative position stands for no member.
func moreLost(healths []memberHealth, first, second int) int {
	if first < 0 {
		return second
	}
	a, b := healths[first], healths[second]
	if a.superseded == b.superseded && b.sinceLastContact > a.sinceLastContact || b.superseded && !a.superseded {
		return second
	}
	return first
}

// needsVoter reports whether one more voter is needed, be it in the place of a lost one.
func (c membershipSummary) needsVoter(wantedVoters int) bool {
	return wantedVoters == 0 || c.voters < wantedVoters || (c.voters == wantedVoters && c.lostVoter >= 0)
}

// isLostVoterReplaced reports whether there is a lost voter, and enough others.
func (c membershipSummary) isLostVoterReplaced(wantedVoters int) bool {
	return wantedVoters > 0 && c.voters > wantedVoters && c.lostVoter >= 0
}

// isDisklessVoterReplaceable reports whether there is a voter that has lost its disk, and
// a learner that can take its place.
func (c membershipSummary) isDisklessVoterReplaceable(healths []memberHealth, wantedVoters int) bool {
	return c.voters == wantedVoters && c.readyLearner >= 0 && c.lostVoter >= 0 && healths[c.lostVoter].superseded
}

// repairMembership returns a membership that differs by one member and comes
// closer to the wanted number of voters that answer, and the reason for the
// change. An empty reason means that no change is needed. A voter that does not answer
// is removed only after its replacement has become a voter, as it may still come back. One
// without its disk cannot, and is removed before: of an odd number of voters a
// majority stays as large without it, while one more voter would make it larger.
func repairMembership(healths []memberHealth, wantedVoters int) ([]replicator.Member, string) {
	members := make([]replicator.Member, len(healths))
	for i, s := range healths {
		members[i] = s.Member
	}
	summary := summarize(healths)
	isReplaced := summary.isLostVoterReplaced(wantedVoters)
	switch {
	case isReplaced && !healths[summary.lostVoter].isLost(replaceVoterAfter):
		// It stops, and may come back with its disk.
		members[summary.lostVoter].Voter = false
		return members, "voter stops"
	case isReplaced, summary.isDisklessVoterReplaceable(healths, wantedVoters):
		return slices.Delete(members, summary.lostVoter, summary.lostVoter+1), "voter lost"
	case summary.readyLearner >= 0 && summary.needsVoter(wantedVoters):
		members[summary.readyLearner].Voter = true
		return members, "learner caught up"
	case summary.lostLearner >= 0:
		return slices.Delete(members, summary.lostLearner, summary.lostLearner+1), "member without a vote lost"
	default:
		return nil, ""
	}
}
