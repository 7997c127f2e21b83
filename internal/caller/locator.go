package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// locateInterval is how often the members are asked for.
	locateInterval = time.Second
	// locateTimeout bounds one answer.
	locateTimeout = 500 * time.Millisecond
)

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
		c.locate(ctx)
	}
}

// locate asks one member, drawn anew each time, who the members are.
func (c *Caller) locate(ctx context.Context) {
	client := c.anyClient()
	bounded, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var answer messenger.LocateAnswer
	if err := client.Call(bounded, messenger.MethodLocate, struct{}{}, &answer); err != nil {
		client.Reset()
		c.noteSilent(client.Address())
		return
	}
	var addresses []string
	for _, m := range answer.Members {
		addresses = append(addresses, m.Address)
	}
	c.learn(addresses)
}

func (c *Caller) anyClient() *transporter.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientOf(c.addresses[rand.IntN(len(c.addresses))])
}

// learn takes the members that one of them names. The seeds stay known, as the
// answer may be old.
func (c *Caller) learn(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	c.addresses = addresses
}
