package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// fakeMember is a member of control that answers calls on a port of its own.
type fakeMember struct {
	address  string
	isLeader atomic.Bool
	// unresponsive makes the member accept calls without ever answering.
	unresponsive atomic.Bool
	calls        atomic.Int64
	members      []replicator.Member
}

func newFakeMember(t *testing.T) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{address: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	server := transporter.NewServer(m.handle, nil, 100)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return m
}

func (m *fakeMember) handle(ctx context.Context, method string, _ json.RawMessage) (any, error) {
	if m.unresponsive.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if method == messenger.MethodLocate {
		return messenger.LocateAnswer{IsLeader: m.isLeader.Load(), Members: m.members}, nil
	}
	m.calls.Add(1)
	if !m.isLeader.Load() {
		return nil, modeler.Refuse(modeler.CodeNotLeader, "", "this member does not lead")
	}
	return struct{}{}, nil
}

func call(t *testing.T, c *Caller, wait time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	var answer struct{}
	return c.Call(ctx, "work", struct{}{}, &answer)
}

func TestCallsFollowLeaderChange(t *testing.T) {
	t.Parallel()
	a, b := newFakeMember(t), newFakeMember(t)
	a.isLeader.Store(true)
	c := New([]string{a.address, b.address}, nil)
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	a.isLeader.Store(false)
	b.isLeader.Store(true)
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if b.calls.Load() != 1 {
		t.Errorf("the new leader got %d calls, want 1", b.calls.Load())
	}
}

func TestCallIsNotSentToMemberThatDoesNotLead(t *testing.T) {
	t.Parallel()
	a, unresponsive := newFakeMember(t), newFakeMember(t)
	unresponsive.unresponsive.Store(true)
	c := New([]string{unresponsive.address, a.address}, nil)
	err := call(t, c, 600*time.Millisecond)
	var refusal *modeler.RefusalError
	if !errors.As(err, &refusal) || refusal.Code != modeler.CodeUnavailable {
		t.Fatalf("got %v, want a refusal with code unavailable", err)
	}
	if a.calls.Load() != 0 {
		t.Error("the call was sent to a member that does not lead")
	}
}

func TestLeaderOutsideSeedsIsDiscovered(t *testing.T) {
	t.Parallel()
	seed, added := newFakeMember(t), newFakeMember(t)
	seed.members = []replicator.Member{{ID: "seed", Address: seed.address}, {ID: "added", Address: added.address}}
	added.isLeader.Store(true)
	c := New([]string{seed.address}, nil)
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

func TestMissingAnswerIsUnknownOutcome(t *testing.T) {
	t.Parallel()
	a := newFakeMember(t)
	a.isLeader.Store(true)
	c := New([]string{a.address}, nil)
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	a.unresponsive.Store(true)
	err := call(t, c, time.Second)
	var refusal *modeler.RefusalError
	if !errors.As(err, &refusal) || refusal.Code != modeler.CodeUnknownOutcome {
		t.Errorf("got %v, want a refusal with code unknownOutcome", err)
	}
}

func TestCallToFrozenLeaderMovesToItsSuccessor(t *testing.T) {
	t.Parallel()
	frozen, next := newFakeMember(t), newFakeMember(t)
	frozen.isLeader.Store(true)
	c := New([]string{frozen.address, next.address}, nil)
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	frozen.unresponsive.Store(true)
	next.isLeader.Store(true)
	// With this time-out, only the search for another leader can end the call to the frozen one.
	c.attemptTimeout = time.Hour
	if err := call(t, c, time.Minute); err != nil {
		t.Errorf("the call did not move from the frozen leader to its successor: %v", err)
	}
}

func TestAddedSeedsAreQueried(t *testing.T) {
	t.Parallel()
	gone, next := newFakeMember(t), newFakeMember(t)
	next.isLeader.Store(true)
	c := New([]string{gone.address}, nil)
	c.SetSeeds([]string{next.address})
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}
