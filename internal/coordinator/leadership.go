package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// Propose commits a command and returns its result. It blocks until the command
// is applied or ctx is done. The error is a refusal: with CodeNotLeader,
// CodeOverloaded or CodeUnavailable the command was not executed; with
// CodeUnknownOutcome it may have been.
func (c *Coordinator) Propose(ctx context.Context, command reducer.Command) (reducer.Result, error) {
	if c.diskFull.Load() {
		return reducer.Result{}, modeler.Refuse(modeler.CodeUnavailable, "", "the disk of the leader is full")
	}
	if !c.Leadership().IsLeader {
		return reducer.Result{}, c.notLeaderRefusal("this member does not lead")
	}
	command.At = time.Now().UTC()
	data, err := command.Encode()
	if err != nil {
		return reducer.Result{}, modeler.Refuse(modeler.CodeInvalid, "command", "%v", err)
	}
	reply := make(chan proposalResult, 1)
	return c.enqueueAndWait(ctx, event{proposal: &proposal{data: data, reply: reply}}, reply)
}

func (c *Coordinator) enqueueAndWait(ctx context.Context, e event, reply chan proposalResult) (reducer.Result, error) {
	select {
	case c.events <- e:
	default:
		return reducer.Result{}, modeler.Refuse(modeler.CodeOverloaded, "", "too many changes wait")
	}
	select {
	case a := <-reply:
		if a.err != nil {
			return reducer.Result{}, a.err
		}
		if a.result.Refusal != nil {
			return a.result, a.result.Refusal
		}
		return a.result, nil
	case <-ctx.Done():
		return reducer.Result{}, modeler.Refuse(modeler.CodeUnknownOutcome, "", "no quorum answered in time")
	}
}

// Deliver queues messages that were received from another member of the cell.
// It never blocks; if the event queue is full, it drops the messages.
func (c *Coordinator) Deliver(cell string, messages []replicator.Message) {
	select {
	case c.events <- event{messages: &messageBatch{cell, messages, c.Now()}}:
	default:
		c.options.Log.Warn("event queue full; messages dropped", zap.Int("count", len(messages)))
	}
}

// ConfirmLeadership reports whether this member is the leader and still holds
// the leadership lease. Callers check it after the work whose answer depends on
// it, since the process may be paused at any time.
func (c *Coordinator) ConfirmLeadership() bool {
	l := c.Leadership()
	return l.IsLeader && c.leaseUntil.Load() > int64(c.Now())
}

// AwaitLeadership waits until this member surely leads in the term, and returns true. It
// returns false once it does not lead in that term any more, after the timeout, or at the
// end of the context. The lease of a leader that is late lapses for a moment again and
// again; a caller that is refused then only calls again.
func (c *Coordinator) AwaitLeadership(ctx context.Context, term uint64, timeout time.Duration) bool {
	var timer <-chan time.Time
	for {
		changed := *c.leaseChanged.Load()
		l := c.Leadership()
		switch {
		case !l.IsLeader || l.Term != term:
			return false
		case c.leaseUntil.Load() > int64(c.Now()):
			return true
		}
		if timer == nil {
			timer = time.After(timeout)
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer:
			return false
		case <-changed:
		}
	}
}

// notifyLeaseChanged wakes the callers of AwaitLeadership.
func (c *Coordinator) notifyLeaseChanged() {
	next := make(chan struct{})
	close(*c.leaseChanged.Swap(&next))
}

func (c *Coordinator) publishLeadership() {
	now := c.Now()
	lease := int64(c.core.LeaseUntil())
	renewed := c.leaseUntil.Swap(lease) != lease
	c.currentAsOf.Store(int64(c.core.CurrentAsOf()))
	c.sinceLeaderContact.Store(int64(c.core.SinceLeaderContact()))
	old := c.Leadership()
	next := Leadership{Term: c.core.Term(), ID: c.core.Leader()}
	for _, m := range c.core.Members() {
		if m.ID == next.ID {
			next.Address = m.Address
		}
	}
	if c.core.Role() == replicator.RoleLeader && c.core.CommittedInTerm() {
		next.IsLeader = true
		next.Since = now
		if old.IsLeader && old.Term == next.Term {
			next.Since = old.Since
		}
	}
	if next != old {
		c.leadership.Store(&next)
		c.options.Log.Info("leadership changed", zap.Uint64("term", next.Term),
			zap.String("leader", next.ID), zap.Bool("leads", next.IsLeader))
	}
	if renewed || next != old {
		c.notifyLeaseChanged()
	}
}

