// Package caller calls control: it finds the leader among the members that it
// knows, and tries again where a call is surely safe to repeat.
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// attemptTimeout bounds one try with one member, so that a member that is
	// cut off does not use up the time of the call. Control holds no call for longer.
	attemptTimeout = 700 * time.Millisecond
	// doubtTime is after how long without an answer another leader is looked for;
	// a commit takes a tenth of it.
	doubtTime = 150 * time.Millisecond
	// firstPause and maxPause bound the pause between two tries; each is drawn
	// anew up to the bound, which doubles.
	firstPause = 10 * time.Millisecond
	maxPause   = 100 * time.Millisecond
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
	// attempt bounds one try with one member.
	attempt time.Duration
	// leader is the address of the member that leads, as far as is known;
	// empty while it has to be found.
	leader string
	// search is the search for the leader that is under way, or nil.
	search *search
}

// New returns a caller that starts with the addresses.
func New(addresses []string, tlsConfig *tls.Config) *Caller {
	return &Caller{
		tls:       tlsConfig,
		clients:   map[string]*transporter.Client{},
		seeds:     addresses,
		addresses: addresses,
		attempt:   attemptTimeout,
	}
}

// Call waits for the leader's answer until the context ends. The error is a
// refusal; CodeUnknownOutcome says that the call may have been carried out,
// CodeUnavailable that it was not.
func (c *Caller) Call(ctx context.Context, method string, params, result any) error {
	pause := firstPause
	sent := false
	for {
		client, err := c.findLeader(ctx)
		if err == nil {
			err = c.try(ctx, client, method, params, result)
		}
		if err == nil {
			return nil
		}
		var refusal *modeler.RefusalError
		if errors.As(err, &refusal) && !isRetryable(refusal.Code) {
			return refusal
		}
		sent = sent || errors.Is(err, transporter.ErrOutcomeUnknown) || hasCode(refusal, modeler.CodeUnknownOutcome)
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

// try calls the member once. A member that does not lead, or does not answer,
// is not called again before it was found to lead.
func (c *Caller) try(ctx context.Context, client *transporter.Client, method string, params, result any) error {
	bounded, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	if !heldMethods[method] {
		go c.doubt(bounded, cancel, client)
	}
	err := client.Call(bounded, method, params, result)
	var refusal *modeler.RefusalError
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		if refusal.Code == modeler.CodeNotLeader {
			c.lose(client)
		}
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has left, which says nothing of the member.
	default:
		c.lose(client)
	}
	return err
}

// heldMethods are those whose answer a healthy leader holds back for a while.
var heldMethods = map[string]bool{
	messenger.MethodWatch:        true,
	messenger.MethodInForce:      true,
	messenger.MethodGetDocuments: true,
}

// doubt looks for another leader while a call takes long, and gives the call up
// once there is one: the member that was called may be frozen or cut off.
func (c *Caller) doubt(ctx context.Context, giveUp func(), client *transporter.Client) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(doubtTime):
		}
		s := c.begin()
		select {
		case <-ctx.Done():
			return
		case <-s.done:
		}
		if leader, ok := c.leaderClient(); ok && leader != client {
			giveUp()
			return
		}
	}
}

// lose notes that the member does not lead or does not answer.
func (c *Caller) lose(client *transporter.Client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader == client.Address() {
		c.leader = ""
	}
}
