package transporter

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// fakePeer is a server whose connections are pipes, which can go silent.
type fakePeer struct {
	server *Server
	ctx    context.Context

	mutex sync.Mutex
	open  []*fakeConn
	dials int
	// paused makes the peer read nothing and answer nothing until it is closed.
	paused chan struct{}
	// delay delays all that the peer sends.
	delay time.Duration
	// receiveDelay is the time that the peer takes to receive up to 1 KB, and handleDelay the
	// time that it takes to handle a notification.
	receiveDelay, handleDelay time.Duration
	// isDark makes dials hang.
	isDark bool

	received atomic.Int64
}

// bufferedConn is one end of a pipe whose writes do not wait for the other end, as those of
// a connection with large buffers.
type bufferedConn struct {
	net.Conn
	written chan delayedWrite
	delay   func() time.Duration
	closed  chan struct{}
	once    sync.Once
}

// delayedWrite is data that is passed on at the time due.
type delayedWrite struct {
	data []byte
	due  time.Time
}

// newBufferedConn returns a connection that passes each write on after the delay.
func newBufferedConn(conn net.Conn, delay func() time.Duration) *bufferedConn {
	b := &bufferedConn{Conn: conn, written: make(chan delayedWrite, 10_000), delay: delay, closed: make(chan struct{})}
	go func() {
		for {
			select {
			case <-b.closed:
				return
			case write := <-b.written:
				time.Sleep(time.Until(write.due))
				if _, err := conn.Write(write.data); err != nil {
					return
				}
			}
		}
	}()
	return b
}

func (b *bufferedConn) Write(data []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, net.ErrClosed
	case b.written <- delayedWrite{slices.Clone(data), time.Now().Add(b.delay())}:
		return len(data), nil
	}
}

func (b *bufferedConn) SetWriteDeadline(time.Time) error { return nil }

func (b *bufferedConn) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Conn.Close()
}

// fakeConn is the client's end of a connection to a fakePeer.
type fakeConn struct {
	net.Conn
	peer *fakePeer
	// noWrites and noReads make the direction silent.
	noWrites, noReads atomic.Bool
	// lateBy delays what is read from now on; guarded by the peer's mutex.
	lateBy    time.Duration
	closed    chan struct{}
	closeOnce sync.Once
}

func (f *fakeConn) Write(data []byte) (int, error) {
	if f.noWrites.Load() {
		return len(data), nil
	}
	return f.Conn.Write(data)
}

func (f *fakeConn) Read(data []byte) (int, error) {
	for {
		n, err := f.Conn.Read(data)
		f.peer.mutex.Lock()
		lateBy := f.lateBy
		f.peer.mutex.Unlock()
		time.Sleep(lateBy)
		if err != nil && f.noReads.Load() {
			<-f.closed
			return 0, io.EOF
		}
		if err != nil || !f.noReads.Load() {
			return n, err
		}
	}
}

// Close closes the connection. The peer of a silent one does not notice.
func (f *fakeConn) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	if f.noWrites.Load() {
		return f.SetReadDeadline(time.Now())
	}
	return f.Conn.Close()
}

// serverConn is the peer's end of a connection.
type serverConn struct {
	net.Conn
	peer *fakePeer
}

func (s serverConn) Read(data []byte) (int, error) {
	s.peer.mutex.Lock()
	delay := s.peer.receiveDelay
	s.peer.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
		data = data[:min(len(data), 1<<10)]
	}
	n, err := s.Conn.Read(data)
	if paused := s.peer.pausedUntil(); paused != nil {
		<-paused
	}
	return n, err
}

func (p *fakePeer) currentDelay() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.delay
}

func (p *fakePeer) pausedUntil() chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paused
}

func (p *fakePeer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dials++
	if p.isDark {
		p.mutex.Unlock()
		<-ctx.Done()
		p.mutex.Lock()
		return nil, ctx.Err()
	}
	local, remote := net.Pipe()
	conn := &fakeConn{Conn: newBufferedConn(local, func() time.Duration { return 0 }), peer: p, closed: make(chan struct{})}
	p.open = append(p.open, conn)
	p.server.serveConn(p.ctx, &idleConn{Conn: serverConn{newBufferedConn(remote, p.currentDelay), p}})
	return conn, nil
}

// silence makes all connections that are open go silent for good.
func (p *fakePeer) silence(writes, reads bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.open {
		c.noWrites.Store(writes)
		c.noReads.Store(reads)
	}
}

func (p *fakePeer) set(change func(p *fakePeer)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p)
}

func (p *fakePeer) dialCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// runWithPeer runs the test in a bubble with a client of a fake peer. The peer counts
// notifications, and answers a call of the method "slow" after a minute.
func runWithPeer(t *testing.T, test func(t *testing.T, p *fakePeer, client *Client)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := &fakePeer{ctx: ctx}
		p.server = NewServer(func(ctx context.Context, method string, _ json.RawMessage) (any, error) {
			if method == "slow" {
				select {
				case <-ctx.Done():
				case <-time.After(time.Minute):
				}
			}
			p.mutex.Lock()
			delay := p.handleDelay
			p.mutex.Unlock()
			time.Sleep(delay)
			p.received.Add(1)
			return struct{}{}, nil
		}, nil, 100)
		client := NewClient("peer", nil, zap.NewNop())
		client.dial = p.dial
		test(t, p, client)
		client.Reset()
		cancel()
		p.set(func(p *fakePeer) {
			for _, c := range p.open {
				_ = c.Conn.Close()
			}
		})
		time.Sleep(2 * time.Minute)
	})
}
