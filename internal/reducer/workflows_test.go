package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// workflowFixture applies commands to a state, each at the next revision.
type workflowFixture struct {
	t     *testing.T
	state State
}

func newWorkflowFixture(t *testing.T) *workflowFixture {
	t.Helper()
	f := &workflowFixture{t: t, state: NewState()}
	f.apply(Command{Kind: KindApplyQueueTable, Table: &modeler.QueueTable{
		Version: 1,
		Pools:   []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{
			Name: "quotes", Host: "h", Prefix: "/q/", Service: "planner", MaxAttempts: 2, Timeout: time.Second,
		}},
	}})
	return f
}

func (f *workflowFixture) apply(command Command) Result {
	f.t.Helper()
	var result Result
	command.At = f.state.Now.Add(time.Millisecond)
	f.state, result, _ = Apply(f.state, f.state.Revision+1, command)
	return result
}

// announce announces a worker session with 10 millicores and returns its key.
func (f *workflowFixture) announce(worker string, startedAtMillis int64) string {
	f.t.Helper()
	s := modeler.Session{
		Worker: worker, StartedAtMillis: startedAtMillis, Address: worker + ":1", Service: "planner",
		Capacity: modeler.Resources{Processors: 10},
	}
	if result := f.apply(Command{Kind: KindAnnounceSession, Session: &s}); result.Refusal != nil {
		f.t.Fatal(result.Refusal)
	}
	return s.Key()
}

func (f *workflowFixture) submit(id string, steps ...modeler.StepSpec) {
	f.t.Helper()
	spec := modeler.WorkflowSpec{ID: id, Queue: "quotes", Steps: steps}
	if result := f.apply(Command{Kind: KindSubmitWorkflow, Workflow: &spec}); result.Refusal != nil {
		f.t.Fatal(result.Refusal)
	}
}

func (f *workflowFixture) start(session string, tasks ...modeler.TaskName) int {
	f.t.Helper()
	var attempts []modeler.Attempt
	for _, n := range tasks {
		attempts = append(attempts, modeler.Attempt{Task: n, Session: session})
	}
	return f.apply(Command{Kind: KindStartAttempts, Attempts: attempts}).Accepted
}

func (f *workflowFixture) end(session string, name modeler.TaskName, number int, outcome AttemptOutcome) int {
	f.t.Helper()
	return f.apply(Command{Kind: KindEndAttempts, Ends: []AttemptEnd{{
		Attempt: modeler.Attempt{Task: name, Session: session, Number: number}, Outcome: outcome, Checkpoint: "c",
	}}}).Accepted
}

// phase returns the phase of workflow "a".
func (f *workflowFixture) phase() modeler.WorkflowPhase {
	w, _ := f.state.Workflows.Get("a")
	return w.Phase
}

func step(count int, processors int64) modeler.StepSpec {
	return modeler.StepSpec{Count: count, Need: modeler.Resources{Processors: processors}}
}

func task(id string, index int) modeler.TaskName { return modeler.TaskName{Workflow: id, Index: index} }

func TestWorkflowRunsFromSubmissionToEnd(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	second := step(1, 4)
	second.DependsOn = []int{0}
	f.submit("a", step(2, 4), second)
	secondTask := modeler.TaskName{Workflow: "a", Step: 1}
	if f.start(worker, secondTask) != 0 {
		t.Fatal("the second step started before the step that it depends on had finished")
	}
	if f.start(worker, task("a", 0), task("a", 1)) != 2 || f.phase() != modeler.WorkflowRunning {
		t.Fatal("the first step did not start, or the workflow is not running")
	}
	f.end(worker, task("a", 0), 1, AttemptFinished)
	f.end(worker, task("a", 1), 1, AttemptFinished)
	if f.start(worker, secondTask) != 1 {
		t.Fatal("the second step did not start after the first one had finished")
	}
	f.end(worker, secondTask, 1, AttemptFinished)
	if f.phase() != modeler.WorkflowFinished {
		t.Fatalf("workflow is %s after its last step finished", f.phase())
	}
	if session, _ := f.state.Sessions.Get(worker); session.Used != (modeler.Resources{}) {
		t.Errorf("session still uses %v after the workflow finished", session.Used)
	}
}

