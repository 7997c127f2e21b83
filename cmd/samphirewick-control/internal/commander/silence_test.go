package commander

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// proxiedMember is a running member that the others reach through a proxy.
type proxiedMember struct {
	*member
	proxy *faker.Proxy
	// stop stops the member and waits for its end.
	stop func()
}

// runProxiedCell founds and runs a cell of three members, each behind a proxy.
func runProxiedCell(t *testing.T) []proxiedMember {
	t.Helper()
	var members []proxiedMember
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		proxy, err := faker.NewProxy(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		listeners, seeds = append(listeners, listener), append(seeds, proxy.Address())
		members = append(members, proxiedMember{proxy: proxy})
	}
	for i := range members {
		m := &member{log: zap.NewNop(), disk: faker.NewDisk(uint64(i)).Open(), settings: loader.Control{
			Member: loader.ControlMember{
				Name: fmt.Sprint("m", i), Address: seeds[i], Listen: listeners[i].Addr().String(), DataFolder: "data",
			},
			Cell:     loader.Cell{Seeds: seeds, Founding: loader.SwitchOn, Tolerated: 1},
			TLS:      loader.TLS{Mutual: loader.SwitchOff},
			Election: loader.ControlElection{Timeout: 300 * time.Millisecond, Heartbeat: 75 * time.Millisecond},
			Journal:  loader.ControlJournal{SnapshotEvery: 100, KeepEntries: 20},
		}}
		if err := m.build(); err != nil {
			t.Fatal(err)
		}
		members[i].member = m
		members[i].stop = runMember(t, m, listeners[i])
	}
	t.Cleanup(func() {
		for _, m := range members {
			m.stop()
			if err := m.proxy.Close(); err != nil {
				t.Error(err)
			}
			_ = m.meter.Close()
		}
	})
	return members
}

// runMember runs the parts of a member that elect a leader. It returns a function that stops
// them and waits for their end.
func runMember(t *testing.T, m *member, listener net.Listener) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server := transporter.NewServer(m.responder.Handle, nil, maxConcurrentCalls)
	ended := make(chan error, 1)
	go func() {
		ended <- runner.Run(ctx,
			func(ctx context.Context) error { return server.Serve(ctx, listener) },
			m.manager.Run, m.coordinator.Run, m.courier.Run,
		)
	}()
	return sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// awaitLeader waits until one of the members leads, and returns its index.
func awaitLeader(t *testing.T, members []proxiedMember) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i, m := range members {
			if m.coordinator.Leadership().IsLeader {
				return i
			}
		}
		select {
		case <-ctx.Done():
			t.Fatal("the members elected no leader")
		case <-ticker.C:
		}
	}
}

// connectAll waits until each member has a connection to each other one, as in a cell in which
// every member has led.
func connectAll(t *testing.T, members []proxiedMember) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	isConnected := func(m proxiedMember) bool { return m.proxy.Open() == len(members)-1 }
	for _, m := range members {
		for _, other := range members {
			if other.member != m.member {
				to := replicator.Member{ID: other.coordinator.Identity().Member, Address: other.proxy.Address()}
				m.courier.Send(to, m.coordinator.Identity().Cell, nil)
			}
		}
	}
	for _, m := range members {
		for !isConnected(m) {
			select {
			case <-ctx.Done():
				t.Fatalf("member %s has %d connections", m.settings.Member.Name, m.proxy.Open())
			case <-ticker.C:
			}
		}
	}
}

// TestMembersElectALeaderAfterTheirConnectionsWentSilent guards against a cell that is without
// a leader for good, although a majority of its members run and reach each other.
func TestMembersElectALeaderAfterTheirConnectionsWentSilent(t *testing.T) {
	t.Parallel()
	for name, direction := range map[string]faker.Direction{"both ways": faker.BothWays, "one way": faker.Inward} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			members := runProxiedCell(t)
			leader := awaitLeader(t, members)
			connectAll(t, members)
			for _, m := range members {
				m.proxy.Silence(direction, nil)
			}
			members[leader].stop()
			awaitLeader(t, append(members[:leader:leader], members[leader+1:]...))
		})
	}
}
