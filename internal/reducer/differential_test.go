package reducer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

var epoch = time.Date(2026, 1, 5, 3, 0, 0, 0, time.UTC)

// submittedChange is a configuration change as an operator submitted it.
type submittedChange struct {
	id        string
	documents []modeler.Document
	grants    []modeler.GrantSpec
}

// comparisonHarness applies the same commands to the state under test and to the
// reference model.
type comparisonHarness struct {
	state     reducer.State
	reference referenceModel
	revision  uint64
	commands  []reducer.Command
	changes   []submittedChange
}

func newComparisonHarness() *comparisonHarness {
	h := &comparisonHarness{state: reducer.NewState(), reference: newReferenceModel()}
	h.reference.now = epoch
	h.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "pool", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
	}})
	return h
}

func (h *comparisonHarness) apply(command reducer.Command) reducer.Result {
	h.revision++
	command.At = h.reference.now
	// Commands are encoded and decoded, as they are by the log.
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	if command, err = reducer.DecodeCommand(data); err != nil {
		panic(err)
	}
	h.commands = append(h.commands, command)
	var result reducer.Result
	h.state, result, _ = reducer.Apply(h.state, h.revision, command)
	return result
}

var (
	drawWorker     = rapid.SampledFrom([]string{"w0", "w1", "w2"})
	drawJob        = rapid.SampledFrom([]string{"j0", "j1", "j2", "j3", "j4", "j5"})
	drawDepartment = rapid.SampledFrom([]string{"kowhai", "seri-loceng"})
	drawKind       = rapid.SampledFrom([]modeler.JobKind{modeler.KindBatch, modeler.KindGang, modeler.KindService})
	drawResult     = rapid.SampledFrom([]reducer.TaskResult{
		reducer.TaskResultFinished, reducer.TaskResultFailed, reducer.TaskResultStopped,
	})
)

func drawNeed(t *rapid.T) modeler.Resources {
	return modeler.Resources{
		Processors:   rapid.Int64Range(1, 6).Draw(t, "processors"),
		Memory:       rapid.Int64Range(0, 6).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
}

func (h *comparisonHarness) announce(t *rapid.T) {
	w := modeler.Worker{
		ID: drawWorker.Draw(t, "worker"), Schema: 2, Address: "127.0.0.1:1", Pool: "pool",
		Capacity:    modeler.Resources{Processors: 10, Memory: 10, Accelerators: 1},
		Reserve:     modeler.Resources{Processors: 2},
		Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation"),
	}
	want := h.reference.announce(w, h.revision+1)
	if got := h.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &w}); got.Session != want {
		t.Fatalf("announced worker got session %d, want %d (refusal: %v)", got.Session, want, got.Refusal)
	}
}

func (h *comparisonHarness) lose(t *rapid.T) {
	id := drawWorker.Draw(t, "worker")
	session := h.reference.workers[id].session + uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
	h.reference.lose(id, session)
	h.apply(reducer.Command{Kind: reducer.KindMarkWorkersLost, Sessions: []reducer.WorkerSession{{Worker: id, Session: session}}})
}

func (h *comparisonHarness) drain(t *rapid.T) {
	id := drawWorker.Draw(t, "worker")
	draining := rapid.Bool().Draw(t, "draining")
	if w, ok := h.reference.workers[id]; ok {
		w.draining = draining
		h.reference.workers[id] = w
	}
	h.apply(reducer.Command{Kind: reducer.KindDrainWorker, Names: []string{id}, Draining: draining})
}

func (h *comparisonHarness) submit(t *rapid.T) {
	s := modeler.JobSpec{
		ID: drawJob.Draw(t, "job"), Department: drawDepartment.Draw(t, "department"), Pool: "pool",
		Kind: drawKind.Draw(t, "kind"), Count: rapid.IntRange(1, 4).Draw(t, "count"), Need: drawNeed(t),
	}
	raw, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	h.reference.submit(s)
	h.apply(reducer.Command{Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: raw}})
}

func (h *comparisonHarness) cancel(t *rapid.T) {
	names := rapid.SliceOfN(drawJob, 1, 4).Draw(t, "jobs")
	for _, id := range names {
		h.reference.cancel(id)
	}
	h.apply(reducer.Command{Kind: reducer.KindCancelJobs, Names: names})
}

func (h *comparisonHarness) drawTask(t *rapid.T) (modeler.TaskReference, bool) {
	id := drawJob.Draw(t, "job")
	j, ok := h.reference.jobs[id]
	if !ok {
		return modeler.TaskReference{}, false
	}
	return modeler.TaskReference{Job: id, Index: rapid.IntRange(0, len(j.tasks)-1).Draw(t, "index")}, true
}

