package limiter

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// ErrNoMemory is the error of a request for which no memory is left. It was not carried out.
var ErrNoMemory = errors.New("too many large requests at once")

const (
	// requestCost is the memory for a request without its body: the goroutine's stack, the
	// parsed request and the response.
	requestCost = 16 << 10
	// bodyCost is how many bytes of memory one byte of a body takes: as it arrived, decoded,
	// and encoded for the call to another process, in a frame.
	bodyCost = 4
	// headerValueCost is the memory for one header line without its text.
	headerValueCost = 160
	// firstChunked is how much of a body without a declared length is reserved first. The
	// reservation doubles as the body grows.
	firstChunked = 4 << 10
)

// ServerOptions describe how a server's requests are limited.
type ServerOptions struct {
	// BodyBytes is the maximum size of a body. A declared length above it is refused.
	BodyBytes int64
	// Connections bounds the connections of this server; zero means no bound of its own.
	Connections int
	// Refuse answers a request that is refused with the status, before anything of its body
	// was read. With nil, the response has no body.
	Refuse func(w http.ResponseWriter, r *http.Request, status int, reason string)
}

// ListenHTTP returns a listener like Listen for the HTTP server, and limits the server's
// requests. It sets the limits of the header section and the time-outs that the server lacks.
func (l *Limiter) ListenHTTP(listener net.Listener, server *http.Server, options ServerOptions) net.Listener {
	if options.Refuse == nil {
		options.Refuse = func(w http.ResponseWriter, _ *http.Request, status int, _ string) { w.WriteHeader(status) }
	}
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, l.limits.HeaderBytes)
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, l.limits.HeaderTimeout)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, l.limits.IdleTimeout)
	l.protect(server, options)
	g := l.newGate(listener)
	g.isHTTP, g.maxOpen, g.headerBytes = true, options.Connections, server.MaxHeaderBytes
	return g
}

// protect limits the requests of the server.
func (l *Limiter) protect(server *http.Server, options ServerOptions) {
	h := &handler{limiter: l, next: server.Handler, options: options}
	server.Handler = h
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c := limited(nc); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := limited(nc); c != nil && state == http.StateIdle {
			c.enter(phaseIdle)
		}
	}
}

// limited returns the limited connection, which may be below TLS, or nil.
func limited(nc net.Conn) *conn {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// handler limits the requests that it passes on.
type handler struct {
	limiter *Limiter
	next    http.Handler
	options ServerOptions
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.requests.Add(1)
	defer c.endRequest()
	c.enter(phaseHandling)
	if r.ContentLength == 0 && c.held.Load() == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	if status, why := h.admit(r, c); status != 0 {
		h.limiter.refused[why].Add(1)
		h.refuse(w, r, status)
		return
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	b := &body{ReadCloser: r.Body, conn: c, request: r, reserved: r.ContentLength, limit: h.options.BodyBytes}
	if r.ContentLength < 0 {
		b.reserved = firstChunked
	}
	r.Body = b
	c.enter(phaseBody)
	h.next.ServeHTTP(w, r)
	if !b.hasEnded {
		c.dropRest(w)
	}
}

// admit reserves memory for the request. Otherwise it returns the status and the reason of the
// refusal.
func (h *handler) admit(r *http.Request, c *conn) (status int, why reason) {
	if limit := h.options.BodyBytes; limit > 0 && r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, reasonBodySize
	}
	length := r.ContentLength
	if length < 0 {
		length = firstChunked
	}
	cost := requestCost + headerMemory(r.Header) + length*bodyCost
	missing := cost - c.held.Load()
	switch {
	case missing > 0 && !h.limiter.reserve(r.Context(), c, missing):
		return http.StatusTooManyRequests, reasonBytes
	case missing < 0 && c.requests.Load() == 1:
		// The header section took less memory than such a long one may.
		c.held.Add(missing)
		h.limiter.budget.release(-missing)
	}
	return 0, 0
}

// headerMemory returns the memory that the header takes beyond that of an ordinary request.
func headerMemory(header http.Header) int64 {
	var bytes int64
	for name, values := range header {
		bytes += headerValueCost + int64(len(name))
		for _, v := range values {
			bytes += headerValueCost + int64(len(v))
		}
	}
	return bytes
}

// refuse answers a request whose body is not read, and closes the connection.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, status int) {
	header := w.Header()
	header.Set("Connection", "close")
	reason := "the body is longer than the limit"
	if status == http.StatusTooManyRequests {
		header.Set("Retry-After", "1")
		reason = ErrNoMemory.Error()
	}
	h.options.Refuse(w, r, status, reason)
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.dropRest(w)
	}
}

