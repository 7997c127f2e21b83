package commander

import (
	"errors"
	"io/fs"
	"slices"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/loader"
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