func (h *comparisonHarness) start(t *rapid.T) {
	task, ok := h.drawTask(t)
	if !ok {
		return
	}
	var starts []reducer.Start
	startAll := rapid.Bool().Draw(t, "whole")
	for i, candidate := range h.reference.jobs[task.Job].tasks {
		if (startAll && candidate.phase != "waiting") || (!startAll && i != task.Index) {
			continue
		}
		w := drawWorker.Draw(t, "worker")
		starts = append(starts, reducer.Start{
			Task: modeler.TaskReference{Job: task.Job, Index: i}, Worker: w,
			Session: h.reference.workers[w].session + uint64(rapid.IntRange(0, 9).Draw(t, "stale")/9),
		})
	}
	if len(starts) == 0 {
		return
	}
	var want int
	h.reference, want = h.reference.start(starts)
	if got := h.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: starts}); got.Accepted != want {
		t.Fatalf("%d starts accepted, the reference model accepts %d of %+v", got.Accepted, want, starts)
	}
}

func (h *comparisonHarness) report(t *rapid.T) {
	task, ok := h.drawTask(t)
	if !ok {
		return
	}
	known := h.reference.jobs[task.Job].tasks[task.Index]
	r := reducer.TaskReport{
		Task: task, Worker: known.worker, Session: known.session,
		Attempt: known.attempt - rapid.IntRange(0, 1).Draw(t, "late"), Result: drawResult.Draw(t, "result"),
	}
	h.reference.report(r)
	h.apply(reducer.Command{Kind: reducer.KindReportTasks, Reports: []reducer.TaskReport{r}})
}

func (h *comparisonHarness) preempt(t *rapid.T) {
	if task, ok := h.drawTask(t); ok {
		h.reference.preempt(task)
		h.apply(reducer.Command{Kind: reducer.KindPreemptTasks, Tasks: []modeler.TaskReference{task}})
	}
}

func (h *comparisonHarness) grant(t *rapid.T) {
	var documents []modeler.Document
	var grants []modeler.GrantSpec
	for range rapid.IntRange(1, 2).Draw(t, "documents") {
		g := modeler.GrantSpec{
			Department: drawDepartment.Draw(t, "department"),
			Year:       rapid.IntRange(2025, 2027).Draw(t, "year"),
			Limit:      modeler.Resources{Processors: rapid.Int64Range(0, 30).Draw(t, "limit"), Memory: 30, Accelerators: 2},
			Weight:     1,
		}
		g.From = time.Date(g.Year, 1, 1, 0, 0, 0, 0, time.UTC)
		spec, err := json.Marshal(g)
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("%s/%d", g.Department, g.Year)
		documents = append(documents, modeler.Document{
			Schema: 2, Kind: modeler.DocumentGrant, Name: name, Spec: spec,
			Version: h.reference.versions["grant:"+name] + uint64(rapid.IntRange(0, 4).Draw(t, "race")/4),
		})
		grants = append(grants, g)
	}
	h.change(t, submittedChange{fmt.Sprintf("change-%d", rapid.IntRange(0, 30).Draw(t, "change")), documents, grants})
}

// resend submits an earlier change again, as an operator does after a lost response.
func (h *comparisonHarness) resend(t *rapid.T) {
	if len(h.changes) > 0 {
		h.change(t, rapid.SampledFrom(h.changes).Draw(t, "sent"))
	}
}

func (h *comparisonHarness) change(t *rapid.T, c submittedChange) {
	h.changes = append(h.changes, c)
	id, documents, grants := c.id, c.documents, c.grants
	want, accepted := h.reference.apply(id, documents, grants)
	got := h.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: id, Documents: documents, Actor: "operator"})
	if accepted != (got.Refusal == nil) {
		t.Fatalf("change %s: refusal is %v, the reference model accepts it: %t", id, got.Refusal, accepted)
	}
	if accepted && !reflect.DeepEqual(got.Versions, want) {
		t.Fatalf("change %s: versions %v, want %v", id, got.Versions, want)
	}
}

func (h *comparisonHarness) request(t *rapid.T) {
	created := h.reference.now.Add(-time.Duration(rapid.SampledFrom([]int{0, 60, 1200}).Draw(t, "age")) * time.Second)
	r := modeler.RequestRecord{
		Key:     fmt.Sprintf("%d-key0000%d", created.Unix(), rapid.IntRange(0, 3).Draw(t, "key")),
		Service: "toll-desk", Digest: "d", Attempt: rapid.StringMatching("[a-d]").Draw(t, "attempt"),
	}
	want := h.reference.record(r, created)
	got := h.apply(reducer.Command{Kind: reducer.KindRecordRequests, Requests: []modeler.RequestRecord{r}})
	if (got.Accepted > 0) != want {
		t.Fatalf("request %s accepted: %t, by the reference model: %t", r.Key, got.Accepted > 0, want)
	}
}

