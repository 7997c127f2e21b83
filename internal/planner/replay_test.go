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

// ending is a task that ends at an instant.
type ending struct {
	at   time.Time
	task modeler.TaskReference
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(item any)     { *e = append(*e, item.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// night is a replay of Kowhai's night on the real planner and ledger: batch
// jobs and gangs with heavy-tailed run times, on a pool that they do not fill.
type night struct {
	cell   *cell
	random *rand.Rand
	ends   endings
	jobs   int
	total  modeler.Resources
	inUse  []float64
	bound  []float64
	// left is what a stopped task still has to run; moves counts the stops.
	left  map[modeler.TaskReference]time.Duration
	moves int
	// firstBy plans in place of the planner, where set.
	firstBy func(n *night)
}

const (
	workerCores  = 32000
	workerMemory = 64 << 30
	nightTick    = 2 * time.Second
	nightLength  = 15 * time.Minute
)

func newNight(t *testing.T, workers int, placement modeler.Placement, firstFit bool) *night {
	t.Helper()
	n := &night{cell: newCell(t, nil), random: rand.New(rand.NewPCG(11, uint64(workers)))}
	n.left = map[modeler.TaskReference]time.Duration{}
	if firstFit {
		n.firstBy = (*night).firstFit
	}
	n.cell.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "night", Documents: []modeler.Document{
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
		n.cell.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%05d", i), Schema: 2, Address: "a", Pool: "pool", Incarnation: "a",
			Capacity: modeler.Resources{Processors: workerCores, Memory: workerMemory},
		}})
	}
	n.total = modeler.Resources{Processors: workerCores, Memory: workerMemory}.Times(int64(workers))
	return n
}

// run replays the night, and returns the mean of workers in use over the fewest possible.
func (n *night) run() float64 {
	start := n.cell.now
	for n.cell.now.Before(start.Add(nightLength)) {
		n.cell.now = n.cell.now.Add(nightTick)
		n.endDue()
		n.arrive()
		if n.firstBy != nil {
			n.firstBy(n)
		} else {
			n.plan()
		}
		n.measure()
	}
	sum := 0.0
	late := len(n.inUse) / 3
	for i := late; i < len(n.inUse); i++ {
		sum += n.inUse[i] / n.bound[i]
	}
	return sum / float64(len(n.inUse)-late)
}

// arrive submits jobs that keep about 60 % of the pool busy.
func (n *night) arrive() {
	const meanTasks, meanSeconds, meanCores, load = 6, 90, 3000, 0.6
	rate := load * float64(n.total.Processors) / (meanTasks * meanSeconds * meanCores) * nightTick.Seconds()
	for range int(rate + n.random.Float64()) {
		n.jobs++
		s := modeler.JobSpec{
			ID: fmt.Sprintf("j%06d", n.jobs), Department: "kowhai", Count: 1 + n.random.IntN(11),
			Need: modeler.Resources{Processors: 1000 * (1 + n.random.Int64N(5)), Memory: (1 + n.random.Int64N(8)) << 30},
		}
		if n.random.IntN(4) == 0 {
			s.Kind = modeler.KindGang
			s.Count = 2 + n.random.IntN(11)
		}
		n.cell.submit(s)
	}
}

func (n *night) endDue() {
	for len(n.ends) > 0 && !n.ends[0].at.After(n.cell.now) {
		e := heap.Pop(&n.ends).(ending)
		n.cell.end(e.task.Job, e.task.Index, reducer.TaskResultFinished)
	}
}

func (n *night) plan() {
	for {
		p := n.cell.planner.Plan(n.cell.state, n.cell.now)
		n.checkpoint(p.Preempt)
		if len(p.Starts) == 0 && len(p.Preempt) == 0 {
			return
		}
		if len(p.Starts) > 0 {
			n.commit(p.Starts)
			n.cell.planner.Reconcile(n.cell.state, p)
		}
	}
}

// checkpoint stops tasks, which go on later from where they were.
func (n *night) checkpoint(tasks []modeler.TaskReference) {
	if len(tasks) == 0 {
		return
	}
	n.cell.apply(reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: tasks})
	for _, task := range tasks {
		at := slices.IndexFunc(n.ends, func(e ending) bool { return e.task == task })
		n.left[task] = n.ends[at].at.Sub(n.cell.now)
		heap.Remove(&n.ends, at)
		n.cell.end(task.Job, task.Index, reducer.TaskResultStopped)
		n.moves++
	}
}

