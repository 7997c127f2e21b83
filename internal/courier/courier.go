// Package courier sends the messages of the replicated log to the other members.
// Each member has a bounded queue of its own. Messages that do not fit are dropped,
// because the replication protocol sends them again.
package courier

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// queueSize is the maximum number of batches that wait for one member.
	queueSize = 256
	// sendTimeout bounds the time to send one batch.
	sendTimeout = 2 * time.Second
	// maxMembers is the maximum number of members that messages are sent to, including
	// former ones. Beyond it, the member that was used least recently is dropped.
	maxMembers = 64
)

// Courier sends messages to members. It is safe for concurrent use.
type Courier struct {
	self replicator.Member
	tls  *tls.Config
	log  *zap.Logger
	// newPeers passes peers to Run, which starts a sender for each.
	newPeers chan *peer

	mutex sync.Mutex
	// peers holds the current peer of each member, by member id.
	peers map[string]*peer
	// learnedAddresses holds the addresses that members stated in their messages, by member id.
	learnedAddresses map[string]learnedAddress
	// uses counts the uses of peers and of learned addresses.
	uses uint64
}

// learnedAddress is the address that a member stated last.
type learnedAddress struct {
	address string
	// lastUse is the value of uses when the member stated the address.
	lastUse uint64
}

// peer is the queue of batches for one member at one address.
type peer struct {
	address string
	queue   chan messenger.RaftBatch
	// replaced is closed once no batch is added to the queue any more.
	replaced chan struct{}
	// lastUse is the value of uses when a batch was last sent to the peer.
	lastUse uint64
}

// New returns the courier of the member self; a nil TLS configuration means without TLS.
// The log receives a line when a member falls silent.
func New(self replicator.Member, tlsConfig *tls.Config, log *zap.Logger) *Courier {
	return &Courier{
		self:             self,
		tls:              tlsConfig,
		log:              log,
		newPeers:         make(chan *peer, maxMembers),
		peers:            map[string]*peer{},
		learnedAddresses: map[string]learnedAddress{},
	}
}

// LearnAddress records the address at which the sender of a batch can be reached.
func (c *Courier) LearnAddress(batch messenger.RaftBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.learnedAddresses[batch.From.ID]; !ok && len(c.learnedAddresses) >= maxMembers {
		delete(c.learnedAddresses, leastRecent(c.learnedAddresses, func(a learnedAddress) uint64 { return a.lastUse }))
	}
	c.uses++
	c.learnedAddresses[batch.From.ID] = learnedAddress{batch.From.Address, c.uses}
}

// leastRecent returns the key of the item with the lowest lastUse.
func leastRecent[T any](items map[string]T, lastUse func(T) uint64) string {
	oldest := ""
	for key, item := range items {
		if oldest == "" || lastUse(item) < lastUse(items[oldest]) {
			oldest = key
		}
	}
	return oldest
}

// Send queues messages for the member. It never blocks: it drops the messages if
// the queue is full, or if the member's address is not known.
func (c *Courier) Send(to replicator.Member, cell string, messages []replicator.Message) {
	p := c.peer(to)
	if p == nil {
		return
	}
	select {
	case p.queue <- messenger.RaftBatch{Cell: cell, From: c.self, Messages: messages}:
	default:
	}
}

// peer returns the peer of the member. It creates one if the member is new or has
// a new address. It returns nil if it knows no address, or if Run does not keep up
// with new peers.
func (c *Courier) peer(to replicator.Member) *peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address := to.Address
	if address == "" {
		address = c.learnedAddresses[to.ID].address
	}
	c.uses++
	known, ok := c.peers[to.ID]
	if ok && (address == "" || known.address == address) {
		known.lastUse = c.uses
		return known
	}
	if address == "" {
		return nil
	}
	p := &peer{
		address: address, queue: make(chan messenger.RaftBatch, queueSize), replaced: make(chan struct{}), lastUse: c.uses,
	}
	select {
	case c.newPeers <- p:
	default:
		return nil
	}
	if !ok && len(c.peers) >= maxMembers {
		c.drop(leastRecent(c.peers, func(p *peer) uint64 { return p.lastUse }))
	}
	if ok {
		c.drop(to.ID)
	}
	c.peers[to.ID] = p
	return p
}

// drop ends the sender of the member's peer. The caller holds the mutex.
func (c *Courier) drop(id string) {
	close(c.peers[id].replaced)
	delete(c.peers, id)
}

// Run sends messages until the context ends.
func (c *Courier) Run(ctx context.Context) error {
	senders := runner.NewGroup()
	for {
		select {
		case <-ctx.Done():
			return senders.Wait()
		case p := <-c.newPeers:
			senders.Go(ctx, func(ctx context.Context) error { return c.sendBatches(ctx, p) })
		}
	}
}

func (c *Courier) sendBatches(ctx context.Context, p *peer) error {
	client := transporter.NewClient(p.address, c.tls, c.log)
	defer client.Reset()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.replaced:
			return nil
		case batch := <-p.queue:
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			_ = client.Notify(sendCtx, messenger.MethodRaft, batch)
			cancel()
		}
	}
}
