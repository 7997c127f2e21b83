package planner_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// taskEnd is the scheduled end of a running task.
type taskEnd struct {
	at   time.Time
	task modeler.TaskReference
}

type taskEnds []taskEnd

func (e taskEnds) Len() int           { return len(e) }
func (e taskEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e taskEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *taskEnds) Push(item any)     { *e = append(*e, item.(taskEnd)) }
func (e *taskEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// batchReplay replays the nightly batch of the department kowhai on the real
// planner and reducer: batch jobs and gangs with heavy-tailed run times that
// do not fill the pool.
type batchReplay struct {
	cell   *cell
	random *rand.Rand
	ends   taskEnds
	jobs   int
	total  modeler.Resources
	inUse  []float64
	fewest []float64
	// remaining maps stopped tasks to the run time they have left; moves counts
	// the stops.
	remaining map[modeler.TaskReference]time.Duration
	moves     int
	// planOverride replaces the planner unless it is nil.
	planOverride func(r *batchReplay)
}

const (
	workerCores  = 32000
	workerMemory = 64 << 30
	replayTick   = 2 * time.Second
	replayLength = 15 * time.Minute
)

func newBatchReplay(t *testing.T, workers int, placement modeler.Placement, firstFit bool) *batchReplay {
	t.Helper()
	r := &batchReplay{cell: newCell(t, nil), random: rand.New(rand.NewPCG(11, uint64(workers)))}
	r.remaining = map[modeler.TaskReference]time.Duration{}
	if firstFit {
		r.planOverride = (*batchReplay).firstFit
	}
	r.cell.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "night", Documents: []modeler.Document{
		{
			Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Version: 1,
			Spec: json.RawMessage(fmt.Sprintf(`{"placement":%q}`, placement)),
		},
		{
			Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai", Spec: json.RawMessage(
				`{"department":"kowhai","year":2026,"from":"2026-01-01T00:00:00Z",
				  "limit":{"processors":1000000000,"memory":1000000000000000}}`),
		},
	}})
	for i := range workers {
		r.cell.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%05d", i), Schema: 2, Address: "a", Pool: "pool", Incarnation: "a",
			Capacity: modeler.Resources{Processors: workerCores, Memory: workerMemory},
		}})
	}
	r.total = modeler.Resources{Processors: workerCores, Memory: workerMemory}.Times(int64(workers))
	return r
}

// run replays the batch and returns the mean ratio of workers in use to the
// fewest possible, over the last two thirds of the samples.
func (r *batchReplay) run() float64 {
	start := r.cell.now
	for r.cell.now.Before(start.Add(replayLength)) {
		r.cell.now = r.cell.now.Add(replayTick)
		r.endDue()
		r.submitArrivals()
		if r.planOverride != nil {
			r.planOverride(r)
		} else {
			r.plan()
		}
		r.sampleUsage()
	}
	sum := 0.0
	late := len(r.inUse) / 3
	for i := late; i < len(r.inUse); i++ {
		sum += r.inUse[i] / r.fewest[i]
	}
	return sum / float64(len(r.inUse)-late)
}

// submitArrivals submits jobs at a rate that keeps about 60 % of the pool busy.
func (r *batchReplay) submitArrivals() {
	const meanTasks, meanSeconds, meanCores, load = 6, 90, 3000, 0.6
	rate := load * float64(r.total.Processors) / (meanTasks * meanSeconds * meanCores) * replayTick.Seconds()
	for range int(rate + r.random.Float64()) {
		r.jobs++
		s := modeler.JobSpec{
			ID: fmt.Sprintf("j%06d", r.jobs), Department: "kowhai", Count: 1 + r.random.IntN(11),
			Need: modeler.Resources{Processors: 1000 * (1 + r.random.Int64N(5)), Memory: (1 + r.random.Int64N(8)) << 30},
		}
		if r.random.IntN(4) == 0 {
			s.Kind = modeler.KindGang
			s.Count = 2 + r.random.IntN(11)
		}
		r.cell.submit(s)
	}
}

func (r *batchReplay) endDue() {
	for len(r.ends) > 0 && !r.ends[0].at.After(r.cell.now) {
		e := heap.Pop(&r.ends).(taskEnd)
		r.cell.end(e.task.Job, e.task.Index, reducer.TaskResultFinished)
	}
}

