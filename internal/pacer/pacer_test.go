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
		Step:    modeler.StepSpec{LongRunning: true, TailTarget: 100 * time.Millisecond},
		Tail:    tail,
	}
}

func filling(workflow string) Task {
	return Task{
		Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: workflow}, Session: session, Number: 1},
		Step:    modeler.StepSpec{Fills: true},
	}
}

// observe returns the pace that the first filling task is ordered to; -1 for no order.
func observe(p *Pacer, running ...Task) int {
	orders := p.Observe(session, running)
	for _, o := range orders {
		p.Confirmed(o)
	}
	if len(orders) == 0 {
		return -1
	}
	return orders[0].Percent
}

func TestThePaceOfTasksThatFill(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// tails are those of the serving task, one each half second; a negative one
		// says that nothing serves.
		tails []time.Duration
		want  int
	}{
		"alone on a worker they are not slowed":             {tails: []time.Duration{-1}, want: FullPace},
		"beside serving tasks they begin carefully":         {tails: []time.Duration{0}, want: firstPace},
		"a missed target stops them at once":                {tails: []time.Duration{50, 101}, want: 0},
		"near a target they are halved":                     {tails: []time.Duration{75, 90}, want: firstPace / 2},
		"far below a target they work more":                 {tails: []time.Duration{50, 50, 50}, want: firstPace + 3*paceStep},
		"in between the pace stays":                         {tails: []time.Duration{75, 75, 75}, want: firstPace},
		"once nothing serves any more they are not slowed":  {tails: []time.Duration{150, -1}, want: FullPace},
		"after a missed target they come back step by step": {tails: []time.Duration{150, 50, 50}, want: 2 * paceStep},
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
					if ordered := observe(p, running...); ordered >= 0 {
						pace = ordered
					}
					time.Sleep(stepInterval)
				}
				if pace != tt.want {
					t.Errorf("the pace is %d, want %d", pace, tt.want)
				}
			})
		})
	}
}

func TestAnOrderWithoutAnAnswerIsGivenAgain(t *testing.T) {
	t.Parallel()
	p := newPacer()
	running := []Task{serving(75 * time.Millisecond), filling("night")}
	first := p.Observe(session, running)
	again := p.Observe(session, running)
	if len(first) != 1 || len(again) != 1 || first[0] != again[0] {
		t.Fatalf("ordered %v, then %v", first, again)
	}
	p.Confirmed(again[0])
	if orders := p.Observe(session, running); len(orders) != 0 {
		t.Errorf("ordered %v after the answer", orders)
	}
	if orders := p.Observe(session, append(running, filling("later"))); len(orders) != 1 {
		t.Errorf("a task that starts works at full pace; ordered %v", orders)
	}
}
