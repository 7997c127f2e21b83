package scheduler

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/claimer"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// TestTasksRunOnWhatAWaitingGangKeeps guards against a gang that keeps idle workers from short
// tasks, while it waits for a worker that stays full for longer than they run.
func TestTasksRunOnWhatAWaitingGangKeeps(t *testing.T) {
	t.Parallel()
	lasting := func(d time.Duration) func(*modeler.StepSpec) {
		return func(s *modeler.StepSpec) { s.Estimate = d }
	}
	tests := map[string]struct {
		// busy is the estimate of the task that the gang waits for.
		busy  time.Duration
		queue string
		step  modeler.StepSpec
		want  []string
	}{
		"tasks that end before the gang can start": {
			busy: 30 * time.Second, queue: "plain", step: stepOf(3, 2), want: []string{"w1@1", "w1@1", "w1@1"},
		},
		"a gang that ends before it can start": {
			busy: 30 * time.Second, queue: "plain", step: with(stepOf(2, 4), func(s *modeler.StepSpec) { s.Gang = true }),
			want: []string{"w1@1", "w1@1"},
		},
		"tasks that need permits": {
			busy: 30 * time.Second, queue: "guarded", step: stepOf(3, 2), want: []string{"w1@1", "w1@1", "w1@1"},
		},
		"tasks that would delay the gang": {
			busy: 30 * time.Second, queue: "plain", step: with(stepOf(3, 2), lasting(20*time.Second)),
		},
		"tasks that last": {
			busy: 30 * time.Second, queue: "plain", step: with(stepOf(3, 2), func(s *modeler.StepSpec) { s.LongRunning = true }),
		},
		"a gang that can start soon": {
			busy: 4 * time.Second, queue: "plain", step: stepOf(3, 2),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.permitted = []string{"w0", "w1"}
				f.announce(1)
				f.submit("plain", "long", with(stepOf(1, 8), lasting(tt.busy)))
				f.round("long")
				f.announce(2)
				f.submit("guarded", "gang", with(stepOf(2, 8), func(s *modeler.StepSpec) { s.Gang = true }))
				f.round("gang")
				synctest.Wait()
				f.submit(tt.queue, "small", tt.step)
				for range 5 {
					f.round("small")
					synctest.Wait()
				}
				if got := f.round("small"); !slices.Equal(got, tt.want) {
					t.Errorf("tasks started on %v, want %v", got, tt.want)
				}
				if got := f.round("gang"); len(got) != 0 {
					t.Errorf("gang started on %v, although a worker of it is full", got)
				}
			})
		})
	}
}

// TestGangThatStartsSoonLendsNothing guards against a gang that lends what another one needs
// before, and against one that needs it soon on one worker and so lends nothing on others.
func TestGangThatStartsSoonLendsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const late = 20 * time.Second
		f := newFixture(t)
		f.announce(3)
		f.submit("guarded", "first", stepOf(1, 2))
		f.submit("guarded", "second", stepOf(3, 2))
		f.scheduler.reset()
		p := newPlan(f.scheduler, f.state)
		steps := f.scheduler.backlog.ordered(f.state, time.Now())
		slot := func(key string) claimer.Slot { return claimer.Slot{Key: key} }
		p.keep(steps[0], []claimer.Slot{slot("w0@1")}, 0)
		p.keep(steps[1], []claimer.Slot{slot("w0@1"), slot("w1@1"), slot("w2@1")}, late)
		if got, want := p.lent(), map[string]time.Duration{"w1@1": late, "w2@1": late}; !maps.Equal(got, want) {
			t.Errorf("capacity is lent for %v, want %v", got, want)
		}
	})
}

// TestGangStartsInTimeWhileShortTasksUseWhatItKeeps guards the other side: short tasks that
// stream in must not put the gang off.
func TestGangStartsInTimeWhileShortTasksUseWhatItKeeps(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const workers, head, busy, maxWait = 6, 2 * time.Second, 30 * time.Second, 3 * time.Second
		class := func(name string, priority int, step modeler.StepSpec) loadClass {
			return loadClass{
				queue: guardedQueue(name, priority, 50*time.Millisecond, 2*time.Millisecond), grantRate: 1,
				step: step, runTime: step.Estimate,
			}
		}
		long := class("long", 2, with(stepOf(4, 5000), func(s *modeler.StepSpec) { s.Estimate = busy }))
		gang := class("gang", 1, with(stepOf(2*workers, 15_000), func(s *modeler.StepSpec) {
			s.Gang, s.Estimate = true, 10*time.Second
		}))
		small := class("small", 2, with(stepOf(2, 4000), func(s *modeler.StepSpec) { s.Estimate = time.Second / 2 }))
		r := newReplay(t, workers, []loadClass{long, gang, small})
		r.classes[0].backlog = 1
		r.run(head)
		r.classes[0].backlog, r.classes[1].backlog, r.classes[2].perSecond = 0, 1, 8
		r.run(busy + maxWait)
		if got, most := r.quantile("gang", 1), busy-head+maxWait; got > most {
			t.Errorf("the gang waits for %v, want at most %v", got, most)
		}
		r.checkWaits(map[string]time.Duration{"small": maxWait})
		time.Sleep(time.Minute)
	})
}
