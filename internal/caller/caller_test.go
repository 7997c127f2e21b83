package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

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
	// works counts the calls but confirm and those that ask who leads. arrived receives a
	// value for each of them that the test has room for.
	works   atomic.Int64
	arrived chan struct{}
	// locates counts the calls that ask who leads. located receives a value for each of
	// them that the test has room for.
	locates atomic.Int64
	located chan struct{}
	// isSlow makes the member answer any other call but confirm only after released is
	// closed.
	isSlow   atomic.Bool
	released chan struct{}
	members  []replicator.Member
	// refusal is returned to any other call but confirm, unless it is nil.
	refusal atomic.Pointer[modeler.RefusalError]
}

func newFakeMember(t *testing.T) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{
		address: listener.Addr().String(), located: make(chan struct{}, 1), released: make(chan struct{}),
		arrived: make(chan struct{}, 1),
	}
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
		if method != messenger.MethodLocate {
			m.noteArrival()
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if method == messenger.MethodLocate {
		m.locates.Add(1)
		select {
		case m.located <- struct{}{}:
		default:
		}
		return messenger.LocateAnswer{IsLeader: m.isLeader.Load(), Members: m.members}, nil
	}
	m.calls.Add(1)
	if method == "confirm" {
		return struct{}{}, nil
	}
	m.works.Add(1)
	m.noteArrival()
	if m.isSlow.Load() {
		<-m.released
	}
	if !m.isLeader.Load() {
		return nil, modeler.Refuse(modeler.CodeNotLeader, "", "this member does not lead")
	}
	if refusal := m.refusal.Load(); refusal != nil {
		return nil, refusal
	}
	return struct{}{}, nil
}

func (m *fakeMember) noteArrival() {
	select {
	case m.arrived <- struct{}{}:
	default:
	}
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
	c := New([]string{a.address, b.address}, nil, zap.NewNop())
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
	c := New([]string{unresponsive.address, a.address}, nil, zap.NewNop())
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
	c := New([]string{seed.address}, nil, zap.NewNop())
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

func TestMissingAnswerIsUnknownOutcome(t *testing.T) {
	t.Parallel()
	a := newFakeMember(t)
	a.isLeader.Store(true)
	c := New([]string{a.address}, nil, zap.NewNop())
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
	c := New([]string{frozen.address, next.address}, nil, zap.NewNop())
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
	c := New([]string{gone.address}, nil, zap.NewNop())
	c.SetSeeds([]string{next.address})
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

// TestSlowLeaderIsNotAskedWhetherItLeads checks that callers that wait for a leader,
// which may be overloaded, ask the other members only whether there is a new one.
func TestSlowLeaderIsNotAskedWhetherItLeads(t *testing.T) {
	t.Parallel()
	slow, other := newFakeMember(t), newFakeMember(t)
	slow.isLeader.Store(true)
	c := New([]string{slow.address, other.address}, nil, zap.NewNop())
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	// A search ends at the leader's answer, and may not have reached the other member.
	for isLocated := false; !isLocated; {
		<-c.startSearch("").done
		select {
		case <-other.located:
			isLocated = true
		default:
		}
	}
	slow.isSlow.Store(true)
	before := slow.locates.Load()
	result := make(chan error, 1)
	go func() { result <- call(t, c, 10*time.Second) }()
	<-other.located
	close(slow.released)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if got := slow.locates.Load() - before; got != 0 {
		t.Errorf("the slow leader was asked %d times whether it leads, want 0", got)
	}
}

// TestCallIsNotSentAgainToSlowLeader checks that a call which the leader has not answered
// is sent again only if the leader answers no other calls either.
func TestCallIsNotSentAgainToSlowLeader(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		answersOthers bool
		wantCalls     int64
	}{
		"answers other calls": {answersOthers: true, wantCalls: 1},
		"answers nothing":     {answersOthers: false, wantCalls: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leader := newFakeMember(t)
			leader.isLeader.Store(true)
			leader.isSlow.Store(true)
			c := New([]string{leader.address}, nil, zap.NewNop())
			c.attemptTimeout = attemptTimeout
			result := make(chan error, 1)
			go func() { result <- call(t, c, time.Minute) }()
			<-leader.arrived
			if tt.answersOthers {
				for began := time.Now(); time.Since(began) < 5*c.attemptTimeout; {
					if err := c.Call(t.Context(), "confirm", struct{}{}, nil); err != nil {
						t.Fatal(err)
					}
				}
			} else {
				<-leader.arrived
			}
			close(leader.released)
			if err := <-result; err != nil {
				t.Error(err)
			}
			if got := leader.works.Load(); got != tt.wantCalls {
				t.Errorf("the call was sent %d times, want %d", got, tt.wantCalls)
			}
		})
	}
}

// TestSilentFollowerIsNotCalledForAWhile checks that only the first call waits for a
// member that answers nothing.
func TestSilentFollowerIsNotCalledForAWhile(t *testing.T) {
	t.Parallel()
	leader, silent := newFakeMember(t), newFakeMember(t)
	leader.isLeader.Store(true)
	c := New([]string{leader.address, silent.address}, nil, zap.NewNop())
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	silent.unresponsive.Store(true)
	for range 5 {
		if err := c.CallFollower(t.Context(), "confirm", struct{}{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := c.nextFollower(); ok {
		t.Error("the silent member may be called again")
	}
	if got := leader.calls.Load() - leader.works.Load(); got != 5 {
		t.Errorf("the leader answered %d calls for the silent member, want 5", got)
	}
}

func TestCallThatAnyMemberAnswersSparesTheLeader(t *testing.T) {
	t.Parallel()
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.isLeader.Store(true)
	c := New([]string{leader.address, follower.address}, nil, zap.NewNop())
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		method                   string
		wantLeader, wantFollower int64
	}{
		"a follower answers":                          {"confirm", 0, 1},
		"the leader answers what the follower cannot": {"work", 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			beforeLeader, beforeFollower := leader.calls.Load(), follower.calls.Load()
			var answer struct{}
			if err := c.CallFollower(t.Context(), tt.method, struct{}{}, &answer); err != nil {
				t.Fatal(err)
			}
			gotLeader, gotFollower := leader.calls.Load()-beforeLeader, follower.calls.Load()-beforeFollower
			if gotLeader != tt.wantLeader || gotFollower != tt.wantFollower {
				t.Errorf("the leader got %d calls and the follower %d, want %d and %d",
					gotLeader, gotFollower, tt.wantLeader, tt.wantFollower)
			}
		})
	}
}
