package transporter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

const (
	// methodPing is answered by the server of the connection itself. A server that does
	// not know it answers with an error, which shows as well that the connection works.
	methodPing = "transporter.ping"
	// pingAfter is how long a peer may owe an answer before it is pinged. It is above
	// readingInterval, so that a connection that carries notifications is not pinged.
	pingAfter = 400 * time.Millisecond
	// silenceLimit is how long a peer may owe an answer, to the ping too, before the
	// connection is suspected. An election after that ends within 3 s of the silence.
	silenceLimit = time.Second
	// initialPatience and maxPatience bound how long a new connection may take to show that
	// the peer answers. The time doubles, as a peer that is paused is dialled meanwhile, and
	// finds the connections that were given up when it goes on.
	initialPatience = 500 * time.Millisecond
	maxPatience     = 4 * time.Second
	// minGrace is how long the peer may go on owing an answer after it has answered on a new
	// connection. It gets twice the time that this took, if that is longer.
	minGrace = 200 * time.Millisecond
	// minProbeInterval is the interval of the attempts to reach a peer that can't be dialled.
	minProbeInterval = 500 * time.Millisecond
	// methodReading is a notification of the server that it reads what the client sends.
	methodReading = "transporter.reading"
	// readingInterval is the interval of these notifications.
	readingInterval = 300 * time.Millisecond
	// clientIdleLimit is how long a client keeps a connection that is not used. It is far
	// below serverIdleLimit, so that no call meets a connection that the server closes.
	clientIdleLimit = 20 * time.Second
	// serverIdleLimit is how long a server keeps a connection on which nothing arrives. A
	// client that waits for an answer pings, so that such a connection was given up.
	serverIdleLimit = time.Minute
)

// link is one connection of a client. It knows whether the peer owes an answer, and so
// whether silence means anything.
type link struct {
	// Conn is the connection below the codec, and below TLS.
	net.Conn
	rpc *jsonrpc2.Conn
	// used holds a value if the link was used since watch last looked.
	used chan struct{}

	mutex sync.Mutex
	// users is the number of calls without an answer, and of notifications that are being sent.
	users int
	// lastRead is when data last arrived; zero if none has.
	lastRead time.Time
	// owedSince is since when the peer owes an answer; zero if it owes none.
	owedSince time.Time
	// isDecoding is set while this process decodes a large answer, and reads nothing.
	isDecoding bool
}

func newLink(conn net.Conn) *link { return &link{Conn: conn, used: make(chan struct{}, 1)} }

// Read implements io.Reader.
func (l *link) Read(data []byte) (int, error) {
	n, err := l.Conn.Read(data)
	if n > 0 {
		l.mutex.Lock()
		l.recordReadLocked()
		l.mutex.Unlock()
	}
	return n, err
}

// Write implements io.Writer.
func (l *link) Write(data []byte) (int, error) {
	l.mutex.Lock()
	if l.owedSince.IsZero() {
		l.owedSince = time.Now()
	}
	l.mutex.Unlock()
	select {
	case l.used <- struct{}{}:
	default:
	}
	return l.Conn.Write(data)
}

// observe is called when a large answer begins to arrive, see codec.
func (l *link) observe() (arrived, decoded func()) {
	return func() { l.setDecoding(true) }, func() { l.setDecoding(false) }
}

func (l *link) setDecoding(isDecoding bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isDecoding = isDecoding
	l.recordReadLocked()
}

// recordReadLocked records that data has arrived. The caller holds the mutex.
func (l *link) recordReadLocked() {
	l.lastRead, l.owedSince = time.Now(), time.Time{}
	if l.users > 0 {
		l.owedSince = l.lastRead
	}
}

// acquire records that a call or a notification is about to be sent.
func (l *link) acquire() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.users++
}

// release records that a call was answered or given up, or that a notification was sent.
func (l *link) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.users--
	if l.users == 0 && !l.owedSince.After(l.lastRead) {
		l.owedSince = time.Time{}
	}
}

