package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/pacer"
	"github.com/samphirewick/samphirewick/internal/profiler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

func image(name string) func(*modeler.StepSpec) {
	return func(s *modeler.StepSpec) { s.Image = name }
}

// avoid makes the fixture's scheduler avoid tasks of image slowed beside those of by.
func (f *fixture) avoid(slowed, by string) {
	findings := profiler.NewFindings(profiler.Pair{
		Slowed: profiler.Workload{Image: slowed}, By: profiler.Workload{Image: by}, Slowdown: 1.5, Found: true,
	})
	f.scheduler.options.Findings = func() *profiler.Findings { return findings }
}

// TestInterferenceInPlacement guards against tasks that start beside those that slow them
// down while there is room elsewhere, and against interference that outranks what comes
// before it: whether a task fits, failures and racks.
func TestInterferenceInPlacement(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// resident runs on the first worker, which packs best.
		resident string
		workers  int
		step     modeler.StepSpec
		want     []string
	}{
		"victim beside the one that slows it": {
			resident: "noisy", workers: 2, step: with(stepOf(1, 2), image("quiet")), want: []string{"w1@1"},
		},
		"the one that slows beside its victim": {
			resident: "quiet", workers: 2, step: with(stepOf(1, 2), image("noisy")), want: []string{"w1@1"},
		},
		"other images are packed": {
			resident: "noisy", workers: 2, step: with(stepOf(1, 2), image("other")), want: []string{"w0@1"},
		},
		"no worker idles while the task fits nowhere else": {
			resident: "noisy", workers: 1, step: with(stepOf(2, 2), image("quiet")), want: []string{"w0@1", "w0@1"},
		},
		"data on the rack comes first": {
			resident: "noisy", workers: 2, step: with(stepOf(1, 2), func(s *modeler.StepSpec) {
				s.Image, s.Rack = "quiet", "r0"
			}), want: []string{"w0@1"},
		},
		"a label is required": {
			resident: "noisy", workers: 2, step: with(stepOf(1, 2), func(s *modeler.StepSpec) {
				s.Image, s.Label = "quiet", "k0"
			}), want: []string{"w0@1"},
		},
		"tasks of the same plan count": {
			resident: "quiet", workers: 3, step: with(stepOf(2, 2), image("noisy")), want: []string{"w1@1", "w1@1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.announce(tt.workers)
			f.avoid("quiet", "noisy")
			f.submit("plain", "resident", with(stepOf(1, 2), image(tt.resident)))
			if got := f.round("resident"); !slices.Equal(got, []string{"w0@1"}) {
				t.Fatalf("resident started on %v", got)
			}
			f.submit("plain", "new", tt.step)
			if got := f.round("new"); !slices.Equal(got, tt.want) {
				t.Errorf("tasks started on %v, want %v", got, tt.want)
			}
		})
	}
}

// TestImageThatSlowsItselfIsSpread guards against counting only what ran before the plan.
func TestImageThatSlowsItselfIsSpread(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announce(3)
	f.avoid("self", "self")
	f.submit("plain", "a", with(stepOf(4, 2), image("self")))
	got := slices.Compact(f.round("a"))
	if len(got) != 3 {
		t.Errorf("four tasks started on %v, want three workers", got)
	}
}

// TestAvoidedStartsAreLoggedAtABoundedRate guards against a line for each start.
func TestAvoidedStartsAreLoggedAtABoundedRate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.announce(2)
		core, lines := observer.New(zapcore.InfoLevel)
		f.scheduler.options.Log = zap.New(core)
		f.avoid("quiet", "noisy")
		f.submit("plain", "resident", with(stepOf(1, 2), image("noisy")))
		f.round("resident")
		starts := func() []observer.LoggedEntry { return lines.FilterMessage("interference avoided").All() }
		for i := range 3 {
			f.submit("plain", fmt.Sprint("q", i), with(stepOf(1, 2), image("quiet")))
			f.round("resident")
		}
		if got := starts(); len(got) != 1 || got[0].ContextMap()["avoided"] != "w0@1" {
			t.Fatalf("lines are %v, want one that names w0@1", got)
		}
	})
}

