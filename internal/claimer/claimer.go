// Package claimer decides on which workers permits are requested for the tasks of a
// step, and how much capacity gangs may keep free while they wait for the rest of
// theirs. It performs no I/O and reads no clock.
//
// It answers this load pattern: wide gangs wait, each of which may run on a quarter
// of the workers, ahead of many smaller steps whose permits are as slow to get. Each
// request claims the capacity that its tasks are expected to use, spread over the
// workers that it names. So requests do not all count on the same free workers, and
// the smaller steps are requested for as long as any capacity is unclaimed. A step
// that waits while all workers are full requests permits for the capacity that will
// be free by the time at which it has them.
//
// A gang asks until it knows a worker for each of its tasks. It renews its tickets once
// all of its capacity is expected in time. One that waits for longer than expected asks
// about other workers too, but only about those that have the capacity now.
package claimer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// maxSlots bounds the tasks of one step that a request counts on one worker.
	maxSlots = 4
	// gangConfidence and stepConfidence are by how many standard deviations the
	// expected number of permitted slots has to exceed the number needed. A gang
	// starts only if all its tasks fit; the rest of any other step is requested next.
	gangConfidence = 1.0
	stepConfidence = 0.5
	// gangShare is the share of a pool that may be kept for gangs that wait. The first
	// gang may exceed it.
	gangShare = 0.2
)

// Claim is the capacity that the tasks of a permit request are expected to use.
type Claim struct {
	// Sessions are the keys of the worker sessions that the request names.
	Sessions []string
	// Tasks is the expected number of tasks that will use the permits.
	Tasks float64
	Need  modeler.Resources
	// Renews is true if the request renews the tickets of a gang that is about to start.
	// It may name other workers too, for tasks that wait for capacity.
	Renews bool
	// Renewed is the number of Sessions, from the first, whose tickets it renews.
	Renewed int
}

// perSession returns the part of the claim that falls on each of its sessions.
func (c Claim) perSession() modeler.Resources {
	return scaled(c.Need, c.Tasks/float64(len(c.Sessions)))
}

// scaled returns the resources multiplied by a factor, rounded down.
func scaled(r modeler.Resources, factor float64) modeler.Resources {
	return modeler.Resources{
		Processors:   int64(float64(r.Processors) * factor),
		Memory:       int64(float64(r.Memory) * factor),
		Accelerators: int64(float64(r.Accelerators) * factor),
	}
}

// Worker is a worker session with its capacity.
type Worker struct {
	Key string
	// Free is not negative in any dimension. Used is held by running tasks. Kept is the
	// part of Free that is kept for gangs that wait.
	Free, Used, Kept modeler.Resources
	// unclaimed is Free less Kept and the claims; it may be negative.
	unclaimed modeler.Resources
}

// room returns the capacity that is expected to be unclaimed after a time in which
// the share of the used capacity is released.
func (w *Worker) room(released float64) modeler.Resources {
	return w.unclaimed.Plus(scaled(w.Used, min(1, released)))
}

// Ledger holds the capacity of the workers of one pool and the claims on it. It is
// not safe for concurrent use.
type Ledger struct {
	workers []*Worker
	byKey   map[string]*Worker
	// isSorted is true if workers are sorted by their unclaimed processors, most first.
	isSorted bool
}

// NewLedger returns a ledger of the workers with the claims of pending requests.
func NewLedger(workers []Worker, claims []Claim) *Ledger {
	l := &Ledger{byKey: make(map[string]*Worker, len(workers))}
	for _, w := range workers {
		added := &w
		added.unclaimed = w.Free.Minus(w.Kept)
		l.workers = append(l.workers, added)
		l.byKey[w.Key] = added
	}
	for _, c := range claims {
		l.Add(c)
	}
	return l
}

// Add adds a claim. It ignores sessions that are not in the ledger.
func (l *Ledger) Add(c Claim) {
	if len(c.Sessions) == 0 {
		return
	}
	part := c.perSession()
	for _, key := range c.Sessions {
		l.Take(key, part)
	}
}

// Take takes unclaimed capacity of a session for a task; a negative amount returns
// it. It ignores a session that is not in the ledger.
func (l *Ledger) Take(key string, amount modeler.Resources) {
	if w, ok := l.byKey[key]; ok {
		w.unclaimed = w.unclaimed.Minus(amount)
	}
}

