package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// Propose commits a command and returns what it led to. The error is a
// refusal: with CodeNotLeader, CodeOverloaded or CodeUnavailable the command
// was not carried out; with CodeUnknownOutcome it may have been.
func (c *Coordinator) Propose(ctx context.Context, command reducer.Command) (reducer.Result, error) {
	if c.diskFull.Load() {
		return reducer.Result{}, modeler.Refuse(modeler.CodeUnavailable, "", "the disk of the leader is full")
	}
	if !c.Leadership().Leads {
		return reducer.Result{}, c.notLeader("this member does not lead")
	}
	command.At = time.Now().UTC()
	data, err := command.Encode()
	if err != nil {
		return reducer.Result{}, modeler.Refuse(modeler.CodeInvalid, "command", "%v", err)
	}
	reply := make(chan answer, 1)
	return c.ask(ctx, event{proposal: &proposal{data: data, answer: reply}}, reply)
}

func (c *Coordinator) ask(ctx context.Context, e event, reply chan answer) (reducer.Result, error) {
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

// Deliver brings messages from another member of the cell. It never blocks.
func (c *Coordinator) Deliver(cell string, messages []replicator.Message) {
	select {
	case c.events <- event{messages: &delivery{cell, messages}}:
	default:
		c.options.Log.Warn("messages dropped", zap.Int("count", len(messages)))
	}
}

// ConfirmLeadership reports whether this member surely still leads. It is asked after
// the work whose answer depends on it, since a process may pause at any time.
func (c *Coordinator) ConfirmLeadership() bool {
	l := c.Leadership()
	return l.Leads && c.leaseUntil.Load() > int64(c.Now())
}

func (c *Coordinator) publishLeadership() {
	now := c.Now()
	c.leaseUntil.Store(int64(c.core.LeaseUntil()))
	old := c.Leadership()
	next := Leadership{Term: c.core.Term(), ID: c.core.Leader()}
	for _, m := range c.core.Members() {
		if m.ID == next.ID {
			next.Address = m.Address
		}
	}
	if c.core.Role() == replicator.RoleLeader && c.core.CommittedInTerm() {
		next.Leads = true
		next.Since = now
		if old.Leads && old.Term == next.Term {
			next.Since = old.Since
		}
	}
	if next == old {
		return
	}
	c.leadership.Store(&next)
	c.options.Log.Info("leadership", zap.Uint64("term", next.Term),
		zap.String("leader", next.ID), zap.Bool("leads", next.Leads))
}

// MemberStatus is a member as the leader sees it.
type MemberStatus struct {
	replicator.Member
	// Lag is how many entries its disk is behind.
	Lag uint64 `json:"lag"`
	// Active says that the leader hears from it.
	Active bool `json:"active"`
}

// Members returns the membership; lags are known on the leader alone.
func (c *Coordinator) Members() []MemberStatus { return *c.members.Load() }

// MemberList returns the membership without what only the leader knows.
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

// transferPoll is how often a leader that hands over looks whether it has.
const transferPoll = 10 * time.Millisecond

// TransferLeadership gives the leadership to another member, if this one leads, and
// waits for that until the context ends.
func (c *Coordinator) TransferLeadership(ctx context.Context) {
	if !c.Leadership().Leads {
		return
	}
	select {
	case c.events <- event{transfer: &transfer{}}:
	default:
		return
	}
	for c.Leadership().Leads {
		select {
		case <-ctx.Done():
			return
		case <-time.After(transferPoll):
		}
	}
}

// takeTransfer gives up the lease before any other member can be elected.
func (c *Coordinator) takeTransfer() {
	c.leaseUntil.Store(0)
	if c.core.TransferLeadership() {
		c.options.Log.Info("leadership handed over", zap.Uint64("term", c.core.Term()))
	}
}

// ChangeMembers commits a membership that change derives from the present one.
func (c *Coordinator) ChangeMembers(
	ctx context.Context, change func([]replicator.Member) ([]replicator.Member, *modeler.RefusalError),
) error {
	reply := make(chan answer, 1)
	_, err := c.ask(ctx, event{members: &memberProposal{change, reply}}, reply)
	return err
}

func (c *Coordinator) takeMembers(p memberProposal) {
	if c.core.Role() != replicator.RoleLeader {
		p.answer <- answer{err: c.notLeader("this member does not lead")}
		return
	}
	next, refusal := p.change(slices.Clone(c.core.Members()))
	if refusal != nil {
		p.answer <- answer{err: refusal}
		return
	}
	index, err := c.core.ProposeMembers(next)
	if err != nil {
		p.answer <- answer{err: modeler.Refuse(modeler.CodeConflict, "members", "%v", err)}
		return
	}
	c.pending[index] = pending{c.core.Term(), p.answer}
}

// sendStrangers answers members that this one does not know yet, such as the
// leader that has just added it.
func (c *Coordinator) sendStrangers(messages []replicator.Message) {
	known := c.core.Members()
	for _, m := range messages {
		isTo := func(k replicator.Member) bool { return k.ID == m.To }
		if !slices.ContainsFunc(known, isTo) {
			c.options.Send(replicator.Member{ID: m.To}, c.Identity().Cell, []replicator.Message{m})
		}
	}
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
		c.options.Log.Warn("disk room changed", zap.Bool("full", full), zap.Uint64("freeBytes", free))
	}
}

// startSnapshot hands the state to the encoder once enough was applied.
func (c *Coordinator) startSnapshot() {
	state := c.State()
	if c.snapshotting || !c.isSnapshotDue(state.Revision) {
		return
	}
	c.snapshotting = true
	c.logBytes = 0
	c.toSave <- state
}

// isSnapshotDue reports whether the log since the last snapshot is long enough
// in entries, and as long as that snapshot in bytes: so the cost of snapshots
// stays in proportion to that of the log, however large the state is.
func (c *Coordinator) isSnapshotDue(revision uint64) bool {
	return revision >= c.lastSnapshot+c.options.SnapshotEvery && c.logBytes >= c.snapshotBytes
}

// encodeSnapshots is the duty that turns states into bytes, so that the loop
// goes on meanwhile.
func (c *Coordinator) encodeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-c.toSave:
			data, err := state.Encode()
			if err != nil {
				return err
			}
			c.encoded <- replicator.Snapshot{Index: state.Revision, Data: json.RawMessage(data)}
		}
	}
}

func (c *Coordinator) takeSnapshot(s replicator.Snapshot) error {
	c.snapshotting = false
	if s.Index <= c.lastSnapshot {
		return nil
	}
	c.lastSnapshot, c.snapshotBytes = s.Index, len(s.Data)
	whole := c.core.TakeSnapshot(s.Index, s.Data, c.options.KeepEntries)
	c.options.Log.Info("snapshot taken", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return c.options.Journal.Compact(whole, c.core.EntriesAfterSnapshot())
}
