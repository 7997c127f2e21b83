package profiler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

func newProfiler() *Profiler {
	began := time.Now()
	return New(func() time.Duration { return time.Since(began) })
}

func taskOf(workflow, image string, step modeler.StepSpec) Task {
	step.Image = image
	return Task{
		Attempt:  modeler.Attempt{Task: modeler.TaskName{Workflow: workflow}, Session: "w@1", Number: 1},
		Step:     step,
		Workload: WorkloadOf(step, "q"),
	}
}

// observeServing lets a serving task run beside a fill task that comes and goes, and
// returns the evidence on the pair. usage and tail are those while the fill task runs.
func observeServing(usage int, tail time.Duration) []Pair {
	p := newProfiler()
	serving := taskOf("s", "serve", modeler.StepSpec{LongRunning: true, TailLatencyTarget: time.Second})
	for poll := range 800 {
		session := fmt.Sprintf("w%d@1", poll%4)
		serving.Attempt.Task.Workflow = fmt.Sprint("s", poll%4, poll/200)
		serving.Tail = 100 * time.Millisecond
		running := []Task{serving}
		if poll/4%20 < 10 {
			running[0].Tail = tail
			fill := taskOf(fmt.Sprint("f", poll/80), "fill", modeler.StepSpec{UsesIdleProcessors: true})
			fill.Usage = usage
			running = append(running, fill)
		}
		p.Observe(session, running)
		time.Sleep(125 * time.Millisecond)
	}
	return p.Pairs()
}

// TestTailsOfServingTasksAreEvidence guards against a pair that shows in tails only being
// missed.
func TestTailsOfServingTasksAreEvidence(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		pairs := observeServing(2000, 200*time.Millisecond)
		if len(pairs) != 1 || pairs[0].Slowed.Image != "serve" || pairs[0].By.Image != "fill" {
			t.Fatalf("pairs are %+v, want serve beside fill only", pairs)
		}
		if got := pairs[0].Slowdown; got < 1.7 || got > 2.1 {
			t.Errorf("slowdown is %.2f, want about 2", got)
		}
	})
}

// TestStoppedFillTaskIsNotBlamed guards against blaming a fill task that the pacer has
// stopped for tails that are long for another reason.
func TestStoppedFillTaskIsNotBlamed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		if pairs := observeServing(0, 200*time.Millisecond); len(pairs) > 0 {
			t.Errorf("pairs are %+v, want none: the fill task uses no processors", pairs)
		}
	})
}

// TestWorkloadsAreBounded guards against growth by callers that name a new image for each
// step: known workloads stay, and idle ones make room.
func TestWorkloadsAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newProfiler()
		observe := func(images int, prefix string) {
			var running []Task
			for i := range images {
				running = append(running, taskOf(fmt.Sprint(prefix, i), fmt.Sprint(prefix, i), modeler.StepSpec{}))
			}
			p.Observe("w@1", running)
		}
		observe(2*maxWorkloads, "a")
		if s := p.Stats(); s.Workloads != maxWorkloads || s.Left != maxWorkloads {
			t.Errorf("%d workloads are kept and %d left out, want %d each", s.Workloads, s.Left, maxWorkloads)
		}
		time.Sleep(workloadIdle)
		observe(3, "b")
		if _, ok := p.indexes[Workload{Image: "b2"}]; !ok || len(p.indexes) != maxWorkloads {
			t.Errorf("%d workloads are kept, want %d with the new ones", len(p.indexes), maxWorkloads)
		}
		p.RemoveSession("w@1")
		if len(p.sessions) != 0 {
			t.Error("the data of a session that has ended is still kept")
		}
	})
}

// TestMixedIntervalsAreNoEvidence guards against speeds measured while a task beside has
// come or gone, over a gap between polls, or across a restart of the task.
func TestMixedIntervalsAreNoEvidence(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		second func(alone, other Task) []Task
		gap    time.Duration
	}{
		"another task comes": {
			second: func(alone, other Task) []Task { return []Task{alone, other} },
		},
		"progress falls": {
			second: func(alone, _ Task) []Task { alone.Percent = 1; return []Task{alone} },
		},
		"no poll for long": {
			second: func(alone, _ Task) []Task { return []Task{alone} }, gap: maxPollGap + time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newProfiler()
				alone, other := taskOf("a", "a", modeler.StepSpec{}), taskOf("b", "b", modeler.StepSpec{})
				alone.Percent = 10
				p.Observe("w@1", []Task{alone})
				time.Sleep(time.Second + tt.gap)
				alone.Percent = 50
				p.Observe("w@1", tt.second(alone, other))
				if s := p.sessions["w@1"]; len(s.groups) != 0 {
					t.Errorf("the interval is evidence: %+v", s.groups)
				}
			})
		})
	}
}

func TestWorkloadOfStep(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		step modeler.StepSpec
		want Workload
	}{
		"with an image":    {step: modeler.StepSpec{Image: "i"}, want: Workload{Image: "i"}},
		"without an image": {want: Workload{Queue: "q"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := WorkloadOf(tt.step, "q"); got != tt.want {
				t.Errorf("workload is %v, want %v", got, tt.want)
			}
		})
	}
}

// BenchmarkObserve observes a poll of a worker with ten tasks, one of which is new. Half
// of the workloads that are distinguished are in use. It includes its share of the
// updates of the estimates, each second of 700 polls.
func BenchmarkObserve(b *testing.B) {
	const sessions, tasks, images, pollsPerSecond = 350, 10, 16, 700
	now := time.Duration(0)
	p := New(func() time.Duration { return now })
	running := make([][]Task, sessions)
	number := 0
	next := func(session int) Task {
		number++
		t := taskOf(fmt.Sprint("f", number), fmt.Sprint("i", number*7%images), modeler.StepSpec{})
		t.Attempt.Session, t.Percent = fmt.Sprint("w", session), 1
		return t
	}
	for i := range running {
		for range tasks {
			running[i] = append(running[i], next(i))
		}
	}
	poll := 0
	for b.Loop() {
		session := poll % sessions
		for i := range running[session] {
			running[session][i].Percent += 8
		}
		running[session][poll/sessions%tasks] = next(session)
		p.Observe(running[session][0].Attempt.Session, running[session])
		now += time.Second / pollsPerSecond
		poll++
	}
}
