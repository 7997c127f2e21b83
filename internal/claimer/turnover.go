package claimer

import (
	"math"
	"time"
)

// turnoverWindow is the time constant of the average. It spans several rounds and
// the run time of most tasks.
const turnoverWindow = 4 * time.Second

// Turnover measures the share of running tasks that starts anew per second. While
// work waits, as much capacity is released as is started on, so that it also is the
// share of the used capacity that is released per second.
type Turnover struct {
	rate float64
	last time.Duration
}

// Observe records the number of tasks started since the last call, and of the tasks
// that run, at the time now.
func (t *Turnover) Observe(now time.Duration, started, running int) {
	elapsed := now - t.last
	if elapsed <= 0 || running == 0 {
		return
	}
	t.last = now
	weight := 1 - math.Exp(-elapsed.Seconds()/turnoverWindow.Seconds())
	t.rate += weight * (float64(started)/float64(running)/elapsed.Seconds() - t.rate)
}

// Released returns the share of the used capacity that is expected to be released
// within the time.
func (t *Turnover) Released(within time.Duration) float64 {
	return min(1, t.rate*within.Seconds())
}
