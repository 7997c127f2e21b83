package planner_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

var epoch = time.Date(2026, 6, 1, 2, 0, 0, 0, time.UTC)

// cell is a replicated state and a planner that is kept in step with it.
type cell struct {
	t        *testing.T
	state    reducer.State
	planner  *planner.Planner
	revision uint64
	now      time.Time
}

func newCell(t *testing.T, limits map[string]int64) *cell {
	t.Helper()
	c := &cell{t: t, state: reducer.NewState(), now: epoch}
	c.planner = planner.New(c.state)
	c.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "pool", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
	}})
	for department, limit := range limits {
		spec := fmt.Sprintf(`{"department":%q,"year":2026,"from":"2026-01-01T00:00:00Z","limit":{"processors":%d}}`, department, limit)
		c.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: department, Documents: []modeler.Document{
			{Schema: 2, Kind: modeler.DocumentGrant, Name: department, Spec: json.RawMessage(spec)},
		}})
	}
	return c
}

func (c *cell) apply(command reducer.Command) reducer.Result {
	c.t.Helper()
	c.revision++
	command.At = c.now
	state, result, changed := reducer.Apply(c.state, c.revision, command)
	if result.Refusal != nil {
		c.t.Fatalf("%s: %v", command.Kind, result.Refusal)
	}
	c.state = state
	c.planner.Sync(state, changed)
	return result
}

// addWorkers registers workers with 8 processors each, spread over three racks.
func (c *cell) addWorkers(count int) {
	c.t.Helper()
	for i := range count {
		c.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%d", i), Schema: 2, Address: "127.0.0.1:1", Pool: "pool", Incarnation: "a",
			Rack: fmt.Sprintf("r%d", i%3), Capacity: modeler.Resources{Processors: 8},
		}})
	}
}

func (c *cell) submit(s modeler.JobSpec) {
	c.t.Helper()
	s.Pool = "pool"
	if s.Kind == "" {
		s.Kind = modeler.KindBatch
	}
	raw, err := json.Marshal(s)
	if err != nil {
		c.t.Fatal(err)
	}
	c.apply(reducer.Command{Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: raw}})
}

// plan computes plans, applies them and reconciles the planner until nothing
// more can start.
func (c *cell) plan() {
	c.t.Helper()
	for {
		p := c.planner.Plan(c.state, c.now)
		if len(p.Preempt) > 0 {
			c.apply(reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: p.Preempt})
		}
		if len(p.Starts) == 0 {
			return
		}
		if got := c.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: p.Starts}); got.Accepted != len(p.Starts) {
			c.t.Fatalf("%d of %d planned starts were accepted", got.Accepted, len(p.Starts))
		}
		c.planner.Reconcile(c.state, p)
	}
}

func (c *cell) job(id string) modeler.Job {
	c.t.Helper()
	j, ok := c.state.Jobs.Get(id)
	if !ok {
		c.t.Fatalf("job %s does not exist", id)
	}
	return j
}

func (c *cell) end(id string, index int, result reducer.TaskResult) {
	c.t.Helper()
	task := c.job(id).Tasks[index]
	c.apply(reducer.Command{Kind: reducer.KindReportTasks, Reports: []reducer.TaskReport{{
		Task: modeler.TaskReference{Job: id, Index: index}, Worker: task.Worker, Session: task.Session,
		Attempt: task.Attempt, Result: result,
	}}})
}

func need(processors int64) modeler.Resources { return modeler.Resources{Processors: processors} }

func TestWaitingJobReportsReason(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		job  modeler.JobSpec
		want planner.Reason
	}{
		"no grant": {modeler.JobSpec{Department: "unknown", Count: 1, Need: need(1)}, planner.ReasonNoGrant},
		"a task larger than the grant": {
			modeler.JobSpec{Department: "small", Count: 1, Need: need(5)}, planner.ReasonExceedsGrant,
		},
		"a gang larger than the grant": {
			modeler.JobSpec{Department: "small", Count: 5, Kind: modeler.KindGang, Need: need(1)}, planner.ReasonExceedsGrant,
		},
		"a grant that is used up": {modeler.JobSpec{Department: "small", Count: 6, Need: need(1)}, planner.ReasonGrantExhausted},
		"a task larger than any worker": {
			modeler.JobSpec{Department: "large", Count: 1, Need: need(9)}, planner.ReasonNeverFits,
		},
		"a gang larger than the pool": {
			modeler.JobSpec{Department: "large", Count: 9, Kind: modeler.KindGang, Need: need(8)}, planner.ReasonGangExceedsPool,
		},
		"a full pool": {modeler.JobSpec{Department: "large", Count: 40, Need: need(4)}, planner.ReasonNoCapacity},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, map[string]int64{"small": 4, "large": 10000})
			c.addWorkers(4)
			tt.job.ID = "job"
			c.submit(tt.job)
			c.plan()
			if got := c.planner.WaitReason("job"); got != tt.want {
				t.Errorf("wait reason is %q, want %q", got, tt.want)
			}
		})
	}
}

