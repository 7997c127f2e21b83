package supervisor

import "time"

const (
	// slowestRate is the slowest rate of a worker's clock against ours, in
	// percent; the platform states that it may be 2 % slow.
	slowestRate = 98
	percent     = 100
	// wakeMargin is added to the end of a lease before it counts as ended: a
	// worker kills what it runs a moment after the lease.
	wakeMargin = 300 * time.Millisecond
)

// workerClock maps our clock to the steady clock of one worker.
type workerClock struct {
	known bool
	// shown is what the worker's clock showed between our sent and received.
	shown    time.Duration
	sent     time.Duration
	received time.Duration
}

// with returns the clock after one more reading; one that was overtaken by a
// later one changes nothing.
func (c workerClock) with(shown, sent, received time.Duration) workerClock {
	if c.known && sent < c.sent {
		return c
	}
	return workerClock{known: true, shown: shown, sent: sent, received: received}
}

// at returns what the worker's clock shows at our time, at most.
func (c workerClock) at(now time.Duration) time.Duration {
	return c.shown + now - c.sent
}

// surelyAt returns our time at which the worker's clock surely shows the deadline.
func (c workerClock) surelyAt(deadline time.Duration) time.Duration {
	ahead := max(0, deadline-c.shown)
	return c.received + ahead*percent/slowestRate + wakeMargin
}
