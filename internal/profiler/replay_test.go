package profiler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	replayTick = 100 * time.Millisecond
	// replayPoll is the time between two polls of a worker.
	replayPoll = 500 * time.Millisecond
	// replaySlots is the number of tasks that a worker runs at once.
	replaySlots   = 6
	replayWorkers = 20
)

// planted is the slowdown of tasks of an image beside another one.
type planted map[[2]string]float64

// simTask is a running task of a replay.
type simTask struct {
	Task
	// length is its run time alone on a worker of speed 1.
	length time.Duration
	done   float64
	// late is done as of the tick before, which polls that are answered late report.
	late float64
}

type simWorker struct {
	key   string
	speed float64
	// current is its speed at present, relative to speed.
	current float64
	tasks   []*simTask
}

// replay runs steps of random images at random places, and passes what the workers
// report to a profiler.
type replay struct {
	profiler *Profiler
	random   *rand.Rand
	images   []string
	planted  planted
	workers  []*simWorker
	// steps is the number of steps that have started, by image.
	steps map[string]int
	step  int
	// unsteady is the scatter of the logarithm of a worker's speed, which changes about
	// each five seconds.
	unsteady float64
	// companion is an image of which a task is started beside most tasks of the others
	// that it names.
	companion map[string]string
}

func newReplay(seed uint64, images int, pairs planted) *replay {
	began := time.Now()
	r := &replay{
		profiler: New(func() time.Duration { return time.Since(began) }),
		random:   rand.New(rand.NewPCG(seed, 1)), planted: pairs, steps: map[string]int{},
	}
	for i := range images {
		r.images = append(r.images, fmt.Sprintf("i%d", i))
	}
	speeds := []float64{0.8, 1, 1.25}
	for i := range replayWorkers {
		r.workers = append(r.workers, &simWorker{key: fmt.Sprintf("w%d@1", i), speed: speeds[r.random.IntN(len(speeds))], current: 1})
	}
	return r
}

// startStep starts a step of a random image. Its run time is off from that of other steps
// of the image by up to 90 %.
func (r *replay) startStep() {
	image := r.images[r.random.IntN(len(r.images))]
	r.place(image, 1+r.random.IntN(8), r.anyWorker)
}

func (r *replay) anyWorker() *simWorker { return r.workers[r.random.IntN(len(r.workers))] }

// place starts the tasks of a step on workers that have room.
func (r *replay) place(image string, count int, choose func() *simWorker) {
	r.step++
	workflow := fmt.Sprint("f", r.step)
	length := time.Duration(float64(4*time.Second) * (0.1 + 1.8*r.random.Float64()))
	started := 0
	for index := range count {
		w := choose()
		if len(w.tasks) >= replaySlots {
			continue
		}
		started++
		w.tasks = append(w.tasks, &simTask{length: length, Task: Task{
			Attempt: modeler.Attempt{
				Task: modeler.TaskName{Workflow: workflow, Index: index}, Session: w.key, Number: 1,
			},
			Step:     modeler.StepSpec{Count: count, Estimate: 4 * time.Second, Image: image},
			Workload: Workload{Image: image},
		}})
		if companion := r.companion[image]; companion != "" && r.random.Float64() < 0.7 {
			r.place(companion, 1, func() *simWorker { return w })
		}
	}
	if started > 0 {
		r.steps[image]++
	}
}

// advance moves the tasks of a worker on. Its speed scatters by 5 % from tick to tick.
func (r *replay) advance(w *simWorker) {
	var running []*simTask
	if changeInterval := 5 * time.Second; r.random.Float64() < replayTick.Seconds()/changeInterval.Seconds() {
		w.current = math.Exp(r.unsteady * r.random.NormFloat64())
	}
	for i, t := range w.tasks {
		speed := w.speed * w.current * math.Exp(0.05*r.random.NormFloat64())
		seen := map[string]bool{}
		for j, other := range w.tasks {
			image := other.Workload.Image
			if slowdown, ok := r.planted[[2]string{t.Workload.Image, image}]; ok && i != j && !seen[image] {
				seen[image] = true
				speed /= slowdown
			}
		}
		t.late = t.done
		t.done += speed * replayTick.Seconds() / t.length.Seconds()
	}
	for _, t := range w.tasks {
		if t.done < 1 {
			running = append(running, t)
		}
	}
	w.tasks = running
}

// report returns the answer to a poll. On unsteady workers half of the answers are late.
func (r *replay) report(w *simWorker) []Task {
	var tasks []Task
	late := r.unsteady > 0 && r.random.IntN(2) == 0
	for _, t := range w.tasks {
		t.Percent = int(100 * t.done)
		if late {
			t.Percent = int(100 * t.late)
		}
		tasks = append(tasks, t.Task)
	}
	return tasks
}

// run replays for the length, or until the condition holds, which is checked each
// second. It reports whether it does.
func (r *replay) run(length time.Duration, until func() bool) bool {
	ticksPerPoll := int(replayPoll / replayTick)
	ticksPerSecond := int(time.Second / replayTick)
	for tick := range int(length / replayTick) {
		for r.load() < 0.7 {
			r.startStep()
		}
		for i, w := range r.workers {
			r.advance(w)
			if (tick+i)%ticksPerPoll == 0 {
				r.profiler.Observe(w.key, r.report(w))
			}
		}
		time.Sleep(replayTick)
		if tick%ticksPerSecond == 0 && until() {
			return true
		}
	}
	return until()
}

func (r *replay) load() float64 {
	tasks := 0
	for _, w := range r.workers {
		tasks += len(w.tasks)
	}
	return float64(tasks) / float64(replaySlots*len(r.workers))
}

