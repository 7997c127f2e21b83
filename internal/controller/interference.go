package controller

import (
	"math"
	"time"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/profiler"
)

// newProfiler returns nil if the options do not ask to avoid interference.
func newProfiler(c *coordinator.Coordinator, options Options) *profiler.Profiler {
	if options.Workflows == nil || !options.Workflows.AvoidInterference {
		return nil
	}
	return profiler.New(c.Now)
}

// findings returns the function by which the scheduler reads the findings, or nil.
func (w *workflowWorkers) findings() func() *profiler.Findings {
	if w.profiler == nil {
		return nil
	}
	return w.profiler.Findings
}

// profiledTasks returns the tasks with their measurements for the profiler.
func profiledTasks(running []runningTask) []profiler.Task {
	tasks := make([]profiler.Task, len(running))
	for i, t := range running {
		tasks[i] = profiler.Task{
			Attempt: t.attempt, Step: t.step, Workload: profiler.WorkloadOf(t.step, t.queue), Percent: t.Percent,
		}
		if t.step.TailLatencyTarget > 0 {
			tasks[i].Tail = time.Duration(t.Measurement) * time.Millisecond
		} else {
			tasks[i].Usage = t.Measurement
		}
	}
	return tasks
}

// Interference returns what this leader has learnt about tasks that slow each other down.
func (l *LeaderState) Interference() messenger.InterferenceAnswer {
	answer := messenger.InterferenceAnswer{Pairs: []messenger.InterferencePair{}}
	if l.profiler == nil {
		return answer
	}
	answer.Avoid = true
	now, wall := l.coordinator.Now(), time.Now()
	at := func(monotonic time.Duration) time.Time { return wall.Add(monotonic - now).UTC().Truncate(time.Second) }
	for _, p := range l.profiler.Pairs() {
		pair := messenger.InterferencePair{
			Slowed: p.Slowed.String(), By: p.By.String(), Slowdown: hundredths(p.Slowdown), Lower: hundredths(p.Lower),
			Runs: int(p.Runs), EvidenceAt: at(p.EvidenceAt),
		}
		if p.Found {
			pair.FoundAt = at(p.FoundAt)
		}
		answer.Pairs = append(answer.Pairs, pair)
	}
	return answer
}

// hundredths rounds a slowdown for people.
func hundredths(value float64) float64 {
	const hundred = 100
	return math.Round(value*hundred) / hundred
}

// recordInterference updates the gauges on interference. They name no workload, since
// callers choose the images.
func (l *LeaderState) recordInterference() {
	if l.profiler == nil {
		return
	}
	stats := l.profiler.Stats()
	l.options.Scope.Gauge("interference_workloads").Update(float64(stats.Workloads))
	l.options.Scope.Gauge("interference_pairs").Update(float64(stats.Pairs))
	l.options.Scope.Gauge("interference_found").Update(float64(stats.Found))
	l.options.Scope.Gauge("interference_left_out").Update(float64(stats.Left))
}
