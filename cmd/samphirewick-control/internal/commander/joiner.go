package commander

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// joinInterval is the interval at which a process that may not be a member of the
	// cell asks to be added.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one call to join.
	joinTimeout = 2 * time.Second
	// askAfterSilence is the time without contact to a leader after which a member may
	// have been removed. A leader is replaced within it.
	askAfterSilence = 2 * time.Second
)

// joiner asks control to add this process to the cell.
type joiner struct {
	// isMember reports whether the process is in the membership that it knows.
	isMember func() bool
	// sinceContact returns the time since the process last had contact to a leader.
	sinceContact func() time.Duration
	// ask asks the leader to add the process, and logs the answer. The leader does nothing
	// if it is a member.
	ask func(ctx context.Context)
}

// run asks whenever the process is not a member, or may have been removed: a removed
// member is sent nothing any more, so that it does not learn of its removal.
func (j joiner) run(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if j.isMember() && j.sinceContact() < askAfterSilence {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		j.ask(joinCtx)
		cancel()
	}
}

// join runs the joiner of this member until the context ends. Without seeds, operators
// add members.
func (m *member) join(ctx context.Context) error {
	if len(m.settings.Cell.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	id := m.coordinator.Identity().Member
	isSelf := func(other replicator.Member) bool { return other.ID == id }
	return joiner{
		isMember:     func() bool { return slices.ContainsFunc(m.coordinator.MemberList(), isSelf) },
		sinceContact: m.coordinator.SinceLeaderContact,
		ask: func(ctx context.Context) {
			var answer struct{}
			call := messenger.JoinCall{ID: id, Address: m.settings.Member.Address}
			err := m.control.Call(ctx, messenger.MethodJoin, call, &answer)
			m.log.Info("asked to join", zap.String("member", id), zap.Error(err))
		},
	}.run(ctx)
}