// Demand describes the tasks of a step for which permits are wanted.
type Demand struct {
	// Tasks is the number of tasks, each of which needs Need.
	Tasks int
	Need  modeler.Resources
	// MaxPerWorker is the maximum number of tasks on one worker; zero means no limit.
	MaxPerWorker int
	// GrantRate is the expected share of permitted workers among those without a
	// decision, above zero and at most one.
	GrantRate float64
	// Released is the share of the used capacity that is expected to be released by
	// the time at which the permits are used.
	Released float64
	// Renewable are the keys of sessions that are permitted but will have no valid
	// ticket.
	Renewable []string
	// IsUndecided reports whether the session may be named without a decision on it
	// yet. Never nil.
	IsUndecided func(key string) bool
	// MayUseKept reports whether the step may use what is kept for others on the session,
	// where there is no other capacity: they are less urgent, or use it later. It is nil if
	// the step may use none.
	MayUseKept func(key string) bool
	// MaxSessions bounds the sessions that one request may name.
	MaxSessions int
	// RenewWithin is the time within which a gang has to expect all of its capacity for
	// its tickets to be renewed, so that they are still valid then.
	RenewWithin time.Duration
}

// slots returns the number of the step's tasks that fit in the room, at most maxSlots.
func (d Demand) slots(room modeler.Resources) int {
	limit := maxSlots
	if d.MaxPerWorker > 0 {
		limit = min(limit, d.MaxPerWorker)
	}
	count := 0
	for count < limit && d.Need.Times(int64(count+1)).FitsIn(room) {
		count++
	}
	return count
}

// estimate is the distribution of the number of slots that a request will yield.
type estimate struct {
	mean, variance float64
}

func (e *estimate) add(slots int, rate float64) {
	e.mean += float64(slots) * rate
	e.variance += float64(slots*slots) * rate * (1 - rate)
}

func (e *estimate) suffices(tasks int, confidence float64) bool {
	return e.mean-confidence*math.Sqrt(e.variance) >= float64(tasks)
}

// selection collects the sessions that a request for the tasks of a step names.
type selection struct {
	demand   Demand
	sessions []string
	estimate estimate
}

func (s *selection) isComplete() bool {
	return s.estimate.suffices(s.demand.Tasks, stepConfidence) || len(s.sessions) >= s.demand.MaxSessions
}

// add names a session at the expected rate of grants if any task fits in the room.
func (s *selection) add(key string, room modeler.Resources, rate float64) {
	if slots := s.demand.slots(room); slots > 0 {
		s.estimate.add(slots, rate)
		s.sessions = append(s.sessions, key)
	}
}

// addUndecided names workers without a decision that have room, until the selection is
// complete. room returns false for a worker that is to be left out.
func (s *selection) addUndecided(workers []*Worker, room func(*Worker) (modeler.Resources, bool)) {
	for _, w := range workers {
		if s.isComplete() {
			return
		}
		available, ok := room(w)
		if ok && s.demand.slots(available) > 0 && s.demand.IsUndecided(w.Key) && !slices.Contains(s.sessions, w.Key) {
			s.add(w.Key, available, s.demand.GrantRate)
		}
	}
}

// Choose returns the claim of a request for a step whose tasks start one by one, or
// false if no request should be made now. It does not add the claim to the ledger.
func (l *Ledger) Choose(d Demand) (Claim, bool) {
	s := selection{demand: d}
	for _, key := range d.Renewable {
		if w, ok := l.byKey[key]; ok && !s.isComplete() {
			s.add(key, w.room(d.Released), 1)
		}
	}
	l.sort()
	s.addUndecided(l.workers, func(w *Worker) (modeler.Resources, bool) { return w.room(d.Released), true })
	if d.MayUseKept != nil {
		s.addUndecided(l.workers, func(w *Worker) (modeler.Resources, bool) {
			return w.room(d.Released).Plus(w.Kept), w.Kept != modeler.Resources{} && d.MayUseKept(w.Key)
		})
	}
	c := Claim{Sessions: s.sessions, Need: d.Need, Tasks: min(s.estimate.mean, float64(d.Tasks))}
	return c, len(c.Sessions) > 0
}

