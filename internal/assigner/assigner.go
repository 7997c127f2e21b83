// Package assigner decides which workers the leader calls itself, and which entry calls
// each of the others on its behalf. It does no I/O.
package assigner

import (
	"slices"
)

const (
	// workersPerEntry is how many workers an entry is given. More would make larger batches,
	// fewer would make the loss of an entry smaller. Polls of 40 workers take 1 % of a core
	// and 0.3 Mbit/s.
	workersPerEntry = 40
	// maxWorkersPerEntry bounds the workers of an entry where there are few entries. With
	// two connections each they take a quarter of 3,075 descriptors.
	maxWorkersPerEntry = 400
	// toleranceDivisor is the divisor that gives the part of an entry's share by which it
	// may have more than its share before workers are moved off it.
	toleranceDivisor = 4
	// shareOfDescriptors is the percentage of the descriptors that connections to workers
	// take when workers are delegated, and connectionsPerWorker how many each takes. The
	// rest is for callers, heartbeats, members, entries and files.
	shareOfDescriptors   = 30
	connectionsPerWorker = 2
	// maxShareOfDescriptors is the percentage of the descriptors that connections to workers
	// may take at any time, such as while no entry can take a worker.
	maxShareOfDescriptors = 60
	// unboundedConnections is how many connections a worker may have where few are served.
	unboundedConnections = 5
	percent              = 100
)

// Direct is the assignment of a worker that the leader calls itself.
const Direct = ""

// MaxConnections returns how many connections to workers a process with that many
// descriptors may have. Zero means no bound.
func MaxConnections(descriptors int) int { return descriptors * maxShareOfDescriptors / percent }

// Capacity returns how many workers a leader with that many descriptors calls itself. Zero
// means all.
func Capacity(descriptors int) int {
	return descriptors * shareOfDescriptors / percent / connectionsPerWorker
}

// MustBound reports whether an entry with that many descriptors that calls that many workers
// must keep to two connections to each.
func MustBound(descriptors, workers int) bool {
	return descriptors > 0 && workers*unboundedConnections > descriptors*shareOfDescriptors/percent
}

// Assigner holds the assignments of the workers. It is not safe for concurrent use.
type Assigner struct {
	// capacity is how many workers the leader calls itself.
	capacity int
	// entries are the addresses of the entries that can take workers, preferred ones first.
	entries []string
	// assignments holds the address of the entry, or Direct, by the worker's session key.
	assignments map[string]string
	// loads is the number of workers by entry; that of Direct is the leader's.
	loads map[string]int
}

// New returns an assigner of a leader that calls up to capacity workers itself.
func New(capacity int) *Assigner {
	return &Assigner{capacity: capacity, assignments: map[string]string{}, loads: map[string]int{}}
}

// Delegated returns how many workers are assigned to entries.
func (a *Assigner) Delegated() int { return len(a.assignments) - a.loads[Direct] }

// EntriesInUse returns how many entries have workers.
func (a *Assigner) EntriesInUse() int {
	inUse := len(a.loads)
	if _, ok := a.loads[Direct]; ok {
		inUse--
	}
	return inUse
}

// Entry returns the entry of the worker, or Direct. It assigns the worker first if it is new.
func (a *Assigner) Entry(worker string) string {
	entry, ok := a.assignments[worker]
	if !ok {
		entry = a.choose(Direct)
		a.assign(worker, entry)
	}
	return entry
}

// Update sets the workers that exist and the entries that can take workers, preferred ones
// first, and moves as few workers as that needs.
func (a *Assigner) Update(workers, entries []string) {
	a.setWorkers(workers)
	a.entries = entries
	for _, entry := range a.used() {
		if !slices.Contains(entries, entry) {
			a.moveAll(entry)
		}
	}
	a.fillDirect()
	a.evenOut()
	for _, worker := range workers {
		a.Entry(worker)
	}
}

// MoveWorker moves the worker away from the entry, at which a poll of it has failed.
func (a *Assigner) MoveWorker(worker, entry string) {
	if current, ok := a.assignments[worker]; !ok || current != entry || entry == Direct {
		return
	}
	a.unassign(worker)
	next := a.choose(entry)
	if next == Direct && a.loads[Direct] >= a.capacity && slices.Contains(a.entries, entry) {
		next = entry
	}
	a.assign(worker, next)
}

