package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// restartedMember is a member of a cell that restarted; stop ends it for good.
type restartedMember struct {
	address string
	stop    func()
	leads   atomic.Bool
	// members is what the member answers; it is set before the member is asked.
	members []string
	// located receives a value for each question who leads.
	located chan struct{}
}

func newRestartedMember(t *testing.T) *restartedMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const manySearches = 1000
	m := &restartedMember{address: listener.Addr().String(), located: make(chan struct{}, manySearches)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transporter.NewServer(m.handle, nil, 100).Serve(ctx, listener) }()
	stopped := false
	m.stop = func() {
		cancel()
		if stopped {
			return
		}
		stopped = true
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(m.stop)
	return m
}

func (m *restartedMember) handle(_ context.Context, method string, _ json.RawMessage) (any, error) {
	if method != messenger.MethodLocate {
		if !m.leads.Load() {
			return nil, modeler.Refuse(modeler.CodeNotLeader, "", "this member does not lead")
		}
		return struct{}{}, nil
	}
	answer := messenger.LocateAnswer{IsLeader: m.leads.Load()}
	for _, a := range m.members {
		answer.Members = append(answer.Members, replicator.Member{ID: a, Address: a, Voter: true})
	}
	m.located <- struct{}{}
	return answer, nil
}

// TestLeaderIsFoundAfterOutdatedAnswer checks that a caller which knows the members does
// not forget them while there is no leader and a process answers whose list is worse.
// The leader that is elected at last is at the address of no seed.
func TestLeaderIsFoundAfterOutdatedAnswer(t *testing.T) {
	t.Parallel()
	const gone, alsoGone = "127.0.0.1:1", "127.0.0.1:2"
	tests := map[string]struct {
		outdated []string
		// areSeedsChanged means that the outdated process becomes the only seed while
		// there is no leader.
		areSeedsChanged bool
		// isOtherElected means that the next leader is another member.
		isOtherElected bool
	}{
		"of a member whose fellows are gone":               {outdated: []string{gone, alsoGone}},
		"of a member whose fellows are gone, new leader":   {outdated: []string{gone, alsoGone}, isOtherElected: true},
		"of a joining member":                              {},
		"of a joining member, new leader":                  {isOtherElected: true},
		"of a new seed":                                    {outdated: []string{gone}, areSeedsChanged: true},
		"of a joining member that is a new seed":           {areSeedsChanged: true},
		"of a new seed, and another member is elected":     {outdated: []string{gone}, areSeedsChanged: true, isOtherElected: true},
		"of a new seed that joins, and another is elected": {areSeedsChanged: true, isOtherElected: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed, first := newRestartedMember(t), newRestartedMember(t)
			second, outdated := newRestartedMember(t), newRestartedMember(t)
			for _, m := range []*restartedMember{seed, first, second} {
				m.members = []string{seed.address, first.address, second.address}
			}
			outdated.members = tt.outdated
			first.leads.Store(true)
			c := New([]string{seed.address, outdated.address}, nil, zap.NewNop())
			if tt.areSeedsChanged {
				c = New([]string{seed.address}, nil, zap.NewNop())
			}
			if err := call(t, c, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			first.leads.Store(false)
			seed.stop()
			if tt.areSeedsChanged {
				c.SetSeeds([]string{outdated.address})
			}
			callUntilLocated(t, c, outdated)
			if tt.isOtherElected {
				second.leads.Store(true)
			} else {
				first.leads.Store(true)
			}
			if err := call(t, c, 3*time.Second); err != nil {
				t.Errorf("the leader was not found: %v", err)
			}
		})
	}
}

// searches is a number of searches in one of which at least the outdated process answers
// last, if the order is random.
const searches = 10

// callUntilLocated calls until the member was asked in some searches, which are over but
// for the last one.
func callUntilLocated(t *testing.T, c *Caller, m *restartedMember) {
	t.Helper()
	for len(m.located) > 0 {
		<-m.located
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Call(ctx, "work", struct{}{}, nil) }()
	for range searches + 1 {
		<-m.located
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("a call was answered while there was no leader")
	}
}

// TestAddressesAreBounded checks that answers with many addresses neither make a caller
// ask without bound nor drive out a process that answers, and that only the addresses
// that the leader states are asked, and connected to, once it is found.
func TestAddressesAreBounded(t *testing.T) {
	t.Parallel()
	c := New([]string{"seed"}, nil, zap.NewNop())
	c.learn(reply{address: "seed", answer: messenger.LocateAnswer{Members: []replicator.Member{{Address: "live"}}}})
	for i := range 10 * maxRumours {
		stated := []replicator.Member{{Address: fmt.Sprint("gone-", i)}}
		c.learn(reply{address: "seed", answer: messenger.LocateAnswer{Members: stated}})
		c.learn(reply{address: "live"})
	}
	addresses := c.Addresses()
	if len(addresses) > maxRumours+1 || !slices.Contains(addresses, "live") {
		t.Errorf("asks %d addresses: %v", len(addresses), addresses)
	}
	for _, a := range addresses {
		c.client(a)
	}
	c.learnFromLeader(reply{address: "leader", answer: messenger.LocateAnswer{Members: []replicator.Member{{Address: "live"}}}})
	if got, want := c.Addresses(), []string{"leader", "live", "seed"}; !slices.Equal(got, want) {
		t.Errorf("asks %v, want %v", got, want)
	}
	if got := slices.Sorted(maps.Keys(c.clients)); !slices.Equal(got, []string{"live", "seed"}) {
		t.Errorf("keeps connections to %v", got)
	}
}
