package controller

import (
	"context"
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// ownerCounts counts the backend servers of a service that each entry owns.
type ownerCounts struct {
	entries []modeler.Entry
	counts  map[string]int
}

// assignOwners assigns each backend server to one entry, so that the backend servers
// of a service are spread evenly. It releases the backend servers of entries that are
// leaving, and the surplus of entries that own too many.
func (l *LeaderState) assignOwners(ctx context.Context) {
	state := l.coordinator.State()
	if owners := l.ownersToRelease(state); len(owners) > 0 {
		_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindReleaseOwners, Owners: owners})
		return
	}
	if owners := ownersToAssign(state); len(owners) > 0 {
		_, _ = l.propose(ctx, reducer.Command{Kind: reducer.KindAssignOwners, Owners: owners})
	}
}

// ownersToRelease returns the ownerships to end, and those whose previous owner has
// acknowledged that it no longer sends to the backend server.
func (l *LeaderState) ownersToRelease(state reducer.State) []reducer.Ownership {
	byService := countOwners(state)
	var owners []reducer.Ownership
	for _, w := range reducer.Values(state.Workers) {
		switch {
		case w.PreviousOwner != "":
			acked, _ := l.AckedRevision(w.PreviousOwner)
			if acked >= w.ReleaseRevision {
				owners = append(owners, reducer.Ownership{Worker: w.ID, Entry: w.PreviousOwner})
			}
		case w.Owner != "" && (isLeaving(state, w.Owner) || byService[w.Service].ownsTooMany(w.Owner)):
			owners = append(owners, reducer.Ownership{Worker: w.ID, Entry: w.Owner})
			byService[w.Service].counts[w.Owner]--
		}
	}
	return owners
}

func isLeaving(state reducer.State, entry string) bool {
	e, ok := state.Entries.Get(entry)
	return ok && e.Leaving
}

func countOwners(state reducer.State) map[string]*ownerCounts {
	var entries []modeler.Entry
	for _, e := range reducer.Values(state.Entries) {
		if !e.Leaving {
			entries = append(entries, e)
		}
	}
	byService := map[string]*ownerCounts{}
	for _, w := range reducer.Values(state.Workers) {
		if w.Service == "" {
			continue
		}
		c, ok := byService[w.Service]
		if !ok {
			c = &ownerCounts{entries: entries, counts: map[string]int{}}
			byService[w.Service] = c
		}
		if w.Owner != "" {
			c.counts[w.Owner]++
		}
	}
	return byService
}

// ownsTooMany reports whether the entry owns at least two backend servers more than
// another entry.
func (c *ownerCounts) ownsTooMany(entry string) bool {
	const allowed = 1
	if len(c.entries) == 0 {
		return false
	}
	least := slices.MinFunc(c.entries, func(a, b modeler.Entry) int { return c.counts[a.ID] - c.counts[b.ID] })
	return c.counts[entry] > c.counts[least.ID]+allowed
}

// chooseEntry returns the id of the entry that owns the fewest backend servers, and
// prefers one in the data centre if there is a tie.
func (c *ownerCounts) chooseEntry(dataCentre string) string {
	best := c.entries[0]
	for _, e := range c.entries[1:] {
		fewer := c.counts[e.ID] < c.counts[best.ID]
		nearer := c.counts[e.ID] == c.counts[best.ID] &&
			e.DataCentre == dataCentre && best.DataCentre != dataCentre
		if fewer || nearer {
			best = e
		}
	}
	return best.ID
}

func ownersToAssign(state reducer.State) []reducer.Ownership {
	byService := countOwners(state)
	var owners []reducer.Ownership
	for _, w := range reducer.Values(state.Workers) {
		c, ok := byService[w.Service]
		if !ok || len(c.entries) == 0 || w.Lost || w.Owner != "" || w.PreviousOwner != "" {
			continue
		}
		entry := c.chooseEntry(w.DataCentre)
		c.counts[entry]++
		owners = append(owners, reducer.Ownership{Worker: w.ID, Entry: entry})
	}
	return owners
}
