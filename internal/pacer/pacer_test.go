package pacer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const session = "w@1"

func newPacer() *Pacer {
	began := time.Now()
	return New(func() time.Duration { return time.Since(began) + time.Hour })
}

func serving(tail time.Duration) Task {
	return Task{
		Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: "shop"}, Session: session, Number: 1},
		Step:    modeler.StepSpec{LongRunning: true, TailLatencyTarget: 100 * time.Millisecond},
		Tail:    tail,
	}
}

func filling(workflow string) Task {
	return Task{
		Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: workflow}, Session: session, Number: 1},
		Step:    modeler.StepSpec{UsesIdleProcessors: true},
	}
}

// observePace confirms all orders, and returns the pace ordered for the first fill
// task, or -1 if there is no order.
func observePace(p *Pacer, running ...Task) int {
	orders := p.Observe(session, running)
	for _, o := range orders {
		p.Confirmed(o)
	}
	if len(orders) == 0 {
		return -1
	}
	return orders[0].Percent
}

func TestPaceOfFillTasks(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// tails are the tails of the serving task in milliseconds, one each half second;
		// a negative one means that no serving task runs.
		tails []time.Duration
		want  int
	}{
		"alone on a worker they run at full pace":            {tails: []time.Duration{-1}, want: FullPace},
		"with a serving task they start at the initial pace": {tails: []time.Duration{0}, want: initialPace},
		"a missed target stops them at once":                 {tails: []time.Duration{50, 101}, want: 0},
		"near a target the pace is halved":                   {tails: []time.Duration{75, 90}, want: initialPace / 2},
		"well below a target the pace grows":                 {tails: []time.Duration{50, 50, 50}, want: initialPace + 3*paceStep},
		"between the two ratios the pace stays":              {tails: []time.Duration{75, 75, 75}, want: initialPace},
		"without a serving task the pace is full again":      {tails: []time.Duration{150, -1}, want: FullPace},
		"after a missed target the pace grows step by step":  {tails: []time.Duration{150, 50, 50}, want: 2 * paceStep},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p, pace := newPacer(), FullPace
				for _, tail := range tt.tails {
					running := []Task{filling("night")}
					if tail >= 0 {
						running = append(running, serving(tail*time.Millisecond))
					}
					if ordered := observePace(p, running...); ordered >= 0 {
						pace = ordered
					}
					time.Sleep(adjustInterval)
				}
				if pace != tt.want {
					t.Errorf("pace is %d, want %d", pace, tt.want)
				}
			})
		})
	}
}

func TestUnconfirmedOrderIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPacer()
		running := []Task{serving(75 * time.Millisecond), filling("night")}
		first := p.Observe(session, running)
		if len(first) != 1 {
			t.Fatalf("orders are %v, want one", first)
		}
		p.Unanswered(first[0])
		if orders := p.Observe(session, running); len(orders) != 0 {
			t.Errorf("orders are %v at once after one without an answer, want none", orders)
		}
		time.Sleep(retryInterval)
		again := p.Observe(session, running)
		if len(again) != 1 || again[0].Attempt != first[0].Attempt || again[0].Percent != first[0].Percent {
			t.Fatalf("first orders are %v, then %v; want the same order twice", first, again)
		}
		p.Confirmed(again[0])
		if orders := p.Observe(session, running); len(orders) != 0 {
			t.Errorf("orders are %v after the confirmation, want none", orders)
		}
		if orders := p.Observe(session, append(running, filling("later"))); len(orders) != 1 {
			t.Errorf("orders are %v, want one for the new task, which starts at full pace", orders)
		}
	})
}
