package pacer

import (
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// retryInterval is the minimum time between two orders of the same pace, of which the
	// first got no answer.
	retryInterval = 300 * time.Millisecond
	// repeatInterval is the minimum time between two orders of the same pace, of which the
	// first was confirmed. It covers the half second over which workers measure.
	repeatInterval = time.Second
	// lateOrderWindow is how long after its call has ended an order without an answer may
	// still be carried out.
	lateOrderWindow = 15 * time.Second
)

// Order sets the pace of a task.
type Order struct {
	Attempt modeler.Attempt
	// Percent is the pace, from 0 to FullPace.
	Percent int
	// givenAt is the earliest time at which the order can be carried out.
	givenAt time.Duration
}

// orderPhase is the progress of the last order to a task.
type orderPhase int

const (
	// orderNone means that the task has had no order.
	orderNone orderPhase = iota
	orderSent
	orderConfirmed
	orderUnanswered
)

// fillTask holds what is known of the pace of one fill task.
type fillTask struct {
	// last is the order given last. At most one order is on its way, since two on
	// different connections may overtake each other.
	last  Order
	phase orderPhase
	// late holds, by pace, until when an order without an answer may be carried out. It
	// keeps an entry until an order given after that time is confirmed, as the entry may be
	// the order that is in force.
	late map[int]time.Duration
}

// needsOrder reports whether the task needs an order now to have the pace. The usage is
// that of the task in millicores.
func (f *fillTask) needsOrder(now time.Duration, pace, usage int) bool {
	elapsed := now - f.last.givenAt
	switch {
	case f.phase == orderSent:
		return false
	case f.phase == orderNone, f.last.Percent != pace:
		return true
	case f.phase == orderUnanswered:
		return elapsed >= retryInterval
	default:
		return elapsed >= repeatInterval && (f.isOverruled(pace) || pace == 0 && usage > 0)
	}
}

// isOverruled reports whether a late order of another pace may be carried out after the
// last order.
func (f *fillTask) isOverruled(pace int) bool {
	for percent := range f.late {
		if percent != pace {
			return true
		}
	}
	return false
}

func (f *fillTask) nextOrder(now time.Duration, a modeler.Attempt, pace int) Order {
	f.last, f.phase = Order{Attempt: a, Percent: pace, givenAt: now}, orderSent
	return f.last
}

// confirm records that the last order was carried out, after all orders that could be
// carried out only before it was given.
func (f *fillTask) confirm() {
	f.phase = orderConfirmed
	for percent, until := range f.late {
		if until <= f.last.givenAt {
			delete(f.late, percent)
		}
	}
}

// expectLate records that the last order got no answer by now.
func (f *fillTask) expectLate(now time.Duration) {
	f.phase = orderUnanswered
	f.late[f.last.Percent] = now + lateOrderWindow
}
