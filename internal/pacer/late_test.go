package pacer

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// minPollInterval and pollInterval bound the time between two polls of the worker, and
	// callTimeout is the time-out of an order, as the supervisor has them.
	minPollInterval = 30 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	callTimeout     = 300 * time.Millisecond
	// latestOrder is the longest time after which the worker carries out an order that
	// it has not answered.
	latestOrder = 12 * time.Second
	// correctionTime is the longest time for which a late order may stay in force.
	correctionTime = repeatInterval + callTimeout + 2*pollInterval
)

// lateWorker is a worker with one fill task. It leaves some orders unanswered and
// carries them out late or never.
type lateWorker struct {
	t      *testing.T
	pacer  *Pacer
	random *rand.Rand
	// unansweredShare is the probability that an order gets no answer.
	unansweredShare float64
	// tail returns the tail of the serving task in milliseconds; a negative one means
	// that no serving task runs.
	tail func(w *lateWorker) time.Duration

	mutex  sync.Mutex
	pace   int
	orders int
	// sending is the number of calls in progress.
	sending int
}

// poll passes what runs to the pacer, and carries out its orders. It returns the time
// until the next poll.
func (w *lateWorker) poll() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	interval := minPollInterval + time.Duration(w.random.Int64N(int64(pollInterval-minPollInterval)))
	fill := filling("night")
	fill.Usage = 160 * w.pace
	running := []Task{fill}
	if tail := w.tail(w); tail >= 0 {
		running = append(running, serving(tail*time.Millisecond))
	}
	for _, o := range w.pacer.Observe(session, running) {
		w.orders++
		if w.sending++; w.sending > 1 {
			w.t.Error("two orders to one task are on their way, which may overtake each other")
		}
		go w.call(o)
	}
	return interval
}

// call carries out an order at once, late or never.
func (w *lateWorker) call(o Order) {
	w.mutex.Lock()
	isAnswered := w.random.Float64() >= w.unansweredShare
	if isAnswered {
		w.pace = o.Percent
		w.sending--
	} else if w.random.IntN(4) > 0 {
		delay := 2*time.Second + time.Duration(w.random.Int64N(int64(latestOrder-2*time.Second)))
		time.AfterFunc(delay, func() { w.carryOut(o) })
	}
	w.mutex.Unlock()
	if isAnswered {
		w.pacer.Confirmed(o)
		return
	}
	time.Sleep(callTimeout)
	w.mutex.Lock()
	w.sending--
	w.mutex.Unlock()
	w.pacer.Unanswered(o)
}

func (w *lateWorker) carryOut(o Order) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pace = o.Percent
}

// run polls the worker at random intervals for the duration.
func (w *lateWorker) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		synctest.Wait()
		interval := w.poll()
		time.Sleep(min(interval, time.Until(end)))
	}
	synctest.Wait()
}

func newLateWorker(t *testing.T, seed uint64, unansweredShare float64) *lateWorker {
	return &lateWorker{
		t: t, pacer: newPacer(), random: rand.New(rand.NewPCG(seed, 1)), unansweredShare: unansweredShare, pace: FullPace,
	}
}

func fixedTail(tail time.Duration) func(*lateWorker) time.Duration {
	return func(*lateWorker) time.Duration { return tail }
}

func varyingTail(w *lateWorker) time.Duration {
	return []time.Duration{50, 90, 150, -1}[w.random.IntN(4)]
}

// TestLateOrderDoesNotStayInForce guards against a late order that stays in force until
// the task ends.
func TestLateOrderDoesNotStayInForce(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// before and after are the tails for some time in which orders stay unanswered, and
		// from then on.
		before, after func(*lateWorker) time.Duration
		duration      time.Duration
		want          int
	}{
		"the target is missed after the pace was raised":       {fixedTail(50), fixedTail(150), 2 * time.Second, 0},
		"the pace is raised again after the target was missed": {fixedTail(150), fixedTail(50), 2 * time.Second, FullPace},
		"no serving task runs any more":                        {fixedTail(150), fixedTail(-1), 2 * time.Second, FullPace},
		"the pace varies, and then the target is missed":       {varyingTail, fixedTail(150), 20 * time.Second, 0},
		"the pace varies, and then no serving task runs":       {varyingTail, fixedTail(-1), 20 * time.Second, FullPace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(30) {
				synctest.Test(t, func(t *testing.T) {
					w := newLateWorker(t, seed, 0.5)
					w.tail = tt.before
					w.run(tt.duration)
					w.unansweredShare, w.tail, w.orders = 0, tt.after, 0
					w.run(latestOrder + correctionTime)
					if w.pace != tt.want {
						t.Errorf("seed %d: pace is %d after all late orders, want %d", seed, w.pace, tt.want)
					}
					w.run(lateOrderWindow)
					// Each growth of the pace takes an order too.
					limit := int((lateOrderWindow+latestOrder)/repeatInterval) + FullPace/paceStep
					if w.orders > limit {
						t.Errorf("seed %d: %d orders, want at most %d", seed, w.orders, limit)
					}
					w.orders = 0
					w.run(time.Minute)
					if w.pace != tt.want || w.orders > 0 {
						t.Errorf("seed %d: in the end pace is %d after %d orders, want %d without orders", seed, w.pace, w.orders, tt.want)
					}
				})
			}
		})
	}
}

// TestLateOrdersAreOverruledWhileSomeGetNoAnswer guards against repeated orders that
// themselves stay without an answer and then come late.
func TestLateOrdersAreOverruledWhileSomeGetNoAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			w := newLateWorker(t, seed, 0.3)
			w.tail = fixedTail(50)
			w.run(10 * time.Second)
			w.tail = fixedTail(150)
			w.run(3 * latestOrder)
			if w.pace != 0 {
				t.Errorf("seed %d: pace is %d, want 0", seed, w.pace)
			}
		})
	}
}

// TestMissedTargetRecoversFromLateOrder guards against a serving task that stays over its
// target because of a late order.
func TestMissedTargetRecoversFromLateOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			load := time.Duration(30)
			w := newLateWorker(t, seed, 0)
			w.tail = func(w *lateWorker) time.Duration { return load + 60*time.Duration(w.pace)/100 }
			w.run(time.Second)
			w.unansweredShare = 0.7
			w.run(2 * time.Second)
			w.unansweredShare, load = 0, 90
			missed := time.Duration(0)
			for range 40 {
				w.run(pollInterval)
				if w.tail(w) <= 100 {
					missed = 0
					continue
				}
				if missed += pollInterval; missed > correctionTime {
					t.Fatalf("seed %d: the target is missed for %v on end at pace %d", seed, missed, w.pace)
				}
			}
		})
	}
}

// TestWorkingTaskAtPaceZeroIsOrderedAgain guards against an order that comes later than any
// late order is expected.
func TestWorkingTaskAtPaceZeroIsOrderedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newLateWorker(t, 1, 0)
		w.tail = fixedTail(150)
		w.run(time.Minute)
		w.orders, w.pace = 0, FullPace
		w.run(correctionTime)
		if w.pace != 0 || w.orders != 1 {
			t.Errorf("pace is %d after %d orders, want 0 after one", w.pace, w.orders)
		}
	})
}
