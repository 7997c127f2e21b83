package supervisor

import "time"

const (
	// minClockRate is the lowest rate of a worker's clock relative to the leader's, in
	// percent: the platform states that a worker's clock may be 2 % slow.
	minClockRate = 98
	percent      = 100
	// expiryMargin is added to the end of a lease before the leader treats it as
	// expired, since a worker kills its tasks only a moment after the lease ends.
	expiryMargin = 300 * time.Millisecond
)

// workerClock maps the leader's clock to the monotonic clock of one worker.
type workerClock struct {
	known bool
	// reading is what the worker's clock showed at some time between sent and
	// received, which are times of the leader's clock.
	reading  time.Duration
	sent     time.Duration
	received time.Duration
}

// withReading returns the clock with a new reading. It ignores a reading whose
// poll was sent before the poll of the present one.
func (c workerClock) withReading(reading, sent, received time.Duration) workerClock {
	if c.known && sent < c.sent {
		return c
	}
	return workerClock{known: true, reading: reading, sent: sent, received: received}
}

// earliestAt returns the earliest time that the worker's clock can show at the leader's
// time now, even at minClockRate. A worker reads its clock when it answers, which may be
// long after the poll was sent.
func (c workerClock) earliestAt(now time.Duration) time.Duration {
	return c.reading + max(0, now-c.received)*minClockRate/percent
}

// reachedBy returns the leader's time by which the worker's clock has surely
// reached the deadline, even at minClockRate.
func (c workerClock) reachedBy(deadline time.Duration) time.Duration {
	ahead := max(0, deadline-c.reading)
	return c.received + ahead*percent/minClockRate + expiryMargin
}