func TestTwoGangsDoNotBlockEachOther(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 10000})
	c.addWorkers(2)
	for _, id := range []string{"first", "second"} {
		c.submit(modeler.JobSpec{ID: id, Department: "kowhai", Kind: modeler.KindGang, Count: 12, Need: need(1)})
	}
	c.plan()
	if c.job("first").Count(modeler.TaskStarted) != 12 || c.job("second").Count(modeler.TaskStarted) != 0 {
		t.Fatal("want all tasks of the first gang started and none of the second")
	}
	for i := range 12 {
		c.end("first", i, reducer.TaskResultFinished)
	}
	c.plan()
	if c.job("second").Count(modeler.TaskStarted) != 12 {
		t.Error("the second gang did not start after the first one finished")
	}
}

func TestGangThatWaitedLongIsNotStarved(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 10000, "seri-loceng": 10000})
	c.addWorkers(2)
	c.submit(modeler.JobSpec{ID: "filler", Department: "seri-loceng", Count: 16, Need: need(1)})
	c.plan()
	c.submit(modeler.JobSpec{ID: "gang", Department: "kowhai", Kind: modeler.KindGang, Count: 16, Need: need(1)})
	c.submit(modeler.JobSpec{ID: "stream", Department: "seri-loceng", Count: 200, Need: need(1)})
	gangStarted := func() bool { return c.job("gang").Count(modeler.TaskStarted) == 16 }
	// One task finishes each second; its slot would go to the stream job each
	// time if the gang did not block it.
	running := func() (string, int) {
		for _, id := range []string{"filler", "stream"} {
			for i, task := range c.job(id).Tasks {
				if task.Phase == modeler.TaskStarted {
					return id, i
				}
			}
		}
		return "", 0
	}
	for range 60 {
		c.now = c.now.Add(time.Second)
		id, index := running()
		if id == "" {
			break
		}
		c.end(id, index, reducer.TaskResultFinished)
		c.plan()
		if gangStarted() {
			return
		}
	}
	if !gangStarted() {
		t.Errorf("the gang did not start within a minute: %s", c.planner.WaitReason("gang"))
	}
}

func TestGangThatHasNotWaitedLongBlocksNoOtherJob(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 10000})
	c.addWorkers(2)
	c.submit(modeler.JobSpec{ID: "filler", Department: "kowhai", Count: 8, Need: need(1)})
	c.plan()
	c.submit(modeler.JobSpec{ID: "gang", Department: "kowhai", Kind: modeler.KindGang, Count: 16, Need: need(1)})
	c.submit(modeler.JobSpec{ID: "small", Department: "kowhai", Count: 8, Need: need(1)})
	c.plan()
	if got := c.job("small").Count(modeler.TaskStarted); got != 8 {
		t.Errorf("%d of 8 tasks started on capacity that the gang cannot use", got)
	}
}

func TestUrgentWorkPreemptsInAFullPool(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 10000})
	c.addWorkers(4)
	c.submit(modeler.JobSpec{ID: "night", Department: "kowhai", Count: 32, Need: need(1)})
	c.plan()
	c.submit(modeler.JobSpec{ID: "urgent", Department: "kowhai", Count: 1, Urgent: true, Need: need(3)})
	c.plan()
	if got := c.job("night").Count(modeler.TaskStopping); got != 3 {
		t.Fatalf("%d tasks are being stopped, want 3", got)
	}
	for i, task := range c.job("night").Tasks {
		if task.Phase == modeler.TaskStopping {
			c.end("night", i, reducer.TaskResultStopped)
		}
	}
	c.plan()
	if c.job("urgent").Count(modeler.TaskStarted) != 1 {
		t.Errorf("the urgent job did not start: %s", c.planner.WaitReason("urgent"))
	}
	if got := c.job("night").Count(modeler.TaskWaiting); got != 3 {
		t.Errorf("%d stopped tasks wait for a restart, want 3", got)
	}
}

