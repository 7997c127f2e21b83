package transporter

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// dialTimeout bounds one attempt to connect. An opening packet that was lost is sent again
// only after 1 s, so that a new attempt reaches a machine whose power returned sooner. It
// is above locateTimeout of the caller.
const dialTimeout = 300 * time.Millisecond

// Client sends calls to one address over one connection, which it opens when
// needed. It replaces a connection that has gone silent, and closes one that is idle. Its
// methods are safe for concurrent use.
type Client struct {
	address string
	// tls is nil if mutual TLS is off.
	tls *tls.Config
	log *zap.Logger
	// dial opens a TCP connection; tests replace it. Never nil.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// connecting holds a value while a call connects. Calls wait for it only as long as
	// their context allows.
	connecting chan struct{}

	mutex sync.Mutex
	// current is the connection that calls are sent on; nil if there is none.
	current *link
}

// NewClient returns a client for the address; a nil TLS configuration means without TLS. It
// connects at the first call. The log receives a line when the peer falls silent.
func NewClient(address string, tlsConfig *tls.Config, log *zap.Logger) *Client {
	return &Client{
		address:    address,
		tls:        tlsConfig,
		log:        log,
		dial:       (&net.Dialer{}).DialContext,
		connecting: make(chan struct{}, 1),
	}
}

// Address returns the address of the server.
func (c *Client) Address() string { return c.address }

// Call sends one call and waits for its answer, which it decodes into result.
// The error is a refusal, or wraps ErrNotSent or ErrOutcomeUnknown; with
// ErrOutcomeUnknown the call may have been executed.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	l, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer l.release()
	err = l.rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		c.close(l)
	}
	return fromRPCError(err)
}

// Notify sends one call without waiting for an answer. The error wraps
// ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	l, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer l.release()
	if err := l.rpc.Notify(ctx, method, params); err != nil {
		c.close(l)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// Reset closes the connection. Pending calls fail; the next call opens another
// connection.
func (c *Client) Reset() {
	c.mutex.Lock()
	l := c.current
	c.mutex.Unlock()
	c.close(l)
}

// connect returns the connection, and opens it if there is none. The caller releases it
// after use. It does not hold the mutex meanwhile, because a machine without power leaves a
// connection hanging.
func (c *Client) connect(ctx context.Context) (*link, error) {
	if l := c.acquire(); l != nil {
		return l, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case c.connecting <- struct{}{}:
	}
	defer func() { <-c.connecting }()
	if l := c.acquire(); l != nil {
		return l, nil
	}
	l, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	l.acquire()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.use(l)
	return l, nil
}

// acquire returns the connection for use, or nil if there is none.
func (c *Client) acquire() *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current == nil {
		return nil
	}
	select {
	case <-c.current.rpc.DisconnectNotify():
		c.current = nil
		return nil
	default:
	}
	c.current.acquire()
	return c.current
}

// use makes the link the one that calls are sent on, and starts to watch it. The caller
// holds the mutex.
func (c *Client) use(l *link) {
	c.current = l
	// The context of a connection ends with it, and so does the goroutine.
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		c.watch(ctx, l)
	}()
}

// replace goes over from a link to the next one, and closes the former. It closes the next
// one instead if the former is not used any more.
func (c *Client) replace(l, next *link) {
	c.mutex.Lock()
	unused := next
	if c.current == l {
		c.use(next)
		unused = l
	}
	c.mutex.Unlock()
	_ = unused.rpc.Close()
}

// closeIdle closes a link that nobody uses, and reports whether it did.
func (c *Client) closeIdle(l *link) bool {
	c.mutex.Lock()
	if l.userCount() > 0 {
		c.mutex.Unlock()
		return false
	}
	if c.current == l {
		c.current = nil
	}
	c.mutex.Unlock()
	_ = l.rpc.Close()
	return true
}

// open opens a connection.
func (c *Client) open(ctx context.Context) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	l := newLink(conn)
	conn = l
	if c.tls != nil {
		tlsConn := tls.Client(conn, c.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		conn = tlsConn
	}
	rejectRequests := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls are taken here"}
	})
	l.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn, l.observe), rejectRequests, jsonrpc2.SetLogger(discardLogger{}))
	return l, nil
}

func (c *Client) close(l *link) {
	if l == nil {
		return
	}
	c.mutex.Lock()
	if c.current == l {
		c.current = nil
	}
	c.mutex.Unlock()
	_ = l.rpc.Close()
}
