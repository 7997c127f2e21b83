package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// handOverPollInterval is how often a member that stops checks whether it has handed over
// its leadership or its vote.
const handOverPollInterval = 10 * time.Millisecond

// HandOver transfers the leadership of this member, if it leads, and then its vote, if
// there is a learner that can take it. The member stays as a learner, so that it need not
// join again if it only restarts. HandOver blocks until that is done or ctx is done.
func (c *Coordinator) HandOver(ctx context.Context) {
	c.TransferLeadership(ctx)
	for c.isVoterWithStandby() {
		select {
		case c.events <- event{leave: &leaveRequest{}}:
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOverPollInterval):
		}
	}
}

// isVoterWithStandby reports whether this member votes, and others could vote in its place.
func (c *Coordinator) isVoterWithStandby() bool {
	members := c.MemberList()
	isLearner := func(m replicator.Member) bool { return !m.Voter }
	isSelf := func(m replicator.Member) bool { return m.Voter && m.ID == c.Identity().Member }
	hasStandby := slices.ContainsFunc(members, isLearner) || len(members) > c.options.Voters
	return c.options.Voters > 0 && slices.ContainsFunc(members, isSelf) && hasStandby
}

// TransferLeadership transfers the leadership to another member, if this one
// leads. It blocks until this member no longer leads or ctx is done.
func (c *Coordinator) TransferLeadership(ctx context.Context) {
	if !c.Leadership().IsLeader {
		return
	}
	select {
	case c.events <- event{transfer: &transferRequest{}}:
	default:
		return
	}
	for c.Leadership().IsLeader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOverPollInterval):
		}
	}
}

// handleTransfer drops the leader lease before another member can be elected.
func (c *Coordinator) handleTransfer() {
	c.leaseUntil.Store(0)
	if c.core.TransferLeadership() {
		c.options.Log.Info("leadership transfer started", zap.Uint64("term", c.core.Term()))
	}
}
