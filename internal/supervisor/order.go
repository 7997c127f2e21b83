package supervisor

import "time"

// orderPhase is the progress of the order to start an attempt.
type orderPhase int

const (
	// orderSending orders are being sent.
	orderSending orderPhase = iota
	// orderInherited orders were committed under an earlier leader, which may or may
	// not have sent them.
	orderInherited
	// orderStarted orders were carried out: the worker confirmed it, or lists the attempt
	// as running.
	orderStarted
	// orderUnconfirmed orders got no answer: the worker may carry them out until
	// their deadline.
	orderUnconfirmed
	// orderFenced orders can no longer be carried out.
	orderFenced
)

// order is the leader's record of the order to start an attempt.
type order struct {
	number int
	phase  orderPhase
	// since is when the phase began, by the leader's clock.
	since time.Duration
	// stopSentAt is when the last stop was sent; zero if none was.
	stopSentAt time.Duration
	// sentAt is when the start was sent last, or at the latest when the order was recorded. Of
	// an inherited order it is when the start was committed at the latest.
	sentAt time.Duration
	// hasTicket is true if the start carries a permit, which is valid in one life of the worker.
	hasTicket bool
	// isInherited is true if an earlier leader has committed the start.
	isInherited bool
	// hasBegun is true once the worker has confirmed the start or has listed the attempt.
	hasBegun bool
	// isListed is true once the session's life has listed the attempt as running, to this leader
	// or an earlier one.
	isListed bool
	// isReported is true once members were told that it has.
	isReported bool
	checkpoint string
}
