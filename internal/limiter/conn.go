package limiter

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int32

const (
	// phaseNew is a connection on which nothing has arrived yet.
	phaseNew phase = iota
	// phaseHeader is from the first byte of a request to the end of its header section.
	phaseHeader
	// phaseBody is while the body of a request is being read.
	phaseBody
	// phaseHandling is from the end of a request until its response has been written. The
	// connection of another protocol is always in this phase.
	phaseHandling
	// phaseIdle is between requests.
	phaseIdle
)

const (
	// writePiece is how much is written at once, so that the progress of a large response is
	// seen.
	writePiece = 64 << 10
	// freeHeaderBytes is how much of a header section costs nothing beyond the connection.
	freeHeaderBytes = 1 << 10
	// headerStep is the step in which the memory for a header section is reserved.
	headerStep = 2 << 10
	// headerCost is how many bytes of memory one byte of a header section takes at most. The
	// shortest header line takes about 6 bytes, and its map entry, key and value about 150.
	headerCost = 32
	// headerSlack is how many bytes may be read beyond a header section: the HTTP server
	// reads on by up to its buffer, which may hold the beginning of the body.
	headerSlack = 8 << 10
)

var (
	errHeaderTooLong = errors.New("the header section is too long")
	errNoMemory      = errors.New("no memory is left for the request")
)

// conn is a connection from a client. The phase is set by the goroutine that serves the
// connection, and read by others.
type conn struct {
	net.Conn
	gate *gate

	phase    atomic.Int32
	isClosed atomic.Bool
	// progressAt is when data was last read or written, and writingSince when the present
	// write began; zero without one. They are in the limiter's time.
	progressAt, writingSince atomic.Int64
	// began is when the header section or body began to be read, and received how many bytes
	// of it have arrived.
	began, received atomic.Int64
	// held is the memory reserved for the request, in bytes.
	held atomic.Int64
	// requests is how many requests are being handled. HTTP/2 handles several at once.
	requests atomic.Int32
}

func (c *conn) currentPhase() phase { return phase(c.phase.Load()) }

func (c *conn) enter(p phase) {
	now := int64(c.gate.limiter.now())
	c.progressAt.Store(now)
	if p == phaseHeader || p == phaseBody {
		c.began.Store(now)
		c.received.Store(0)
	}
	c.phase.Store(int32(p))
}

// Read implements io.Reader.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	switch c.currentPhase() {
	case phaseNew, phaseIdle:
		c.enter(phaseHeader)
		err = errors.Join(err, c.countHeader(n))
	case phaseHeader:
		c.progressAt.Store(int64(c.gate.limiter.now()))
		err = errors.Join(err, c.countHeader(n))
	case phaseBody, phaseHandling:
		c.progressAt.Store(int64(c.gate.limiter.now()))
		c.received.Add(int64(n))
	}
	if err != nil && c.isClosed.Load() {
		return 0, err
	}
	return n, err
}

// countHeader counts bytes of a header section, with empty lines before it, and reserves
// memory for them. It closes the connection if that isn't possible.
func (c *conn) countHeader(n int) error {
	received := c.received.Add(int64(n))
	if limit := c.gate.headerBytes; limit > 0 && received > int64(limit)+headerSlack {
		c.refuse(reasonHeader)
		return errHeaderTooLong
	}
	if received <= freeHeaderBytes {
		return nil
	}
	cost := (received + headerStep - 1) / headerStep * headerStep * headerCost
	if missing := cost - c.held.Load(); missing > 0 && !c.gate.limiter.reserveNow(c, missing) {
		c.refuse(reasonBytes)
		return errNoMemory
	}
	if c.isClosed.Load() {
		c.release()
	}
	return nil
}

// release returns the memory that is reserved for the request.
func (c *conn) release() {
	if held := c.held.Swap(0); held > 0 {
		c.gate.limiter.budget.release(held)
	}
}

// Write implements io.Writer.
func (c *conn) Write(data []byte) (int, error) {
	if !c.gate.isHTTP {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		piece := data[written:min(len(data), written+writePiece)]
		c.writingSince.Store(int64(c.gate.limiter.now()))
		n, err := c.Conn.Write(piece)
		c.writingSince.Store(0)
		c.progressAt.Store(int64(c.gate.limiter.now()))
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite shuts down the writing side, as the HTTP server does before it closes a
// connection on which unread data is left.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements io.Closer. The memory of a request that is being handled is released when
// its handler has returned.
func (c *conn) Close() error {
	if !c.isClosed.Swap(true) {
		c.gate.limiter.forget(c)
		if c.requests.Load() == 0 {
			c.release()
		}
	}
	return c.Conn.Close()
}

// refuse closes the connection and counts it.
func (c *conn) refuse(why reason) {
	if c.isClosed.Load() {
		return
	}
	c.gate.limiter.refused[why].Add(1)
	_ = c.Close()
}

// idleFor returns how long the connection has made no progress.
func (c *conn) idleFor(now time.Duration) time.Duration {
	return now - time.Duration(c.progressAt.Load())
}

// isWriting reports whether a write has been waiting for its client for at least the time.
func (c *conn) isWriting(now, atLeast time.Duration) bool {
	since := time.Duration(c.writingSince.Load())
	return since > 0 && now-since >= atLeast
}

// isUnfinished reports whether the client owes the rest of a request, or a whole one.
func (c *conn) isUnfinished() bool {
	switch c.currentPhase() {
	case phaseNew, phaseHeader, phaseBody:
		return c.requests.Load() <= 1
	default:
		return false
	}
}

// isStalled reports whether the client has stopped in the middle of a request or response.
func (c *conn) isStalled(now, after time.Duration) bool {
	if !c.gate.isHTTP {
		return c.idleFor(now) >= peerStallAfter
	}
	return c.isWriting(now, after) || c.isUnfinished() && c.idleFor(now) >= after
}

// tooSlow reports whether the connection is slower than the limits allow.
func (c *conn) tooSlow(now time.Duration) (reason, bool) {
	limits := c.gate.limiter.limits
	if limits.WriteTimeout > 0 && c.isWriting(now, limits.WriteTimeout) {
		return reasonUnread, true
	}
	if limits.BodyBytesPerSecond <= 0 || c.currentPhase() != phaseBody || c.requests.Load() > 1 {
		return 0, false
	}
	elapsed := now - time.Duration(c.began.Load()) - limits.BodyGrace
	expected := int64(elapsed.Seconds() * float64(limits.BodyBytesPerSecond))
	return reasonBodyRate, elapsed > 0 && c.received.Load() < expected
}
