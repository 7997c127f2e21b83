package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/profiler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// avoidedLogInterval is the minimum time between two log lines about starts that
// interference moved.
const avoidedLogInterval = time.Second

// avoidance ranks the sessions of a plan by the slowdown that a start would cause there.
// The methods of a nil avoidance do nothing.
type avoidance struct {
	findings *profiler.Findings
	state    reducer.State
	cache    *residentCache
	// step is the step that is being placed, and effects those of its workload.
	step     *readyStep
	workload profiler.Workload
	effects  map[profiler.Workload]profiler.Effect
	// unaware is the best session for the next task without regard to interference, with
	// its rank.
	unaware     *sessionCapacity
	unawareRank rank
	choices     []avoidedChoice
}

// sessionInterference is what a plan knows of the tasks beside a new one on a session.
type sessionInterference struct {
	// residents counts the tasks by workload, those of the plan included; nil until the
	// session is ranked for a step with a found pair.
	residents map[profiler.Workload]int
	// placed are the starts of the plan.
	placed []placedTasks
	// of is the step to which value applies; nil after the residents have changed.
	of    *readyStep
	value int64
}

// placedTasks are tasks of one workload that a plan starts on a session. The count is
// negative if it takes them back.
type placedTasks struct {
	workload profiler.Workload
	count    int
}

// avoidedChoice is a start that interference moved to another session.
type avoidedChoice struct {
	step *readyStep
	task modeler.TaskName
	// session is the one chosen, and avoided the one that ranks best otherwise.
	session, avoided string
	// interference is that on the avoided session, in thousandths.
	interference int64
}

// newAvoidance returns nil if no pair is found to interfere.
func newAvoidance(s *Scheduler, state reducer.State) *avoidance {
	if s.options.Findings == nil {
		return nil
	}
	findings := s.options.Findings()
	if findings.IsEmpty() {
		return nil
	}
	s.residents.bound(state.Sessions.Len())
	return &avoidance{findings: findings, state: state, cache: &s.residents}
}

func workloadOf(r *readyStep) profiler.Workload {
	return profiler.WorkloadOf(*r.step, r.workflow.Spec.Queue)
}

// rank returns the rank of a session for a task of the step, with the interference.
func (a *avoidance) rank(r *readyStep, c *sessionCapacity, k rank) rank {
	if a == nil {
		return k
	}
	if a.step != r {
		a.step, a.workload = r, workloadOf(r)
		a.effects = a.findings.Of(a.workload)
	}
	if len(a.effects) == 0 {
		return k
	}
	if a.unaware == nil || k.compare(a.unawareRank) < 0 {
		a.unaware, a.unawareRank = c, k
	}
	k.interference = a.interference(c)
	return k
}

// interference returns the slowdown that another task of the workload would suffer and
// cause on the session, in thousandths of a task's run time.
func (a *avoidance) interference(c *sessionCapacity) int64 {
	if c.interference.of != a.step {
		c.interference.of, c.interference.value = a.step, a.sumEffects(c)
	}
	return c.interference.value
}

func (a *avoidance) sumEffects(c *sessionCapacity) int64 {
	residents := a.residentsOf(c)
	own, sum := residents[a.workload], 0.0
	for other, effect := range a.effects {
		count := residents[other]
		if count == 0 {
			continue
		}
		sum += effect.Suffered
		switch {
		case own == 0:
			sum += float64(count) * effect.Caused
		case other == a.workload && own == 1:
			// The task that was the only one of its workload is slowed down too.
			sum += effect.Caused
		}
	}
	const thousand = 1000
	return int64(thousand * sum)
}

func (a *avoidance) residentsOf(c *sessionCapacity) map[profiler.Workload]int {
	known := &c.interference
	if known.residents != nil {
		return known.residents
	}
	known.residents = map[profiler.Workload]int{}
	for _, w := range a.cache.of(a.state, c.session) {
		known.residents[w]++
	}
	for _, t := range known.placed {
		known.residents[t.workload] += t.count
	}
	return known.residents
}

// allocate records that the plan starts tasks of the step on the session, or takes them
// back if the number is negative.
func (a *avoidance) allocate(r *readyStep, c *sessionCapacity, count int) {
	if a == nil {
		return
	}
	w := workloadOf(r)
	known := &c.interference
	known.of = nil
	if known.residents == nil {
		known.placed = append(known.placed, placedTasks{w, count})
	} else {
		known.residents[w] += count
	}
	for count < 0 && len(a.choices) > 0 && a.choices[len(a.choices)-1].step == r {
		a.choices = a.choices[:len(a.choices)-1]
	}
}

// recordChoice records the session chosen for a task, if interference decided it.
func (a *avoidance) recordChoice(r *readyStep, index int, chosen *sessionCapacity) {
	if a == nil || a.unaware == nil {
		return
	}
	if a.unaware != chosen {
		a.choices = append(a.choices, avoidedChoice{
			step: r, task: taskName(r, index), session: chosen.key, avoided: a.unaware.key,
			interference: a.interference(a.unaware),
		})
	}
	a.unaware = nil
}

// avoided returns the number of starts that interference moved to another session.
func (a *avoidance) avoided() int {
	if a == nil {
		return 0
	}
	return len(a.choices)
}

// avoidedLog bounds the log lines about starts that interference moved.
type avoidedLog struct {
	logged bool
	at     time.Duration
	// count is the number of starts since the last line.
	count int
}

// logAvoided logs the last start that interference moved, at most once each
// avoidedLogInterval.
func (s *Scheduler) logAvoided(a *avoidance) {
	if a.avoided() == 0 {
		return
	}
	l := &s.avoidedLog
	l.count += a.avoided()
	now := s.options.Now()
	if l.logged && now-l.at < avoidedLogInterval {
		return
	}
	last := a.choices[len(a.choices)-1]
	s.options.Log.Info("interference avoided", zap.Stringer("task", last.task), zap.String("session", last.session),
		zap.String("avoided", last.avoided), zap.Int64("slowdownThousandths", last.interference), zap.Int("starts", l.count))
	*l = avoidedLog{logged: true, at: now}
}

// residentCache holds the workloads of the tasks on sessions. Sessions are immutable, so
// that an entry is valid while the session has the same list of tasks.
type residentCache struct {
	entries map[string]residentEntry
}

type residentEntry struct {
	tasks     []modeler.TaskName
	workloads []profiler.Workload
}

func (e residentEntry) isOf(tasks []modeler.TaskName) bool {
	return len(e.tasks) == len(tasks) && &e.tasks[0] == &tasks[0]
}

// bound drops all entries once most are of sessions that have ended.
func (c *residentCache) bound(sessions int) {
	if c.entries == nil || len(c.entries) > 2*sessions {
		c.entries = map[string]residentEntry{}
	}
}

// of returns the workloads of the tasks that a session holds.
func (c *residentCache) of(state reducer.State, session modeler.Session) []profiler.Workload {
	if len(session.Tasks) == 0 {
		return nil
	}
	key := session.Key()
	if e, ok := c.entries[key]; ok && e.isOf(session.Tasks) {
		return e.workloads
	}
	workloads := make([]profiler.Workload, 0, len(session.Tasks))
	for _, name := range session.Tasks {
		w, ok := state.Workflows.Get(name.Workflow)
		if !ok || name.Step >= len(w.Spec.Steps) {
			continue
		}
		workloads = append(workloads, profiler.WorkloadOf(w.Spec.Steps[name.Step], w.Spec.Queue))
	}
	c.entries[key] = residentEntry{tasks: session.Tasks, workloads: workloads}
	return workloads
}
