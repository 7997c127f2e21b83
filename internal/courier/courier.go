// Package courier carries the messages of the replicated log to the other
// members. Each member has a bounded ring of its own; what does not fit is
// dropped, as the log sends again.
package courier

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// ringSize bounds the batches that wait for one member.
	ringSize = 256
	// sendTimeout bounds one batch.
	sendTimeout = 2 * time.Second
	// maxMembers bounds the members that are spoken to, former ones among them.
	maxMembers = 64
)

// Courier sends to members. It is safe for concurrent use.
type Courier struct {
	self replicator.Member
	tls  *tls.Config
	// lanes starts senders; Run owns them.
	lanes chan *lane

	mutex sync.Mutex
	// known holds the lane of each member by its id.
	known map[string]*lane
	// learnt holds the addresses that members gave of themselves.
	learnt map[string]string
}

// lane is the way to one member at one address.
type lane struct {
	address string
	ring    chan messenger.RaftBatch
}

// New returns a courier of the member.
func New(self replicator.Member, tlsConfig *tls.Config) *Courier {
	return &Courier{
		self:   self,
		tls:    tlsConfig,
		lanes:  make(chan *lane, maxMembers),
		known:  map[string]*lane{},
		learnt: map[string]string{},
	}
}

// LearnAddress records the address at which the sender of a batch can be reached.
func (c *Courier) LearnAddress(batch messenger.RaftBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.learnt) < maxMembers {
		c.learnt[batch.From.ID] = batch.From.Address
	}
}

// Send hands messages to the lane of the member. It never blocks.
func (c *Courier) Send(to replicator.Member, cell string, messages []replicator.Message) {
	l := c.lane(to)
	if l == nil {
		return
	}
	select {
	case l.ring <- messenger.RaftBatch{Cell: cell, From: c.self, Messages: messages}:
	default:
	}
}

func (c *Courier) lane(to replicator.Member) *lane {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address := to.Address
	if address == "" {
		address = c.learnt[to.ID]
	}
	l, ok := c.known[to.ID]
	if address == "" || (ok && l.address == address) {
		return l
	}
	if len(c.known) >= maxMembers {
		return nil
	}
	l = &lane{address: address, ring: make(chan messenger.RaftBatch, ringSize)}
	select {
	case c.lanes <- l:
		c.known[to.ID] = l
		return l
	default:
		return nil
	}
}

// Run sends until the context ends.
func (c *Courier) Run(ctx context.Context) error {
	drivers := runner.NewCrew()
	for {
		select {
		case <-ctx.Done():
			return drivers.Wait()
		case l := <-c.lanes:
			drivers.Add(ctx, func(ctx context.Context) error { return c.drive(ctx, l) })
		}
	}
}

func (c *Courier) drive(ctx context.Context, l *lane) error {
	client := transporter.NewClient(l.address, c.tls)
	defer client.Reset()
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-l.ring:
			bounded, cancel := context.WithTimeout(ctx, sendTimeout)
			_ = client.Notify(bounded, messenger.MethodRaft, batch)
			cancel()
		}
	}
}
