package transporter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// readingReporter tells the client of a connection that the server reads what it sends,
// where no answer does: while a large call is read or decoded, and while notifications arrive.
// The client could take the connection for silent otherwise, and send a snapshot again on
// another one, or a message ahead of those that the server has not handled yet.
type readingReporter struct {
	// Conn is the connection that the calls arrive on.
	net.Conn
	// connected passes on the connection once it is set up. It has room for one value.
	connected chan *jsonrpc2.Conn
	// received counts the bytes that have arrived.
	received atomic.Int64
	// rpc is nil until the first report.
	rpc *jsonrpc2.Conn

	mutex sync.Mutex
	// unansweredSince is when the first data arrived after the last write; zero if none has.
	unansweredSince time.Time
}

func newReadingReporter(conn net.Conn) *readingReporter {
	return &readingReporter{Conn: conn, connected: make(chan *jsonrpc2.Conn, 1)}
}

// Read implements io.Reader.
func (r *readingReporter) Read(data []byte) (int, error) {
	n, err := r.Conn.Read(data)
	r.received.Add(int64(n))
	if n > 0 && r.isReportDue() {
		rpc := r.connection()
		go func() { _ = rpc.Notify(context.Background(), methodReading, struct{}{}) }()
	}
	return n, err
}

// Write implements io.Writer.
func (r *readingReporter) Write(data []byte) (int, error) {
	r.mutex.Lock()
	r.unansweredSince = time.Time{}
	r.mutex.Unlock()
	return r.Conn.Write(data)
}

// isReportDue records that data has arrived, and reports whether the client got nothing for
// readingInterval.
func (r *readingReporter) isReportDue() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unansweredSince.IsZero() {
		r.unansweredSince = time.Now()
		return false
	}
	if time.Since(r.unansweredSince) < readingInterval {
		return false
	}
	r.unansweredSince = time.Now()
	return true
}

// connection returns the connection once it is set up. Only the goroutine that reads calls it.
func (r *readingReporter) connection() *jsonrpc2.Conn {
	if r.rpc == nil {
		r.rpc = <-r.connected
	}
	return r.rpc
}

// observe reports until the call is decoded, see codec. It reports nothing while no more
// of the call arrives.
func (r *readingReporter) observe() (arrived, decoded func()) {
	rpc := r.connection()
	var hasArrived atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.report(ctx, rpc, &hasArrived)
	}()
	return func() { hasArrived.Store(true) }, func() {
		stop()
		<-ended
	}
}

// report reports until the context ends, or the connection fails, which its reader notices too.
func (r *readingReporter) report(ctx context.Context, rpc *jsonrpc2.Conn, hasArrived *atomic.Bool) {
	ticker := time.NewTicker(readingInterval)
	defer ticker.Stop()
	reported := r.received.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		received := r.received.Load()
		if received == reported && !hasArrived.Load() {
			continue
		}
		reported = received
		if rpc.Notify(ctx, methodReading, struct{}{}) != nil {
			return
		}
	}
}
