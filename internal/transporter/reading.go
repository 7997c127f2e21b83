package transporter

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// readingReporter tells the client of a connection that the server is reading or decoding
// a large call, so that the client does not take the connection for silent and send the
// call again on another one.
type readingReporter struct {
	// Conn is the connection that the calls arrive on.
	net.Conn
	// connected passes on the connection once it is set up. It has room for one value.
	connected chan *jsonrpc2.Conn
	// received counts the bytes that have arrived.
	received atomic.Int64
	// rpc is nil until the first large call.
	rpc *jsonrpc2.Conn
}

func newReadingReporter(conn net.Conn) *readingReporter {
	return &readingReporter{Conn: conn, connected: make(chan *jsonrpc2.Conn, 1)}
}

// Read implements io.Reader.
func (r *readingReporter) Read(data []byte) (int, error) {
	n, err := r.Conn.Read(data)
	r.received.Add(int64(n))
	return n, err
}

// observe reports until the call is decoded, see codec. It reports nothing while no more
// of the call arrives.
func (r *readingReporter) observe() (arrived, decoded func()) {
	if r.rpc == nil {
		r.rpc = <-r.connected
	}
	var hasArrived atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.report(ctx, &hasArrived)
	}()
	return func() { hasArrived.Store(true) }, func() {
		stop()
		<-ended
	}
}

// report reports until the context ends, or the connection fails, which its reader notices too.
func (r *readingReporter) report(ctx context.Context, hasArrived *atomic.Bool) {
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
		if r.rpc.Notify(ctx, methodReading, struct{}{}) != nil {
			return
		}
	}
}