// TestWorkflowWaitsUntilATaskHasStarted checks that a workflow counts as waiting while
// every start was refused, and never again once a task has run.
func TestWorkflowWaitsUntilATaskHasStarted(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(2, 4))
	steps := []struct {
		act  func()
		want modeler.WorkflowPhase
	}{
		{func() { f.start(worker, task("a", 0), task("a", 1)) }, modeler.WorkflowRunning},
		{func() { f.end(worker, task("a", 0), 1, AttemptRefused) }, modeler.WorkflowRunning},
		{func() { f.end(worker, task("a", 1), 1, AttemptRefused) }, modeler.WorkflowWaiting},
		{func() { f.start(worker, task("a", 0)) }, modeler.WorkflowRunning},
		{func() { f.end(worker, task("a", 0), 2, AttemptLapsed) }, modeler.WorkflowRunning},
		{func() { f.start(worker, task("a", 0)) }, modeler.WorkflowRunning},
		{func() { f.end(worker, task("a", 0), 3, AttemptRefused) }, modeler.WorkflowRunning},
	}
	for i, s := range steps {
		s.act()
		if f.phase() != s.want {
			t.Errorf("phase is %s after change %d, want %s", f.phase(), i, s.want)
		}
	}
}

// TestEndedWorkflowKeepsItsPhaseOnly checks that an ended workflow takes no more room
// than callers need, and still answers every command as one that was submitted.
func TestEndedWorkflowKeepsItsPhaseOnly(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		outcome AttemptOutcome
		cancel  bool
		want    modeler.WorkflowPhase
	}{
		"finished":  {AttemptFinished, false, modeler.WorkflowFinished},
		"cancelled": {AttemptStopped, true, modeler.WorkflowCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWorkflowFixture(t)
			worker := f.announce("w0", 1)
			f.submit("a", step(1, 4))
			f.start(worker, task("a", 0))
			cancel := Command{Kind: KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: "a", Queue: "quotes"}}
			if tt.cancel {
				f.apply(cancel)
				if w, _ := f.state.Workflows.Get("a"); !w.HoldsResources() {
					t.Fatal("the cancelled workflow no longer holds the resources of its running task")
				}
			}
			f.end(worker, task("a", 0), 1, tt.outcome)
			w, _ := f.state.Workflows.Get("a")
			if w.Phase != tt.want || len(w.Spec.Steps) > 0 || len(w.Runs) != 1 || len(w.Runs[0].Tasks) > 0 {
				t.Fatalf("the state keeps %+v, want phase %s without steps and tasks", w, tt.want)
			}
			f.submit("a", step(1, 4))
			f.end(worker, task("a", 0), 1, AttemptFinished)
			if f.start(worker, task("a", 0)) != 0 {
				t.Error("a task of the ended workflow started")
			}
			if got := f.apply(cancel); got.Accepted != 1 {
				t.Errorf("cancelling the ended workflow was accepted %d times, want once", got.Accepted)
			}
			if f.phase() != tt.want {
				t.Errorf("the phase has become %s, want %s", f.phase(), tt.want)
			}
			data, err := f.state.Encode()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := DecodeState(data)
			if err != nil {
				t.Fatal(err)
			}
			if w, _ := restored.Workflows.Get("a"); w.Phase != tt.want || len(w.Runs) != 1 {
				t.Errorf("a snapshot restores %+v, want phase %s and one run", w, tt.want)
			}
		})
	}
}