func (r *replay) found(slowed, by string) bool {
	return r.profiler.Findings().Of(Workload{Image: slowed})[Workload{Image: by}].Suffered > 0
}

// falseFinds returns the found pairs that are not planted.
func (r *replay) falseFinds() []Pair {
	var pairs []Pair
	for _, pair := range r.profiler.Pairs() {
		if _, ok := r.planted[[2]string{pair.Slowed.Image, pair.By.Image}]; pair.Found && !ok {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

func never() bool { return false }

// TestPlantedPairsAreFound guards against pairs that are found late or not at all: a
// slowdown of 1.5 has to be found within 60 steps of the slowed image, one of 1.25 within
// 400.
func TestPlantedPairsAreFound(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		slowdown float64
		maxSteps int
	}{
		"great slowdown": {slowdown: 1.5, maxSteps: 60},
		"small slowdown": {slowdown: 1.25, maxSteps: 400},
	}
	for name, tt := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := newReplay(seed, 8, planted{{"i1", "i2"}: tt.slowdown, {"i3", "i3"}: tt.slowdown})
					for _, pair := range [][2]string{{"i1", "i2"}, {"i3", "i3"}} {
						if !r.run(10*time.Minute, func() bool { return r.found(pair[0], pair[1]) }) {
							t.Fatalf("%v is not found in 10 minutes and %d steps", pair, r.steps[pair[0]])
						}
						steps := r.steps[pair[0]]
						t.Logf("measure %v found after %d steps", pair, steps)
						if steps > tt.maxSteps {
							t.Errorf("%v is found after %d steps, want at most %d", pair, steps, tt.maxSteps)
						}
					}
				})
			})
		}
	}
}

// TestNoPairIsFoundWithoutInterference guards against false finds: in at most one of 20
// replays of 10 minutes, half of them on workers of unsteady speed and with late polls, any of 64 pairs may
// ever be found.
func TestNoPairIsFoundWithoutInterference(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const seeds, maxFalse = 20, 1
		count := 0
		for seed := range uint64(seeds) {
			r := newReplay(seed, 8, nil)
			r.unsteady = 0.3 * float64(seed%2)
			if r.run(10*time.Minute, func() bool { return len(r.falseFinds()) > 0 }) {
				count++
				t.Logf("measure seed %d finds %+v", seed, r.falseFinds())
			}
		}
		if count > maxFalse {
			t.Errorf("pairs are found in %d of %d replays without interference, want at most %d", count, seeds, maxFalse)
		}
	})
}

// TestOtherImagesAreNotBlamed guards against finds of an image that is often started
// together with the one that slows others down.
func TestOtherImagesAreNotBlamed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(1, 6, planted{{"i1", "i2"}: 1.6, {"i4", "i2"}: 1.6})
		r.images = slices.DeleteFunc(r.images, func(image string) bool { return image == "i3" })
		r.companion = map[string]string{"i2": "i3"}
		r.run(10*time.Minute, never)
		if pairs := r.falseFinds(); len(pairs) > 0 {
			t.Errorf("found pairs that do not interfere: %+v", pairs)
		}
	})
}

// TestChangeOfBehaviourIsNoticed guards against pairs that stay found for good: one that
// no longer interferes has to be forgotten, and a new one found, within 5 minutes.
func TestChangeOfBehaviourIsNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(1, 8, planted{{"i1", "i2"}: 1.5})
		if !r.run(5*time.Minute, func() bool { return r.found("i1", "i2") }) {
			t.Fatal("the pair is not found")
		}
		r.planted = planted{{"i4", "i5"}: 1.5}
		began := time.Now()
		if !r.run(5*time.Minute, func() bool { return !r.found("i1", "i2") }) {
			t.Error("a pair that no longer interferes is still found after 5 minutes")
		}
		t.Logf("measure forgotten after %v", time.Since(began))
		if !r.run(5*time.Minute, func() bool { return r.found("i4", "i5") }) {
			t.Error("a pair that began to interfere is not found")
		}
	})
}

// TestUnseenPairIsForgotten guards against avoiding a pair for good: without evidence it
// has to be forgotten, so that it is tried again.
func TestUnseenPairIsForgotten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(1, 8, planted{{"i1", "i2"}: 1.5})
		if !r.run(5*time.Minute, func() bool { return r.found("i1", "i2") }) {
			t.Fatal("the pair is not found")
		}
		r.images = r.images[:2]
		if !r.run(20*time.Minute, func() bool { return !r.found("i1", "i2") }) {
			t.Error("a pair is still found after 20 minutes without evidence")
		}
	})
}

// TestSlowWorkersAreNotTakenForBadPairs guards against blaming an image for the workers
// on which it runs: i1 always runs on slow workers, some of which change their speed.
func TestSlowWorkersAreNotTakenForBadPairs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(1, 6, nil)
		for i, w := range r.workers {
			if i%3 != 0 {
				continue
			}
			w.speed = 0.3
			w.tasks = append(w.tasks, &simTask{length: 10 * time.Hour, Task: Task{
				Attempt: modeler.Attempt{
					Task: modeler.TaskName{Workflow: "resident", Index: i}, Session: w.key, Number: 1,
				},
				Step:     modeler.StepSpec{Count: 1, LongRunning: true, Image: "resident"},
				Workload: Workload{Image: "resident"},
			}})
		}
		for range 10 {
			r.run(time.Minute, never)
			w := r.workers[r.random.IntN(len(r.workers))]
			w.speed = 0.3 + r.random.Float64()
			if pairs := r.falseFinds(); len(pairs) > 0 {
				t.Fatalf("found pairs that do not interfere: %+v", pairs)
			}
		}
	})
}
