// Package profiler estimates which tasks slow each other down on one worker, from the
// progress and the tails that workers report. It compares tasks only with others of the
// same step on the same session, so that neither wrong estimates nor slow workers look
// like interference. Its data lasts for one leadership.
package profiler

import (
	"math"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// maxWorkloads bounds the workloads that are distinguished, and with its square the
	// pairs. A set of workloads is a bit mask of this width.
	maxWorkloads = 32
	// workloadIdle is how long a workload must not have been seen to make room for another.
	workloadIdle = time.Minute
	// minSegmentSpan and minSegmentPercent are the least time and progress from which a
	// speed is measured. Progress is reported in whole percents.
	minSegmentSpan    = 400 * time.Millisecond
	minSegmentPercent = 2
	// maxSegmentSpan ends a segment, so that tasks that run for long are evidence while
	// they run.
	maxSegmentSpan = 10 * time.Second
	// maxPollGap ends a segment at the last poll before a longer gap.
	maxPollGap = 5 * time.Second
	// maxGroupSpan and maxGroupSegments bound the segments that are compared with each
	// other, as the speed of a worker and the load of a serving task change over time.
	maxGroupSpan     = 30 * time.Second
	maxGroupSegments = 64
	// speedScatter is the scatter of the logarithm of a speed, beside the error of whole
	// percents. tailScatter is that of a tail, which is a rough value over half a second.
	speedScatter = 0.1
	tailScatter  = 0.3
	// percentError is the standard error of the difference of two whole percents.
	percentError = 0.5
	fullPercent  = 100
)

// Workload is a group of tasks that are expected to affect others alike: those with the
// same image, or those without an image of the same queue.
type Workload struct {
	Image string
	// Queue is empty if Image is set.
	Queue string
}

// WorkloadOf returns the workload of a step of a workflow in the queue.
func WorkloadOf(step modeler.StepSpec, queue string) Workload {
	if step.Image != "" {
		return Workload{Image: step.Image}
	}
	return Workload{Queue: queue}
}

// String returns the image, or "queue:" and the name of the queue.
func (w Workload) String() string {
	if w.Image != "" {
		return w.Image
	}
	return "queue:" + w.Queue
}

// Task is a running task as reported by its worker.
type Task struct {
	Attempt  modeler.Attempt
	Step     modeler.StepSpec
	Workload Workload
	// Percent is the share of the work that is done.
	Percent int
	// Tail is the tail of the response times of a serving task; zero if not known.
	Tail time.Duration
	// Usage is the processor time that a fill task used last, in millicores.
	Usage int
}

func (t Task) isServing() bool { return t.Step.TailLatencyTarget > 0 && !t.Step.UsesIdleProcessors }

// isMeasured reports whether the task's speed or tail is evidence. The speed of a fill
// task depends on the processors that others leave idle.
func (t Task) isMeasured() bool {
	return !t.Step.UsesIdleProcessors && (t.isServing() || !t.Step.LongRunning)
}

// isPresent reports whether the task can affect others. A fill task that the pacer has
// stopped uses no processors.
func (t Task) isPresent() bool { return !t.Step.UsesIdleProcessors || t.Usage > 0 }

// step returns the name of the task's step, which is that of its task with index 0.
func (t Task) step() modeler.TaskName {
	name := t.Attempt.Task
	name.Index = 0
	return name
}

// workloadSet is a set of the indexes of workloads.
type workloadSet uint32

func (s workloadSet) has(index int) bool { return s&(1<<index) != 0 }

// track measures a running attempt while the workloads beside it stay the same.
type track struct {
	// target is the index of the attempt's workload.
	target                    int
	longRunning               bool
	beside                    workloadSet
	beganAt, lastAt           time.Duration
	beganPercent, lastPercent int
	// tailLogs is the sum of the logarithms of the tails, and tails their number.
	tailLogs float64
	tails    int
}

// segment is the logarithm of a speed of one task beside a set of workloads. Its weight
// is the inverse of its variance.
type segment struct {
	beside        workloadSet
	speed, weight float64
}

// group holds the segments of one step on one session, which are compared with each
// other.
type group struct {
	// target is the index of the step's workload.
	target   int
	beganAt  time.Duration
	segments []segment
	// longRunning groups count as a run each, as their step does not end.
	longRunning bool
}

// session holds the running attempts of a worker session and the open groups.
type session struct {
	seenAt time.Duration
	tracks map[modeler.Attempt]track
	groups map[modeler.TaskName]*group
}

// workload is the evidence on one workload.
type workload struct {
	name   Workload
	seenAt time.Duration
	fit    fit
	// foundAt is since when the pairs with the other workloads are found to interfere.
	foundAt map[int]time.Duration
}

// Profiler estimates the slowdown of pairs of workloads. It is safe for concurrent use.
type Profiler struct {
	now func() time.Duration

	mutex sync.Mutex
	// workloads holds nil where an index is free.
	workloads [maxWorkloads]*workload
	indexes   map[Workload]int
	sessions  map[string]*session
	// left are the workloads for which there was no room.
	left      int
	findings  *Findings
	refreshed time.Duration
}

// New returns a profiler without any evidence. now is a monotonic clock.
func New(now func() time.Duration) *Profiler {
	return &Profiler{
		now: now, indexes: map[Workload]int{}, sessions: map[string]*session{}, findings: NewFindings(), refreshed: now(),
	}
}

