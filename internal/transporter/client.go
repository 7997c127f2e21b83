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

const dialTimeout = time.Second

// Client calls one address over one connection, which it opens when needed.
type Client struct {
	address string
	// tls is nil where mutual TLS is off.
	tls *tls.Config

	mutex sync.Mutex
	rpc   *jsonrpc2.Conn
}

// NewClient returns a client of the address; it connects at the first call.
func NewClient(address string, tlsConfig *tls.Config) *Client {
	return &Client{address: address, tls: tlsConfig}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Call waits for the answer to one call. The error is a refusal, or it is
// ErrNotSent or ErrOutcomeUnknown; after ErrOutcomeUnknown the call may have been carried out.
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
		c.drop(rpc)
	}
	return fromWire(err)
}

// Notify sends one call that has no answer.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	rpc, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := rpc.Notify(ctx, method, params); err != nil {
		c.drop(rpc)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// Reset closes the connection; the next call opens another one.
func (c *Client) Reset() {
	c.mutex.Lock()
	rpc := c.rpc
	c.mutex.Unlock()
	c.drop(rpc)
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.rpc != nil {
		select {
		case <-c.rpc.DisconnectNotify():
			c.rpc = nil
		default:
			return c.rpc, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		secured := tls.Client(conn, c.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		conn = secured
	}
	ignore := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls are taken here"}
	})
	c.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn), ignore, jsonrpc2.SetLogger(silent{}))
	return c.rpc, nil
}

func (c *Client) drop(rpc *jsonrpc2.Conn) {
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
