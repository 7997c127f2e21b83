// Package caller calls control: it finds the leader among the members that it
// knows, and tries again where a call is surely safe to repeat.
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// attemptTimeout bounds one try with one member, so that a member that is
	// cut off does not use up the time of the call. Control holds no call for longer.
	attemptTimeout = 700 * time.Millisecond
	// silentTime is how long a member that did not answer is not turned to,
	// even when another one still names it as the leader.
	silentTime = 2 * time.Second
	// firstPause and maxPause bound the pause between two tries; each is drawn
	// anew up to the bound, which doubles.
	firstPause = 10 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// Caller calls the leader of control. It is safe for concurrent use. Every
// method of control may be repeated: each either reads or is idempotent.
type Caller struct {
	tls *tls.Config

	mutex   sync.Mutex
	clients map[string]*transporter.Client
	// seeds are the addresses from the settings.
	seeds []string
	// addresses are those of the members that are known, and the seeds.
	addresses []string
	// leader is the address that answered last, or was named by one that did not lead.
	leader string
	// silent holds when each address last did not answer.
	silent map[string]time.Time
}

// New returns a caller that starts with the addresses.
func New(addresses []string, tlsConfig *tls.Config) *Caller {
	return &Caller{
		tls:       tlsConfig,
		clients:   map[string]*transporter.Client{},
		seeds:     addresses,
		addresses: addresses,
		leader:    addresses[0],
		silent:    map[string]time.Time{},
	}
}

// Call waits for the leader's answer until the context ends. The error is a
// refusal; CodeUnknownOutcome says that the call may have been carried out,
// CodeUnavailable that it was not.
func (c *Caller) Call(ctx context.Context, method string, params, result any) error {
	pause := firstPause
	sent := false
	for {
		err := c.try(ctx, method, params, result)
		if err == nil {
			return nil
		}
		var refusal *modeler.RefusalError
		if errors.As(err, &refusal) && !isRetryable(refusal.Code) {
			return refusal
		}
		sent = sent || errors.Is(err, transporter.ErrBroken) || hasCode(refusal, modeler.CodeUnknownOutcome)
		select {
		case <-ctx.Done():
			return gaveUp(sent)
		case <-time.After(rand.N(pause)):
		}
		pause = min(2*pause, maxPause)
	}
}

func gaveUp(sent bool) *modeler.RefusalError {
	if sent {
		return modeler.Refuse(modeler.CodeUnknownOutcome, "", "control did not answer in time")
	}
	return modeler.Refuse(modeler.CodeUnavailable, "", "no leader of control was reached")
}

func hasCode(r *modeler.RefusalError, code modeler.RefusalCode) bool {
	return r != nil && r.Code == code
}

func isRetryable(code modeler.RefusalCode) bool {
	switch code {
	case modeler.CodeNotLeader, modeler.CodeUnknownOutcome, modeler.CodeOverloaded, modeler.CodeUnavailable:
		return true
	default:
		return false
	}
}

func (c *Caller) try(ctx context.Context, method string, params, result any) error {
	client := c.client()
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := client.Call(bounded, method, params, result)
	var refusal *modeler.RefusalError
	switch {
	case err == nil:
	case errors.As(err, &refusal) && refusal.Code == modeler.CodeNotLeader:
		c.follow(client.Address(), refusal.Field)
	case errors.As(err, &refusal):
	case ctx.Err() != nil:
		// The caller's time is over, which says nothing of the member.
	default:
		client.Reset()
		c.noteSilent(client.Address())
		c.follow(client.Address(), "")
	}
	return err
}

func (c *Caller) client() *transporter.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientOf(c.leader)
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

func (c *Caller) noteSilent(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent[address] = time.Now()
}

// follow turns to the leader that was named, or else to the next member.
func (c *Caller) follow(from, named string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != from {
		return
	}
	if named != "" && named != from && !c.isSilent(named) {
		c.leader = named
		return
	}
	c.leader = c.next(from)
}

// next returns the address after the one given, without those that were silent
// a moment ago unless all were.
func (c *Caller) next(from string) string {
	start := slices.Index(c.addresses, from) + 1
	for i := range c.addresses {
		address := c.addresses[(start+i)%len(c.addresses)]
		if !c.isSilent(address) {
			return address
		}
	}
	return c.addresses[start%len(c.addresses)]
}

func (c *Caller) isSilent(address string) bool {
	return time.Since(c.silent[address]) < silentTime
}