// owed returns since when the peer owes an answer, and whether it owes one.
func (l *link) owed() (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isDecoding {
		return time.Now(), true
	}
	return l.owedSince, !l.owedSince.IsZero()
}

func (l *link) userCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.users
}

// hasReadSince reports whether data has arrived after the time.
func (l *link) hasReadSince(t time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastRead.After(t)
}

// ping asks the peer for an answer, and waits for it until the context ends.
func (l *link) ping(ctx context.Context) error {
	return l.rpc.Call(ctx, methodPing, struct{}{}, nil)
}

// wait blocks for a time, and reports whether the link is still connected then.
func (l *link) wait(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-l.rpc.DisconnectNotify():
		return false
	case <-timer.C:
		return true
	}
}

// watch notices when the link goes silent or idle. It returns when the link is closed.
func (c *Client) watch(ctx context.Context, l *link) {
	idle := time.NewTimer(clientIdleLimit)
	defer idle.Stop()
	for {
		select {
		case <-l.rpc.DisconnectNotify():
			return
		case <-idle.C:
			if c.closeIdle(l) {
				return
			}
		case <-l.used:
		}
		if !c.awaitAnswers(ctx, l) {
			return
		}
		idle.Reset(clientIdleLimit)
	}
}

// awaitAnswers watches the link while the peer owes an answer. It reports whether the
// link is still used then.
func (c *Client) awaitAnswers(ctx context.Context, l *link) bool {
	// pingedFor is the time since which an answer was owed when the peer was last pinged.
	var pingedFor, pingedAt time.Time
	for {
		since, isOwed := l.owed()
		if !isOwed {
			return true
		}
		due := since.Add(pingAfter)
		if pingedFor.Equal(since) {
			due = pingedAt.Add(silenceLimit - pingAfter)
		}
		switch {
		case time.Now().Before(due):
			if !l.wait(time.Until(due)) {
				return false
			}
		case !pingedFor.Equal(since):
			pingedFor, pingedAt = since, time.Now()
			// Its answer shows in the link's reads; sending may block on a full connection.
			go func() { _ = l.ping(ctx) }()
		case !c.replaceSilent(ctx, l, since):
			return false
		}
	}
}

// replaceSilent opens another connection to a peer that owes an answer since the time, and
// goes over to it if the peer answers there. If it answers nowhere, the peer is paused, slow or
// gone, and the link stays: the calls on it may still be answered. It reports whether the
// link is still used.
func (c *Client) replaceSilent(ctx context.Context, l *link, since time.Time) bool {
	patience, isReported := initialPatience, false
	for !l.hasReadSince(since) {
		began := time.Now()
		next, err := c.probe(ctx, patience)
		if err == nil {
			// A peer that was paused or late answers on both, in any order.
			l.wait(max(minGrace, 2*time.Since(began)))
		}
		switch {
		case err == nil && l.hasReadSince(since):
			_ = next.rpc.Close()
			return true
		case err == nil:
			c.log.Warn("silent connection replaced", zap.String("address", c.address),
				zap.Duration("silentFor", time.Since(since)), zap.Int("calls", l.userCount()))
			c.replace(l, next)
			return false
		case !isReported:
			isReported = true
			c.log.Info("peer does not answer", zap.String("address", c.address),
				zap.Duration("silentFor", time.Since(since)), zap.Error(err))
		}
		if !l.wait(max(0, minProbeInterval-time.Since(began))) {
			return false
		}
		patience = min(2*patience, maxPatience)
	}
	return true
}

// probe opens a connection on which the peer has answered within the time.
func (c *Client) probe(ctx context.Context, patience time.Duration) (*link, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	l, err := c.open(bounded)
	if err != nil {
		return nil, err
	}
	if err := l.ping(bounded); err != nil && !isAnswer(err) {
		_ = l.rpc.Close()
		return nil, err
	}
	return l, nil
}