func TestInvalidStartsAreRejected(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *workflowFixture, worker string) (string, modeler.TaskName){
		"exceeds the free capacity of the worker": func(f *workflowFixture, worker string) (string, modeler.TaskName) {
			f.submit("b", step(1, 7))
			return worker, task("b", 0)
		},
		"task is already started": func(_ *workflowFixture, worker string) (string, modeler.TaskName) {
			return worker, task("a", 0)
		},
		"session is unknown": func(_ *workflowFixture, _ string) (string, modeler.TaskName) {
			return "w9@1", task("a", 1)
		},
		"worker is draining": func(f *workflowFixture, _ string) (string, modeler.TaskName) {
			s := modeler.Session{
				Worker: "w1", StartedAtMillis: 1, Address: "w1:1", Service: "planner", Draining: true,
				Capacity: modeler.Resources{Processors: 10},
			}
			f.apply(Command{Kind: KindAnnounceSession, Session: &s})
			return s.Key(), task("a", 1)
		},
		"worker belongs to another service": func(f *workflowFixture, _ string) (string, modeler.TaskName) {
			s := modeler.Session{
				Worker: "w1", StartedAtMillis: 1, Address: "w1:1", Service: "other", Capacity: modeler.Resources{Processors: 10},
			}
			f.apply(Command{Kind: KindAnnounceSession, Session: &s})
			return s.Key(), task("a", 1)
		},
		"worker lacks the label": func(f *workflowFixture, worker string) (string, modeler.TaskName) {
			labelled := step(1, 1)
			labelled.Label = "gpu"
			f.submit("b", labelled)
			return worker, task("b", 0)
		},
		"exceeds the maximum number of tasks per worker": func(f *workflowFixture, worker string) (string, modeler.TaskName) {
			limited := step(2, 1)
			limited.MaxPerWorker = 1
			f.submit("b", limited)
			f.start(worker, task("b", 0))
			return worker, task("b", 1)
		},
		"workflow is cancelled": func(f *workflowFixture, worker string) (string, modeler.TaskName) {
			f.apply(Command{Kind: KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: "a", Queue: "quotes"}})
			return worker, task("a", 1)
		},
		"starts only part of a gang": func(f *workflowFixture, worker string) (string, modeler.TaskName) {
			gang := step(2, 1)
			gang.Gang = true
			f.submit("b", gang)
			return worker, task("b", 0)
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWorkflowFixture(t)
			worker := f.announce("w0", 1)
			f.submit("a", step(2, 4))
			f.start(worker, task("a", 0))
			session, name := prepare(f, worker)
			if f.start(session, name) != 0 {
				t.Error("the invalid start was accepted")
			}
		})
	}
}

func TestEndOfAnotherAttemptIsIgnored(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(1, 4))
	f.start(worker, task("a", 0))
	f.end(worker, task("a", 0), 1, AttemptLapsed)
	f.start(worker, task("a", 0))
	if f.end(worker, task("a", 0), 1, AttemptFinished) != 0 || f.end("w1@1", task("a", 0), 2, AttemptFinished) != 0 {
		t.Error("the end of an earlier attempt or of another session was accepted")
	}
	w, _ := f.state.Workflows.Get("a")
	if got, _ := w.Task(task("a", 0)); got.Checkpoint != "c" || got.Attempt != 2 || !got.HoldsResources() {
		t.Errorf("task is %+v, want attempt 2 held with checkpoint c", got)
	}
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(1, 4))
	for number, outcome := range []AttemptOutcome{AttemptLapsed, AttemptStopped, AttemptRefused, AttemptFailed} {
		f.start(worker, task("a", 0))
		f.end(worker, task("a", 0), number+1, outcome)
	}
	if f.phase() != modeler.WorkflowRunning {
		t.Fatalf("workflow is %s after one failed attempt of two allowed", f.phase())
	}
	f.start(worker, task("a", 0))
	f.end(worker, task("a", 0), 5, AttemptFailed)
	if f.phase() != modeler.WorkflowFailed {
		t.Errorf("workflow is %s after two failed attempts of two allowed", f.phase())
	}
}

