package transporter

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// notify sends a notification every 75 ms for the time.
func notify(t *testing.T, client *Client, length time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; time.Sleep(75 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_ = client.Notify(ctx, "append", struct{}{})
		cancel()
	}
}

// TestSilentConnectionIsReplaced guards against a member that sends into a connection that
// delivers nothing, without noticing, so that the cell elects no leader.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct{ writes, reads bool }{
		"both ways":   {true, true},
		"to the peer": {writes: true},
		"to us":       {reads: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
				notify(t, client, 5*time.Second)
				if p.dialCount() != 1 {
					t.Fatalf("%d connections before the silence, want 1", p.dialCount())
				}
				for round := range 3 {
					p.silence(tt.writes, tt.reads)
					// The core counts as stable 3 s after the silence, and an election takes up to 0.6 s.
					notify(t, client, 2*time.Second)
					before := p.received.Load()
					notify(t, client, time.Second)
					if got := p.received.Load() - before; got < 12 {
						t.Errorf("round %d: %d notifications arrived in a second, want about 13", round, got)
					}
					if got := p.dialCount(); got != round+2 {
						t.Errorf("round %d: %d connections were opened, want one after each silence", round, got)
					}
				}
			})
		})
	}
}

// TestCallOnSilentConnectionEnds checks that a call without a bound of its own ends when its
// connection is replaced, as one that may have been carried out.
func TestCallOnSilentConnectionEnds(t *testing.T) {
	runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
		if err := client.Call(t.Context(), "echo", struct{}{}, nil); err != nil {
			t.Fatal(err)
		}
		p.silence(true, true)
		began := time.Now()
		if err := client.Call(t.Context(), "echo", struct{}{}, nil); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("call on a silent connection: got %v, want %v", err, ErrOutcomeUnknown)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the call ended after %v", took)
		}
		if err := client.Call(t.Context(), "echo", struct{}{}, nil); err != nil {
			t.Error(err)
		}
	})
}

// TestCallThatTakesLongKeepsItsConnection checks that a peer that is at work is not taken
// for silent, and that silence is noticed while a call waits for its answer.
func TestCallThatTakesLongKeepsItsConnection(t *testing.T) {
	tests := map[string]struct {
		silence bool
		want    error
	}{
		"the connection works":     {},
		"the connection is silent": {silence: true, want: ErrOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
				ended := make(chan error, 1)
				go func() { ended <- client.Call(t.Context(), "slow", struct{}{}, nil) }()
				time.Sleep(30 * time.Second)
				p.silence(tt.silence, tt.silence)
				if err := <-ended; !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				if want := 1 + p.dialCount()/2; p.dialCount() != want {
					t.Errorf("%d connections were opened, want %d", p.dialCount(), want)
				}
			})
		})
	}
}

// TestPausedPeerIsNotDialledOverAndOver checks that a peer that answers on no connection keeps
// the one it has, and gets few others.
func TestPausedPeerIsNotDialledOverAndOver(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *fakePeer)
		// mostDials bounds the connections in a minute.
		mostDials int
		// resumes is true if the peer answers at once after that.
		resumes bool
	}{
		"it is paused": {prepare: func(p *fakePeer) { p.paused = make(chan struct{}) }, mostDials: 20, resumes: true},
		"it is slow":   {prepare: func(p *fakePeer) { p.delay = 1500 * time.Millisecond }, mostDials: 80},
		"its machine has no power": {
			prepare: func(p *fakePeer) { p.isDark = true; p.paused = make(chan struct{}) }, mostDials: 130, resumes: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
				defer cancel()
				answered := make(chan error, 1)
				go func() { answered <- client.Call(ctx, "slow", struct{}{}, nil) }()
				time.Sleep(time.Second)
				p.set(tt.prepare)
				notify(t, client, time.Minute)
				if got := p.dialCount(); got > tt.mostDials {
					t.Errorf("%d connections in a minute, want at most %d", got, tt.mostDials)
				}
				p.set(func(p *fakePeer) {
					if p.paused != nil {
						close(p.paused)
					}
					p.paused, p.isDark = nil, false
				})
				before := p.dialCount()
				notify(t, client, 10*time.Second)
				if got := p.dialCount(); tt.resumes && got > before+1 {
					t.Errorf("%d connections after the peer went on, want one that was being tried at most", got-before)
				}
				if err := <-answered; err != nil {
					t.Errorf("the call that waits got %v, want the answer of the peer that goes on", err)
				}
			})
		})
	}
}