func (r *batchReplay) plan() {
	for {
		p := r.cell.planner.Plan(r.cell.state, r.cell.now)
		r.checkpoint(p.Preempt)
		if len(p.Starts) == 0 && len(p.Preempt) == 0 {
			return
		}
		if len(p.Starts) > 0 {
			r.commit(p.Starts)
			r.cell.planner.Reconcile(r.cell.state, p)
		}
	}
}

// checkpoint stops tasks and stores the run time they have left for a restart.
func (r *batchReplay) checkpoint(tasks []modeler.TaskReference) {
	if len(tasks) == 0 {
		return
	}
	r.cell.apply(reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: tasks})
	for _, task := range tasks {
		at := slices.IndexFunc(r.ends, func(e taskEnd) bool { return e.task == task })
		r.remaining[task] = r.ends[at].at.Sub(r.cell.now)
		heap.Remove(&r.ends, at)
		r.cell.end(task.Job, task.Index, reducer.TaskResultStopped)
		r.moves++
	}
}

// commit starts tasks. Run times are drawn from a heavy-tailed distribution;
// moved tasks continue with the run time they had left.
func (r *batchReplay) commit(starts []reducer.Start) {
	r.cell.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: starts})
	for _, s := range starts {
		if r.cell.job(s.Task.Job).Tasks[s.Task.Index].Phase != modeler.TaskStarted {
			continue
		}
		length, moved := r.remaining[s.Task]
		if !moved {
			seconds := min(30*math.Pow(1-r.random.Float64(), -1/1.5), 3600)
			length = time.Duration(seconds * float64(time.Second))
		}
		delete(r.remaining, s.Task)
		heap.Push(&r.ends, taskEnd{r.cell.now.Add(length), s.Task})
	}
}

// firstFit is the baseline: it takes jobs in the order of their ids, and for
// each task the first worker by id with enough free resources.
func (r *batchReplay) firstFit() {
	free := map[string]modeler.Resources{}
	workers := reducer.Values(r.cell.state.Workers)
	for _, w := range workers {
		free[w.ID] = w.Free()
	}
	var starts []reducer.Start
	for it := r.cell.state.WaitingJobs.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		job := r.cell.job(id)
		var jobStarts []reducer.Start
		for i, task := range job.Tasks {
			at := slices.IndexFunc(workers, func(w modeler.Worker) bool { return job.Spec.Need.FitsIn(free[w.ID]) })
			if task.Phase != modeler.TaskWaiting || at < 0 {
				continue
			}
			w := workers[at]
			free[w.ID] = free[w.ID].Minus(job.Spec.Need)
			jobStarts = append(jobStarts, reducer.Start{
				Task: modeler.TaskReference{Job: id, Index: i}, Worker: w.ID, Session: w.Session,
			})
		}
		if job.Spec.Kind == modeler.KindGang && len(jobStarts) < job.Count(modeler.TaskWaiting) {
			for _, s := range jobStarts {
				free[s.Worker] = free[s.Worker].Plus(job.Spec.Need)
			}
			continue
		}
		starts = append(starts, jobStarts...)
	}
	if len(starts) > 0 {
		r.commit(starts)
	}
}

func (r *batchReplay) sampleUsage() {
	inUse := 0.0
	var used modeler.Resources
	for it := r.cell.state.Workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if len(w.Tasks) > 0 {
			inUse++
		}
		used = used.Plus(w.Used)
	}
	bound := max(
		math.Ceil(float64(used.Processors)/workerCores),
		math.Ceil(float64(used.Memory)/workerMemory),
	)
	if bound > 0 {
		r.inUse = append(r.inUse, inUse)
		r.fewest = append(r.fewest, bound)
	}
}

