package commander

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/caller"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// discoveryTimeout bounds a call that finds no leader. Several searches fit into it.
const discoveryTimeout = 3 * time.Second

// maxConcurrentSearches bounds the calls that run at the same time for each kind of process.
const maxConcurrentSearches = 8

// serveHandler serves calls on a free port until the test ends, and returns its address.
func serveHandler(t *testing.T, handle transporter.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transporter.NewServer(handle, nil, maxConcurrentCalls).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// serveMember serves a member that knows the membership from its journal.
func serveMember(t *testing.T, isLeader bool, addresses func() []string) string {
	t.Helper()
	return serveHandler(t, func(_ context.Context, method string, _ json.RawMessage) (any, error) {
		if method == messenger.MethodLocate {
			answer := messenger.LocateAnswer{Cell: "cell", IsLeader: isLeader}
			for _, a := range addresses() {
				answer.Members = append(answer.Members, replicator.Member{ID: a, Address: a, Voter: true})
			}
			return answer, nil
		}
		if !isLeader {
			return nil, modeler.Refuse(modeler.CodeNotLeader, "", "this member does not lead")
		}
		return struct{}{}, nil
	})
}

// darkAddress returns an address that takes connections and answers nothing.
func darkAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// newJoiningMember returns a member with an empty disk, which does not run.
func newJoiningMember(t *testing.T, seeds []string) *member {
	t.Helper()
	return newIdleMember(t, faker.NewDisk(1), loader.Cell{Seeds: seeds, Founding: loader.SwitchOff, Tolerated: 1})
}

// newIdleMember returns a member that does not run.
func newIdleMember(t *testing.T, disk *faker.Disk, cell loader.Cell) *member {
	t.Helper()
	m := &member{log: zap.NewNop(), disk: disk.Open(), settings: loader.Control{
		Member:   loader.ControlMember{Name: "joining", Address: "127.0.0.1:1", DataFolder: "data"},
		Cell:     cell,
		TLS:      loader.TLS{Mutual: loader.SwitchOff},
		Election: loader.ControlElection{Timeout: time.Second, Heartbeat: 100 * time.Millisecond},
		Journal:  loader.ControlJournal{SnapshotEvery: 100, KeepEntries: 20},
	}}
	if err := m.build(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.meter.Close() })
	return m
}

// newIdleGateway returns a gateway that does not run.
func newIdleGateway(t *testing.T, seeds []string) *gateway {
	t.Helper()
	g, err := newGateway(loader.Control{
		Cell: loader.Cell{Seeds: seeds}, TLS: loader.TLS{Mutual: loader.SwitchOff},
	}, "", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.meter.Close() })
	return g
}

// seedKind is what a process finds at the address of a seed.
type seedKind struct {
	name    string
	address string
	// leads is true if the process at the address knows a way to a live member.
	leads bool
}