func TestDepartmentsShareAPoolByTheirGrants(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 64, "seri-loceng": 64})
	c.addWorkers(8)
	c.submit(modeler.JobSpec{ID: "first", Department: "kowhai", Count: 64, Need: need(1)})
	c.submit(modeler.JobSpec{ID: "second", Department: "seri-loceng", Count: 64, Need: need(1)})
	c.plan()
	for _, id := range []string{"first", "second"} {
		if got := c.job(id).Count(modeler.TaskStarted); got != 32 {
			t.Errorf("job %s has %d tasks started, want an equal share of 32", id, got)
		}
	}
}

func TestOnlyActiveDepartmentUsesTheWholePool(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 64, "seri-loceng": 64})
	c.addWorkers(8)
	c.submit(modeler.JobSpec{ID: "alone", Department: "kowhai", Count: 64, Need: need(1)})
	c.plan()
	if got := c.job("alone").Count(modeler.TaskStarted); got != 64 {
		t.Errorf("%d tasks started, want all 64 while no other department has waiting jobs", got)
	}
}

func TestTasksAreSpreadOverRacks(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(6)
	c.submit(modeler.JobSpec{ID: "job", Department: "kowhai", Count: 6, Need: need(1), Spread: modeler.SpreadRack})
	c.plan()
	racks := map[string]int{}
	for _, task := range c.job("job").Tasks {
		w, _ := c.state.Workers.Get(task.Worker)
		racks[w.Rack]++
	}
	for rack, count := range racks {
		if count != 2 || len(racks) != 3 {
			t.Errorf("rack %s holds %d of 6 tasks spread over %d racks, want 2 per rack over 3 racks", rack, count, len(racks))
		}
	}
}

func TestTaskIsNotStartedAgainWhereItFailed(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(3)
	c.submit(modeler.JobSpec{ID: "job", Department: "kowhai", Count: 1, Need: need(1)})
	seen := map[string]bool{}
	for range 3 {
		c.plan()
		w := c.job("job").Tasks[0].Worker
		if seen[w] {
			t.Errorf("the task restarted on %q, where it had failed", w)
		}
		seen[w] = true
		c.end("job", 0, reducer.TaskResultFailed)
	}
}

func TestWorkWithoutAcceleratorsLeavesThemFree(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(2)
	c.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
		ID: "a", Schema: 2, Address: "127.0.0.1:1", Pool: "pool", Incarnation: "a",
		Capacity: modeler.Resources{Processors: 8, Accelerators: 4},
	}})
	c.submit(modeler.JobSpec{ID: "plain", Department: "kowhai", Count: 16, Need: need(1)})
	c.plan()
	if w, _ := c.state.Workers.Get("a"); w.Used.Processors != 0 {
		t.Errorf("a job without accelerators took %d processors of the worker with accelerators", w.Used.Processors)
	}
}

// TestPlannerAgreesWithAFreshPlanner applies a seeded random history of job and
// worker changes, and checks that the planner that followed them starts as
// many tasks as one built from the final state.
func TestPlannerAgreesWithAFreshPlanner(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCell(t, map[string]int64{"kowhai": 200, "seri-loceng": 60})
		c.addWorkers(12)
		for number := range 150 {
			c.step(random, number)
		}
		fresh := planner.New(c.state)
		got, want := c.planner.Plan(c.state, c.now), fresh.Plan(c.state, c.now)
		if len(got.Starts) != len(want.Starts) {
			t.Fatalf("seed %d: the planner starts %d tasks, a fresh planner %d", seed, len(got.Starts), len(want.Starts))
		}
	}
}