// interferenceReplay runs tasks that slow each other down, under naive placement or one
// that learns from their progress.
type interferenceReplay struct {
	*fixture
	profiler *profiler.Profiler
	random   *rand.Rand
	// slowdown is that of tasks of the first image beside the second.
	slowdown map[[2]string]float64
	running  map[modeler.Attempt]*replayedTask
	// runTimes and taskTimes are those from the start of a task, and from the submission
	// of its workflow, to its end, by image.
	runTimes, taskTimes map[string][]time.Duration
	submitted           map[string]time.Time
	sequence            int
}

type replayedTask struct {
	image   string
	began   time.Time
	length  time.Duration
	percent float64
}

func newInterferenceReplay(t *testing.T, seed uint64, avoid bool, slowdown map[[2]string]float64) *interferenceReplay {
	t.Helper()
	r := &interferenceReplay{
		fixture: newFixture(t), random: rand.New(rand.NewPCG(seed, 1)), slowdown: slowdown,
		running:  map[modeler.Attempt]*replayedTask{},
		runTimes: map[string][]time.Duration{}, taskTimes: map[string][]time.Duration{},
		submitted: map[string]time.Time{},
	}
	began := time.Now()
	r.profiler = profiler.New(func() time.Duration { return time.Since(began) })
	if avoid {
		r.scheduler.options.Findings = r.profiler.Findings
	}
	r.scheduler.options.Workers.Start = func(_ context.Context, o supervisor.StartOrder) {
		id := o.Attempt.Task.Workflow
		w, _ := r.state.Workflows.Get(id)
		r.running[o.Attempt] = &replayedTask{
			image: w.Spec.Steps[0].Image, began: time.Now(), length: replayedLength(id),
		}
	}
	r.announce(replayedWorkers)
	return r
}

const (
	replayedWorkers = 24
	replayedTick    = 100 * time.Millisecond
)

// replayedLength returns the run time of the tasks of a workflow alone. It depends on the
// id only, so that it is the same under each placement.
func replayedLength(id string) time.Duration {
	random := rand.New(rand.NewPCG(uint64(len(id)), uint64(id[len(id)-1])+uint64(id[len(id)-2])<<8))
	return time.Duration(float64(4*time.Second) * (0.2 + 1.6*random.Float64()))
}

// run replays arrivals of a share of the capacity for the length.
func (r *interferenceReplay) run(length time.Duration, share float64) {
	images := []string{"quiet", "noisy", "other", "more"}
	// A step has three tasks of two processors that run for four seconds.
	perSecond := share * replayedWorkers * 8 / (3 * 2 * 4)
	for tick := range int(length / replayedTick) {
		for arrivals := r.random.ExpFloat64(); arrivals < perSecond*replayedTick.Seconds(); arrivals += r.random.ExpFloat64() {
			r.sequence++
			id := fmt.Sprintf("f%06d", r.sequence)
			r.submitted[id] = time.Now()
			r.submit("plain", id, with(stepOf(3, 2), image(images[r.random.IntN(len(images))])))
		}
		r.scheduler.reset()
		for r.scheduler.round(r.t.Context()) {
			r.scheduler.reset()
		}
		r.advance(tick)
		time.Sleep(replayedTick)
	}
}

func (r *interferenceReplay) advance(tick int) {
	bySession := map[string][]modeler.Attempt{}
	for a := range r.running {
		bySession[a.Session] = append(bySession[a.Session], a)
	}
	for i := range replayedWorkers {
		session := fmt.Sprintf("w%d@1", i)
		attempts := bySession[session]
		slices.SortFunc(attempts, func(a, b modeler.Attempt) int { return a.Task.Compare(b.Task) })
		r.advanceSession(attempts)
		const ticksPerPoll = 5
		if (tick+i)%ticksPerPoll == 0 {
			r.profiler.Observe(session, r.report(attempts))
		}
	}
}

