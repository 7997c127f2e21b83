package supervisor

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// A worker that is up again under its id and address carries out orders that were meant for its
// earlier life. Their deadlines are on the clock of that life and bound nothing on the new one, so
// that the worker grants the longest lease to all that it runs. It does so until it has answered
// a poll for its session, which fences such orders.

// otherLifeTime is the longest time between the commit of a start that a later life carries out
// and the last order for the earlier life that it carries out: the start is sent, the poll under
// way is given up, and a start that was committed just before that is sent.
const otherLifeTime = maxStartTime + maxOrderTime + maxStartTime

// longestLease returns how long after it was carried out an order for another life may keep
// tasks running.
func (s *Supervisor) longestLease() time.Duration {
	return s.options.LongestLease*percent/minClockRate + expiryMargin
}

// otherLifeLeaseEnd returns the time by which the attempt, on a worker that does not answer, can
// no longer run by a lease that an order for another life has set; zero if there is none.
func (l *link) otherLifeLeaseEnd(a modeler.Attempt) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		o = nil
	}
	if o != nil && o.isInherited {
		return min(l.earlierOrdersEndLocked(), o.sentAt+otherLifeTime) + l.supervisor.longestLease()
	}
	end := time.Duration(0)
	if l.hasEarlierLife {
		end = l.earlierOrdersEndLocked() + l.supervisor.longestLease()
	}
	// A life lists the attempts that it has started. A permit tells nothing: it is valid in one
	// life, but the policy service may know the later one before the leader does.
	if o != nil && !o.isListed {
		end = max(end, max(o.sentAt, l.leaseOrdersEnd)+l.supervisor.longestLease())
	}
	return end
}

// earlierOrdersEndLocked returns the time from which on orders for earlier lives of the worker
// and of earlier leaders have no effect. The caller holds the mutex.
func (l *link) earlierOrdersEndLocked() time.Duration {
	if l.firstAnswer > 0 {
		return l.firstAnswer
	}
	return l.supervisor.options.Since + maxOrderTime
}
