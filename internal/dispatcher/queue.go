package dispatcher

import (
	"container/heap"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

const (
	// runTimePenalty is the multiple of the estimated run time by which a request
	// is ordered behind its arrival time. Under overload short requests wait
	// little, and longer ones in proportion to their run time.
	runTimePenalty = 100
	// maxPenalty limits the penalty of one request.
	maxPenalty = 30 * time.Second
)

// waiter is a request that waits for a slot.
type waiter struct {
	class string
	long  bool
	// virtualFinish orders the queue: the arrival time plus a multiple of the
	// estimated run time. Short requests go first, but long ones are not starved.
	virtualFinish time.Time
	granted       chan Slot
	// index is the position in the heap, or -1 if the request is not queued.
	index int
}

// queue is a heap of waiters ordered by virtualFinish.
type queue []*waiter

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].virtualFinish.Before(q[j].virtualFinish) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(item any) {
	w := item.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

func (s *service) enqueue(class string, now time.Time) *waiter {
	w := &waiter{
		class:         class,
		long:          s.learner.IsLong(class),
		virtualFinish: now.Add(min(runTimePenalty*s.learner.Estimate(class), maxPenalty)),
		granted:       make(chan Slot, 1),
	}
	heap.Push(s.queueFor(w), w)
	return w
}

func (s *service) queueFor(w *waiter) *queue {
	if w.long {
		return &s.long
	}
	return &s.short
}

func (s *service) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(s.queueFor(w), w.index)
	}
}

// dispatch grants free slots to waiters until there are no more slots or no more
// waiters that may have one.
func (s *service) dispatch(now time.Time) {
	for s.short.Len()+s.long.Len() > 0 {
		b := s.mostFree(now)
		if b == nil {
			return
		}
		q := s.next()
		if q == nil {
			return
		}
		w := heap.Pop(q).(*waiter)
		b.inFlight++
		if w.long {
			s.longInFlight++
		}
		w.granted <- Slot{Backend: b.Backend, class: w.class, long: w.long, since: now}
	}
}

// next returns the queue to serve next. It returns nil if only long requests wait
// and they already hold longLimit slots.
func (s *service) next() *queue {
	longAllowed := s.long.Len() > 0 && s.longInFlight < s.longLimit()
	switch {
	case s.short.Len() == 0 && longAllowed:
		return &s.long
	case s.short.Len() == 0:
		return nil
	case longAllowed && s.long[0].virtualFinish.Before(s.short[0].virtualFinish):
		return &s.long
	default:
		return &s.short
	}
}

// longLimit returns how many slots long requests may hold at once.
func (s *service) longLimit() int {
	const percent = 100
	slots := 0
	for _, b := range s.backends {
		if b.Serving {
			slots += b.capacity()
		}
	}
	return max(1, slots*(percent-s.policy.ShortReservePercent)/percent)
}

func (s *service) mostFree(now time.Time) *backend {
	var best *backend
	for _, b := range s.backends {
		if b.free(now) <= 0 {
			continue
		}
		if best == nil || b.free(now) > best.free(now) ||
			(b.free(now) == best.free(now) && b.ID < best.ID) {
			best = b
		}
	}
	return best
}

func (s *service) hasServing() bool {
	for _, b := range s.backends {
		if b.Serving && !b.released {
			return true
		}
	}
	return false
}

func (s *service) currentLoad() messenger.Load {
	now := time.Now()
	load := messenger.Load{Service: s.name, Queued: s.short.Len() + s.long.Len()}
	for _, b := range s.backends {
		load.Free += max(0, b.free(now))
	}
	return load
}