// commit starts tasks whose run times have a heavy tail.
func (n *night) commit(starts []reducer.Start) {
	n.cell.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: starts})
	for _, s := range starts {
		if n.cell.job(s.Task.Job).Tasks[s.Task.Index].Phase != modeler.TaskStarted {
			continue
		}
		length, moved := n.left[s.Task]
		if !moved {
			seconds := min(30*math.Pow(1-n.random.Float64(), -1/1.5), 3600)
			length = time.Duration(seconds * float64(time.Second))
		}
		delete(n.left, s.Task)
		heap.Push(&n.ends, ending{n.cell.now.Add(length), s.Task})
	}
}

// firstFit is the naive way: jobs in the order of their names, and for each
// task the first worker by name that has room.
func (n *night) firstFit() {
	free := map[string]modeler.Resources{}
	workers := reducer.Values(n.cell.state.Workers)
	for _, w := range workers {
		free[w.ID] = w.Free()
	}
	var starts []reducer.Start
	for it := n.cell.state.Waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		job := n.cell.job(id)
		var mine []reducer.Start
		for i, task := range job.Tasks {
			at := slices.IndexFunc(workers, func(w modeler.Worker) bool { return job.Spec.Need.FitsIn(free[w.ID]) })
			if task.Phase != modeler.TaskWaiting || at < 0 {
				continue
			}
			w := workers[at]
			free[w.ID] = free[w.ID].Minus(job.Spec.Need)
			mine = append(mine, reducer.Start{
				Task: modeler.TaskReference{Job: id, Index: i}, Worker: w.ID, Session: w.Session,
			})
		}
		if job.Spec.Kind == modeler.KindGang && len(mine) < job.Count(modeler.TaskWaiting) {
			for _, s := range mine {
				free[s.Worker] = free[s.Worker].Plus(job.Spec.Need)
			}
			continue
		}
		starts = append(starts, mine...)
	}
	if len(starts) > 0 {
		n.commit(starts)
	}
}

func (n *night) measure() {
	inUse := 0.0
	var used modeler.Resources
	for it := n.cell.state.Workers.Iterator(); !it.Done(); {
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
		n.inUse = append(n.inUse, inUse)
		n.bound = append(n.bound, bound)
	}
}

// reportRatio prints one measure as a line of JSON, which make bench gathers.
func reportRatio(t *testing.T, measure, workload string, naive, ours float64) {
	t.Helper()
	line, err := json.Marshal(struct {
		Measure  string  `json:"measure"`
		Workload string  `json:"workload"`
		Naive    float64 `json:"naive"`
		Ours     float64 `json:"ours"`
		Ratio    float64 `json:"ratio"`
	}{measure, workload, round(naive), round(ours), round(ours / naive)})
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("SAMPHIREWICK_BENCH") != "" {
		fmt.Println(string(line))
	}
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// The target: workers in use in Kowhai's night are at most 1.10 times the
// fewest that could hold the running tasks.
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
	first := newNight(t, workers, modeler.PlacementBestFit, true).run()
	worst := newNight(t, workers, modeler.PlacementWorstFit, false).run()
	night := newNight(t, workers, modeler.PlacementBestFit, false)
	best := night.run()
	workload := fmt.Sprintf("night, %d workers, naive is first fit", workers)
	reportRatio(t, "workers in use over the fewest possible, best fit", workload, first, best)
	reportRatio(t, "workers in use over the fewest possible, worst fit", workload, first, worst)
	reportRatio(t, "tasks moved, ours, of all jobs, naive", workload, float64(night.jobs), float64(night.moves))
	if best > target {
		t.Errorf("with %d workers best fit uses %.3f times the fewest possible, more than %.2f", workers, best, target)
	}
}

// BenchmarkPlan gives the cost of one decision, with the ledger's part of it,
// on a pool that is about two thirds full.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 480, 2600} {
		b.Run(fmt.Sprintf("workers/%d", workers), func(b *testing.B) {
			state, revision := fullPool(b, workers)
			p := planner.New(state)
			decisions := 0
			for number := 0; b.Loop(); number++ {
				state, revision = oneJob(b, p, state, revision, number)
				decisions += 8
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(decisions), "ns/decision")
		})
	}
}

func mustApply(b *testing.B, p *planner.Planner, s reducer.State, revision uint64, c reducer.Command) reducer.State {
	b.Helper()
	c.At = epoch
	next, result, touched := reducer.Apply(s, revision, c)
	if result.Refusal != nil {
		b.Fatal(result.Refusal)
	}
	if p != nil {
		p.Sync(next, touched)
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

// oneJob submits, plans, starts, ends and forgets one job of eight tasks.
func oneJob(b *testing.B, p *planner.Planner, s reducer.State, revision uint64, number int) (reducer.State, uint64) {
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
	s = mustApply(b, p, s, revision+4, reducer.Command{Kind: reducer.KindRetain, Before: epoch.Add(time.Hour)})
	return s, revision + 4
}
