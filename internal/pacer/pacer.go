// Package pacer throttles fill tasks, which use idle processors, where they slow down
// serving tasks, which have a target for the tail of their response times. It reads
// the tails that workers report, and sets one pace for all fill tasks of a worker. Its
// data lasts for one leadership.
package pacer

import (
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// FullPace is the pace, in percent, of a task that is not throttled. A worker
	// starts each task at this pace.
	FullPace = 100
	// initialPace is the pace, in percent, at which fill tasks begin on a worker that
	// runs serving tasks, since the effect on their tails is not known yet.
	initialPace = 50
	// decreaseRatio and increaseRatio are ratios of the tail to its target, for the
	// serving task with the highest ratio. Above decreaseRatio the pace is halved, and
	// below increaseRatio it grows. A tail is a rough value over half a second.
	decreaseRatio = 0.85
	increaseRatio = 0.7
	// paceStep is the amount by which the pace grows, in percentage points.
	paceStep = 10
	// adjustInterval is the minimum time between two gradual changes of the pace.
	// Workers report the tail of the last half second.
	adjustInterval = 500 * time.Millisecond
)

// Task is a running task as reported by its worker.
type Task struct {
	Attempt modeler.Attempt
	Step    modeler.StepSpec
	// Tail is the tail of the response times of a serving task; zero if not yet known.
	Tail time.Duration
	// Usage is the processor time that a fill task used last, in millicores; zero if not
	// known.
	Usage int
}

func (t Task) isServing() bool { return t.Step.TailLatencyTarget > 0 && !t.Step.UsesIdleProcessors }

// worker is the pace of one session.
type worker struct {
	pace      int
	changedAt time.Duration
	fillTasks map[modeler.Attempt]*fillTask
}

// Pacer sets the pace of the fill tasks of all sessions. It is safe for concurrent
// use.
type Pacer struct {
	now func() time.Duration

	mutex   sync.Mutex
	workers map[string]*worker
}

// New returns a pacer without any sessions. now is a monotonic clock.
func New(now func() time.Duration) *Pacer {
	return &Pacer{now: now, workers: map[string]*worker{}}
}

// Observe takes all tasks that run on a session, adjusts the pace, and returns the
// orders that set it on the fill tasks. It repeats orders that are not confirmed, and
// those after which an earlier one may still be carried out. Each returned order must be
// followed by a call to Confirmed or Unanswered; until then, its task gets no other.
func (p *Pacer) Observe(session string, running []Task) []Order {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	worst, serving, fillTasks := classify(running)
	if len(fillTasks) == 0 {
		delete(p.workers, session)
		return nil
	}
	w, ok := p.workers[session]
	if !ok {
		w = &worker{pace: FullPace, fillTasks: map[modeler.Attempt]*fillTask{}}
		if serving {
			w.pace = initialPace
		}
		p.workers[session] = w
	}
	now := p.now()
	w.adjustPace(now, worst, serving)
	known := w.fillTasks
	w.fillTasks = make(map[modeler.Attempt]*fillTask, len(running))
	var orders []Order
	for _, t := range fillTasks {
		f, ok := known[t.Attempt]
		if !ok {
			f = &fillTask{late: map[int]time.Duration{}}
		}
		w.fillTasks[t.Attempt] = f
		if f.needsOrder(now, w.pace, t.Usage) {
			orders = append(orders, f.nextOrder(now, t.Attempt, w.pace))
		}
	}
	return orders
}

// classify returns the highest ratio of a tail to its target, whether any serving
// task runs, and the fill tasks.
func classify(running []Task) (worst float64, serving bool, fillTasks []Task) {
	for _, t := range running {
		switch {
		case t.isServing():
			serving = true
			worst = max(worst, float64(t.Tail)/float64(t.Step.TailLatencyTarget))
		case t.Step.UsesIdleProcessors:
			fillTasks = append(fillTasks, t)
		}
	}
	return worst, serving, fillTasks
}

// adjustPace adjusts the pace. It drops to zero at once while a target is missed, is
// halved near a target, and grows by paceStep well below it. It returns to FullPace
// once no serving task runs.
func (w *worker) adjustPace(now time.Duration, worst float64, serving bool) {
	next := w.pace
	switch {
	case !serving:
		next = FullPace
	case worst > 1:
		next = 0
	case now-w.changedAt < adjustInterval:
		return
	case worst > decreaseRatio:
		next = w.pace / 2
	case worst > 0 && worst < increaseRatio:
		next = min(FullPace, w.pace+paceStep)
	}
	if next != w.pace {
		w.pace, w.changedAt = next, now
	}
}

// Confirmed records that the worker has carried out an order.
func (p *Pacer) Confirmed(o Order) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if f, ok := p.awaiting(o); ok {
		f.confirm()
	}
}

// Unanswered records that an order got no answer, so that the worker may have carried it
// out, or may carry it out later.
func (p *Pacer) Unanswered(o Order) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if f, ok := p.awaiting(o); ok {
		f.expectLate(p.now())
	}
}

// awaiting returns the record of the task that awaits the answer to the order. The caller
// holds the mutex.
func (p *Pacer) awaiting(o Order) (*fillTask, bool) {
	w, ok := p.workers[o.Attempt.Session]
	if !ok {
		return nil, false
	}
	f, ok := w.fillTasks[o.Attempt]
	return f, ok && f.phase == orderSent && f.last == o
}

// RemoveSession drops the data of a session that has ended.
func (p *Pacer) RemoveSession(session string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.workers, session)
}