func TestFinishedGangTaskFinishesWholeGang(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	gang := step(3, 1)
	gang.Gang = true
	f.submit("a", gang)
	names := []modeler.TaskName{task("a", 0), task("a", 1), task("a", 2)}
	f.start(worker, names...)
	f.end(worker, names[1], 1, AttemptFinished)
	if f.phase() != modeler.WorkflowFinished {
		t.Fatalf("workflow is %s after one task of its gang finished", f.phase())
	}
	session, _ := f.state.Sessions.Get(worker)
	if session.Used.Processors != 2 {
		t.Errorf("session uses %d millicores, want 2 for the tasks whose ends are not known yet", session.Used.Processors)
	}
	f.end(worker, names[0], 1, AttemptFinished)
	f.end(worker, names[2], 1, AttemptStopped)
	if session, _ = f.state.Sessions.Get(worker); session.Used.Processors != 0 || f.phase() != modeler.WorkflowFinished {
		t.Errorf("after all ends, session uses %d millicores and workflow is %s", session.Used.Processors, f.phase())
	}
}

func TestGangFailureIsCountedOncePerAttempt(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	gang := step(2, 1)
	gang.Gang = true
	f.submit("a", gang)
	f.start(worker, task("a", 0), task("a", 1))
	f.end(worker, task("a", 0), 1, AttemptFailed)
	if f.start(worker, task("a", 0), task("a", 1)) != 0 {
		t.Fatal("a gang started again while a task of its last attempt was held")
	}
	f.end(worker, task("a", 1), 1, AttemptFailed)
	if f.phase() != modeler.WorkflowRunning {
		t.Fatalf("workflow is %s after one failed gang attempt of two allowed", f.phase())
	}
	if f.start(worker, task("a", 0), task("a", 1)) != 2 {
		t.Fatal("the gang did not start again")
	}
	f.end(worker, task("a", 1), 2, AttemptFailed)
	if f.phase() != modeler.WorkflowFailed {
		t.Errorf("workflow is %s after two failed gang attempts of two allowed", f.phase())
	}
}

func TestWorkflowCancelledBeforeSubmissionDoesNotRun(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	spec := &modeler.WorkflowSpec{ID: "a", Queue: "quotes"}
	if f.apply(Command{Kind: KindCancelWorkflow, Workflow: spec}).Accepted != 0 {
		t.Error("the cancellation of an unknown workflow counts as accepted")
	}
	f.submit("a", step(1, 1))
	if f.phase() != modeler.WorkflowCancelled {
		t.Errorf("workflow is %s after its late submission, want cancelled", f.phase())
	}
	if f.start(f.announce("w0", 1), task("a", 0)) != 0 {
		t.Error("a task of the cancelled workflow started")
	}
}

func TestRestartedWorkerEndsEarlierSession(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(1, 4))
	f.start(worker, task("a", 0))
	later := f.announce("w0", 2)
	w, _ := f.state.Workflows.Get("a")
	if got, _ := w.Task(task("a", 0)); got.HoldsResources() {
		t.Error("the earlier session still holds the task")
	}
	stale := modeler.Session{Worker: "w0", StartedAtMillis: 1, Address: "w0:1", Service: "planner"}
	if result := f.apply(Command{Kind: KindAnnounceSession, Session: &stale}); result.Refusal == nil {
		t.Error("a late announcement of the earlier session was accepted")
	}
	if _, ok := f.state.Sessions.Get(later); !ok {
		t.Error("the later session is missing from the state")
	}
}

func TestHighestTableVersionTakesEffect(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	applyQueueTable := func(version uint64, queue string) Result {
		return f.apply(Command{Kind: KindApplyQueueTable, Table: &modeler.QueueTable{
			Version: version, Pools: []modeler.Pool{{Name: "planner"}},
			Queues: []modeler.Queue{{Name: queue, Host: "h", Prefix: "/" + queue, Service: "planner", Timeout: 1}},
		}})
	}
	applyQueueTable(7, "new")
	if result := applyQueueTable(5, "old"); result.Refusal != nil || result.Accepted != 0 {
		t.Errorf("a lower version gave %+v, want acceptance without effect", result)
	}
	if result := applyQueueTable(7, "other"); result.Refusal != nil || result.Accepted != 0 {
		t.Errorf("an equal version gave %+v, want acceptance without effect", result)
	}
	if _, ok := f.state.QueueTable.Queue("new"); !ok || f.state.QueueTable.Version != 7 {
		t.Errorf("queue table has version %d, want version 7 with queue new", f.state.QueueTable.Version)
	}
}