func (r *interferenceReplay) advanceSession(attempts []modeler.Attempt) {
	speeds := make([]float64, len(attempts))
	for i, a := range attempts {
		// Session keys end in @1 and begin with w and a number.
		speeds[i] = 0.8 + 0.2*float64(len(a.Session)%2)
		beside := map[string]bool{}
		for j, other := range attempts {
			if name := r.running[other].image; i != j && !beside[name] {
				beside[name] = true
				speeds[i] /= cmp.Or(r.slowdown[[2]string{r.running[a].image, name}], 1)
			}
		}
	}
	for i, a := range attempts {
		task := r.running[a]
		task.percent += 100 * speeds[i] * replayedTick.Seconds() / task.length.Seconds()
		if task.percent >= 100 {
			r.runTimes[task.image] = append(r.runTimes[task.image], time.Since(task.began))
			r.taskTimes[task.image] = append(r.taskTimes[task.image], time.Since(r.submitted[a.Task.Workflow]))
			r.end(a, reducer.AttemptFinished)
			delete(r.running, a)
		}
	}
}

func (r *interferenceReplay) report(attempts []modeler.Attempt) []profiler.Task {
	var tasks []profiler.Task
	for _, a := range attempts {
		task, ok := r.running[a]
		if !ok {
			continue
		}
		step := modeler.StepSpec{Image: task.image}
		tasks = append(tasks, profiler.Task{
			Attempt: a, Step: step, Workload: profiler.WorkloadOf(step, "plain"), Percent: int(task.percent),
		})
	}
	return tasks
}

func mean(times map[string][]time.Duration, images ...string) time.Duration {
	sum, count := 0.0, 0
	for _, name := range images {
		for _, d := range times[name] {
			sum += float64(d)
			count++
		}
	}
	return time.Duration(sum / math.Max(1, float64(count)))
}

var allImages = []string{"quiet", "noisy", "other", "more"}

// replayTimes replays the length, and returns the mean run and task times of the images, and
// the number of tasks that ended.
func replayTimes(
	t *testing.T, length time.Duration, seed uint64, avoid bool, share float64, slowdown map[[2]string]float64, images ...string,
) (runTime, taskTime time.Duration, ended int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newInterferenceReplay(t, seed, avoid, slowdown)
		r.run(length, share)
		runTime, taskTime = mean(r.runTimes, images...), mean(r.taskTimes, images...)
		for _, times := range r.runTimes {
			ended += len(times)
		}
	})
	return runTime, taskTime, ended
}

// TestPlacementShortensTasksThatSlowEachOtherDown guards against a placement that knows of
// interference and gains nothing: at half load, half of the time that naive placement
// loses to it has to be gained.
func TestPlacementShortensTasksThatSlowEachOtherDown(t *testing.T) {
	t.Parallel()
	pairs := map[[2]string]float64{{"quiet", "noisy"}: 1.6}
	const seeds, share, length = 2, 0.5, 5 * time.Minute
	var alone, naive, avoiding time.Duration
	for seed := range uint64(seeds) {
		runTime, _, _ := replayTimes(t, length, seed, false, share, nil, "quiet")
		alone += runTime / seeds
		runTime, _, _ = replayTimes(t, length, seed, false, share, pairs, "quiet")
		naive += runTime / seeds
		runTime, _, _ = replayTimes(t, length, seed, true, share, pairs, "quiet")
		avoiding += runTime / seeds
	}
	t.Logf("measure alone=%v naive=%v avoiding=%v", alone, naive, avoiding)
	if avoiding-alone > (naive-alone)/2 {
		t.Errorf("tasks take %v, and %v under naive placement, want at most half of the loss against %v", avoiding, naive, alone)
	}
}