// dropRest keeps the HTTP server from reading on in a body that the handler did not read. The
// server keeps the connection open for a while, in which it may be closed to make room.
func (c *conn) dropRest(w http.ResponseWriter) {
	c.enter(phaseBody)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// endRequest releases the memory of the connection's requests once none is left.
func (c *conn) endRequest() {
	if c.requests.Add(-1) == 0 {
		c.release()
	}
}

// body is the body of a request. It reserves memory as a body of undeclared length grows.
type body struct {
	io.ReadCloser
	conn     *conn
	request  *http.Request
	read     int64
	reserved int64
	limit    int64
	hasEnded bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if b.read >= b.reserved && b.request.ContentLength < 0 && (b.limit <= 0 || b.reserved <= b.limit) {
		if err := b.conn.grow(b.request.Context(), b.reserved*bodyCost); err != nil {
			return 0, err
		}
		b.reserved *= 2
	}
	if b.request.ContentLength < 0 && b.reserved > b.read {
		data = data[:min(int64(len(data)), b.reserved-b.read)]
	}
	n, err := b.ReadCloser.Read(data)
	b.read += int64(n)
	if err == io.EOF || b.request.ContentLength > 0 && b.read >= b.request.ContentLength {
		b.hasEnded = true
		b.conn.enter(phaseHandling)
	}
	return n, err
}

// grow reserves more memory for the connection's request. While it waits for it, the
// connection does not count as stalled.
func (c *conn) grow(ctx context.Context, bytes int64) error {
	before := c.currentPhase()
	c.phase.Store(int32(phaseHandling))
	defer func() {
		c.progressAt.Store(int64(c.gate.limiter.now()))
		c.phase.Store(int32(before))
	}()
	if !c.gate.limiter.reserve(ctx, c, bytes) {
		c.gate.limiter.refused[reasonBytes].Add(1)
		return ErrNoMemory
	}
	return nil
}

// Reserve reserves more memory for the request with the context, until its handler returns.
// It returns ErrNoMemory if none is left.
func Reserve(ctx context.Context, bytes int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || bytes <= 0 {
		return nil
	}
	return c.grow(ctx, bytes)
}

// Shutdown shuts the server down within the time. It closes connections that stall soon, and
// those whose request has not arrived before the end of the time, as nothing of it was carried
// out. It returns an error if a request was still being handled at the end.
func (l *Limiter) Shutdown(server *http.Server, drain time.Duration) error {
	const (
		// A connection may stall for a part of the time, and a request may take all but a part
		// of it to arrive.
		stallPart, lastPart = 4, 4
		steps               = 20
	)
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(ctx) }()
	ticker := time.NewTicker(max(time.Millisecond, min(drain/steps, sweepInterval)))
	defer ticker.Stop()
	began := l.now()
	for {
		select {
		case err := <-ended:
			return errors.Join(err, server.Close())
		case <-ticker.C:
		}
		after := min(stallAfter, drain/stallPart)
		if l.now()-began >= drain-drain/lastPart {
			after = 0
		}
		l.closeStalled(after)
	}
}

// closeStalled closes the connections that have stalled for the time.
func (l *Limiter) closeStalled(after time.Duration) {
	now := l.now()
	for _, c := range l.open() {
		if c.gate.isHTTP && c.isStalled(now, after) {
			c.refuse(reasonShutdown)
		}
	}
}
