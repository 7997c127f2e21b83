package limiter

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// peerStallAfter is how long a connection of another process may be unused before it may
	// be closed to make room. It is above the time for which the process keeps it itself.
	peerStallAfter = 30 * time.Second
	// guaranteedPart is the part of the limit up to which each listener accepts connections
	// although others have used the limit up, so that readiness probes and other processes of
	// the cell are answered while callers flood the process.
	guaranteedPart = 8
	// victimsInterval is how often the connections are ranked at most, as ranking looks at
	// every connection.
	victimsInterval = 50 * time.Millisecond
	// idleBeforeNew is how long a connection that has not sent a whole request may make no
	// progress before it is closed ahead of a connection that is idle between requests.
	idleBeforeNew = 100 * time.Millisecond
	// closedPerFailure is how many connections are closed for one accept that fails.
	closedPerFailure = 8
	// minAcceptDelay and maxAcceptDelay bound the pause after an accept that fails.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// gate is a listener whose connections are limited.
type gate struct {
	net.Listener
	limiter *Limiter
	// isHTTP is false for the listener of another protocol, such as that between the
	// processes of the cell, whose connections stay in phaseHandling.
	isHTTP bool
	// maxOpen bounds the connections of the gate, and headerBytes a header section with empty
	// lines before it. Zero means no bound.
	maxOpen, headerBytes int
	// open counts the connections of the gate, and ranking ranks them. The limiter's mutex
	// guards both.
	open    int
	ranking ranking

	closeOnce sync.Once
	closed    chan struct{}
}

// Listen returns a listener that accepts the connections of the given one, of any protocol, as
// far as the limits allow. Others are closed at once. It survives errors that a lack of
// resources causes.
func (l *Limiter) Listen(listener net.Listener) net.Listener { return l.newGate(listener) }

func (l *Limiter) newGate(listener net.Listener) *gate {
	g := &gate{Listener: listener, limiter: l, closed: make(chan struct{})}
	g.ranking.only = g
	return g
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	delay := time.Duration(0)
	for {
		accepted, err := g.Listener.Accept()
		if err == nil {
			delay = 0
			if c := g.admit(accepted); c != nil {
				return c, nil
			}
			continue
		}
		if !isShortage(err) {
			return nil, err
		}
		g.limiter.refused[reasonAccept].Add(1)
		g.limiter.closeVictims(closedPerFailure)
		delay = min(max(minAcceptDelay, 2*delay), maxAcceptDelay)
		select {
		case <-g.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.Listener.Close()
}

// isShortage reports whether an accept failed for a lack of descriptors or memory, or because
// the client has gone.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit returns the connection if there is room for it, after the closing of a less needed
// one where that is necessary. Otherwise it closes the connection and returns nil.
func (g *gate) admit(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, gate: g}
	c.enter(phaseNew)
	if !g.isHTTP {
		c.enter(phaseHandling)
	}
	for {
		full := g.limiter.track(c)
		if full == nil {
			return c
		}
		v, why := g.limiter.victim(full)
		if v == nil {
			break
		}
		v.refuse(why)
	}
	g.limiter.refused[reasonNoRoom].Add(1)
	if tcp, ok := accepted.(*net.TCPConn); ok {
		// The kernel keeps nothing of a connection that is reset.
		_ = tcp.SetLinger(0)
	}
	_ = accepted.Close()
	return nil
}

// track registers the connection if there is room. Otherwise it returns the ranking of the
// connections of which one has to be closed first.
func (l *Limiter) track(c *conn) *ranking {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if limit := l.limits.Connections; limit > 0 && len(l.conns) >= limit && c.gate.open >= max(1, limit/guaranteedPart) {
		return &l.ranking
	}
	if own := c.gate.maxOpen; own > 0 && c.gate.open >= own {
		return &c.gate.ranking
	}
	l.conns[c] = struct{}{}
	c.gate.open++
	return nil
}

func (l *Limiter) forget(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		c.gate.open--
	}
}

// closeVictims closes up to count of the least needed connections.
func (l *Limiter) closeVictims(count int) {
	for range count {
		v, why := l.victim(&l.ranking)
		if v == nil {
			return
		}
		v.refuse(why)
	}
}

// ranking holds connections that may be closed, the least needed first. The limiter's mutex
// guards it.
type ranking struct {
	// only is the gate whose connections are ranked; nil means all.
	only    *gate
	victims []victim
	// from is when the connections were ranked; zero if they were not.
	from time.Duration
}

// victim is a connection that may be closed, and how much it was needed when it was ranked.
type victim struct {
	conn  *conn
	need  need
	since time.Duration
}

// victim returns the least needed connection, unless it made progress since it was ranked, and
// why it is closed. It returns nil if there is none, or was none when they were last ranked.
func (l *Limiter) victim(r *ranking) (*conn, reason) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if len(r.victims) == 0 && (r.from == 0 || now-r.from >= victimsInterval) {
		r.victims, r.from = l.rank(now, r.only), now
	}
	for len(r.victims) > 0 {
		v := r.victims[0]
		r.victims = r.victims[1:]
		if v.conn.isClosed.Load() || v.conn.need(now) > v.need {
			continue
		}
		if v.need == neededIdle {
			return v.conn, reasonIdle
		}
		return v.conn, reasonStalled
	}
	return nil, 0
}

// need is how much a connection is needed, least first.
type need int

const (
	neededStalled need = iota
	neededUnfinished
	neededIdle
	needed
)

// need returns how much the connection is needed.
func (c *conn) need(now time.Duration) need {
	switch {
	case c.isStalled(now, stallAfter):
		return neededStalled
	case !c.gate.isHTTP:
		return needed
	case c.isUnfinished() && c.idleFor(now) >= idleBeforeNew:
		return neededUnfinished
	case c.currentPhase() == phaseIdle && c.idleFor(now) >= stallAfter:
		return neededIdle
	default:
		return needed
	}
}

// rank returns connections that may be closed, the least needed first, up to an eighth of all.
// The caller holds the mutex.
func (l *Limiter) rank(now time.Duration, only *gate) []victim {
	var victims []victim
	for c := range l.conns {
		if only != nil && c.gate != only {
			continue
		}
		if n := c.need(now); n != needed {
			victims = append(victims, victim{c, n, c.idleFor(now)})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.need, b.need), cmp.Compare(b.since, a.since))
	})
	const part = 8
	return slices.Clip(victims[:min(len(victims), 1+len(l.conns)/part)])
}
