// Package caller calls the leader of control. It locates the leader among the
// known members, and retries calls that fail in a way that allows it.
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// attemptTimeout is how long an attempt goes on while the member answers no call at
	// all, so that an unreachable member does not use up the time of the call. It bounds
	// an attempt by a long poll; control holds none for longer.
	attemptTimeout = 700 * time.Millisecond
	// leaderCheckDelay is how long an attempt waits for its answer before it searches
	// for another leader. A commit takes about a tenth of it.
	leaderCheckDelay = 150 * time.Millisecond
	// followerTimeout bounds a call to a follower, which answers from memory, or waits
	// for a short time for a change.
	followerTimeout = 350 * time.Millisecond
	// avoidFollower is how long a follower that gave no answer is not called.
	avoidFollower = 2 * time.Second
	// initialBackoff and maxBackoff limit the random pause between two attempts.
	// The upper bound of the pause starts at initialBackoff and doubles up to maxBackoff.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
)

// Caller calls the leader of control. It is safe for concurrent use. It may repeat
// every method of control, because each either only reads or is idempotent.
type Caller struct {
	tls *tls.Config
	log *zap.Logger

	mutex   sync.Mutex
	clients map[string]*transporter.Client
	// seeds holds the addresses from the settings.
	seeds []string
	// members holds the addresses that a leader stated last.
	members []string
	// unconfirmed holds the addresses that other processes stated, those that were stated or
	// answered last at the end. They are dropped once a leader has stated the members.
	unconfirmed []string
	// attemptTimeout is the constant of that name; tests replace it.
	attemptTimeout time.Duration
	// answeredAt is when a member last answered a call, by address.
	answeredAt map[string]time.Time
	// lastFollower counts the calls of followers.
	lastFollower int
	// avoidUntil is until when a follower that gave no answer is not called, by address.
	avoidUntil map[string]time.Time
	// leader is the address of the member last known to lead, or empty if the leader is not known.
	leader string
	// search is the current search for the leader, or nil.
	search *search
	// lastFound is when a search last found the leader, or when the caller was made, and
	// lastReport when a search without result was last logged.
	lastFound, lastReport time.Time
}

// New returns a caller with the addresses as its seeds; a nil TLS configuration means
// without TLS. The log receives a line at times while no leader is found.
func New(addresses []string, tlsConfig *tls.Config, log *zap.Logger) *Caller {
	return &Caller{
		tls:            tlsConfig,
		log:            log,
		lastFound:      time.Now(),
		clients:        map[string]*transporter.Client{},
		avoidUntil:     map[string]time.Time{},
		answeredAt:     map[string]time.Time{},
		seeds:          addresses,
		attemptTimeout: attemptTimeout,
	}
}

// Call calls the leader, and retries until it has an answer or the context ends.
// The error is a refusal: CodeUnknownOutcome means that the call may have been
// carried out, any other code that it was not.
func (c *Caller) Call(ctx context.Context, method string, params, result any) error {
	return c.call(ctx, method, params, result, false)
}

