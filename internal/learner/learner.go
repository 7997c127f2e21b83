// Package learner classifies requests as short or long by the run times that were
// observed. It never uses run times that callers declare.
package learner

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothing is the weight of a new sample in the exponential moving average.
	smoothing = 0.1
	// minSamples is the number of runs after which the estimate of a class is used.
	minSamples = 3
	// longFactor is the ratio to the run time of the shortest class above which a
	// class is long.
	longFactor = 8
	// maxClasses limits the classes of a service; further ones are not recorded.
	maxClasses = 256
	// defaultEstimate is the run time of a class with fewer than minSamples runs.
	defaultEstimate = 50 * time.Millisecond
)

// classStats holds the exponential moving average of the natural logarithm of
// the run time in seconds.
type classStats struct {
	logMean float64
	samples int
}

// Learner estimates the run times of the request classes of one service. It is
// safe for concurrent use.
type Learner struct {
	mutex   sync.Mutex
	classes map[string]classStats
	// shortest is the estimated run time of the class with the shortest runs, in
	// seconds; zero until a class has minSamples runs.
	shortest float64
}

// New returns a learner without samples.
func New() *Learner {
	return &Learner{classes: map[string]classStats{}}
}

// Observe records the run time of one request of the class.
func (l *Learner) Observe(name string, ran time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, ok := l.classes[name]
	if !ok && len(l.classes) >= maxClasses {
		return
	}
	sample := math.Log(max(ran.Seconds(), time.Microsecond.Seconds()))
	if c.samples == 0 {
		c.logMean = sample
	}
	c.logMean += smoothing * (sample - c.logMean)
	c.samples++
	l.classes[name] = c
	l.updateShortest()
}

func (l *Learner) updateShortest() {
	shortest := math.Inf(1)
	for _, c := range l.classes {
		if c.samples >= minSamples {
			shortest = min(shortest, math.Exp(c.logMean))
		}
	}
	if !math.IsInf(shortest, 1) {
		l.shortest = shortest
	}
}

// Estimate returns the expected run time of the class, or a default if too few
// runs were observed.
func (l *Learner) Estimate(name string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, ok := l.classes[name]
	if !ok || c.samples < minSamples {
		return defaultEstimate
	}
	return time.Duration(math.Exp(c.logMean) * float64(time.Second))
}

// IsLong reports whether the class runs more than longFactor times as long as the
// shortest one. It returns false if too few runs were observed.
func (l *Learner) IsLong(name string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, ok := l.classes[name]
	if !ok || c.samples < minSamples || l.shortest == 0 {
		return false
	}
	return math.Exp(c.logMean) > longFactor*l.shortest
}