// MemberStatus is a member with its replication status, as the leader knows it.
type MemberStatus struct {
	replicator.Member
	// Lag is by how many entries the member's disk is behind the log.
	Lag uint64 `json:"lag"`
	// Active is true if the member answers the leader. A member always reports
	// itself as active.
	Active bool `json:"active"`
}

// Members returns the membership with the status of each member. Only the leader
// knows the status of other members. The caller must not modify the result.
func (c *Coordinator) Members() []MemberStatus { return *c.members.Load() }

// MemberList returns the membership without the status of the members.
func (c *Coordinator) MemberList() []replicator.Member {
	statuses := c.Members()
	members := make([]replicator.Member, len(statuses))
	for i, s := range statuses {
		members[i] = s.Member
	}
	return members
}

func (c *Coordinator) publishMembers() {
	var members []MemberStatus
	for _, m := range c.core.Members() {
		status := MemberStatus{Member: m, Active: m.ID == c.Identity().Member}
		if !status.Active {
			status.Lag, status.Active = c.core.Lag(m.ID)
		}
		members = append(members, status)
	}
	c.members.Store(&members)
}

// IsStateRecent reports whether the state of this member, which may be a follower,
// holds all that any member had applied longer ago than the age.
func (c *Coordinator) IsStateRecent(age time.Duration) bool {
	asOf := time.Duration(c.currentAsOf.Load())
	return c.ConfirmLeadership() || (asOf > 0 && c.Now()-asOf <= age)
}

// SinceLeaderContact returns the time since this member last had contact to a leader, or
// since its start if there was none. It is zero for a leader.
func (c *Coordinator) SinceLeaderContact() time.Duration {
	return time.Duration(c.sinceLeaderContact.Load())
}

// ChangeMembers commits the membership that change returns for the current one.
// It blocks until the new membership is committed or ctx is done. The error is
// the refusal that change returns, a refusal as from Propose, or a refusal with
// CodeConflict if the core rejects the new membership.
func (c *Coordinator) ChangeMembers(
	ctx context.Context, change func([]replicator.Member) ([]replicator.Member, *modeler.RefusalError),
) error {
	reply := make(chan proposalResult, 1)
	_, err := c.enqueueAndWait(ctx, event{members: &membershipProposal{change, reply}}, reply)
	return err
}

func (c *Coordinator) handleMembershipProposal(p membershipProposal) {
	if c.core.Role() != replicator.RoleLeader {
		p.reply <- proposalResult{err: c.notLeaderRefusal("this member does not lead")}
		return
	}
	next, refusal := p.change(slices.Clone(c.core.Members()))
	if refusal != nil {
		p.reply <- proposalResult{err: refusal}
		return
	}
	before := c.heardMembers()
	index, err := c.core.ProposeMembers(next)
	if err != nil {
		p.reply <- proposalResult{err: modeler.Refuse(modeler.CodeConflict, "members", "%v", err)}
		return
	}
	c.recordProposedChange(index, "requested", before)
	c.pending[index] = pendingProposal{c.core.Term(), p.reply}
}

func (c *Coordinator) checkDisk() {
	now := c.Now()
	if now < c.nextDiskCheck {
		return
	}
	c.nextDiskCheck = now + diskCheckInterval
	free, err := c.options.FreeBytes()
	full := err == nil && free < c.options.ReserveBytes
	if c.diskFull.Swap(full) != full {
		c.options.Log.Warn("free space on disk crossed the reserve", zap.Bool("full", full), zap.Uint64("freeBytes", free))
	}
}
