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
)

// dialTimeout bounds one attempt to connect. An opening packet that was lost is sent again
// only after 1 s, so that a new attempt reaches a machine whose power returned sooner. It
// is above locateTimeout of the caller.
const dialTimeout = 300 * time.Millisecond

// Client sends calls to one address over one connection, which it opens when
// needed. Its methods are safe for concurrent use.
type Client struct {
	address string
	// tls is nil if mutual TLS is off.
	tls *tls.Config
	// dial opens a TCP connection; tests replace it. Never nil.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// connecting holds a value while a call connects. Calls wait for it only as long as
	// their context allows.
	connecting chan struct{}

	mutex sync.Mutex
	rpc   *jsonrpc2.Conn
}

// NewClient returns a client for the address. It connects at the first call.
func NewClient(address string, tlsConfig *tls.Config) *Client {
	return &Client{
		address:    address,
		tls:        tlsConfig,
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
	rpc, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	err = rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		c.closeConn(rpc)
	}
	return fromRPCError(err)
}

// Notify sends one call without waiting for an answer. The error wraps
// ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	rpc, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := rpc.Notify(ctx, method, params); err != nil {
		c.closeConn(rpc)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// Reset closes the connection. Pending calls fail; the next call opens another
// connection.
func (c *Client) Reset() {
	c.mutex.Lock()
	rpc := c.rpc
	c.mutex.Unlock()
	c.closeConn(rpc)
}

// connect returns the connection, and opens it if there is none. It does not hold the
// mutex meanwhile, because a machine without power leaves a connection hanging.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	if rpc := c.connected(); rpc != nil {
		return rpc, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case c.connecting <- struct{}{}:
	}
	defer func() { <-c.connecting }()
	if rpc := c.connected(); rpc != nil {
		return rpc, nil
	}
	rpc, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rpc = rpc
	return rpc, nil
}

// connected returns the connection, or nil if there is none.
func (c *Client) connected() *jsonrpc2.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.rpc == nil {
		return nil
	}
	select {
	case <-c.rpc.DisconnectNotify():
		c.rpc = nil
	default:
	}
	return c.rpc
}

// open opens a connection.
func (c *Client) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
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
	return jsonrpc2.NewConn(context.Background(), newStream(conn), rejectRequests, jsonrpc2.SetLogger(discardLogger{})), nil
}

func (c *Client) closeConn(rpc *jsonrpc2.Conn) {
	if rpc == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = rpc.Close()
	if c.rpc == rpc {
		c.rpc = nil
	}
}
