// Package limiter bounds what clients that are not trusted can make a process hold: open
// connections, and memory for requests in flight. One Limiter serves all listeners of a
// process. Where a bound is reached it closes the least needed connections first: those that
// stall in the middle of a request, longest first, and then those that are idle between
// requests. It never closes a connection whose request is being handled.
package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Limits are the bounds of a process. A bound of zero is not enforced.
type Limits struct {
	// Connections bounds the connections that clients have open.
	Connections int
	// Bytes bounds the memory for requests that are in flight, in bytes.
	Bytes int64
	// HeaderBytes, HeaderTimeout and IdleTimeout are the limits of servers that have none of
	// their own.
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
	// BodyBytesPerSecond is the least rate at which a body has to arrive once BodyGrace has
	// passed.
	BodyBytesPerSecond int
	BodyGrace          time.Duration
	// WriteTimeout bounds the time in which a client takes writePiece bytes of a response.
	WriteTimeout time.Duration
}

const (
	// sweepInterval is the interval at which slow connections are looked for.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the interval of the log lines about what was refused.
	logInterval = time.Second
	// stallAfter is how long a connection makes no progress in the middle of a request before
	// it may be closed to make room. Lost packets are sent again within 200 to 600 ms.
	stallAfter = time.Second
)

// reason is why a connection was closed or a request was refused.
type reason int

const (
	reasonStalled reason = iota
	reasonIdle
	reasonNoRoom
	reasonHeader
	reasonBodyRate
	reasonBodySize
	reasonBytes
	reasonUnread
	reasonShutdown
	reasonAccept
	reasonCount
)

// reasonNames are the values of the tag reason, and the fields of the log line.
var reasonNames = [reasonCount]string{
	"stalled", "idle", "noRoom", "headerTooLong", "bodyTooSlow", "bodyTooLarge", "noMemory", "responseUnread", "shutdown",
	"acceptFailed",
}

// Limiter enforces the limits of one process. It is safe for concurrent use.
type Limiter struct {
	limits Limits
	log    *zap.Logger
	start  time.Time
	budget budget
	// refused counts what was refused, by reason.
	refused [reasonCount]atomic.Int64

	mutex   sync.Mutex
	conns   map[*conn]struct{}
	ranking ranking
}

// New returns a limiter. Run has to run while it is used.
func New(limits Limits, log *zap.Logger) *Limiter {
	l := &Limiter{limits: limits, log: log, start: time.Now(), conns: map[*conn]struct{}{}}
	l.budget.total = limits.Bytes
	return l
}

// now returns the time since the limiter was created. It is above zero.
func (l *Limiter) now() time.Duration { return time.Since(l.start) + 1 }

// Run closes connections that are slower than the limits allow, and reports what was refused
// to the log and the scope, until the context ends.
func (l *Limiter) Run(ctx context.Context, scope tally.Scope) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var reported [reasonCount]int64
	lastReport := l.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		l.closeSlow()
		if now := l.now(); now-lastReport >= logInterval {
			lastReport = now
			l.report(scope, &reported)
		}
	}
}

// report updates the metrics, and logs one line if anything was refused since reported.
func (l *Limiter) report(scope tally.Scope, reported *[reasonCount]int64) {
	connections, bytes := l.Connections(), l.budget.inUse()
	scope.Gauge("client_connections").Update(float64(connections))
	scope.Gauge("client_bytes").Update(float64(bytes))
	fields := []zap.Field{zap.Int("connections", connections), zap.Int64("bytes", bytes)}
	hasRefused := false
	for r := range reasonCount {
		refused := l.refused[r].Load()
		if refused == reported[r] {
			continue
		}
		added := refused - reported[r]
		reported[r], hasRefused = refused, true
		scope.Tagged(map[string]string{"reason": reasonNames[r]}).Counter("clients_refused").Inc(added)
		fields = append(fields, zap.Int64(reasonNames[r], added))
	}
	if hasRefused {
		l.log.Warn("clients refused", fields...)
	}
}

// Connections returns how many connections are open.
func (l *Limiter) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

// closeSlow closes connections whose body arrives, or whose response is read, too slowly.
func (l *Limiter) closeSlow() {
	now := l.now()
	for _, c := range l.open() {
		if why, isSlow := c.tooSlow(now); isSlow {
			c.refuse(why)
		}
	}
}

// open returns the open connections.
func (l *Limiter) open() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}
