package caller

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/transporter"
)

// maxRumours bounds the addresses that are asked on the word of processes other than the
// leader. A cell has fewer members.
const maxRumours = 32

// Addresses returns all addresses at which the caller searches for the leader.
func (c *Caller) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.addressesLocked()
}

// addressesLocked returns the seeds, the members and the rumours. The caller must hold the
// mutex.
func (c *Caller) addressesLocked() []string {
	addresses := make([]string, 0, len(c.seeds)+len(c.members)+len(c.rumours))
	for _, list := range [][]string{c.members, c.seeds, c.rumours} {
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
		c.addRumour(a)
	}
}

// AddAddress adds an address at which a member may be. It is asked until a leader has
// stated the members.
func (c *Caller) AddAddress(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addRumour(address)
}

// learn adds the addresses in the answer of a process that does not lead. It may be
// outdated, so that its answer replaces nothing.
func (c *Caller) learn(r reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range r.answer.Members {
		c.addRumour(m.Address)
	}
	c.confirmRumour(r.address)
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
	c.rumours = nil
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

// addRumour adds an address that is not known yet. Beyond maxRumours the one goes that
// neither answered nor was added for the longest time. The caller must hold the mutex.
func (c *Caller) addRumour(address string) {
	isKnown := slices.Contains(c.members, address) || slices.Contains(c.seeds, address) || slices.Contains(c.rumours, address)
	if address == "" || isKnown {
		return
	}
	if len(c.rumours) >= maxRumours {
		c.rumours = slices.Delete(c.rumours, 0, 1)
	}
	c.rumours = append(c.rumours, address)
}

// confirmRumour notes that the address answered. The caller must hold the mutex.
func (c *Caller) confirmRumour(address string) {
	if i := slices.Index(c.rumours, address); i >= 0 {
		c.rumours = append(slices.Delete(c.rumours, i, i+1), address)
	}
}