// TestAvoidanceCostsNothing guards against callers that wait for longer because of the
// term. Without interference every task has to take as long as under naive placement.
// Above the capacity, where no room is left to choose, at least as many tasks have to end,
// but for one in a hundred.
func TestAvoidanceCostsNothing(t *testing.T) {
	t.Parallel()
	victims, selfish := map[[2]string]float64{{"quiet", "noisy"}: 1.6}, map[[2]string]float64{{"quiet", "quiet"}: 1.6}
	tests := map[string]struct {
		share    float64
		slowdown map[[2]string]float64
		// length is short above the capacity, as the backlog grows.
		length time.Duration
	}{
		"no interference":                      {share: 0.6, length: 5 * time.Minute},
		"no interference above the capacity":   {share: 1.2, length: 30 * time.Second},
		"interference above the capacity":      {share: 1.2, length: 90 * time.Second, slowdown: victims},
		"interference just under the capacity": {share: 0.85, length: 3 * time.Minute, slowdown: victims},
		"an image that slows itself":           {share: 0.6, length: 5 * time.Minute, slowdown: selfish},
	}
	for name, tt := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				_, naive, naiveEnded := replayTimes(t, tt.length, seed, false, tt.share, tt.slowdown, allImages...)
				_, avoiding, ended := replayTimes(t, tt.length, seed, true, tt.share, tt.slowdown, allImages...)
				t.Logf("measure naive=%v (%d) avoiding=%v (%d)", naive, naiveEnded, avoiding, ended)
				if tt.slowdown == nil && (avoiding != naive || ended != naiveEnded) {
					t.Errorf("tasks take %v, and %v under naive placement, want the same without interference", avoiding, naive)
				}
				if ended < naiveEnded*99/100 || avoiding > naive*101/100 {
					t.Errorf("%d tasks ended after %v, and %d after %v under naive placement", ended, avoiding, naiveEnded, naive)
				}
			})
		}
	}
}

// pacedReplay runs fill tasks beside serving tasks, whose tails grow with the pace of the
// fill tasks on their worker. The workers without a serving task have less processors idle,
// so that naive placement prefers those with one.
type pacedReplay struct {
	*interferenceReplay
	pacer *pacer.Pacer
	pace  map[modeler.Attempt]int
	// polls and missed count the reports of serving tasks, and those above the target.
	polls, missed int
}

func newPacedReplay(t *testing.T, avoid bool) *pacedReplay {
	t.Helper()
	r := &pacedReplay{interferenceReplay: newInterferenceReplay(t, 1, avoid, nil), pace: map[modeler.Attempt]int{}}
	began := time.Now()
	r.pacer = pacer.New(func() time.Duration { return time.Since(began) })
	for name, change := range map[string]func(*modeler.StepSpec){
		"serve": func(s *modeler.StepSpec) { s.Rack, s.TailLatencyTarget = "r0", time.Second },
		"batch": func(s *modeler.StepSpec) { s.Rack, s.Need.Processors = "r1", 4 },
	} {
		r.submit("plain", name, with(stepOf(replayedWorkers/2, 2), func(s *modeler.StepSpec) {
			s.Image, s.LongRunning, s.MaxPerWorker = name, true, 1
			change(s)
		}))
	}
	return r
}

// run submits fill tasks again and again, fewer than there are workers without a serving
// task.
func (r *pacedReplay) run(length time.Duration) {
	for tick := range int(length / replayedTick) {
		if tick%200 == 0 {
			r.sequence++
			r.submit("plain", fmt.Sprintf("f%06d", r.sequence), with(stepOf(8, 2), func(s *modeler.StepSpec) {
				s.Image, s.UsesIdleProcessors = "fill", true
			}))
		}
		r.scheduler.reset()
		r.scheduler.round(r.t.Context())
		for i, session := range reducer.Values(r.state.Sessions) {
			const ticksPerPoll = 5
			if (tick+i)%ticksPerPoll == 0 {
				r.poll(session)
			}
		}
		time.Sleep(replayedTick)
	}
}

