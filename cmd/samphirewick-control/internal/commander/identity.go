package commander

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// joinInterval is the interval at which a process that is not a member of the
	// cell asks to be added.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one call to join.
	joinTimeout = 2 * time.Second
)

// loadIdentity returns the identity on the disk. If the settings name seeds and the
// disk has no identity, it creates one: a founder identity if the cell is being
// founded and this member is a seed, otherwise the identity of a joining member.
func loadIdentity(disk journaler.Disk, settings loader.Control) (journaler.Identity, error) {
	identity, err := journaler.ReadIdentity(disk)
	if err == nil || len(settings.Cell.Seeds) == 0 || !errors.Is(err, fs.ErrNotExist) {
		return identity, err
	}
	seeds := settings.Cell.SeedAddresses()
	if settings.Cell.Founding.IsOn() && slices.Contains(seeds, settings.Member.Address) {
		return journaler.FormatFounder(disk, settings.Member.Address, seeds)
	}
	return journaler.Format(disk, settings.Member.Name, settings.Member.Address, false)
}

// join asks control to add this process to the cell whenever it is not among the
// members.
func (m *member) join(ctx context.Context) error {
	if len(m.settings.Cell.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		identity := m.coordinator.Identity()
		isSelf := func(other replicator.Member) bool { return other.ID == identity.Member }
		if slices.ContainsFunc(m.coordinator.MemberList(), isSelf) {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		var answer struct{}
		call := messenger.JoinCall{ID: identity.Member, Address: m.settings.Member.Address}
		err := m.control.Call(joinCtx, messenger.MethodJoin, call, &answer)
		cancel()
		m.log.Info("asked to join", zap.String("member", identity.Member), zap.Error(err))
	}
}
