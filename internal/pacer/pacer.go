// Package pacer slows tasks that use idle processors where they disturb tasks
// that serve users of their own. It learns from the tails that workers report,
// and keeps one pace for all filling tasks of a worker. Its memory is that of
// one leadership.
package pacer

import (
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// FullPace is the pace, in percent, of a task that is not slowed; a worker starts
	// each task at it.
	FullPace = 100
	// firstPace is the pace of filling tasks beside serving ones of which no tail
	// is known yet, in percent.
	firstPace = 50
	// highShare and lowShare are the tail of the worst serving task, as a part of
	// its target, above which the pace is halved and below which it grows. A tail
	// is a rough figure of half a second.
	highShare = 0.85
	lowShare  = 0.7
	// paceStep is by how much the pace grows, in percent.
	paceStep = 10
	// stepInterval is how often the pace changes: workers report the tail of the
	// last half second.
	stepInterval = 500 * time.Millisecond
)

// Task is a running task as its worker reports it.
type Task struct {
	Attempt modeler.Attempt
	Step    modeler.StepSpec
	// Tail is that of the response times of a serving task; zero for none yet.
	Tail time.Duration
}

func (t Task) serves() bool { return t.Step.TailTarget > 0 && !t.Step.Fills }

// Order lets a task work at a pace.
type Order struct {
	Attempt modeler.Attempt
	// Percent is the pace, 0 to Full.
	Percent int
}

// worker is what is known of one session.
type worker struct {
	pace    int
	changed time.Duration
	// confirmed holds the pace at which each filling task surely works.
	confirmed map[modeler.Attempt]int
}

// Pacer paces the filling tasks of all sessions. It is safe for concurrent use.
type Pacer struct {
	now func() time.Duration

	mutex   sync.Mutex
	workers map[string]*worker
}

// New returns a pacer that has seen nothing. now is a steady clock.
func New(now func() time.Duration) *Pacer {
	return &Pacer{now: now, workers: map[string]*worker{}}
}

// Observe takes all that runs on a session, and returns the orders that bring
// its filling tasks to their pace. What is not confirmed is ordered again.
func (p *Pacer) Observe(session string, running []Task) []Order {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	worst, serving, filling := survey(running)
	if len(filling) == 0 {
		delete(p.workers, session)
		return nil
	}
	w, ok := p.workers[session]
	if !ok {
		w = &worker{pace: FullPace, confirmed: map[modeler.Attempt]int{}}
		if serving {
			w.pace = firstPace
		}
		p.workers[session] = w
	}
	w.adapt(p.now(), worst, serving)
	confirmed := make(map[modeler.Attempt]int, len(filling))
	var orders []Order
	for _, t := range filling {
		pace, known := w.confirmed[t.Attempt]
		if known {
			confirmed[t.Attempt] = pace
		}
		if !known || pace != w.pace {
			orders = append(orders, Order{Attempt: t.Attempt, Percent: w.pace})
		}
	}
	w.confirmed = confirmed
	return orders
}

// survey returns the worst tail as a part of its target, whether anything
// serves, and the tasks that fill.
func survey(running []Task) (worst float64, serving bool, filling []Task) {
	for _, t := range running {
		switch {
		case t.serves():
			serving = true
			worst = max(worst, float64(t.Tail)/float64(t.Step.TailTarget))
		case t.Step.Fills:
			filling = append(filling, t)
		}
	}
	return worst, serving, filling
}

// adapt moves the pace: to nothing at once while a target is missed, half of it
// near a target, and back step by step.
func (w *worker) adapt(now time.Duration, worst float64, serving bool) {
	next := w.pace
	switch {
	case !serving:
		next = FullPace
	case worst > 1:
		next = 0
	case now-w.changed < stepInterval:
		return
	case worst > highShare:
		next = w.pace / 2
	case worst > 0 && worst < lowShare:
		next = min(FullPace, w.pace+paceStep)
	}
	if next != w.pace {
		w.pace, w.changed = next, now
	}
}

// Confirmed notes that the worker has taken an order.
func (p *Pacer) Confirmed(o Order) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if w, ok := p.workers[o.Attempt.Session]; ok {
		w.confirmed[o.Attempt] = o.Percent
	}
}

// ForgetSession drops what is known of a session that has ended.
func (p *Pacer) ForgetSession(session string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.workers, session)
}
