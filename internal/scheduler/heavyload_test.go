package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// kind is a kind of work of the heaviest day, with sizes drawn from log-normal distributions.
type kind struct {
	name      string
	priority  int
	perSecond float64
	// steps is the mean length of the chain of steps, between 1 and 2.
	steps               float64
	tasks, maxTasks     float64
	cores, maxCores     float64
	memory, maxMemory   float64
	runTime, maxRunTime float64
	gangShare           float64
	grantRate           float64
	base, perWorker     time.Duration
	factor              float64
	slack               time.Duration
}

func heavyKinds(fleetGangs float64) []kind {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return []kind{
		{
			name: "fleet", priority: 1, perSecond: 2.85, steps: 1.2, tasks: 20, maxTasks: 120, cores: 9, maxCores: 15,
			memory: 17, maxMemory: 33, runTime: 6.2, maxRunTime: 16, gangShare: fleetGangs, grantRate: 0.25,
			base: ms(702), perWorker: ms(10.01), factor: 2.2, slack: time.Second,
		},
		{
			name: "lock", priority: 2, perSecond: 16, steps: 1.5, tasks: 25, maxTasks: 150, cores: 3.5, maxCores: 8,
			memory: 3.6, maxMemory: 10, runTime: 2.2, maxRunTime: 6, grantRate: 0.45,
			base: ms(104), perWorker: ms(1.43), factor: 4, slack: 3 * time.Second,
		},
		{
			name: "walkup", priority: 0, perSecond: 66, steps: 1, tasks: 3, maxTasks: 10, cores: 5, maxCores: 10,
			memory: 9, maxMemory: 20, runTime: 1, maxRunTime: 3, gangShare: 0.3, grantRate: 0.7,
			base: ms(14), perWorker: ms(0.2), factor: 1.5, slack: 300 * time.Millisecond,
		},
	}
}

// estimateError is the largest relative error of an estimate.
const estimateError = 0.9