// TestServerKeepsNoConnectionThatWasGivenUp checks that silent connections, whose end never
// arrives, do not stay open on the server.
func TestServerKeepsNoConnectionThatWasGivenUp(t *testing.T) {
	runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
		connCount := func() int {
			p.server.mutex.Lock()
			defer p.server.mutex.Unlock()
			return len(p.server.conns)
		}
		for range 5 {
			notify(t, client, time.Second)
			p.silence(true, true)
			notify(t, client, 2*time.Second)
		}
		notify(t, client, serverIdleLimit)
		if got := connCount(); got != 1 {
			t.Errorf("the server keeps %d connections, want the one in use", got)
		}
		time.Sleep(2 * clientIdleLimit)
		if got := connCount(); got != 0 {
			t.Errorf("the server keeps %d connections, none of which is used", got)
		}
		if err := client.Call(t.Context(), "echo", struct{}{}, nil); err != nil {
			t.Errorf("call after the idle time: %v", err)
		}
	})
}

// TestLargeCallIsNotSentAgain guards against a connection that is taken for silent while the
// peer receives, decodes or handles a large call, such as a snapshot: it was sent over and over.
func TestLargeCallIsNotSentAgain(t *testing.T) {
	tests := map[string]func(p *fakePeer){
		"the peer is slow to receive it": func(p *fakePeer) { p.receiveDelay = 2 * time.Millisecond },
		"the peer is slow to handle it":  func(p *fakePeer) { p.handleDelay = 10 * time.Second },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
				p.set(prepare)
				large := strings.Repeat("x", 8<<20)
				if err := client.Notify(t.Context(), "snapshot", large); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Second)
				if got := p.received.Load(); got != 1 {
					t.Errorf("%d snapshots were handled, want 1", got)
				}
				if got := p.dialCount(); got != 1 {
					t.Errorf("%d connections were opened, want 1", got)
				}
			})
		})
	}
}

// TestBacklogOfNotificationsStaysInOrder guards against a connection that is taken for silent while
// the peer is late with many small notifications, so that later messages overtake them.
func TestBacklogOfNotificationsStaysInOrder(t *testing.T) {
	runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
		const count = 100
		p.set(func(p *fakePeer) { p.handleDelay = 150 * time.Millisecond })
		for range count {
			if err := client.Notify(t.Context(), "append", strings.Repeat("x", 4<<10)); err != nil {
				t.Fatal(err)
			}
		}
		if err := client.Call(t.Context(), "flush", struct{}{}, nil); err != nil {
			t.Fatal(err)
		}
		if got := p.received.Load(); got != count+1 || p.dialCount() != 1 {
			t.Errorf("%d messages handled before the answer of the last one, want %d; %d connections", got, count+1, p.dialCount())
		}
	})
}

// TestPeerThatGoesOnKeepsItsConnection guards against calls that break as a peer that was paused
// answers on the new connection a moment before it answers on the old one.
func TestPeerThatGoesOnKeepsItsConnection(t *testing.T) {
	runWithPeer(t, func(t *testing.T, p *fakePeer, client *Client) {
		answered := make(chan error, 1)
		go func() { answered <- client.Call(t.Context(), "slow", struct{}{}, nil) }()
		time.Sleep(time.Second)
		p.set(func(p *fakePeer) { p.paused = make(chan struct{}) })
		time.Sleep(3 * time.Second)
		p.set(func(p *fakePeer) {
			p.open[0].lateBy = 100 * time.Millisecond
			close(p.paused)
			p.paused = nil
		})
		if err := <-answered; err != nil {
			t.Errorf("the call that waits got %v", err)
		}
	})
}
