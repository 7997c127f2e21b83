package transporter

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Handler executes one call. A refusal that it returns reaches the caller
// unchanged; any other error becomes a refusal with CodeUnavailable.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Server answers the calls that arrive on a listener.
type Server struct {
	handle Handler
	// tls is nil if mutual TLS is off.
	tls *tls.Config
	// slots bounds the number of calls that are executed concurrently. Notifications
	// take none, as each connection has at most one at a time.
	slots chan struct{}

	mutex sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server that executes at most limit calls concurrently, and
// refuses further calls as overloaded. It executes the notifications of each connection
// in the order in which they were sent, whatever the number of calls.
func NewServer(handle Handler, tlsConfig *tls.Config, limit int) *Server {
	return &Server{
		handle: handle,
		tls:    tlsConfig,
		slots:  make(chan struct{}, limit),
		conns:  map[*jsonrpc2.Conn]struct{}{},
	}
}

// Serve accepts connections until ctx is done or the listener is closed, and
// then returns nil. It returns an error if it cannot accept a connection. In
// either case it closes all connections first.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		conn = &idleConn{Conn: conn}
		if s.tls != nil {
			conn = tls.Server(conn, s.tls)
		}
		s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	calls := jsonrpc2.HandlerWithError(s.handleRequest)
	pings := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return struct{}{}, nil
	})
	r := newReadingReporter(conn)
	handler := orderedHandler{
		calls: jsonrpc2.AsyncHandler(calls), notifications: calls, pings: jsonrpc2.AsyncHandler(pings), observe: r.observe,
	}
	rpc := jsonrpc2.NewConn(ctx, newStream(r, r.observe), handler, jsonrpc2.SetLogger(discardLogger{}))
	r.connected <- rpc
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[rpc] = struct{}{}
	context.AfterFunc(ctx, func() { _ = rpc.Close() })
	go s.removeOnDisconnect(rpc)
}

// idleConn fails a read after serverIdleLimit without data, which closes the connection.
type idleConn struct {
	net.Conn
	// deadlineSet is when the deadline for reads was last set.
	deadlineSet time.Time
}

// Read implements io.Reader.
func (i *idleConn) Read(data []byte) (int, error) {
	if now := time.Now(); now.Sub(i.deadlineSet) > time.Second {
		i.deadlineSet = now
		if err := i.SetReadDeadline(now.Add(serverIdleLimit)); err != nil {
			return 0, err
		}
	}
	return i.Conn.Read(data)
}

// orderedHandler handles the notifications of a connection one after the other, in the
// order in which they were sent, and calls concurrently. Pings are not counted as calls, so
// that a server at its limit of calls is not taken for silent.
type orderedHandler struct {
	calls, notifications, pings jsonrpc2.Handler
	// observe is called when the handling of a large notification begins, see codec. It
	// delays the pings behind it. Never nil.
	observe func() (arrived, decoded func())
}

// Handle implements jsonrpc2.Handler.
func (h orderedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		if request.Params != nil && len(*request.Params) > maxPreallocatedPayload {
			arrived, handled := h.observe()
			arrived()
			defer handled()
		}
		h.notifications.Handle(ctx, conn, request)
		return
	}
	if request.Method == methodPing {
		h.pings.Handle(ctx, conn, request)
		return
	}
	h.calls.Handle(ctx, conn, request)
}

// removeOnDisconnect waits until the connection is closed, and then removes it.
// The server closes all connections when it stops, which ends this goroutine.
func (s *Server) removeOnDisconnect(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, rpc)
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

func (s *Server) handleRequest(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if !request.Notif {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			return nil, toRPCError(modeler.Refuse(modeler.CodeOverloaded, "", "too many calls at once"))
		}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := s.handle(ctx, request.Method, params)
	if err != nil {
		return nil, toRPCError(err)
	}
	return result, nil
}

// discardLogger discards the log messages of the library, since its errors are
// returned to the caller.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
