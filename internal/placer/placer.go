// Package placer chooses a worker for a task. It keeps the workers of each pool
// in a tree ordered by free resources, so that a choice among thousands of
// workers costs about as much as one among a few.
package placer

import (
	"cmp"
	"hash/maphash"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Candidate is a worker that may get tasks.
type Candidate struct {
	ID         string
	Session    uint64
	Pool       string
	Rack       string
	DataCentre string
	// Free holds the resources that are available to further tasks.
	Free modeler.Resources
	// Total holds the resources that tasks may use on the empty worker.
	Total modeler.Resources
	// SingleTask limits the worker to one task, since it is on probation.
	SingleTask bool
}

// Request describes the placement of one task.
type Request struct {
	Pool      string
	Placement modeler.Placement
	Need      modeler.Resources
	// Allowed reports whether the worker may be chosen. Nil allows all workers.
	Allowed func(Candidate) bool
}

// Index holds the workers that may get tasks. It is not safe for concurrent use.
type Index struct {
	pools map[string]*pool
	// candidates holds every candidate by worker id.
	candidates map[string]Candidate
}

// pool keeps workers with and without accelerators in separate trees, so that
// tasks without accelerators do not use up the processors and memory beside them.
type pool struct {
	plain       tree[sortKey, Candidate]
	accelerated tree[sortKey, Candidate]
	// workersBySize counts the workers by their total resources. It answers
	// whether any worker, when empty, is large enough for a need.
	workersBySize map[modeler.Resources]int
}

// sortKey orders candidates by free resources, ascending.
type sortKey struct {
	accelerators int64
	processors   int64
	memory       int64
	id           string
}

func compareKeys(left, right sortKey) int {
	return cmp.Or(
		cmp.Compare(left.accelerators, right.accelerators),
		cmp.Compare(left.processors, right.processors),
		cmp.Compare(left.memory, right.memory),
		cmp.Compare(left.id, right.id),
	)
}

func keyOf(c Candidate) sortKey {
	return sortKey{c.Free.Accelerators, c.Free.Processors, c.Free.Memory, c.ID}
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{pools: map[string]*pool{}, candidates: map[string]Candidate{}}
}

var prioritySeed = maphash.MakeSeed()

func newPool() *pool {
	build := func() tree[sortKey, Candidate] {
		return tree[sortKey, Candidate]{
			compare:   compareKeys,
			resources: func(c Candidate) modeler.Resources { return c.Free },
			priority:  func(k sortKey) uint64 { return maphash.Comparable(prioritySeed, k) },
		}
	}
	return &pool{plain: build(), accelerated: build(), workersBySize: map[modeler.Resources]int{}}
}

func (p *pool) treeOf(c Candidate) *tree[sortKey, Candidate] {
	if c.Total.Accelerators > 0 {
		return &p.accelerated
	}
	return &p.plain
}

// Upsert adds the candidate, or replaces the one with the same id.
func (x *Index) Upsert(c Candidate) {
	x.Remove(c.ID)
	p, ok := x.pools[c.Pool]
	if !ok {
		p = newPool()
		x.pools[c.Pool] = p
	}
	p.treeOf(c).insert(keyOf(c), c)
	p.workersBySize[c.Total]++
	x.candidates[c.ID] = c
}

// Remove removes the worker, if it is in the index.
func (x *Index) Remove(id string) {
	c, ok := x.candidates[id]
	if !ok {
		return
	}
	p := x.pools[c.Pool]
	p.treeOf(c).remove(keyOf(c))
	if p.workersBySize[c.Total]--; p.workersBySize[c.Total] == 0 {
		delete(p.workersBySize, c.Total)
	}
	delete(x.candidates, id)
}

// Get returns the candidate with the worker id.
func (x *Index) Get(id string) (Candidate, bool) {
	c, ok := x.candidates[id]
	return c, ok
}

// Allocate subtracts the need of a task from the free resources of the worker.
// It removes a worker that is limited to one task.
func (x *Index) Allocate(id string, need modeler.Resources) {
	c, ok := x.candidates[id]
	if !ok {
		return
	}
	if c.SingleTask {
		x.Remove(id)
		return
	}
	c.Free = c.Free.Minus(need)
	x.Upsert(c)
}

// Len returns the number of workers in the index.
func (x *Index) Len() int { return len(x.candidates) }

// Choose returns the worker for the request. Of the workers that fit, best fit
// chooses the one with the least free resources and worst fit the one with the
// most, compared by accelerators, then processors, then memory. Tasks that need
// no accelerators go to workers without accelerators as long as one fits.
func (x *Index) Choose(r Request) (Candidate, bool) {
	p, ok := x.pools[r.Pool]
	if !ok {
		return Candidate{}, false
	}
	trees := []*tree[sortKey, Candidate]{&p.plain, &p.accelerated}
	if r.Need.Accelerators > 0 {
		trees = trees[1:]
	}
	for _, t := range trees {
		if c, ok := t.search(r.Need, r.Placement == modeler.PlacementWorstFit, r.Allowed); ok {
			return c, true
		}
	}
	return Candidate{}, false
}

// FitsEmptyWorker reports whether any worker of the pool, when empty, is large
// enough for the need.
func (x *Index) FitsEmptyWorker(poolName string, need modeler.Resources) bool {
	p, ok := x.pools[poolName]
	if !ok {
		return false
	}
	for total := range p.workersBySize {
		if need.FitsIn(total) {
			return true
		}
	}
	return false
}

// EmptyPoolCapacity returns how many tasks of the need fit in the pool when empty.
func (x *Index) EmptyPoolCapacity(poolName string, need modeler.Resources) int64 {
	p, ok := x.pools[poolName]
	if !ok {
		return 0
	}
	sum := int64(0)
	for total, count := range p.workersBySize {
		sum += int64(count) * countFits(need, total)
	}
	return sum
}

func countFits(need, total modeler.Resources) int64 {
	times := total.Processors / max(need.Processors, 1)
	if need.Memory > 0 {
		times = min(times, total.Memory/need.Memory)
	}
	if need.Accelerators > 0 {
		times = min(times, total.Accelerators/need.Accelerators)
	}
	return times
}