func (h *comparisonHarness) settle(t *rapid.T) {
	for _, known := range h.reference.requests {
		r := known.WithOutcome(rapid.SampledFrom([]modeler.Outcome{modeler.OutcomeRan, modeler.OutcomeNotRun}).Draw(t, "outcome"))
		if rapid.Bool().Draw(t, "other") {
			r.Attempt = "z"
		}
		h.reference.settle(r)
		h.apply(reducer.Command{Kind: reducer.KindSettleRequests, Requests: []modeler.RequestRecord{r}})
		return
	}
}

func (h *comparisonHarness) advanceClock(t *rapid.T) {
	h.reference.now = h.reference.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
	h.apply(reducer.Command{Kind: reducer.KindNoop})
}

// check compares the state with the reference model.
func (h *comparisonHarness) check(t *rapid.T) {
	for id, j := range h.reference.jobs {
		actual, ok := h.state.Jobs.Get(id)
		if !ok {
			t.Fatalf("job %s is missing from the state", id)
		}
		for i, want := range j.tasks {
			got := actual.Tasks[i]
			if string(got.Phase) != want.phase || got.Worker != want.worker || got.Attempt != want.attempt {
				t.Fatalf("task %s/%d is %+v, want %+v", id, i, got, want)
			}
		}
		_, waits := h.state.WaitingJobs.Get(id)
		if waits != (actual.Count(modeler.TaskWaiting) > 0) {
			t.Fatalf("job %s is in the set of waiting jobs: %t, which contradicts its tasks", id, waits)
		}
	}
	for id, w := range h.reference.workers {
		actual, _ := h.state.Workers.Get(id)
		if used := h.reference.usedOnWorker(id); actual.Used != used || !used.FitsIn(w.capacity) {
			t.Fatalf("worker %s has recorded usage %+v, its tasks use %+v, its capacity is %+v", id, actual.Used, used, w.capacity)
		}
	}
	for _, department := range []string{"kowhai", "seri-loceng"} {
		usage, _ := h.state.Usage.Get(department)
		if count := h.reference.usedByDepartment(department); usage != count {
			t.Fatalf("department %s has recorded usage %+v, its tasks use %+v", department, usage, count)
		}
	}
	for key, version := range h.reference.versions {
		if d, _ := h.state.Documents.Get(key); d.Version != version {
			t.Fatalf("document %s has version %d, want %d", key, d.Version, version)
		}
	}
}

// checkEncoding checks that restoring a snapshot and replaying the commands both
// reproduce the state.
func (h *comparisonHarness) checkEncoding(t *rapid.T) {
	data, err := h.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := reducer.DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := restored.Encode()
	if err != nil || string(reencoded) != string(data) {
		t.Fatalf("the restored state has a different encoding (error: %v)", err)
	}
	for department := range map[string]bool{"kowhai": true, "seri-loceng": true} {
		before, _ := h.state.Usage.Get(department)
		after, _ := restored.Usage.Get(department)
		if before != after {
			t.Fatalf("department %s has usage %+v, after restoring %+v", department, before, after)
		}
	}
	replayed := reducer.NewState()
	for i, command := range h.commands {
		replayed, _, _ = reducer.Apply(replayed, uint64(i+1), command)
	}
	if replay, err := replayed.Encode(); err != nil || string(replay) != string(data) {
		t.Fatalf("replaying the commands gives a different state (error: %v)", err)
	}
}

func TestStateAgreesWithReferenceModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newComparisonHarness()
		t.Repeat(map[string]func(*rapid.T){
			"announce": h.announce,
			"lose":     h.lose,
			"drain":    h.drain,
			"submit":   h.submit,
			"cancel":   h.cancel,
			"start":    h.start,
			"start2":   h.start,
			"report":   h.report,
			"preempt":  h.preempt,
			"grant":    h.grant,
			"resend":   h.resend,
			"request":  h.request,
			"settle":   h.settle,
			"pass":     h.advanceClock,
			"":         h.check,
		})
		h.checkEncoding(t)
	})
}

// TestMain fixes the seed of the random commands, so that every run is the same.
// A soak test sets another seed through the environment.
func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "1", "3000"
	if soak := os.Getenv("SAMPHIREWICK_SOAK_SEED"); soak != "" {
		seed, checks = soak, "30000"
	}
	settings := map[string]string{
		"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": "60", "rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
