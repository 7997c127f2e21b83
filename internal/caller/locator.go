package caller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// locateInterval is how often the members are asked for.
	locateInterval = 2 * time.Second
	// locateTimeout bounds one answer.
	locateTimeout = 250 * time.Millisecond
)

// errNoLeader says that no member that answered leads.
var errNoLeader = errors.New("no member that answered leads")

// search is one question to all members, for all callers that wait.
type search struct {
	done chan struct{}
}

// Run keeps the addresses of the members up to date until the context ends.
func (c *Caller) Run(ctx context.Context) error {
	ticker := time.NewTicker(locateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		c.begin()
	}
}

// findLeader returns a client of the member that leads.
func (c *Caller) findLeader(ctx context.Context) (*transporter.Client, error) {
	if client, ok := c.leaderClient(); ok {
		return client, nil
	}
	s := c.begin()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
	}
	if client, ok := c.leaderClient(); ok {
		return client, nil
	}
	return nil, errNoLeader
}

func (c *Caller) leaderClient() (*transporter.Client, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader == "" {
		return nil, false
	}
	return c.clientOf(c.leader), true
}

// begin returns the search that is under way, or starts one.
func (c *Caller) begin() *search {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.search != nil {
		return c.search
	}
	s := &search{done: make(chan struct{})}
	c.search = s
	go c.ask(s, slices.Clone(c.addresses))
	return s
}

// ask asks all members at once and ends with the first one that leads. A call
// goes only to a member that says so, since one that does not answer leaves the
// caller not knowing what became of the call.
func (c *Caller) ask(s *search, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	type reply struct {
		address string
		answer  messenger.LocateAnswer
		err     error
	}
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			r := reply{address: address}
			r.err = c.clientAt(address).Call(ctx, messenger.MethodLocate, struct{}{}, &r.answer)
			replies <- r
		}()
	}
	leader := ""
	for range addresses {
		r := <-replies
		if r.err != nil {
			c.drop(r.address, r.err)
			continue
		}
		c.learn(r.answer)
		if r.answer.Leads {
			leader = r.address
			break
		}
	}
	c.finish(s, leader)
}

func (c *Caller) finish(s *search, leader string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.search = nil
	if leader != "" {
		c.leader = leader
	}
	close(s.done)
}

// drop closes the connection to a member that did not answer, unless calls to
// the leader are waiting on it.
func (c *Caller) drop(address string, err error) {
	if errors.Is(err, transporter.ErrNotSent) {
		return
	}
	client := c.clientAt(address)
	c.mutex.Lock()
	isLeader := c.leader == address
	c.mutex.Unlock()
	if !isLeader {
		client.Reset()
	}
}

func (c *Caller) clientAt(address string) *transporter.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientOf(address)
}

// clientOf returns the client of the address; the mutex is held.
func (c *Caller) clientOf(address string) *transporter.Client {
	client, ok := c.clients[address]
	if !ok {
		client = transporter.NewClient(address, c.tls)
		c.clients[address] = client
	}
	return client
}

// learn takes the members that one of them names. The seeds stay known, as the
// answer may be old.
func (c *Caller) learn(answer messenger.LocateAnswer) {
	addresses := make([]string, 0, len(answer.Members)+len(c.seeds))
	for _, m := range answer.Members {
		addresses = append(addresses, m.Address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	c.addresses = addresses
}

// SetSeeds replaces the addresses from the settings. The members that are known
// stay known until one of them names the present ones.
func (c *Caller) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = seeds
	for _, seed := range seeds {
		if !slices.Contains(c.addresses, seed) {
			c.addresses = append(slices.Clone(c.addresses), seed)
		}
	}
}

// Addresses returns the addresses of the members that are known, and the seeds.
func (c *Caller) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.addresses)
}

// HasLeader reports whether a member is known to lead.
func (c *Caller) HasLeader() bool {
	_, ok := c.leaderClient()
	return ok
}