// call calls the leader as Call does. maybeSent is true if the call may have been carried out.
func (c *Caller) call(ctx context.Context, method string, params, result any, maybeSent bool) error {
	backoff := initialBackoff
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
			return refusalOfTry(method, refusal, maybeSent)
		}
		maybeSent = maybeSent || errors.Is(err, transporter.ErrOutcomeUnknown) || hasCode(refusal, modeler.CodeUnknownOutcome)
		select {
		case <-ctx.Done():
			return timeoutRefusal(maybeSent)
		case <-time.After(rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// CallFollower calls a member that is not known to lead, a different one each time,
// and the leader if that member does not carry out the call. It relieves the leader of
// calls that any member can answer as a rule. A member that answers no call for
// followerTimeout is not called for a while.
func (c *Caller) CallFollower(ctx context.Context, method string, params, result any) error {
	maybeSent := false
	if client, ok := c.nextFollower(); ok {
		began := time.Now()
		followerCtx, cancel := context.WithTimeout(ctx, followerTimeout)
		err := client.Call(followerCtx, method, params, result)
		cancel()
		var refusal *modeler.RefusalError
		switch {
		case err == nil:
			c.recordAnswer(client)
			return nil
		case errors.As(err, &refusal):
			c.recordAnswer(client)
			maybeSent = refusal.Code == modeler.CodeUnknownOutcome
		default:
			maybeSent = errors.Is(err, transporter.ErrOutcomeUnknown)
		}
		if refusal == nil && ctx.Err() == nil && !c.hasAnsweredSince(client, began) {
			c.avoid(client)
		}
	}
	return c.call(ctx, method, params, result, maybeSent)
}

// avoid makes calls that any member can answer pass over the member for a while, and
// closes the connection to it.
func (c *Caller) avoid(client *transporter.Client) {
	c.mutex.Lock()
	maps.DeleteFunc(c.avoidUntil, func(_ string, until time.Time) bool { return time.Now().After(until) })
	c.avoidUntil[client.Address()] = time.Now().Add(avoidFollower)
	c.mutex.Unlock()
	client.Reset()
}

// nextFollower returns a client of the next member that is not known to lead.
func (c *Caller) nextFollower() (*transporter.Client, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	addresses := c.addressesLocked()
	for range addresses {
		c.lastFollower++
		address := addresses[c.lastFollower%len(addresses)]
		if address != c.leader && time.Now().After(c.avoidUntil[address]) {
			return c.clientLocked(address), true
		}
	}
	return nil, false
}

// timeoutRefusal returns the refusal for a call whose context ended.
func timeoutRefusal(maybeSent bool) *modeler.RefusalError {
	if maybeSent {
		return modeler.Refuse(modeler.CodeUnknownOutcome, "", "control did not answer in time")
	}
	return modeler.Refuse(modeler.CodeUnavailable, "", "no leader of control was reached")
}

// refusalOfTry returns the refusal of a call whose last try got the refusal. An earlier try
// that may have been carried out makes the outcome unknown, unless the call only reads, or is
// refused for what it holds, as each of its tries is.
func refusalOfTry(method string, refusal *modeler.RefusalError, maybeSent bool) *modeler.RefusalError {
	if !maybeSent || readMethods[method] || dependsOnCallAlone(refusal.Code) {
		return refusal
	}
	unknown := modeler.Refuse(modeler.CodeUnknownOutcome, refusal.Field,
		"an earlier try may have been carried out; the last one was refused: %s", refusal.Reason)
	unknown.QueueTable = refusal.QueueTable
	return unknown
}

// dependsOnCallAlone reports whether a call that is refused with the code is refused at any time.
func dependsOnCallAlone(code modeler.RefusalCode) bool {
	switch code {
	case modeler.CodeInvalid, modeler.CodeUnsupported, modeler.CodeTooLarge:
		return true
	default:
		return false
	}
}

// readMethods are the methods that change nothing.
var readMethods = map[string]bool{
	messenger.MethodWatch:          true,
	messenger.MethodInForce:        true,
	messenger.MethodGetDocuments:   true,
	messenger.MethodGetJob:         true,
	messenger.MethodListJobs:       true,
	messenger.MethodAudit:          true,
	messenger.MethodInterference:   true,
	messenger.MethodStatus:         true,
	messenger.MethodMembers:        true,
	messenger.MethodGetWorkflow:    true,
	messenger.MethodGetQueue:       true,
	messenger.MethodGetQueueTable:  true,
	messenger.MethodGetDepartments: true,
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

// try calls the member once. A member that does not lead or does not answer is
// not called again until a search finds it to be the leader.
func (c *Caller) try(ctx context.Context, client *transporter.Client, method string, params, result any) error {
	attemptCtx, cancel := context.WithCancel(ctx)
	if longPollMethods[method] {
		attemptCtx, cancel = context.WithTimeout(ctx, c.attemptTimeout)
	} else {
		go c.watchAttempt(attemptCtx, cancel, client, c.attemptTimeout)
	}
	defer cancel()
	err := client.Call(attemptCtx, method, params, result)
	var refusal *modeler.RefusalError
	switch {
	case err == nil:
		c.recordAnswer(client)
	case errors.As(err, &refusal):
		c.recordAnswer(client)
		if refusal.Code == modeler.CodeNotLeader {
			c.clearLeader(client)
		}
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller cancelled the call, which does not mean that the member has failed.
	default:
		c.clearLeader(client)
	}
	return err
}

// longPollMethods are the methods that a healthy leader may hold for a while before it answers.
var longPollMethods = map[string]bool{
	messenger.MethodWatch:        true,
	messenger.MethodInForce:      true,
	messenger.MethodGetDocuments: true,
}

// watchAttempt cancels an attempt if there is another leader, which it searches for
// while the attempt takes longer than leaderCheckDelay, or if the member answers no call
// for the time-out. A member that answers other calls is slow: the call would only wait
// again behind a copy of itself. The member is not asked, since it may be overloaded, and
// a question from every caller that waits would add to that.
func (c *Caller) watchAttempt(
	ctx context.Context, cancelCall func(), client *transporter.Client, attemptTimeout time.Duration,
) {
	checkedAt, timeout := time.Now(), time.NewTicker(attemptTimeout)
	defer timeout.Stop()
	delay := leaderCheckDelay
	searchDue := time.NewTimer(delay)
	defer searchDue.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			if !c.hasAnsweredSince(client, checkedAt) {
				cancelCall()
				return
			}
			checkedAt = time.Now()
		case <-searchDue.C:
			if c.isOtherLeaderFound(ctx, client) {
				cancelCall()
				return
			}
			delay *= 2
			searchDue.Reset(delay)
		}
	}
}

// isOtherLeaderFound searches for another leader than the member, and reports whether
// there is one.
func (c *Caller) isOtherLeaderFound(ctx context.Context, client *transporter.Client) bool {
	s := c.startSearch(client.Address())
	select {
	case <-ctx.Done():
		return false
	case <-s.done:
	}
	leader, ok := c.leaderClient()
	return ok && leader != client
}

func (c *Caller) recordAnswer(client *transporter.Client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answeredAt[client.Address()] = time.Now()
}

func (c *Caller) hasAnsweredSince(client *transporter.Client, since time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answeredAt[client.Address()].After(since)
}

// clearLeader clears the known leader if it is this member, which does not lead or does not answer.
func (c *Caller) clearLeader(client *transporter.Client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader == client.Address() {
		c.leader = ""
	}
}
