package controller

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"net"
	"slices"

	"github.com/samphirewick/samphirewick/internal/delegator"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// delegateCalls returns the calls to workers, of which entries make a part if the settings say so,
// and the function that serves them until its context ends.
func (l *LeaderState) delegateCalls(o WorkflowOptions) (supervisor.Calls, func(ctx context.Context) error) {
	if o.DirectWorkers == 0 {
		return o.Calls, func(context.Context) error { return nil }
	}
	d := delegator.New(delegator.Options{
		Direct:     o.Calls,
		SetBounded: o.SetBounded,
		Exchange:   o.Exchange,
		Workers:    l.sessionKeys,
		Entries:    l.delegationEntries,
		Capacity:   o.DirectWorkers,
		Epoch:      l.term,
		Now:        l.coordinator.Now,
		AwaitConfirmed: func(ctx context.Context) bool {
			return l.coordinator.AwaitLeadership(ctx, l.term, confirmTimeout)
		},
		Log: l.log,
	})
	l.delegator.Store(d)
	return d.Calls(), d.Run
}

func (l *LeaderState) sessionKeys() []string {
	sessions := l.coordinator.State().Sessions
	keys := make([]string, 0, sessions.Len())
	for _, s := range reducer.Values(sessions) {
		keys = append(keys, s.Key())
	}
	return keys
}

// delegationEntries returns the addresses of the entries in the order in which they are used. Those
// on the machines of members come last, since the members are the busiest processes; the
// others are in an order of their own, so that it is not always the same data centre's.
func (l *LeaderState) delegationEntries() []string {
	memberHosts := map[string]struct{}{}
	for _, m := range l.coordinator.MemberList() {
		if host, _, err := net.SplitHostPort(m.Address); err == nil {
			memberHosts[host] = struct{}{}
		}
	}
	type ranked struct {
		address  string
		isShared bool
		hash     uint32
	}
	addresses := l.entryAddresses()
	list := make([]ranked, len(addresses))
	for i, address := range addresses {
		host, _, _ := net.SplitHostPort(address)
		_, isShared := memberHosts[host]
		hash := fnv.New32a()
		_, _ = io.WriteString(hash, address)
		list[i] = ranked{address, isShared, hash.Sum32()}
	}
	slices.SortFunc(list, func(x, y ranked) int {
		if x.isShared != y.isShared {
			if x.isShared {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.address, y.address))
	})
	for i, r := range list {
		addresses[i] = r.address
	}
	return slices.Compact(addresses)
}

// Delegation returns the counts of the calls that entries make, and whether the settings have
// entries make any.
func (l *LeaderState) Delegation() (delegator.Stats, bool) {
	d := l.delegator.Load()
	if d == nil {
		return delegator.Stats{}, false
	}
	return d.Stats(), true
}