// seedKinds starts a cell of which all processes were restarted at once, and returns
// what may be at the address of a seed. The leader is at none of them.
func seedKinds(t *testing.T) []seedKind {
	t.Helper()
	gone := func() []string { return []string{freeAddress(t), freeAddress(t)} }
	var current []string
	currentMembers := func() []string { return current }
	leader, follower := serveMember(t, true, currentMembers), serveMember(t, false, currentMembers)
	current = []string{leader, follower, freeAddress(t)}
	removed, cutOff := gone(), append(gone(), follower)

	heard := newJoiningMember(t, gone())
	batch, err := json.Marshal(messenger.RaftBatch{Cell: "cell", From: replicator.Member{ID: follower, Address: follower}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := heard.responder.Handle(t.Context(), messenger.MethodRaft, batch); err != nil {
		t.Fatal(err)
	}
	return []seedKind{
		{"member", follower, true},
		{"joining member at the address of a voter", serveHandler(t, heard.responder.Handle), true},
		{"joining member with other seeds", serveHandler(t, newJoiningMember(t, []string{follower}).responder.Handle), true},
		{"joining member that knows none", serveHandler(t, newJoiningMember(t, gone()).responder.Handle), false},
		{"gateway", serveHandler(t, newIdleGateway(t, []string{follower}).handle), true},
		{"gateway that knows none", serveHandler(t, newIdleGateway(t, gone()).handle), false},
		{"member that was cut off", serveMember(t, false, func() []string { return cutOff }), true},
		{"member whose fellows are gone", serveMember(t, false, func() []string { return removed }), false},
		{"nothing", freeAddress(t), false},
		{"machine without power", darkAddress(t), false},
	}
}

// TestLeaderIsFoundFromAnySeeds checks that each kind of process finds the leader after
// a restart of the whole cell, whatever is at the addresses of its three seeds, as long
// as one of them leads to a live member.
func TestLeaderIsFoundFromAnySeeds(t *testing.T) {
	t.Parallel()
	kinds := seedKinds(t)
	find := map[string]func(ctx context.Context, t *testing.T, seeds []string) error{
		"entry": func(ctx context.Context, _ *testing.T, seeds []string) error {
			return caller.New(seeds, nil, zap.NewNop()).Call(ctx, messenger.MethodWatch, struct{}{}, nil)
		},
		"gateway": func(ctx context.Context, t *testing.T, seeds []string) error {
			return newIdleGateway(t, seeds).call(ctx, messenger.MethodGetQueue, struct{}{}, nil)
		},
		"joining member": func(ctx context.Context, t *testing.T, seeds []string) error {
			return newJoiningMember(t, seeds).control.Call(ctx, messenger.MethodJoin, struct{}{}, nil)
		},
	}
	for process, call := range find {
		t.Run(process, func(t *testing.T) {
			t.Parallel()
			choices := seedChoices(kinds)
			if process != "entry" {
				choices = slices.DeleteFunc(choices, func(choice []seedKind) bool { return choice[1].leads })
			}
			// Calls that find no leader wait, so that more of them run than there are processors.
			slots := make(chan struct{}, maxConcurrentSearches)
			var searches sync.WaitGroup
			for _, choice := range choices {
				slots <- struct{}{}
				searches.Go(func() {
					defer func() { <-slots }()
					ctx, cancel := context.WithTimeout(t.Context(), discoveryTimeout)
					defer cancel()
					seeds := []string{choice[0].address, choice[1].address, choice[2].address}
					if err := call(ctx, t, seeds); err != nil {
						t.Errorf("%s, %s, %s: found no leader: %v", choice[0].name, choice[1].name, choice[2].name, err)
					}
				})
			}
			searches.Wait()
		})
	}
}

// seedChoices returns each choice of three different kinds of which one leads to a live
// member, those that lead first.
func seedChoices(kinds []seedKind) [][]seedKind {
	sorted := slices.Clone(kinds)
	slices.SortStableFunc(sorted, func(a, b seedKind) int {
		switch {
		case a.leads == b.leads:
			return 0
		case a.leads:
			return -1
		default:
			return 1
		}
	})
	var choices [][]seedKind
	for i, a := range sorted {
		for j, b := range sorted[i+1:] {
			for _, c := range sorted[i+1+j+1:] {
				if a.leads {
					choices = append(choices, []seedKind{a, b, c})
				}
			}
		}
	}
	return choices
}

// TestMemberAsksTheMembersInItsJournal checks that a member which was removed while it
// was off finds the others, although its seeds are gone.
func TestMemberAsksTheMembersInItsJournal(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	founders := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	newIdleMember(t, disk, loader.Cell{Seeds: founders, Founding: loader.SwitchOn, Tolerated: 1})
	gone := "127.0.0.1:4"
	m := newIdleMember(t, disk, loader.Cell{Seeds: []string{gone}, Founding: loader.SwitchOff, Tolerated: 1})
	addresses := m.control.Addresses()
	for _, want := range append(founders, gone) {
		if !slices.Contains(addresses, want) {
			t.Errorf("asks %v, which lacks %s", addresses, want)
		}
	}
}
