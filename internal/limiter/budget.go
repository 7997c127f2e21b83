package limiter

import (
	"context"
	"sync"
	"time"
)

const (
	// reserveTimeout bounds the wait of a request for memory that others hold. A worker waits
	// 1 s for the response to a heartbeat.
	reserveTimeout = 300 * time.Millisecond
	// maxWaiting bounds the requests that wait for memory.
	maxWaiting = 256
	// smallCost is the largest cost of a small request, for which a part of the budget is kept.
	smallCost = 96 << 10
	// largePart and largeWhole are the part of the budget that large requests may fill.
	largePart, largeWhole = 3, 4
)

// budget is the memory for requests in flight. A total of zero means that it is not bounded.
type budget struct {
	total int64

	mutex   sync.Mutex
	used    int64
	waiting []*waiter
}

// waiter is a request that waits for memory.
type waiter struct {
	bytes   int64
	isLarge bool
	granted chan struct{}
}

func (b *budget) inUse() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// fits reports whether the bytes may be reserved now. A request that is alone always fits, so
// that one of legal size is served in a process of any size. The caller holds the mutex.
func (b *budget) fits(bytes int64, isLarge bool) bool {
	limit := b.total
	if isLarge {
		limit = limit * largePart / largeWhole
	}
	return b.total <= 0 || b.used == 0 || b.used+bytes <= limit
}

func (b *budget) reserve(bytes int64, isLarge bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.fits(bytes, isLarge) {
		return false
	}
	b.used += bytes
	return true
}

// release returns the bytes, and grants what waits and fits now.
func (b *budget) release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
	kept := b.waiting[:0]
	for _, w := range b.waiting {
		if b.fits(w.bytes, w.isLarge) {
			b.used += w.bytes
			close(w.granted)
		} else {
			kept = append(kept, w)
		}
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// enqueue returns a waiter for the bytes, which is granted at once if they fit, or nil if too
// many requests wait.
func (b *budget) enqueue(bytes int64, isLarge bool) *waiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := &waiter{bytes, isLarge, make(chan struct{})}
	switch {
	case b.fits(bytes, isLarge):
		b.used += bytes
		close(w.granted)
	case len(b.waiting) >= maxWaiting:
		return nil
	default:
		b.waiting = append(b.waiting, w)
	}
	return w
}

// abandon stops waiting. It reports whether the bytes were granted meanwhile.
func (b *budget) abandon(w *waiter) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// clamped returns the bytes that are reserved for a request that holds some already. One
// request counts at most for half of the budget, so that each is served while few others are.
func (b *budget) clamped(held, bytes int64) int64 {
	if b.total <= 0 {
		return bytes
	}
	return max(0, min(bytes, b.total/2-held))
}

// reserveNow reserves memory for the connection's request if it is free.
func (l *Limiter) reserveNow(c *conn, bytes int64) bool {
	bytes = l.budget.clamped(c.held.Load(), bytes)
	if !l.budget.reserve(bytes, c.isLarge(bytes)) {
		l.closeHolders(bytes)
		return false
	}
	c.held.Add(bytes)
	return true
}

// reserve reserves memory for the connection's request. Where others hold it, the request
// waits up to reserveTimeout, and those that stall are closed.
func (l *Limiter) reserve(ctx context.Context, c *conn, bytes int64) bool {
	bytes = l.budget.clamped(c.held.Load(), bytes)
	isLarge := c.isLarge(bytes)
	if l.budget.reserve(bytes, isLarge) {
		c.held.Add(bytes)
		return true
	}
	l.closeHolders(bytes)
	w := l.budget.enqueue(bytes, isLarge)
	if w == nil {
		return false
	}
	timer := time.NewTimer(reserveTimeout)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-ctx.Done():
	case <-timer.C:
	}
	if !l.budget.abandon(w) {
		return false
	}
	c.held.Add(bytes)
	return true
}

// isLarge reports whether the request is large with the additional bytes.
func (c *conn) isLarge(bytes int64) bool { return c.held.Load()+bytes > smallCost }

// closeHolders closes connections that stall and hold memory, up to the sum of the bytes. The
// memory is released when their requests end.
func (l *Limiter) closeHolders(bytes int64) {
	now := l.now()
	for _, c := range l.open() {
		held := c.held.Load()
		if held == 0 || !c.gate.isHTTP || !c.isStalled(now, stallAfter) {
			continue
		}
		c.refuse(reasonStalled)
		if bytes -= held; bytes <= 0 {
			return
		}
	}
}