// RemoveEntry moves all workers of an entry that has failed. The entry gets no workers until
// an update lists it.
func (a *Assigner) RemoveEntry(entry string) {
	a.entries = slices.DeleteFunc(slices.Clone(a.entries), func(e string) bool { return e == entry })
	a.moveAll(entry)
}

// setWorkers drops the assignments of all workers but these.
func (a *Assigner) setWorkers(workers []string) {
	exists := make(map[string]struct{}, len(workers))
	for _, worker := range workers {
		exists[worker] = struct{}{}
	}
	for worker := range a.assignments {
		if _, ok := exists[worker]; !ok {
			a.unassign(worker)
		}
	}
}

// used returns the entries that have workers, sorted.
func (a *Assigner) used() []string {
	var used []string
	for entry := range a.loads {
		if entry != Direct {
			used = append(used, entry)
		}
	}
	slices.Sort(used)
	return used
}

// workersOf returns the workers of an entry, sorted, so that decisions can be repeated.
func (a *Assigner) workersOf(entry string) []string {
	var workers []string
	for worker, assigned := range a.assignments {
		if assigned == entry {
			workers = append(workers, worker)
		}
	}
	slices.Sort(workers)
	return workers
}

func (a *Assigner) moveAll(entry string) {
	workers := a.workersOf(entry)
	for _, worker := range workers {
		a.unassign(worker)
	}
	for _, worker := range workers {
		a.assign(worker, a.choose(entry))
	}
}

// fillDirect has the leader call as many workers itself as its capacity allows, and no more
// than that while entries can take the others.
func (a *Assigner) fillDirect() {
	if excess := a.loads[Direct] - a.capacity; excess > 0 && len(a.entries) > 0 {
		for _, worker := range a.workersOf(Direct)[a.capacity:] {
			a.unassign(worker)
			a.assign(worker, a.choose(Direct))
		}
	}
	for _, entry := range a.used() {
		for _, worker := range a.workersOf(entry) {
			if a.loads[Direct] >= a.capacity {
				return
			}
			a.unassign(worker)
			a.assign(worker, Direct)
		}
	}
}

// evenOut moves workers off the entries that have too many.
func (a *Assigner) evenOut() {
	used := a.used()
	if len(used) == 0 {
		return
	}
	share := a.Delegated()/min(a.wanted(a.Delegated()), len(a.entries)) + 1
	limit := share + share/toleranceDivisor
	for _, entry := range used {
		if a.loads[entry] <= limit {
			continue
		}
		for _, worker := range a.workersOf(entry)[share:] {
			a.unassign(worker)
			a.assign(worker, a.choose(Direct))
		}
	}
}

// wanted returns how many entries should share a number of workers, if there are so many.
func (a *Assigner) wanted(workers int) int {
	return max(1, (workers+workersPerEntry-1)/workersPerEntry)
}

// choose returns who gets one more worker: the leader while it has room, then the entry with the
// fewest workers of those that should share them. It passes over the entry avoid.
func (a *Assigner) choose(avoid string) string {
	if a.loads[Direct] < a.capacity {
		return Direct
	}
	best, unused := a.leastLoaded(avoid), a.firstUnused(avoid)
	if unused != Direct && (best == Direct || a.EntriesInUse() < a.wanted(a.Delegated()+1)) {
		return unused
	}
	return best
}

// leastLoaded returns the entry with the fewest workers of those that have some and can take
// another, or Direct.
func (a *Assigner) leastLoaded(avoid string) string {
	best := Direct
	for _, entry := range a.entries {
		load := a.loads[entry]
		if entry == avoid || load == 0 || load >= maxWorkersPerEntry {
			continue
		}
		if best == Direct || load < a.loads[best] {
			best = entry
		}
	}
	return best
}

// firstUnused returns the preferred entry of those that have no workers, or Direct.
func (a *Assigner) firstUnused(avoid string) string {
	for _, entry := range a.entries {
		if entry != avoid && a.loads[entry] == 0 {
			return entry
		}
	}
	return Direct
}

func (a *Assigner) assign(worker, entry string) {
	a.assignments[worker] = entry
	a.loads[entry]++
}

func (a *Assigner) unassign(worker string) {
	entry := a.assignments[worker]
	delete(a.assignments, worker)
	if a.loads[entry]--; a.loads[entry] == 0 {
		delete(a.loads, entry)
	}
}
