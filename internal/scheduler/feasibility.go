package scheduler

import (
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// canEverFit reports whether the waiting tasks of a gang can be placed together once the
// tasks that end by themselves have ended, on the workers that may run them or that the
// policy service has not decided on. It is judged anew in each plan, since workers change.
func (p *plan) canEverFit(r *readyStep, permits adviser.Permits) bool {
	slots := 0
	for _, c := range p.pool(r.queue.Service).sessions {
		if !c.session.HasLabel(r.step.Label) || permits.Permission(c.key) == adviser.PermissionDenied {
			continue
		}
		slots += p.slotsWithin(r, c, len(r.waiting)-slots)
		if slots >= len(r.waiting) {
			return true
		}
	}
	if log := p.scheduler.options.Log; p.scheduler.reportHopeless(r.name) {
		log.Warn("gang does not fit on the workers that may run it", zap.String("workflow", r.name.Workflow),
			zap.Int("step", r.name.Step), zap.Int("tasks", len(r.waiting)), zap.Int("slots", slots))
	}
	return false
}

// slotsWithin returns for how many tasks of the step, limit at most, the session has the
// capacity beside its long-running tasks.
func (p *plan) slotsWithin(r *readyStep, c *sessionCapacity, limit int) int {
	if r.step.MaxPerWorker > 0 {
		limit = min(limit, r.step.MaxPerWorker)
	}
	need, room, slots := r.step.CapacityNeed(), p.endingCapacity(c), 0
	for slots < limit && need.FitsIn(room) {
		room = room.Minus(need)
		slots++
	}
	return slots
}

// endingCapacity returns the capacity of the session that is not held by long-running
// tasks, which keep theirs until they are cancelled.
func (p *plan) endingCapacity(c *sessionCapacity) modeler.Resources {
	if c.ending != nil {
		return *c.ending
	}
	ending := c.session.Capacity
	for _, name := range c.session.Tasks {
		w, ok := p.state.Workflows.Get(name.Workflow)
		if !ok || name.Step >= len(w.Spec.Steps) {
			continue
		}
		if step := w.Spec.Steps[name.Step]; step.LongRunning && !w.IsEnded() {
			ending = ending.Minus(step.CapacityNeed())
		}
	}
	c.ending = &ending
	return ending
}

// reportHopeless reports whether the step is to be logged as one that does not fit, which
// is once for each time that it is in the backlog.
func (s *Scheduler) reportHopeless(name adviser.StepName) bool {
	if _, ok := s.hopeless[name]; ok {
		return false
	}
	if len(s.hopeless) >= maxHopeless {
		clear(s.hopeless)
	}
	s.hopeless[name] = struct{}{}
	return true
}

// maxHopeless bounds the steps that are remembered as logged.
const maxHopeless = 1000