// Gathered is what a gang has gathered so far.
type Gathered struct {
	// Slots is the number of its tasks that fit now on the workers that it may run on.
	Slots int
	// Partial is the number of workers that it may run on and that keep capacity for one
	// more task, which is not enough yet.
	Partial int
	// Known is the number of its tasks that are expected to fit in bounded time on the
	// workers that it may run on, or that pending requests ask about.
	Known int
	// Ready is the expected time until it has gathered all of its capacity.
	Ready time.Duration
	// Overdue is true if it has gathered for longer than expected, so that Ready is wrong.
	Overdue bool
	// Expired are the keys of those that keep capacity for it and whose ticket will not
	// be valid.
	Expired []string
}

// ChooseForGang returns the claim of a request for a gang, or false if no request
// should be made now: the gang knows a permitted worker for each of its tasks, other
// workers have too little free capacity, and it has no tickets to renew. It does not
// add the claim to the ledger.
func (l *Ledger) ChooseForGang(d Demand, g Gathered) (Claim, bool) {
	c := Claim{Need: d.Need}
	c.Renews = g.Slots+g.Partial >= d.Tasks && g.Ready <= d.RenewWithin
	if c.Renews {
		// The capacity is kept for the gang already, so that these claim nothing.
		c.Sessions = slices.Clone(g.Expired[:min(len(g.Expired), d.MaxSessions)])
		c.Renewed = len(c.Sessions)
	}
	if !c.Renews && g.Known >= d.Tasks && !g.Overdue {
		return c, false
	}
	// Workers that the gang may run on may stay full for long. Once it knows enough of
	// them, it asks about free ones only.
	freeOnly := c.Renews || g.Known >= d.Tasks
	gathered := g.Slots
	if !freeOnly {
		gathered = max(g.Slots, g.Known)
	}
	added, tasks := l.undecidedForGang(d, gathered, freeOnly, d.MaxSessions-len(c.Sessions))
	if len(added) > 0 {
		c.Sessions = append(c.Sessions, added...)
		c.Tasks = tasks
	}
	return c, len(c.Sessions) > 0
}

// undecidedForGang returns the sessions without a decision to name for a gang that has
// gathered capacity for a number of its tasks, limit at most, and the expected number
// of further tasks that have capacity then. It returns no sessions if only free ones may be
// named and these have too little capacity for the rest.
func (l *Ledger) undecidedForGang(d Demand, gathered int, freeOnly bool, limit int) ([]string, float64) {
	var sessions []string
	e := estimate{mean: float64(gathered)}
	possible := gathered
	l.sort()
	for _, w := range l.workers {
		if len(sessions) >= limit || e.suffices(d.Tasks, gangConfidence) {
			break
		}
		if !d.IsUndecided(w.Key) || !d.Need.FitsIn(w.Free.Plus(w.Used)) {
			continue
		}
		slots := d.slots(w.room(0))
		if slots == 0 && freeOnly {
			continue
		}
		// A worker that is full will be emptied for the gang if it is permitted.
		e.add(max(1, slots), d.GrantRate)
		possible += slots
		sessions = append(sessions, w.Key)
	}
	if freeOnly && possible < d.Tasks {
		return nil, 0
	}
	return sessions, max(0, min(e.mean, float64(d.Tasks))-float64(gathered))
}

// sort sorts the workers by their unclaimed processors when the first request is
// made. Later claims change the order only a little.
func (l *Ledger) sort() {
	if l.isSorted {
		return
	}
	l.isSorted = true
	slices.SortStableFunc(l.workers, func(a, b *Worker) int {
		return cmp.Compare(b.unclaimed.Processors, a.unclaimed.Processors)
	})
}

// GangReserve limits the processors that are kept for waiting gangs in one pool.
type GangReserve struct {
	limit, used float64
}

// NewGangReserve returns the reserve of a pool with the number of processors.
func NewGangReserve(processors int64) *GangReserve {
	return &GangReserve{limit: gangShare * float64(processors)}
}

// Take reports whether the processors that the missing tasks of a gang need may be
// kept for it, and counts them if so. The first gang always may.
func (g *GangReserve) Take(processors int64) bool {
	if g.used > 0 && g.used+float64(processors) > g.limit {
		return false
	}
	g.used += float64(processors)
	return true
}
