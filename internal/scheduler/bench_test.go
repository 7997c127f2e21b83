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

// BenchmarkPlanUnderABacklog plans one round while the workers are almost full
// and many workflows wait, each of which needs a permit.
func BenchmarkPlanUnderABacklog(b *testing.B) {
	for _, workers := range []int{48, 350, 2600} {
		for _, backlog := range []int{100, 1500} {
			b.Run(fmt.Sprintf("workers=%d/backlog=%d", workers, backlog), func(b *testing.B) {
				d := newBusyDesk(b, workers, backlog)
				for b.Loop() {
					p := newPlan(d.scheduler, d.state)
					p.fill(b.Context(), d.scheduler.backlog.ordered(d.state, time.Now()))
				}
			})
		}
	}
}

// newBusyDesk returns a desk whose workers have an eighth of their room left,
// and whose policy service never answers.
func newBusyDesk(b *testing.B, workers, backlog int) *desk {
	b.Helper()
	d := newDesk(b)
	d.scheduler.options.Adviser = adviser.New(adviser.Options{
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
		OnDecision: func() {}, Now: d.scheduler.options.Now, Log: zap.NewNop(),
	})
	d.announce(workers)
	const most = 1000
	for left := workers; left > 0; left -= most {
		d.submit("plain", fmt.Sprint("running", left), tasks(min(left, most), 7))
	}
	d.scheduler.reset()
	for d.scheduler.round(b.Context()) {
		d.scheduler.reset()
	}
	for i := range backlog {
		d.submit("guarded", fmt.Sprintf("w%04d", i), tasks(3, 1), with(tasks(3, 1), func(s *modeler.StepSpec) {
			s.DependsOn = []int{0}
		}))
	}
	d.scheduler.reset()
	return d
}
