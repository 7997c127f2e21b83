package commander

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// join runs the joiner of this member until the context ends. Without seeds, operators
// add members.
func (m *member) join(ctx context.Context) error {
	if len(m.settings.Cell.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	id := m.coordinator.Identity().Member
	isSelf := func(other replicator.Member) bool { return other.ID == id }
	return coordinator.Joiner{
		IsMember:     func() bool { return slices.ContainsFunc(m.coordinator.MemberList(), isSelf) },
		SinceContact: m.coordinator.SinceLeaderContact,
		Ask: func(ctx context.Context) {
			var answer struct{}
			call := messenger.JoinCall{ID: id, Address: m.settings.Member.Address}
			err := m.control.Call(ctx, messenger.MethodJoin, call, &answer)
			m.log.Info("asked to join", zap.String("member", id), zap.Error(err))
		},
	}.Run(ctx)
}
