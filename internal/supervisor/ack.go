package supervisor

import "context"

// ackLocked returns the position up to which the next poll acknowledges ends: zero while a start
// that was sent may run on a later life, whose ends the poll would drop. The caller holds the mutex.
func (l *link) ackLocked() uint64 {
	l.withholdsAck = l.ackedPosition > l.confirmedPosition && l.hasUnlistedLocked()
	if l.withholdsAck || l.ackedPosition == l.confirmedPosition {
		return 0
	}
	l.hasAcknowledged = true
	return l.ackedPosition
}

// hasUnlistedLocked reports whether a start was or may be sent that the session's life has not
// listed, and that a later life may carry out. Starts with a ticket don't count: the ticket would have
// to be issued for that life before the leader knows of it, and each poll more is felt by a leader
// whose processor binds. The caller holds the mutex.
func (l *link) hasUnlistedLocked() bool {
	for _, o := range l.orders {
		if !o.isListed && !o.hasTicket {
			return true
		}
	}
	return false
}

// confirmAck records that the worker has answered a poll that acknowledged ends.
func (l *link) confirmAck(position uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.confirmedPosition = max(l.confirmedPosition, position)
}

// pauseUnacknowledged waits if ends of the answer are not acknowledged, as the worker answers the next
// poll at once then.
func (l *link) pauseUnacknowledged(ctx context.Context, result PollResult) {
	if result.Unread > 0 || l.withholdsAck {
		waitToRetry(ctx)
	}
}
