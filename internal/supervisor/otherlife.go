package supervisor

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// A worker that is up again under its id and address carries out orders that were meant for its
// earlier life, also those that got no answer and arrive late. Their deadlines are on the clock of
// that life and bound nothing on the new one, so that the worker grants the longest lease to all
// that it runs. It does so until it has answered a poll for its session, which fences such orders.

// otherLifeTime is the longest time between the commit of a start that a later life carries out
// in time and the last order for the earlier life that is sent: the start is sent, the poll under
// way is given up, and a start that was committed just before that is sent.
const otherLifeTime = maxStartTime + maxOrderTime + maxStartTime

// longestLease returns how long after it was carried out an order for another life may keep
// tasks running.
func (s *Supervisor) longestLease() time.Duration {
	return s.options.LongestLease*percent/minClockRate + expiryMargin
}

// keepFormer returns how long after the end of a session orders for its worker may be carried out.
func (s *Supervisor) keepFormer() time.Duration { return maxOrderTime + s.options.OrderDelay }

// otherLifeLeaseEnd returns the time by which the attempt, on a worker that does not answer, can
// no longer run by a lease that an order for another life has set; zero if there is none.
func (l *link) otherLifeLeaseEnd(a modeler.Attempt) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.orders[a.Task]
	if !ok || o.number != a.Number {
		o = nil
	}
	if o != nil && !o.isListed {
		// A life lists the attempts that it has started, so that a later one may run this one. A
		// permit tells nothing: it is valid in one life, but the policy service may know the later
		// one before the leader does.
		return l.lastOrderEndLocked(o) + l.supervisor.options.OrderDelay + l.supervisor.longestLease()
	}
	if !l.hasEarlierLife {
		return 0
	}
	// Orders for earlier lives have no effect once the life has answered a poll for its session,
	// which it did before the attempt was started.
	fencedBy := l.firstAnswer
	if o != nil && o.isInherited {
		fencedBy = o.sentAt
	}
	return fencedBy + l.supervisor.longestLease()
}

// lastOrderEndLocked returns the time from which on no further order is sent that extends the lease
// of the start on a later life. The caller holds the mutex.
func (l *link) lastOrderEndLocked(o *order) time.Duration {
	if !o.isInherited {
		return max(o.sentAt, l.leaseOrdersEnd)
	}
	return min(l.supervisor.options.Since+maxOrderTime, o.sentAt+otherLifeTime+l.supervisor.options.OrderDelay)
}

// mayStartLaterForLocked returns for how long a later life of the worker may still carry out a start
// that the present life can't carry out any more; zero or less if it can't either. A stop and a
// fence bind one life. So does a ticket, which was issued for this one, as it has answered since;
// and one that was listed has been carried out. The caller holds the mutex.
func (l *link) mayStartLaterForLocked(o *order) time.Duration {
	if o.hasTicket || o.isListed {
		return 0
	}
	sentBy := o.sentAt + callTimeout
	if o.isInherited {
		sentBy = o.sentAt + maxStartTime
	}
	return sentBy + l.supervisor.options.OrderDelay - l.now()
}
