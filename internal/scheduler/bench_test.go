package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// BenchmarkPlanWithBacklog plans one round while the workers are almost full and
// many workflows wait, each of which needs a permit.
func BenchmarkPlanWithBacklog(b *testing.B) {
	for _, workers := range []int{48, 350, 2600} {
		for _, backlog := range []int{100, 1500} {
			b.Run(fmt.Sprintf("workers=%d/backlog=%d", workers, backlog), func(b *testing.B) {
				f := newBusyFixture(b, workers, backlog)
				for b.Loop() {
					p := newPlan(f.scheduler, f.state)
					p.placeSteps(b.Context(), f.scheduler.backlog.ordered(f.state, time.Now()))
				}
			})
		}
	}
}

// newBusyFixture returns a fixture whose workers have an eighth of their capacity
// free, and whose policy service never answers.
func newBusyFixture(b *testing.B, workers, backlog int) *fixture {
	b.Helper()
	f := newFixture(b)
	f.scheduler.options.Adviser = adviser.New(adviser.Options{
		RequestPermits: func(ctx context.Context, _ string, _ adviser.StepName, _ []string) (adviser.Decision, error) {
			<-ctx.Done()
			return adviser.Decision{}, ctx.Err()
		},
		EntryAddresses: func() []string {
			entries := make([]string, 40)
			for i := range entries {
				entries[i] = fmt.Sprint("e", i)
			}
			return entries
		},
		OnDecision: func() {}, Now: f.scheduler.options.Now, Log: zap.NewNop(),
	})
	f.announce(workers)
	const maxTasks = 1000
	for left := workers; left > 0; left -= maxTasks {
		f.submit("plain", fmt.Sprint("running", left), stepOf(min(left, maxTasks), 7))
	}
	f.scheduler.reset()
	for f.scheduler.round(b.Context()) {
		f.scheduler.reset()
	}
	for i := range backlog {
		f.submit("guarded", fmt.Sprintf("w%04d", i), stepOf(3, 1), with(stepOf(3, 1), func(s *modeler.StepSpec) {
			s.DependsOn = []int{0}
		}))
	}
	f.scheduler.reset()
	return f
}

// BenchmarkPlanWithGangs plans one round while the workers are almost full and gangs of 20
// tasks wait, each of which may run on a quarter of the workers.
func BenchmarkPlanWithGangs(b *testing.B) {
	for _, workers := range []int{350, 2600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newBusyFixture(b, workers, 0)
			f.scheduler.options.Adviser = adviser.New(adviser.Options{
				RequestPermits: func(_ context.Context, _ string, _ adviser.StepName, workers []string) (adviser.Decision, error) {
					tickets := map[string]string{}
					for i, w := range workers {
						if i%4 == 0 {
							tickets[w] = "ticket"
						}
					}
					return adviser.Decision{Tickets: tickets, Validity: time.Hour}, nil
				},
				EntryAddresses: func() []string { return []string{"e0", "e1", "e2", "e3"} },
				OnDecision:     func() {}, Now: f.scheduler.options.Now, Log: zap.NewNop(),
			})
			const gangs, tasks, rounds = 100, 20, 300
			for i := range gangs {
				f.submit("guarded", fmt.Sprintf("g%04d", i), with(stepOf(tasks, 3), func(s *modeler.StepSpec) { s.Gang = true }))
			}
			f.scheduler.reset()
			for range rounds {
				f.scheduler.round(b.Context())
				time.Sleep(time.Millisecond)
			}
			for b.Loop() {
				p := newPlan(f.scheduler, f.state)
				p.placeSteps(b.Context(), f.scheduler.backlog.ordered(f.state, time.Now()))
			}
		})
	}
}