// drawn returns a value of a log-normal distribution with the mean, between 1 % of it and
// the maximum.
func drawn(random *rand.Rand, mean, spread, maximum float64) float64 {
	return min(maximum, max(mean/100, mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

func (k kind) class() loadClass {
	queue := guardedQueue(k.name, k.priority, k.base, k.perWorker)
	queue.DeadlineFactor, queue.DeadlineSlack = k.factor, k.slack
	return loadClass{queue: queue, grantRate: k.grantRate, draw: k.draw}
}

func (k kind) draw(random *rand.Rand) ([]modeler.StepSpec, []time.Duration) {
	const countSpread, coreSpread, memorySpread, timeSpread = 0.8, 0.4, 0.5, 0.5
	count := 1
	if random.Float64() < k.steps-1 {
		count = 2
	}
	isGang := random.Float64() < k.gangShare
	var steps []modeler.StepSpec
	var runTimes []time.Duration
	for i := range count {
		runTime := drawn(random, k.runTime, timeSpread, k.maxRunTime)
		step := modeler.StepSpec{
			Count: max(1, int(math.Round(drawn(random, k.tasks, countSpread, k.maxTasks)))),
			Need: modeler.Resources{
				Processors: int64(1000 * drawn(random, k.cores, coreSpread, k.maxCores)),
				Memory:     int64(1024 * drawn(random, k.memory, memorySpread, k.maxMemory)),
			},
			Estimate: time.Duration(runTime * (1 + estimateError*(2*random.Float64()-1)) * float64(time.Second)),
			Gang:     isGang,
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		steps, runTimes = append(steps, step), append(runTimes, time.Duration(runTime*float64(time.Second)))
	}
	return steps, runTimes
}

// submission is one workflow of a heavy replay.
type submission struct {
	id, queue string
	at        time.Time
	objective time.Duration
	// coreSeconds are those of all its tasks at speed 1.
	coreSeconds float64
}

// heavyReplay replays a day on a cell of 350 workers, and scores it as the users do.
type heavyReplay struct {
	*replay
	kinds       []kind
	submissions []submission
	// load is the rate of submissions, relative to the kinds' own, at a time from the start.
	load func(time.Duration) float64
	// beforeRound is called before each round, if it is set.
	beforeRound func()
	// idle and idleRounds measure the processors that are idle while as many are waited for,
	// and kept those of them that are kept for gangs or wide steps.
	idle, kept float64
	idleRounds int
}

// heavyRound is the time between two rounds. It is longer than in small replays, since a
// leader with a share of a slow processor has no time for more.
const heavyRound = 40 * time.Millisecond

func newHeavyReplay(t *testing.T, kinds []kind, workers int, seed uint64) *heavyReplay {
	t.Helper()
	var classes []loadClass
	for _, k := range kinds {
		classes = append(classes, k.class())
	}
	h := &heavyReplay{
		replay: newReplay(t, workers, classes), kinds: kinds,
		load: func(at time.Duration) float64 { return 1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11) },
	}
	h.entries = 36
	h.random = rand.New(rand.NewPCG(seed, 1))
	for i, s := range reducer.Values(h.state.Sessions) {
		h.speeds[s.Key()] = []float64{0.8, 1, 1.25}[i%3]
	}
	return h
}

// replayDay submits work for a length of time, and then runs what is left for a quarter of it.
func (h *heavyReplay) replayDay(length time.Duration) {
	h.scheduler.reset()
	due := make([]float64, len(h.kinds))
	for began := time.Now(); time.Since(began) < length*5/4; time.Sleep(heavyRound) {
		isOpen := time.Since(began) < length
		for i, k := range h.kinds {
			if !isOpen {
				break
			}
			due[i] += h.random.ExpFloat64() * k.perSecond * heavyRound.Seconds() * h.load(time.Since(began))
			for ; due[i] >= 1; due[i]-- {
				h.submitKind(i)
			}
		}
		h.endAttempts()
		if h.beforeRound != nil {
			h.beforeRound()
		}
		h.scheduler.reset()
		h.scheduler.round(h.t.Context())
		synctest.Wait()
		h.servePolicy()
		if isOpen {
			h.countIdle()
		}
	}
}

func (h *heavyReplay) submitKind(i int) {
	c := h.classes[i]
	id := h.submitOne(c)
	w, _ := h.state.Workflows.Get(id)
	s := submission{id: id, queue: c.queue.Name, at: time.Now()}
	var path time.Duration
	for j, step := range w.Spec.Steps {
		path += h.runTimes[id][j]
		s.coreSeconds += float64(int64(step.Count)*step.Need.Processors) / 1000 * h.runTimes[id][j].Seconds()
	}
	s.objective = time.Duration(c.queue.DeadlineFactor*float64(path)) + c.queue.DeadlineSlack
	h.submissions = append(h.submissions, s)
}

func (h *heavyReplay) countIdle() {
	var free, kept, wanted int64
	for _, s := range reducer.Values(h.state.Sessions) {
		free += s.Free().Processors
		kept += min(s.Free().Processors, h.scheduler.kept[s.Key()].Processors)
	}
	for _, entry := range h.scheduler.backlog.waiting {
		for _, r := range entry.steps {
			wanted += int64(len(r.waiting)) * r.step.Need.Processors
		}
	}
	total := int64(h.workers) * workerMillicore
	h.idleRounds++
	h.idle += float64(min(free, wanted)) / float64(total)
	h.kept += float64(kept) / float64(total)
}

// score is the result of one kind of work.
type score struct {
	workflows int
	// inTime and late are the shares finished within the objective, and within three times it.
	inTime, late float64
	// earned is the share of the worth, and largest that of the largest tenth.
	earned, largest float64
	p50, p90        time.Duration
}

func (h *heavyReplay) score(queue string) score {
	var all []submission
	mean := 0.0
	for _, s := range h.submissions {
		if s.queue == queue {
			all = append(all, s)
			mean += s.coreSeconds
		}
	}
	mean /= float64(len(all))
	slices.SortFunc(all, func(a, b submission) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
	result := score{workflows: len(all), p50: h.quantile(queue, 0.5), p90: h.quantile(queue, 0.9)}
	var total, earned, totalLargest, earnedLargest float64
	for i, s := range all {
		worth, gain := 0.3+0.7*min(4, s.coreSeconds/mean), 0.0
		w, _ := h.state.Workflows.Get(s.id)
		if took := w.Ended.Sub(s.at); w.IsEnded() && took <= lateFactor*s.objective {
			gain = 0.2
			result.late++
			if took <= s.objective {
				gain = 1
				result.inTime++
			}
		}
		total, earned = total+worth, earned+worth*gain
		if i < len(all)/10 {
			totalLargest, earnedLargest = totalLargest+worth, earnedLargest+worth*gain
		}
	}
	result.inTime, result.late = result.inTime/float64(len(all)), result.late/float64(len(all))
	result.earned, result.largest = earned/total, earnedLargest/totalLargest
	return result
}

// offered is the work submitted, relative to what the workers can do in the time.
func (h *heavyReplay) offered(length time.Duration) float64 {
	sum := 0.0
	for _, s := range h.submissions {
		sum += s.coreSeconds
	}
	return sum / length.Seconds() / float64(h.workers*workerMillicore/1000)
}

// TestHeaviestDay replays the heaviest day seen: three kinds of work that all need permits,
// of which the most valuable, fleet, has wide steps that few workers may run. It guards
// against wide steps that starve while less urgent ones take each gap and most of the policy
// service's time: the largest tenth of a kind earns at least half as much of its worth as the
// kind, and over capacity it is the least urgent work that gives way.
func TestHeaviestDay(t *testing.T) {
	t.Parallel()
	const length = 60 * time.Second
	for name, tt := range map[string]struct {
		// gangs is the share of the fleet workflows whose steps are gangs.
		gangs float64
		// load is the rate of submissions, relative to the observed one.
		load  float64
		burst bool
	}{
		"steps":               {gangs: 0, load: 1},
		"gangs":               {gangs: 1, load: 1},
		"steps with burst":    {gangs: 0, load: 1, burst: true},
		"gangs with burst":    {gangs: 1, load: 1, burst: true},
		"steps over capacity": {gangs: 0, load: 1.25},
		"gangs over capacity": {gangs: 1, load: 1.25},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if tt.load == 1 && os.Getenv("REPLAY_ALL") == "" {
				t.Skip("replays within capacity take a minute under the race detector; REPLAY_ALL=1 runs them")
			}
			synctest.Test(t, func(t *testing.T) {
				h := newHeavyReplay(t, heavyKinds(tt.gangs), 350, 1)
				wave := h.load
				h.load = func(at time.Duration) float64 {
					if tt.burst && at > 20*time.Second && at < 23*time.Second {
						return 1.7
					}
					return tt.load * wave(at)
				}
				h.replayDay(length)
				scores := h.scores(length)
				for name, s := range scores {
					if s.largest < s.earned/2 {
						t.Errorf("the largest tenth of %s earns %.3f, less than half of the kind's %.3f", name, s.largest, s.earned)
					}
				}
				if lock := scores["lock"].earned; tt.load > 1 && min(scores["walkup"].earned, scores["fleet"].earned) < lock {
					t.Errorf("less urgent work earns %.3f of its worth, more than what is more urgent: %+v", lock, scores)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// scores logs and returns the score of each kind.
func (h *heavyReplay) scores(length time.Duration) map[string]score {
	all := map[string]score{}
	for _, k := range h.kinds {
		s := h.score(k.name)
		all[k.name] = s
		h.t.Logf("measure %-6s n=%4d inTime=%.3f late=%.3f earned=%.3f largest=%.3f start p50=%v p90=%v",
			k.name, s.workflows, s.inTime, s.late, s.earned, s.largest, s.p50, s.p90)
	}
	h.t.Logf("measure offered=%.2f idle while waiting=%.3f kept=%.3f", h.offered(length),
		h.idle/float64(h.idleRounds), h.kept/float64(h.idleRounds))
	return all
}
