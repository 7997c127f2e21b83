package caller

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/transporter"
)

// maxUnconfirmed bounds the addresses that are asked on the word of processes other than the
// leader. A cell has fewer members.
const maxUnconfirmed = 32

// Addresses returns all addresses at which the caller searches for the leader.
func (c *Caller) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.addressesLocked()
}

// addressesLocked returns the members, the seeds and the unconfirmed addresses. The caller
// must hold the mutex.
func (c *Caller) addressesLocked() []string {
	addresses := make([]string, 0, len(c.seeds)+len(c.members)+len(c.unconfirmed))
	for _, list := range [][]string{c.members, c.seeds, c.unconfirmed} {
		for _, a := range list {
			if a != "" && !slices.Contains(addresses, a) {
				addresses = append(addresses, a)
			}
		}
	}
	return addresses
}

// SetSeeds replaces the seeds. The former ones are still asked until a leader has stated
// the members, because they may be all that leads to it.
func (c *Caller) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	former := c.seeds
	c.seeds = slices.Clone(seeds)
	for _, a := range former {
		c.addUnconfirmed(a)
	}
}

// AddAddress adds an address at which a member may be. It is asked until a leader has
// stated the members.
func (c *Caller) AddAddress(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addUnconfirmed(address)
}

// learn adds the addresses in the answer of a process that does not lead. It may be
// outdated, so that its answer replaces nothing.
func (c *Caller) learn(r reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range r.answer.Members {
		c.addUnconfirmed(m.Address)
	}
	c.recordUnconfirmedAnswer(r.address)
}

// learnFromLeader replaces all addresses but the seeds by those that the leader stated,
// and closes the connections to the others.
func (c *Caller) learnFromLeader(r reply) {
	for _, client := range c.replaceMembers(r) {
		client.Reset()
	}
}

// replaceMembers replaces the members, and returns the clients that are not used any more.
func (c *Caller) replaceMembers(r reply) []*transporter.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.members = []string{r.address}
	for _, m := range r.answer.Members {
		if m.Address != r.address {
			c.members = append(c.members, m.Address)
		}
	}
	c.unconfirmed = nil
	known := c.addressesLocked()
	var unused []*transporter.Client
	for address, client := range c.clients {
		if !slices.Contains(known, address) {
			unused = append(unused, client)
			delete(c.clients, address)
			delete(c.answeredAt, address)
		}
	}
	return unused
}

// addUnconfirmed adds an address that is not known yet. Beyond maxUnconfirmed the one goes that
// neither answered nor was added for the longest time. The caller must hold the mutex.
func (c *Caller) addUnconfirmed(address string) {
	isKnown := slices.Contains(c.members, address) || slices.Contains(c.seeds, address) || slices.Contains(c.unconfirmed, address)
	if address == "" || isKnown {
		return
	}
	if len(c.unconfirmed) >= maxUnconfirmed {
		c.unconfirmed = slices.Delete(c.unconfirmed, 0, 1)
	}
	c.unconfirmed = append(c.unconfirmed, address)
}

// recordUnconfirmedAnswer notes that the address answered. The caller must hold the mutex.
func (c *Caller) recordUnconfirmedAnswer(address string) {
	if i := slices.Index(c.unconfirmed, address); i >= 0 {
		c.unconfirmed = append(slices.Delete(c.unconfirmed, i, i+1), address)
	}
}
