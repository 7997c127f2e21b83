package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

func (f *fixture) addDepartments(departments ...modeler.Department) {
	f.state.QueueTable.Departments = departments
	for _, d := range departments {
		f.state.Departments = f.state.Departments.Set(d.Name, d)
	}
}

func (f *fixture) submitFor(department, queue, id string, steps ...modeler.StepSpec) {
	f.submit(queue, id, steps...)
	w, _ := f.state.Workflows.Get(id)
	w.Spec.Department = department
	f.state.Workflows = f.state.Workflows.Set(id, w)
}

func (f *fixture) setBeyondRate(id string) {
	w, _ := f.state.Workflows.Get(id)
	w.BeyondRate = true
	f.state.Workflows = f.state.Workflows.Set(id, w)
}

// TestOrderOfDepartments guards against a department that gets more than it is entitled to
// while others wait.
func TestOrderOfDepartments(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		prepare func(f *fixture)
		want    []string
	}{
		"by the order of today without departments": {
			prepare: func(f *fixture) {
				f.state.Departments = reducer.NewState().Departments
				f.setBeyondRate("a-urgent")
			},
			want: []string{"a-urgent", "a-plain", "b-plain"},
		},
		"by priority and deadline within the rate and the share": {
			prepare: func(*fixture) {}, want: []string{"a-urgent", "a-plain", "b-plain"},
		},
		"work beyond the rate comes last, urgent or not": {
			prepare: func(f *fixture) { f.setBeyondRate("a-urgent") }, want: []string{"a-plain", "b-plain", "a-urgent"},
		},
		"a department above its share yields within a priority": {
			prepare: func(f *fixture) {
				f.state.DepartmentUsage = f.state.DepartmentUsage.Set("a", modeler.Resources{Processors: 10})
			},
			want: []string{"a-urgent", "b-plain", "a-plain"},
		},
		"a heavier department is entitled to more": {
			prepare: func(f *fixture) {
				f.state.DepartmentUsage = f.state.DepartmentUsage.Set("b", modeler.Resources{Processors: 10}).
					Set("a", modeler.Resources{Processors: 6})
			},
			want: []string{"a-urgent", "a-plain", "b-plain"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.announce(2)
			f.addDepartments(modeler.Department{Name: "a", Weight: 1}, modeler.Department{Name: "b", Weight: 1})
			f.submitFor("a", "plain", "a-plain", stepOf(1, 1))
			f.submitFor("b", "plain", "b-plain", stepOf(1, 1))
			f.submitFor("a", "urgent", "a-urgent", stepOf(1, 1))
			tt.prepare(f)
			f.scheduler.reset()
			var got []string
			for _, r := range f.scheduler.backlog.ordered(f.state, time.Now()) {
				got = append(got, r.name.Workflow)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("steps are ordered %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPlanKeepsToCaps guards against a plan whose starts together exceed a department's cap, and
// against capacity and permits for work that its cap does not let start.
func TestPlanKeepsToCaps(t *testing.T) {
	t.Parallel()
	gang := func(s *modeler.StepSpec) { s.Gang = true }
	fills := func(s *modeler.StepSpec) { s.UsesIdleProcessors = true }
	for name, tt := range map[string]struct {
		used  int64
		queue string
		step  modeler.StepSpec
		// want is the number of starts of the department's two steps.
		want int
	}{
		"two steps of one plan":                    {queue: "plain", step: stepOf(5, 1), want: 6},
		"what runs counts":                         {queue: "plain", step: stepOf(5, 1), used: 4, want: 2},
		"nothing starts above a lowered cap":       {queue: "plain", step: stepOf(5, 1), used: 9},
		"one gang of two":                          {queue: "plain", step: with(stepOf(4, 1), gang), want: 4},
		"processors of fill tasks count":           {queue: "plain", step: with(stepOf(5, 1), fills), want: 6},
		"no gang that is wider than the cap":       {queue: "guarded", step: with(stepOf(7, 1), gang)},
		"no permits for a department at its cap":   {queue: "guarded", step: stepOf(5, 1), used: 6},
		"no capacity for a gang of one at its cap": {queue: "guarded", step: with(stepOf(2, 1), gang), used: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.announce(3)
				f.permitted = []string{"w0", "w1", "w2"}
				f.addDepartments(modeler.Department{Name: "a", Weight: 1, Cap: modeler.Resources{Processors: 6}},
					modeler.Department{Name: "b", Weight: 1})
				f.state.DepartmentUsage = f.state.DepartmentUsage.Set("a", modeler.Resources{Processors: tt.used})
				f.submitFor("a", tt.queue, "a1", tt.step)
				f.submitFor("a", tt.queue, "a2", tt.step)
				f.submitFor("b", "plain", "b1", stepOf(18, 1))
				f.scheduler.reset()
				p := newPlan(f.scheduler, f.state)
				p.placeSteps(t.Context(), f.scheduler.backlog.ordered(f.state, time.Now()))
				synctest.Wait()
				starts := map[byte]int{}
				for _, s := range p.starts {
					starts[s.task.Workflow[0]]++
				}
				if starts['a'] != tt.want || starts['b'] != 18 || f.permitCalls.Load() > 0 || len(p.kept) > 0 {
					t.Errorf("%d starts, %d of others, %d permit requests, kept %v; want %d, 18 and neither", starts['a'],
						starts['b'], f.permitCalls.Load(), p.kept, tt.want)
				}
			})
		})
	}
}

const (
	replayDepartments = 20
	// surging is the department that sends surge times its usual work for a while.
	surging    = 0
	surge      = 7.5
	surgeBegin = 15 * time.Second
	surgeEnd   = surgeBegin + 6500*time.Millisecond
	// surgeLoad is the load without the surge, relative to the heaviest day: just about what the
	// workers can do.
	surgeLoad     = 1.0
	rateAllowance = 1.5
)

// departmentShare is the share of the usual work that a department submits.
func departmentShare(i int) float64 {
	sum := 0.0
	for j := range replayDepartments {
		sum += 1 / float64(j+1)
	}
	return 1 / float64(i+1) / sum
}

// departmentsReplay is a heavy replay in which departments submit the work.
type departmentsReplay struct {
	*heavyReplay
	// tokens are the workflows that a department may submit within its rate, at the time at.
	tokens  [replayDepartments]float64
	at      time.Time
	weights [replayDepartments]float64
	owner   map[string]int
	// beyond are the workflows beyond the rate of their departments.
	beyond map[string]struct{}
}

// assign gives the submissions from the index on to departments.
func (d *departmentsReplay) assign(from int, elapsed time.Duration) {
	for i := range d.tokens {
		d.tokens[i] = min(max(2, 2*d.weights[i]), d.tokens[i]+d.weights[i]*time.Since(d.at).Seconds())
	}
	d.at = time.Now()
	total := 1.0
	if elapsed >= surgeBegin && elapsed < surgeEnd {
		total += (surge - 1) * departmentShare(surging)
	}
	for _, s := range d.submissions[from:] {
		at, owner := d.random.Float64()*total, surging
		for i := range replayDepartments {
			if at -= departmentShare(i); at < 0 {
				owner = i
				break
			}
		}
		d.owner[s.id] = owner
		w, _ := d.state.Workflows.Get(s.id)
		w.Spec.Department = fmt.Sprintf("d%02d", owner)
		if d.tokens[owner] >= 1 {
			d.tokens[owner]--
		} else {
			w.BeyondRate = true
			d.beyond[s.id] = struct{}{}
		}
		d.state.Workflows = d.state.Workflows.Set(s.id, w)
	}
}

// setUsage derives the usage of the departments, as the reducer does.
func (d *departmentsReplay) setUsage() {
	usage := map[string]modeler.Resources{}
	for _, s := range reducer.Values(d.state.Sessions) {
		for _, name := range s.Tasks {
			w, _ := d.state.Workflows.Get(name.Workflow)
			if name.Step < len(w.Spec.Steps) {
				usage[w.Spec.Department] = usage[w.Spec.Department].Plus(w.Spec.Steps[name.Step].Need)
			}
		}
	}
	d.state.DepartmentUsage = reducer.NewState().DepartmentUsage
	for name, amount := range usage {
		d.state.DepartmentUsage = d.state.DepartmentUsage.Set(name, amount)
	}
}

// worstTenth returns the mean share of their worth that the worst-off tenth of the departments
// earns, the same without the surging one, and that of the surging one. Work beyond the rate
// need not be served, so that it does not count.
func (d *departmentsReplay) worstTenth() (all, others, surged float64) {
	value := map[string]float64{"fleet": 11.1, "lock": 2.15, "walkup": 0.42}
	var earned, total [replayDepartments]float64
	for _, s := range d.submissions {
		if _, ok := d.beyond[s.id]; ok {
			continue
		}
		w, _ := d.state.Workflows.Get(s.id)
		gain := 0.0
		if took := w.Ended.Sub(s.at); w.IsEnded() && took <= lateFactor*s.objective {
			gain = 0.2
			if took <= s.objective {
				gain = 1
			}
		}
		total[d.owner[s.id]] += value[s.queue]
		earned[d.owner[s.id]] += gain * value[s.queue]
	}
	shares := make([]float64, replayDepartments)
	for i := range shares {
		shares[i] = earned[i] / total[i]
	}
	worst := func(shares []float64) float64 {
		slices.SortFunc(shares, cmp.Compare[float64])
		return (shares[0] + shares[1]) / 2
	}
	surged = shares[surging]
	return worst(slices.Clone(shares)), worst(slices.Delete(slices.Clone(shares), surging, surging+1)), surged
}

// TestSurgeOfOneDepartment replays 20 departments, one of which sends 7.5 times its usual work
// for 6.5 s, with and without the order by departments. It guards against a surge that harms
// other departments more than the one that sends it.
func TestSurgeOfOneDepartment(t *testing.T) {
	t.Parallel()
	const length = 60 * time.Second
	worst := map[bool]float64{}
	for _, isOrdered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := &departmentsReplay{
				heavyReplay: newHeavyReplay(t, heavyKinds(0), 350, 3),
				at:          time.Now(), owner: map[string]int{}, beyond: map[string]struct{}{},
			}
			perSecond := 0.0
			for _, k := range d.kinds {
				perSecond += k.perSecond
			}
			var list []modeler.Department
			for i := range replayDepartments {
				d.weights[i] = rateAllowance * surgeLoad * perSecond * departmentShare(i)
				list = append(list, modeler.Department{Name: fmt.Sprintf("d%02d", i), Weight: d.weights[i]})
			}
			if isOrdered {
				d.addDepartments(list...)
			}
			d.load = func(at time.Duration) float64 {
				load := surgeLoad * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
				if at >= surgeBegin && at < surgeEnd {
					load *= 1 + (surge-1)*departmentShare(surging)
				}
				return load
			}
			seen := 0
			began := time.Now()
			d.beforeRound = func() {
				d.assign(seen, time.Since(began))
				seen = len(d.submissions)
				d.setUsage()
			}
			d.replayDay(length)
			d.scores(length)
			all, others, surged := d.worstTenth()
			worst[isOrdered] = others
			t.Logf("measure departments=%t worst tenth=%.3f of the others=%.3f surging one=%.3f", isOrdered, all, others, surged)
			time.Sleep(time.Minute)
		})
	}
	if worst[true] < worst[false] {
		t.Errorf("the worst tenth of the departments without a surge earns %.3f with the order by departments, %.3f without",
			worst[true], worst[false])
	}
}