// reportRatio prints one measure as a line of JSON, which make bench collects.
func reportRatio(t *testing.T, measure, workload string, baseline, ours float64) {
	t.Helper()
	line, err := json.Marshal(struct {
		Measure  string  `json:"measure"`
		Workload string  `json:"workload"`
		Baseline float64 `json:"naive"`
		Ours     float64 `json:"ours"`
		Ratio    float64 `json:"ratio"`
	}{measure, workload, round(baseline), round(ours), round(ours / baseline)})
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("SAMPHIREWICK_BENCH") != "" {
		fmt.Println(string(line))
	}
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// TestPackingOfANightOn48Workers checks that the nightly batch uses at most 1.10
// times the fewest workers that could hold the running tasks.
func TestPackingOfANightOn48Workers(t *testing.T) {
	t.Parallel()
	checkPacking(t, 48)
}

func TestPackingOfANightOn480Workers(t *testing.T) {
	t.Parallel()
	checkPacking(t, 480)
}

func checkPacking(t *testing.T, workers int) {
	t.Helper()
	const target = 1.10
	first := newBatchReplay(t, workers, modeler.PlacementBestFit, true).run()
	worst := newBatchReplay(t, workers, modeler.PlacementWorstFit, false).run()
	replay := newBatchReplay(t, workers, modeler.PlacementBestFit, false)
	best := replay.run()
	workload := fmt.Sprintf("night, %d workers, naive is first fit", workers)
	reportRatio(t, "workers in use over the fewest possible, best fit", workload, first, best)
	reportRatio(t, "workers in use over the fewest possible, worst fit", workload, first, worst)
	reportRatio(t, "tasks moved, ours, of all jobs, naive", workload, float64(replay.jobs), float64(replay.moves))
	if best > target {
		t.Errorf("with %d workers best fit uses %.3f times the fewest possible, want at most %.2f", workers, best, target)
	}
}

// BenchmarkPlan measures the cost of one placement decision, including the
// reducer's share of it. Workers of 4 to 32 processors stand for a pool that
// is partly full.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 480, 2600} {
		b.Run(fmt.Sprintf("workers/%d", workers), func(b *testing.B) {
			state, revision := fullPool(b, workers)
			p := planner.New(state)
			decisions := 0
			for number := 0; b.Loop(); number++ {
				state, revision = runOneJob(b, p, state, revision, number)
				decisions += 8
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(decisions), "ns/decision")
		})
	}
}

func mustApply(b *testing.B, p *planner.Planner, s reducer.State, revision uint64, c reducer.Command) reducer.State {
	b.Helper()
	c.At = epoch
	next, result, changed := reducer.Apply(s, revision, c)
	if result.Refusal != nil {
		b.Fatal(result.Refusal)
	}
	if p != nil {
		p.Sync(next, changed)
	}
	return next
}

func fullPool(b *testing.B, workers int) (reducer.State, uint64) {
	b.Helper()
	state, revision := reducer.NewState(), uint64(1)
	documents := []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
		{Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai", Spec: json.RawMessage(
			`{"department":"kowhai","year":2026,"from":"2026-01-01T00:00:00Z",
			  "limit":{"processors":1000000000,"memory":1000000000000000}}`)},
	}
	state = mustApply(b, nil, state, revision, reducer.Command{
		Kind: reducer.KindApplyDocuments, ChangeID: "c", Documents: documents,
	})
	random := rand.New(rand.NewPCG(1, 1))
	for i := range workers {
		revision++
		state = mustApply(b, nil, state, revision, reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%05d", i), Schema: 2, Address: "a", Pool: "pool", Incarnation: "a",
			Capacity: modeler.Resources{Processors: workerCores - random.Int64N(28000), Memory: workerMemory},
		}})
	}
	return state, revision
}

// runOneJob submits, plans, starts, finishes and removes one job of eight tasks.
func runOneJob(b *testing.B, p *planner.Planner, s reducer.State, revision uint64, number int) (reducer.State, uint64) {
	b.Helper()
	raw := fmt.Sprintf(`{"id":"j%d","department":"kowhai","pool":"pool","kind":"batch","count":8,
		"need":{"processors":500,"memory":1000}}`, number)
	s = mustApply(b, p, s, revision+1, reducer.Command{
		Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)},
	})
	plan := p.Plan(s, epoch)
	s = mustApply(b, p, s, revision+2, reducer.Command{Kind: reducer.KindStartTasks, Starts: plan.Starts})
	p.Reconcile(s, plan)
	var reports []reducer.TaskReport
	for _, start := range plan.Starts {
		reports = append(reports, reducer.TaskReport{
			Task: start.Task, Worker: start.Worker, Session: start.Session, Attempt: 1, Result: reducer.TaskResultFinished,
		})
	}
	s = mustApply(b, p, s, revision+3, reducer.Command{Kind: reducer.KindReportTasks, Reports: reports})
	s = mustApply(b, p, s, revision+4, reducer.Command{Kind: reducer.KindApplyRetention, Before: epoch.Add(time.Hour)})
	return s, revision + 4
}
