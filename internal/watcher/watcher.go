// Package watcher lets readers follow changes of the state since a revision that
// they already have. It retains a bounded number of changes; a reader that is
// further behind has to read the full state instead.
package watcher

import (
	"sync"
)

// change lists the records that one revision changed.
type change[T comparable] struct {
	revision uint64
	records  []T
}

// Feed is a bounded buffer of changes. It is safe for concurrent use.
type Feed[T comparable] struct {
	mutex sync.Mutex
	// ring holds the latest changes, oldest first, and at most limit of them.
	ring  []change[T]
	limit int
	// dropped is the highest revision whose change is no longer retained.
	dropped uint64
	latest  uint64
	notify  chan struct{}
}

// NewFeed returns a feed that retains at most limit changes. It contains no
// changes up to and including the revision.
func NewFeed[T comparable](limit int, revision uint64) *Feed[T] {
	return &Feed[T]{limit: limit, dropped: revision, latest: revision, notify: make(chan struct{})}
}

// Publish adds the records that the revision changed and notifies waiting
// readers. Without changed records it only advances the latest revision.
func (f *Feed[T]) Publish(revision uint64, changed []T) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.latest = revision
	if len(changed) == 0 {
		return
	}
	if len(f.ring) == f.limit {
		f.dropped = f.ring[0].revision
		f.ring = f.ring[1:]
	}
	f.ring = append(f.ring, change[T]{revision, changed})
	close(f.notify)
	f.notify = make(chan struct{})
}

// Reset discards all changes and notifies waiting readers. It is used when the
// whole state was replaced.
func (f *Feed[T]) Reset(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ring = nil
	f.dropped = revision
	f.latest = revision
	close(f.notify)
	f.notify = make(chan struct{})
}

// Since returns the records that changed after the revision, without duplicates,
// and the latest revision. It reports false if the changes since the revision
// are no longer retained or the revision is later than the latest one.
func (f *Feed[T]) Since(revision uint64) ([]T, uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.dropped || revision > f.latest {
		return nil, f.latest, false
	}
	seen := map[T]struct{}{}
	var changed []T
	for i := len(f.ring) - 1; i >= 0 && f.ring[i].revision > revision; i-- {
		for _, t := range f.ring[i].records {
			if _, ok := seen[t]; !ok {
				seen[t] = struct{}{}
				changed = append(changed, t)
			}
		}
	}
	return changed, f.latest, true
}

// Changed returns a channel that is closed at the next change or reset.
func (f *Feed[T]) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.notify
}
