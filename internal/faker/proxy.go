package faker

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Direction is a direction of the data on a connection through a proxy.
type Direction int

// The directions.
const (
	// BothWays is both directions.
	BothWays Direction = iota
	// Inward is from the client to the server.
	Inward
	// Outward is from the server to the client.
	Outward
)

// Proxy passes connections on to a server. It can make the open ones go silent for good:
// it goes on reading, so that no write fails, and passes nothing on. Its methods are safe
// for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mutex sync.Mutex
	pipes map[*pipe]struct{}
	// dials is the number of connections that were accepted.
	dials int
	// group are the goroutines of the proxy, which end when it is closed.
	group sync.WaitGroup
}

// pipe is one connection through a proxy.
type pipe struct {
	client, server net.Conn

	mutex           sync.Mutex
	inward, outward bool // whether the direction is silent
}

// NewProxy returns a proxy to the server at the address, on a free port of the loopback
// interface. The caller closes it.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, pipes: map[*pipe]struct{}{}}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address at which the proxy accepts connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Dials returns the number of connections that were accepted so far.
func (p *Proxy) Dials() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// Open returns the number of connections that are open.
func (p *Proxy) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.pipes)
}

// Silence makes each connection that is open now, and that the function selects by its
// number in no particular order, go silent for good. A nil function selects all.
func (p *Proxy) Silence(d Direction, selects func(number int) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	number := 0
	for c := range p.pipes {
		if selects == nil || selects(number) {
			c.silence(d)
		}
		number++
	}
}

// Close closes the proxy and all its connections, and waits for its goroutines.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mutex.Lock()
	for c := range p.pipes {
		c.close()
	}
	p.mutex.Unlock()
	p.group.Wait()
	return err
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &pipe{client: client, server: server}
		p.mutex.Lock()
		p.dials++
		p.pipes[c] = struct{}{}
		p.mutex.Unlock()
		p.group.Go(func() { p.copy(c, Inward) })
		p.group.Go(func() { p.copy(c, Outward) })
	}
}

// copy passes data on until one side closes the connection. The end of a silent connection
// is not passed on either.
func (p *Proxy) copy(c *pipe, d Direction) {
	from, to := c.client, c.server
	if d == Outward {
		from, to = to, from
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.isSilent(d) && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && c.isSilent(d):
			_ = from.Close()
			return
		default:
			c.close()
			p.mutex.Lock()
			delete(p.pipes, c)
			p.mutex.Unlock()
			return
		}
	}
}

func (c *pipe) silence(d Direction) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inward = c.inward || d != Outward
	c.outward = c.outward || d != Inward
}

func (c *pipe) isSilent(d Direction) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if d == Inward {
		return c.inward
	}
	return c.outward
}

func (c *pipe) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
