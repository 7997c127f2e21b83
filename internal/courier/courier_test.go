package courier_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/courier"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// listen runs a server that passes on the cell of each batch that it receives. It
// returns its address.
func listen(t *testing.T, received chan<- string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handle := func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var batch messenger.RaftBatch
		if err := json.Unmarshal(params, &batch); err != nil {
			return nil, err
		}
		received <- batch.Cell
		return struct{}{}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transporter.NewServer(handle, nil, 16).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// start runs a courier until the test ends.
func start(t *testing.T) *courier.Courier {
	t.Helper()
	c := courier.New(replicator.Member{ID: "self", Address: "127.0.0.1:1"}, nil, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

func message() []replicator.Message { return []replicator.Message{{Kind: replicator.MessageAppend}} }

// moreMembers is above the number of members that a courier keeps.
const moreMembers = 70

// TestMemberIsReachedHoweverManyWereKnown checks that members that left do not keep
// the courier from sending to a new one, or to a known one at a new address.
func TestMemberIsReachedHoweverManyWereKnown(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// known adds members to the courier; the test then sends to the last one.
		known func(c *courier.Courier)
	}{
		"a new member": {func(*courier.Courier) {}},
		"a known member at a new address": {func(c *courier.Courier) {
			c.Send(replicator.Member{ID: "last", Address: "127.0.0.1:2"}, "cell", message())
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan string, 1)
			address := listen(t, received)
			c := courier.New(replicator.Member{ID: "self"}, nil, zap.NewNop())
			for i := range moreMembers {
				c.Send(replicator.Member{ID: fmt.Sprint("former-", i), Address: "127.0.0.1:2"}, "cell", message())
				drain(c)
			}
			tt.known(c)
			drain(c)
			c.Send(replicator.Member{ID: "last", Address: address}, "wanted", message())
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- c.Run(ctx) }()
			if got := <-received; got != "wanted" {
				t.Errorf("received a batch of cell %q, want %q", got, "wanted")
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// drain lets the courier start the senders of its new members, and stops them again.
func drain(c *courier.Courier) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Run(ctx)
}

func TestStatedAddressOfNewMemberIsUsed(t *testing.T) {
	t.Parallel()
	received := make(chan string, 1)
	address := listen(t, received)
	c := start(t)
	for i := range moreMembers {
		c.LearnAddress(messenger.RaftBatch{From: replicator.Member{ID: fmt.Sprint("former-", i), Address: "127.0.0.1:2"}})
	}
	c.LearnAddress(messenger.RaftBatch{From: replicator.Member{ID: "last", Address: address}})
	c.Send(replicator.Member{ID: "last"}, "wanted", message())
	if got := <-received; got != "wanted" {
		t.Errorf("received a batch of cell %q, want %q", got, "wanted")
	}
}

// TestMemberBehindSilentConnectionIsReached guards against a courier that goes on sending into a
// connection that delivers nothing: two members with whole logs elected no leader for good.
func TestMemberBehindSilentConnectionIsReached(t *testing.T) {
	t.Parallel()
	tests := map[string]faker.Direction{
		"both ways": faker.BothWays, "to the member": faker.Inward, "from the member": faker.Outward,
	}
	for name, direction := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan string, 1000)
			proxy, err := faker.NewProxy(listen(t, received))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := proxy.Close(); err != nil {
					t.Error(err)
				}
			})
			c := start(t)
			member := replicator.Member{ID: "other", Address: proxy.Address()}
			c.Send(member, "first", message())
			<-received
			proxy.Silence(direction, nil)
			// Heartbeats come at this interval. A batch that the silent connection swallows is lost.
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			const most = 600
			arrived := 0
			for range most {
				c.Send(member, "again", message())
				<-ticker.C
				if proxy.Dials() == 1 {
					arrived = -len(received)
				}
				if arrived+len(received) > 1 {
					break
				}
			}
			if got := proxy.Dials(); got != 2 || arrived+len(received) <= 1 {
				t.Errorf("%d connections, and %d batches on the second one, after %d were sent", got, arrived+len(received), most)
			}
		})
	}
}
