package reducer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// fixture is a state with workers of 8 millicores each and a grant that does
// not limit the tests.
type fixture struct {
	t        *testing.T
	state    reducer.State
	revision uint64
	now      time.Time
}

func newFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	f := &fixture{t: t, state: reducer.NewState(), now: epoch}
	f.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "base", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
		{
			Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai/2025",
			Spec: json.RawMessage(`{"department":"kowhai","year":2025,"from":"2025-01-01T00:00:00Z","limit":{"processors":100000}}`),
		},
	}})
	for i := range workers {
		f.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%d", i), Schema: 2, Address: "127.0.0.1:1", Pool: "pool",
			Capacity: modeler.Resources{Processors: 8}, Incarnation: "a",
		}})
	}
	return f
}

func (f *fixture) apply(command reducer.Command) reducer.Result {
	f.t.Helper()
	f.revision++
	command.At = f.now
	var result reducer.Result
	f.state, result, _ = reducer.Apply(f.state, f.revision, command)
	if result.Refusal != nil {
		f.t.Fatalf("%s: %v", command.Kind, result.Refusal)
	}
	return result
}

func (f *fixture) submit(id string, kind modeler.JobKind, count int) {
	f.t.Helper()
	raw := fmt.Sprintf(`{"id":%q,"department":"kowhai","pool":"pool","kind":%q,"count":%d,"need":{"processors":1}}`, id, kind, count)
	f.apply(reducer.Command{Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)}})
}

// start starts the tasks on the worker and reports whether all starts were accepted.
func (f *fixture) start(job string, worker string, indexes ...int) bool {
	f.t.Helper()
	w, _ := f.state.Workers.Get(worker)
	var starts []reducer.Start
	for _, i := range indexes {
		starts = append(starts, reducer.Start{
			Task: modeler.TaskReference{Job: job, Index: i}, Worker: worker, Session: w.Session,
		})
	}
	return f.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: starts}).Accepted == len(starts)
}

func (f *fixture) task(job string, index int) modeler.Task {
	f.t.Helper()
	j, ok := f.state.Jobs.Get(job)
	if !ok {
		f.t.Fatalf("job %s is missing from the state", job)
	}
	return j.Tasks[index]
}

// report reports the result of the task's current attempt.
func (f *fixture) report(job string, index int, result reducer.TaskResult) {
	f.t.Helper()
	task := f.task(job, index)
	f.apply(reducer.Command{Kind: reducer.KindReportTasks, Reports: []reducer.TaskReport{{
		Task:   modeler.TaskReference{Job: job, Index: index},
		Worker: task.Worker, Session: task.Session, Attempt: task.Attempt, Result: result,
	}}})
}

func (f *fixture) worker(id string) modeler.Worker {
	f.t.Helper()
	w, ok := f.state.Workers.Get(id)
	if !ok {
		f.t.Fatalf("worker %s is missing from the state", id)
	}
	return w
}

func TestGangStartsAgainTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.submit("gang", modeler.KindGang, 3)
	if f.start("gang", "w0", 0, 1) {
		t.Fatal("a start of two of the three gang tasks was accepted")
	}
	if !f.start("gang", "w0", 0, 1, 2) {
		t.Fatal("a start of the whole gang was not accepted")
	}
	f.report("gang", 1, reducer.TaskResultFailed)
	if got := f.task("gang", 0).Phase; got != modeler.TaskStopping {
		t.Errorf("after another task of the gang failed, task 0 is %s, want stopping", got)
	}
	if f.start("gang", "w1", 1) {
		t.Error("a single gang task was started again while the others were stopping")
	}
	f.report("gang", 0, reducer.TaskResultStopped)
	f.report("gang", 2, reducer.TaskResultStopped)
	if !f.start("gang", "w1", 0, 1, 2) {
		t.Error("a restart of the whole gang was not accepted")
	}
}

func TestWorkerThatFailsEverythingGoesOnProbation(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	for i := range 3 {
		id := fmt.Sprintf("job-%d", i)
		f.submit(id, modeler.KindBatch, 1)
		f.start(id, "w0", 0)
		f.report(id, 0, reducer.TaskResultFailed)
	}
	w := f.worker("w0")
	if !w.Probation || w.IsSchedulable(f.now) {
		t.Fatalf("worker is not on probation after three consecutive failures: %+v", w)
	}
	f.now = w.RetryAt
	f.submit("trial", modeler.KindBatch, 2)
	if !f.start("trial", "w0", 0) || f.start("trial", "w0", 1) {
		t.Error("a worker on probation did not run exactly one task after its backoff")
	}
	f.report("trial", 0, reducer.TaskResultFinished)
	if w := f.worker("w0"); w.Probation || !w.IsSchedulable(f.now) {
		t.Errorf("worker is still on probation after a task finished: %+v", w)
	}
}

