package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Ending is a task on a worker that ends by itself.
type Ending struct {
	Need modeler.Resources
	// Remaining is the expected time until it ends.
	Remaining time.Duration
}

const (
	// defaultEstimate is assumed for a task without an estimate.
	defaultEstimate = time.Second
	// overrunShare is the share of the time that a task has run beyond its estimate for which
	// it is expected to run on.
	overrunShare = 0.5
)

// Remaining returns the expected time until a task ends that has run for some time.
func Remaining(estimate, ran time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return max(estimate-ran, time.Duration(overrunShare*float64(ran)))
}

// Wait returns the expected time until the tasks, in the order in which they end, have
// released the capacity that is missing, or false if they hold too little.
func Wait(endings []Ending, missing modeler.Resources) (time.Duration, bool) {
	wait := time.Duration(0)
	for _, e := range endings {
		if missing.FitsIn(modeler.Resources{}) {
			break
		}
		missing, wait = missing.Minus(e.Need), e.Remaining
	}
	return wait, missing.FitsIn(modeler.Resources{})
}

// Slot is room for one task on a worker that the step may run on.
type Slot struct {
	Key string
	// Wait is the expected time until the task has capacity; zero if it has it now.
	Wait time.Duration
	// Ticket is the expected time until the worker's ticket is valid; zero if it is now.
	Ticket time.Duration
}

// usable is the expected time until a task can start in the slot.
func (s Slot) usable() time.Duration { return max(s.Wait, s.Ticket) }

// Soonest returns the slots in which the tasks can start first, a number of them at most.
//
// It answers the load of the heaviest day: wide gangs of large tasks, each of which few
// workers may run, while small tasks use each gap as soon as it opens. Waiting for workers
// that long tasks fill holds the capacity gathered elsewhere idle, so that those are chosen
// whose tasks are about to end. The slots of one worker have to be in the order of their waits.
func Soonest(slots []Slot, count int) []Slot {
	slices.SortStableFunc(slots, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.usable(), b.usable()), cmp.Compare(a.Wait, b.Wait))
	})
	return slots[:min(count, len(slots))]
}