func (c *cell) step(random *rand.Rand, number int) {
	c.t.Helper()
	c.now = c.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
	kinds := []modeler.JobKind{modeler.KindBatch, modeler.KindGang, modeler.KindService}
	departments := []string{"kowhai", "seri-loceng"}
	switch random.IntN(6) {
	case 0, 1:
		c.submit(modeler.JobSpec{
			ID: fmt.Sprintf("j%d", number), Department: departments[random.IntN(2)], Kind: kinds[random.IntN(3)],
			Count: 1 + random.IntN(6), Need: need(1 + random.Int64N(4)), Urgent: random.IntN(8) == 0,
		})
	case 2:
		c.plan()
	case 3:
		id := fmt.Sprintf("w%d", random.IntN(12))
		w, _ := c.state.Workers.Get(id)
		c.apply(reducer.Command{Kind: reducer.KindMarkWorkersLost, Sessions: []reducer.WorkerSession{{Worker: id, Session: w.Session}}})
		w.Incarnation += "b"
		c.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &w})
	default:
		results := []reducer.TaskResult{reducer.TaskResultFinished, reducer.TaskResultFailed, reducer.TaskResultStopped}
		for _, w := range reducer.Values(c.state.Workers) {
			if len(w.Tasks) > 0 {
				reference := w.Tasks[random.IntN(len(w.Tasks))]
				c.end(reference.Job, reference.Index, results[random.IntN(3)])
			}
		}
	}
}

func TestStragglerIsMovedToAWorkerInUse(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(3)
	// One worker has one free processor, and a second worker is also in use.
	c.submit(modeler.JobSpec{ID: "fill", Department: "kowhai", Count: 7, Need: need(1)})
	c.submit(modeler.JobSpec{ID: "pair", Department: "kowhai", Count: 2, Need: need(1)})
	c.plan()
	if used := c.workersInUse(); used != 2 {
		t.Fatalf("%d workers are in use, want 2", used)
	}
	c.end("fill", 0, reducer.TaskResultFinished)
	c.plan()
	if got := c.job("pair").Count(modeler.TaskStopping); got != 0 {
		t.Fatal("a task that has just started was moved")
	}
	c.now = c.now.Add(time.Minute)
	c.plan()
	for i, task := range c.job("pair").Tasks {
		if task.Phase == modeler.TaskStopping {
			c.end("pair", i, reducer.TaskResultStopped)
		}
	}
	c.plan()
	if used := c.workersInUse(); used != 1 {
		t.Errorf("%d workers are in use, want 1", used)
	}
	c.now = c.now.Add(time.Minute)
	c.end("fill", 1, reducer.TaskResultFinished)
	c.plan()
	if got := c.job("pair").Count(modeler.TaskStopping); got != 0 {
		t.Error("a task was moved twice within a minute")
	}
}

func (c *cell) workersInUse() int {
	used := 0
	for _, w := range reducer.Values(c.state.Workers) {
		if len(w.Tasks) > 0 {
			used++
		}
	}
	return used
}

func TestNothingIsMovedWithoutFreeCapacityElsewhere(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(2)
	c.submit(modeler.JobSpec{ID: "fill", Department: "kowhai", Count: 8, Need: need(1)})
	c.submit(modeler.JobSpec{ID: "one", Department: "kowhai", Count: 1, Need: need(2)})
	c.plan()
	c.end("fill", 0, reducer.TaskResultFinished)
	c.now = c.now.Add(time.Hour)
	c.plan()
	if got := c.job("one").Count(modeler.TaskStarted); got != 1 {
		t.Error("a task was stopped although it fits on no other worker in use")
	}
}

func TestParkedJobIsReconsideredWhenWorkersChange(t *testing.T) {
	t.Parallel()
	c := newCell(t, map[string]int64{"kowhai": 1000})
	c.addWorkers(1)
	c.submit(modeler.JobSpec{ID: "large", Department: "kowhai", Count: 1, Need: need(16)})
	c.plan()
	if got := c.planner.WaitReason("large"); got != planner.ReasonNeverFits {
		t.Fatalf("wait reason is %q, want %q", got, planner.ReasonNeverFits)
	}
	c.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
		ID: "big", Schema: 2, Address: "a", Pool: "pool", Incarnation: "a", Capacity: modeler.Resources{Processors: 32},
	}})
	c.plan()
	if c.job("large").Count(modeler.TaskStarted) != 1 {
		t.Errorf("the job did not start after a large enough worker joined: %s", c.planner.WaitReason("large"))
	}
}
