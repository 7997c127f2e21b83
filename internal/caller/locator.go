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
	// locateInterval is the interval at which the member list is refreshed.
	locateInterval = 2 * time.Second
	// locateTimeout bounds one search, in which all members are asked at the same time.
	locateTimeout = 250 * time.Millisecond
	// searchInterval is the minimum interval of searches that find no leader. It is half of
	// maxBackoff, so that it hardly delays a call.
	searchInterval = 50 * time.Millisecond
)

// errNoLeader reports that none of the members that answered is the leader.
var errNoLeader = errors.New("none of the members that answered is the leader")

// search is one round of locate calls to all members. All calls that wait for the
// leader share it; done is closed at its end.
type search struct {
	done chan struct{}
}

// Run refreshes the addresses of the members periodically until the context ends.
func (c *Caller) Run(ctx context.Context) error {
	ticker := time.NewTicker(locateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		c.startSearch("")
	}
}

// findLeader returns a client of the known leader. If none is known, it waits for
// one search, and returns errNoLeader if that finds none.
func (c *Caller) findLeader(ctx context.Context) (*transporter.Client, error) {
	if client, ok := c.leaderClient(); ok {
		return client, nil
	}
	s := c.startSearch("")
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
	return c.clientLocked(c.leader), true
}

// startSearch returns the current search, or starts one among the members except the
// one at the address, if it is not empty.
func (c *Caller) startSearch(except string) *search {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.search != nil {
		return c.search
	}
	s := &search{done: make(chan struct{})}
	c.search = s
	addresses := slices.DeleteFunc(c.addressesLocked(), func(a string) bool { return a == except })
	go c.locate(s, addresses)
	return s
}

// locate asks all members at the same time and stops at the first one that reports
// to lead. Calls go only to such a member, because the outcome of a call to a
// member that does not answer is unknown.
func (c *Caller) locate(s *search, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	earliestEnd := time.NewTimer(searchInterval)
	defer earliestEnd.Stop()
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			r := reply{address: address}
			r.err = c.client(address).Call(ctx, messenger.MethodLocate, struct{}{}, &r.answer)
			replies <- r
		}()
	}
	leader := ""
	received := make([]reply, 0, len(addresses))
	for range addresses {
		r := <-replies
		received = append(received, r)
		if r.err != nil {
			c.resetUnlessLeader(r.address, r.err)
			continue
		}
		if r.answer.IsLeader {
			leader = r.address
			c.learnFromLeader(r)
			break
		}
		c.learn(r)
	}
	if leader == "" {
		<-earliestEnd.C
	}
	c.finishSearch(s, leader)
	c.reportSearch(leader, received)
}

func (c *Caller) finishSearch(s *search, leader string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.search = nil
	if leader != "" {
		c.leader = leader
	}
	close(s.done)
}

// resetUnlessLeader closes the connection to a member that did not answer, unless
// that member is the known leader: calls may be waiting on its connection.
func (c *Caller) resetUnlessLeader(address string, err error) {
	if errors.Is(err, transporter.ErrNotSent) {
		return
	}
	client := c.client(address)
	c.mutex.Lock()
	isLeader := c.leader == address
	c.mutex.Unlock()
	if !isLeader {
		client.Reset()
	}
}

func (c *Caller) client(address string) *transporter.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientLocked(address)
}

// clientLocked returns the client of the address. The caller must hold the mutex.
func (c *Caller) clientLocked(address string) *transporter.Client {
	client, ok := c.clients[address]
	if !ok {
		client = transporter.NewClient(address, c.tls, c.log)
		c.clients[address] = client
	}
	return client
}

// HasLeader reports whether the leader is known.
func (c *Caller) HasLeader() bool {
	_, ok := c.leaderClient()
	return ok
}