func TestJobThatFailsEverywherePutsNoWorkerOnProbation(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 8)
	f.submit("broken", modeler.KindBatch, 40)
	for i := range 40 {
		if f.start("broken", fmt.Sprintf("w%d", i%8), i) {
			f.report("broken", i, reducer.TaskResultFailed)
		}
	}
	for i := range 8 {
		if w := f.worker(fmt.Sprintf("w%d", i)); w.Probation {
			t.Errorf("worker %s is on probation after %d failures of a single job", w.ID, w.Failures)
		}
	}
}

func TestTaskFailsAfterMaxAttempts(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 8)
	f.submit("job", modeler.KindBatch, 1)
	for i := range modeler.DefaultMaxAttempts {
		if !f.start("job", fmt.Sprintf("w%d", i), 0) {
			t.Fatalf("start of attempt %d was not accepted", i+1)
		}
		f.report("job", 0, reducer.TaskResultFailed)
	}
	if got := f.task("job", 0).Phase; got != modeler.TaskFailed {
		t.Errorf("the task is %s, want failed", got)
	}
}

func TestGrantOfLastYearAppliesUntilReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	f.submit("job", modeler.KindBatch, 2)
	f.now = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	if !f.start("job", "w0", 0) {
		t.Fatal("last year's grant does not apply months into a year that has no grant")
	}
	// The successor is applied months late, starts in the past and is smaller.
	f.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "late", Documents: []modeler.Document{{
		Schema: 1, Kind: modeler.DocumentGrant, Name: "kowhai/2026",
		Spec: json.RawMessage(`{"department":"kowhai","year":2026,"from":"2026-01-01T00:00:00+13:00","cores":0.001}`),
	}}})
	if f.start("job", "w0", 1) {
		t.Error("a start beyond the limit of the new grant was accepted")
	}
	if got := f.task("job", 0).Phase; got != modeler.TaskStarted {
		t.Errorf("after the smaller grant was applied, the running task is %s, want started", got)
	}
}

func TestLateReportOfLostWorkerIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.submit("job", modeler.KindBatch, 1)
	f.start("job", "w0", 0)
	first := f.task("job", 0)
	lost := []reducer.WorkerSession{{Worker: "w0", Session: first.Session}}
	f.apply(reducer.Command{Kind: reducer.KindMarkWorkersLost, Sessions: lost})
	f.start("job", "w1", 0)
	f.apply(reducer.Command{Kind: reducer.KindReportTasks, Reports: []reducer.TaskReport{{
		Task: modeler.TaskReference{Job: "job"}, Worker: "w0", Session: first.Session, Attempt: 1,
		Result: reducer.TaskResultFinished,
	}}})
	if got := f.task("job", 0); got.Phase != modeler.TaskStarted || got.Worker != "w1" || got.Attempt != 2 {
		t.Errorf("after a late report of the lost worker the task is %+v, want attempt 2 started on w1", got)
	}
}

// Requests of the previous session may still run. Under an unchanged owner epoch,
// the entry would not tell them from the requests of the new session and would
// not count them.
func TestNewSessionGetsNewOwnerEpoch(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	f.apply(reducer.Command{Kind: reducer.KindRegisterEntry, Entry: &modeler.Entry{ID: "e0"}})
	f.apply(reducer.Command{Kind: reducer.KindAssignOwners, Owners: []reducer.Ownership{{Worker: "w0", Entry: "e0"}}})
	before := f.worker("w0")
	f.apply(reducer.Command{
		Kind: reducer.KindMarkWorkersLost, Sessions: []reducer.WorkerSession{{Worker: "w0", Session: before.Session}},
	})
	announced := before
	f.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &announced})
	after := f.worker("w0")
	if after.Owner != "e0" || after.Session == before.Session || after.OwnerEpoch <= before.OwnerEpoch {
		t.Errorf("owner is %q with epoch %d in session %d; before the restart: epoch %d in session %d",
			after.Owner, after.OwnerEpoch, after.Session, before.OwnerEpoch, before.Session)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"startTasks","starts":[{"task":{"job":"a","index":-1}}]}`))
	f.Add([]byte(`{"kind":"announceWorker","worker":{"id":"w"}}`))
	f.Add([]byte(`{"kind":"applyDocuments","changeId":"c","documents":[{"schema":9,"kind":"pool","name":"p","spec":[]}]}`))
	f.Add([]byte(`{"kind":"preemptTasks","tasks":[{"job":"gang","index":-4}]}`))
	f.Add([]byte(`{"kind":"registerEntry"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := reducer.DecodeCommand(data)
		if err != nil {
			return
		}
		fixture := newFixture(t, 1)
		fixture.submit("gang", modeler.KindGang, 2)
		reducer.Apply(fixture.state, 100, command)
	})
}
