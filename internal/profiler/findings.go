package profiler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is how often the estimates are updated.
	refreshInterval = time.Second
	// minSlowdown is the least slowdown at which a pair is found.
	minSlowdown = 1.1
	// negligibleSlowdown is what the slowdown of a found pair surely exceeds: the estimate
	// is above it by findDeviations standard errors. With a thousand pairs that are
	// tested again and again, three of them would give false finds.
	negligibleSlowdown = 1.05
	findDeviations     = 4
	// keepDeviations is the number of standard errors by which the estimate of a found
	// pair has to be above no effect. It is lower than findDeviations, so that a pair is
	// not lost and found in turn.
	keepDeviations = 2
)

// Pair is the estimated effect of one workload on another, or on itself.
type Pair struct {
	Slowed, By Workload
	// Slowdown is the run time of a task of Slowed beside By, relative to that without it.
	// Lower is below it by two standard errors.
	Slowdown, Lower float64
	// Runs is the number of steps that ran both beside By and without it, decayed over
	// time.
	Runs float64
	// Found reports whether the pair is found to interfere, which FoundAt dates.
	Found   bool
	FoundAt time.Duration
	// EvidenceAt is when the last evidence was added.
	EvidenceAt time.Duration
}

// Effect is the relation of a workload to another one beside it.
type Effect struct {
	// Suffered is the share by which the other one prolongs a task of the workload, and
	// Caused the share by which a task of the workload prolongs those of the other one.
	Suffered, Caused float64
}

// Findings are the pairs that are found to interfere. They are immutable.
type Findings struct {
	effects map[Workload]map[Workload]Effect
}

// NewFindings returns the findings of the pairs that are found.
func NewFindings(pairs ...Pair) *Findings {
	f := &Findings{}
	for _, pair := range pairs {
		if pair.Found {
			f.add(pair)
		}
	}
	return f
}

// Of returns the effects between the workload and others, or nil if there are none. The
// caller must not modify the map.
func (f *Findings) Of(w Workload) map[Workload]Effect { return f.effects[w] }

// IsEmpty reports whether no pair is found.
func (f *Findings) IsEmpty() bool { return len(f.effects) == 0 }

func (f *Findings) add(pair Pair) {
	share := pair.Slowdown - 1
	f.change(pair.Slowed, pair.By, func(e *Effect) { e.Suffered = share })
	f.change(pair.By, pair.Slowed, func(e *Effect) { e.Caused = share })
}

func (f *Findings) change(of, with Workload, change func(*Effect)) {
	if f.effects == nil {
		f.effects = map[Workload]map[Workload]Effect{}
	}
	if f.effects[of] == nil {
		f.effects[of] = map[Workload]Effect{}
	}
	effect := f.effects[of][with]
	change(&effect)
	f.effects[of][with] = effect
}

// Findings returns the pairs that are found to interfere.
func (p *Profiler) Findings() *Findings {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh(p.now())
	return p.findings
}

// Stats counts what the profiler holds.
type Stats struct {
	Workloads, Pairs, Found int
	// Left is the number of reports of workloads for which there was no room.
	Left int
}

// Stats returns the number of workloads, of pairs with evidence, and of found pairs.
func (p *Profiler) Stats() Stats {
	pairs := p.Pairs()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := Stats{Workloads: len(p.indexes), Pairs: len(pairs), Left: p.left}
	for _, pair := range pairs {
		if pair.Found {
			s.Found++
		}
	}
	return s
}

// Pairs returns the estimates of all pairs with evidence of at least one run. Those that
// are found come first, each part ordered by slowdown, the greatest first.
func (p *Profiler) Pairs() []Pair {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh(p.now())
	var pairs []Pair
	for _, w := range p.workloads {
		if w == nil {
			continue
		}
		for other := range p.workloads {
			if w.fit.evidence[other].runs >= 1 {
				pairs = append(pairs, p.pair(w, other))
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(
			compareFound(a, b),
			cmp.Compare(b.Slowdown, a.Slowdown),
			cmp.Compare(a.Slowed.String(), b.Slowed.String()),
			cmp.Compare(a.By.String(), b.By.String()),
		)
	})
	return pairs
}

func compareFound(a, b Pair) int {
	switch {
	case a.Found == b.Found:
		return 0
	case a.Found:
		return -1
	default:
		return 1
	}
}

func (p *Profiler) pair(w *workload, other int) Pair {
	at, found := w.foundAt[other]
	f := &w.fit
	const shownDeviations = 2
	return Pair{
		Slowed: w.name, By: p.workloads[other].name,
		Slowdown: math.Exp(-f.effect[other]), Lower: math.Exp(-f.effect[other] - shownDeviations*f.deviation[other]),
		Runs: f.evidence[other].runs, EvidenceAt: f.evidence[other].at,
		Found: found, FoundAt: at,
	}
}

// refresh updates the estimates and the findings if they are older than refreshInterval.
// The caller holds the mutex.
func (p *Profiler) refresh(now time.Duration) {
	elapsed := now - p.refreshed
	if elapsed < refreshInterval {
		return
	}
	p.refreshed = now
	// A poll that is answered while its session ends may be observed after its removal.
	maps.DeleteFunc(p.sessions, func(_ string, s *session) bool { return now-s.seenAt > workloadIdle })
	var found []Pair
	for _, w := range p.workloads {
		if w == nil {
			continue
		}
		w.fit.decay(elapsed)
		w.fit.solve(now)
		for other := range p.workloads {
			if p.isFound(w, other) {
				if _, ok := w.foundAt[other]; !ok {
					w.foundAt[other] = now
				}
				found = append(found, p.pair(w, other))
			} else {
				delete(w.foundAt, other)
			}
		}
	}
	p.findings = NewFindings(found...)
}

// isFound reports whether a workload is found to be slowed by the other one.
func (p *Profiler) isFound(w *workload, other int) bool {
	e := &w.fit.evidence[other]
	slowdown, deviation := -w.fit.effect[other], w.fit.deviation[other]
	if _, ok := w.foundAt[other]; ok {
		return e.runs >= 1 && slowdown > max(math.Log(negligibleSlowdown), keepDeviations*deviation)
	}
	return e.runs >= minRuns && len(e.sessions) >= minSessions &&
		slowdown >= max(math.Log(minSlowdown), math.Log(negligibleSlowdown)+findDeviations*deviation)
}