// poll advances the tasks of a session by half a second, and passes them to the pacer and
// the profiler.
func (r *pacedReplay) poll(session modeler.Session) {
	var evidence []profiler.Task
	var running []pacer.Task
	work := 0
	for _, a := range r.attempts(session) {
		if r.running[a].image != "fill" {
			continue
		}
		pace, ok := r.pace[a]
		if !ok {
			pace = pacer.FullPace
		}
		work += pace
		r.running[a].percent += float64(pace) / 10
		step := modeler.StepSpec{Image: "fill", UsesIdleProcessors: true}
		running = append(running, pacer.Task{Attempt: a, Step: step, Usage: 20 * pace})
		evidence = append(evidence, profiler.Task{
			Attempt: a, Step: step, Workload: profiler.WorkloadOf(step, ""), Usage: 20 * pace,
		})
	}
	for _, a := range r.attempts(session) {
		if r.running[a].image != "serve" {
			continue
		}
		tail := time.Duration(float64(time.Second) * (0.5 + float64(work)/150) * math.Exp(0.1*r.random.NormFloat64()))
		r.polls++
		if tail > time.Second {
			r.missed++
		}
		step := modeler.StepSpec{Image: "serve", LongRunning: true, TailLatencyTarget: time.Second}
		running = append(running, pacer.Task{Attempt: a, Step: step, Tail: tail})
		evidence = append(evidence, profiler.Task{
			Attempt: a, Step: step, Workload: profiler.WorkloadOf(step, ""), Tail: tail, Percent: 100,
		})
	}
	for _, o := range r.pacer.Observe(session.Key(), running) {
		r.pace[o.Attempt] = o.Percent
		r.pacer.Confirmed(o)
	}
	r.profiler.Observe(session.Key(), evidence)
	for _, a := range r.attempts(session) {
		if r.running[a].percent >= 100 {
			r.runTimes["fill"] = append(r.runTimes["fill"], time.Since(r.running[a].began))
			r.end(a, reducer.AttemptFinished)
			delete(r.running, a)
		}
	}
}

// attempts returns the attempts on a session, in the order of their names.
func (r *pacedReplay) attempts(session modeler.Session) []modeler.Attempt {
	var attempts []modeler.Attempt
	for a := range r.running {
		if a.Session == session.Key() {
			attempts = append(attempts, a)
		}
	}
	slices.SortFunc(attempts, func(a, b modeler.Attempt) int { return a.Task.Compare(b.Task) })
	return attempts
}

// TestPlacementAndPacerWorkTogether guards against the two working against each other: with
// placement, at most half as many targets of serving tasks are missed, and fill tasks end
// sooner and are not fewer.
func TestPlacementAndPacerWorkTogether(t *testing.T) {
	t.Parallel()
	replayed := func(avoid bool) (missed float64, ended int, runTime time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			r := newPacedReplay(t, avoid)
			r.run(10 * time.Minute)
			missed = float64(r.missed) / float64(r.polls)
			ended, runTime = len(r.runTimes["fill"]), mean(r.runTimes, "fill")
		})
		return missed, ended, runTime
	}
	naiveMissed, naiveEnded, naive := replayed(false)
	missed, ended, runTime := replayed(true)
	t.Logf("measure missed %.4f, %.4f before; %d fill tasks in %v, %d in %v before",
		missed, naiveMissed, ended, runTime, naiveEnded, naive)
	if missed > naiveMissed/2 || ended < naiveEnded || runTime >= naive {
		t.Error("placement beside the pacer gains nothing for serving or for fill tasks")
	}
}

// BenchmarkPlanWithBadPairs plans one round as BenchmarkPlanWithBacklog does, with
// findings on an image that no step has, on that of every step, and with tasks that start.
func BenchmarkPlanWithBadPairs(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		for _, name := range []string{"off", "other", "every"} {
			b.Run(fmt.Sprintf("workers=%d/images=%s", workers, name), func(b *testing.B) {
				f := newBusyFixture(b, workers, 1500)
				findings := profiler.NewFindings(profiler.Pair{
					Slowed: profiler.Workload{Queue: "plain"}, By: profiler.Workload{Queue: "plain"}, Slowdown: 1.5, Found: true,
				})
				if name == "other" {
					findings = profiler.NewFindings(profiler.Pair{Slowed: profiler.Workload{Image: "i"}, Slowdown: 1.5, Found: true})
				}
				if name != "off" {
					f.scheduler.options.Findings = func() *profiler.Findings { return findings }
				}
				for i := range 20 {
					f.submit("plain", fmt.Sprint("plain", i), stepOf(10, 1))
				}
				f.scheduler.reset()
				for b.Loop() {
					p := newPlan(f.scheduler, f.state)
					p.placeSteps(b.Context(), f.scheduler.backlog.ordered(f.state, time.Now()))
				}
			})
		}
	}
}