// TestResourceAccountingIsConsistentUnderRandomCommands checks after each of many
// random commands that the usage of each session equals the sum over its held tasks and
// does not exceed its capacity.
func TestResourceAccountingIsConsistentUnderRandomCommands(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			f := newWorkflowFixture(t)
			for range 400 {
				drawCommand(f, random)
				checkResourceAccounting(t, f.state)
			}
			data, err := f.state.Encode()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := DecodeState(data)
			if err != nil {
				t.Fatal(err)
			}
			checkResourceAccounting(t, restored)
			if reencoded, _ := restored.Encode(); string(reencoded) != string(data) {
				t.Error("the restored state has a different encoding")
			}
			if restored.ActiveWorkflows.Len() != f.state.ActiveWorkflows.Len() {
				t.Error("the restored state has a different number of active workflows")
			}
		})
	}
}

func drawCommand(f *workflowFixture, random *rand.Rand) {
	id := fmt.Sprint("job", random.IntN(12))
	name := modeler.TaskName{Workflow: id, Step: random.IntN(2), Index: random.IntN(3)}
	worker := fmt.Sprint("w", random.IntN(4))
	switch random.IntN(10) {
	case 0:
		f.announce(worker, int64(f.state.Revision))
	case 1, 2:
		first, second := step(1+random.IntN(3), 3), step(1+random.IntN(3), 2)
		first.Gang = random.IntN(2) == 0
		second.DependsOn = []int{0}
		f.submit(id, first, second)
	case 3:
		if random.IntN(4) == 0 {
			f.apply(Command{Kind: KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: id, Queue: "quotes"}})
		}
	case 4, 5, 6:
		sessions := Values(f.state.Sessions)
		w, _ := f.state.Workflows.Get(id)
		if len(sessions) == 0 || name.Step >= len(w.Spec.Steps) {
			return
		}
		var names []modeler.TaskName
		for i := range w.Spec.Steps[name.Step].Count {
			names = append(names, modeler.TaskName{Workflow: id, Step: name.Step, Index: i})
		}
		f.start(sessions[random.IntN(len(sessions))].Key(), names...)
	default:
		w, _ := f.state.Workflows.Get(id)
		held, _ := w.Task(name)
		outcomes := []AttemptOutcome{AttemptFinished, AttemptFinished, AttemptFailed, AttemptStopped, AttemptLapsed}
		f.end(held.Session, name, held.Attempt, outcomes[random.IntN(len(outcomes))])
	}
}

func checkResourceAccounting(t *testing.T, state State) {
	t.Helper()
	held := map[string]modeler.Resources{}
	for _, w := range Values(state.Workflows) {
		for position, run := range w.Runs {
			for _, task := range run.Tasks {
				if task.HoldsResources() {
					need := w.Spec.Steps[position%len(w.Spec.Steps)].CapacityNeed()
					held[task.Session] = held[task.Session].Plus(need)
				}
			}
		}
	}
	for _, s := range Values(state.Sessions) {
		if s.Used != held[s.Key()] {
			t.Fatalf("session %s has recorded usage %v, its tasks use %v", s.Key(), s.Used, held[s.Key()])
		}
		if s.Free().IsNegative() {
			t.Fatalf("session %s exceeds its capacity, free resources are %v", s.Key(), s.Free())
		}
		delete(held, s.Key())
	}
	if len(held) > 0 {
		t.Fatalf("tasks are held by unknown sessions: %v", held)
	}
}