// Observe takes all tasks that run on a session, as listed by one answered poll.
func (p *Profiler) Observe(key string, running []Task) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	indexes := make([]int, len(running))
	for i, t := range running {
		indexes[i] = p.index(now, t.Workload)
	}
	s, ok := p.sessions[key]
	if !ok {
		s = &session{groups: map[modeler.TaskName]*group{}}
		p.sessions[key] = s
	}
	s.seenAt = now
	known := s.tracks
	s.tracks = make(map[modeler.Attempt]track, len(running))
	listed := make(map[modeler.TaskName]bool, len(running))
	for i, t := range running {
		if !t.isMeasured() || indexes[i] < 0 {
			continue
		}
		listed[t.step()] = true
		before, ok := known[t.Attempt]
		delete(known, t.Attempt)
		next, ended := before.observe(now, t, besides(running, indexes, i), ok)
		next.target, next.longRunning = indexes[i], t.Step.LongRunning
		s.tracks[t.Attempt] = next
		s.add(now, t.step(), next, ended)
	}
	s.endTracks(now, known)
	p.closeGroups(now, key, s, listed)
	p.refresh(now)
}

// besides returns the workloads of all tasks but the one at the position.
func besides(running []Task, indexes []int, position int) workloadSet {
	var beside workloadSet
	for i, t := range running {
		if i != position && indexes[i] >= 0 && t.isPresent() {
			beside |= 1 << indexes[i]
		}
	}
	return beside
}

// observe returns the track after a poll, and the segment that the poll has ended; its
// weight is zero if there is none.
func (k track) observe(now time.Duration, t Task, beside workloadSet, known bool) (track, segment) {
	next := track{beside: beside, beganAt: now, lastAt: now, beganPercent: t.Percent, lastPercent: t.Percent}
	next.addTail(t)
	// A task makes no progress while it starts up.
	hasNotBegun := !t.isServing() && k.beganPercent == 0
	switch {
	case !known || hasNotBegun:
		return next, segment{}
	case k.beside != beside || t.Percent < k.lastPercent || now-k.lastAt > maxPollGap:
		return next, k.segment(t.isServing())
	case t.Percent >= fullPercent && !t.isServing():
		// When the task reached it is not known.
		return next, k.segment(false)
	}
	k.lastAt, k.lastPercent = now, t.Percent
	k.addTail(t)
	if now-k.beganAt >= maxSegmentSpan {
		return next, k.segment(t.isServing())
	}
	return k, segment{}
}

func (k *track) addTail(t Task) {
	if t.isServing() && t.Tail > 0 {
		k.tailLogs += math.Log(t.Tail.Seconds())
		k.tails++
	}
}

// segment returns the speed that the track has measured. Its weight is zero if that was
// too short.
func (k track) segment(isServing bool) segment {
	if isServing {
		if k.tails == 0 {
			return segment{}
		}
		variance := speedScatter*speedScatter + tailScatter*tailScatter/float64(k.tails)
		return segment{beside: k.beside, speed: -k.tailLogs / float64(k.tails), weight: 1 / variance}
	}
	span, done := k.lastAt-k.beganAt, k.lastPercent-k.beganPercent
	if span < minSegmentSpan || done < minSegmentPercent || k.beganPercent == 0 {
		return segment{}
	}
	relative := percentError / float64(done)
	return segment{
		beside: k.beside, speed: math.Log(float64(done) / span.Seconds()),
		weight: 1 / (speedScatter*speedScatter + relative*relative),
	}
}

// add adds the segment that a track has ended to the group of the step.
func (s *session) add(now time.Duration, step modeler.TaskName, k track, ended segment) {
	if ended.weight == 0 {
		return
	}
	g, ok := s.groups[step]
	if !ok {
		g = &group{target: k.target, beganAt: now, longRunning: k.longRunning}
		s.groups[step] = g
	}
	g.segments = append(g.segments, ended)
}

// endTracks adds the segments of attempts that are no longer listed.
func (s *session) endTracks(now time.Duration, gone map[modeler.Attempt]track) {
	for a, k := range gone {
		step := a.Task
		step.Index = 0
		s.add(now, step, k, k.segment(k.tails > 0))
	}
}

// closeGroups passes on the groups of steps that no longer run on the session, and
// those that have reached their bounds.
func (p *Profiler) closeGroups(now time.Duration, key string, s *session, listed map[modeler.TaskName]bool) {
	for step, g := range s.groups {
		if listed[step] && now-g.beganAt < maxGroupSpan && len(g.segments) < maxGroupSegments {
			continue
		}
		p.workloads[g.target].fit.add(*g, step, key)
		delete(s.groups, step)
	}
}

// index returns the index of a workload that is running, or -1 if there is no room for
// it.
func (p *Profiler) index(now time.Duration, name Workload) int {
	if index, ok := p.indexes[name]; ok {
		p.workloads[index].seenAt = now
		return index
	}
	oldest := -1
	for i, w := range p.workloads {
		if w == nil {
			oldest = i
			break
		}
		if now-w.seenAt >= workloadIdle && (oldest < 0 || w.seenAt < p.workloads[oldest].seenAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		p.left++
		return -1
	}
	if p.workloads[oldest] != nil {
		p.evict(oldest)
	}
	p.indexes[name] = oldest
	p.workloads[oldest] = &workload{name: name, seenAt: now, foundAt: map[int]time.Duration{}}
	return oldest
}

// evict removes a workload with all evidence on it. It drops the open segments of all
// sessions, which may refer to its index.
func (p *Profiler) evict(index int) {
	delete(p.indexes, p.workloads[index].name)
	p.workloads[index] = nil
	for _, w := range p.workloads {
		if w != nil {
			w.fit.remove(index)
			delete(w.foundAt, index)
		}
	}
	for _, s := range p.sessions {
		s.tracks = nil
		clear(s.groups)
	}
}

// RemoveSession drops the open segments of a session that has ended.
func (p *Profiler) RemoveSession(key string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.sessions, key)
}
