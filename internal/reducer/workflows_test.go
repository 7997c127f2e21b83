package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// workflowCell applies commands to a state, one revision after another.
type workflowCell struct {
	t     *testing.T
	state State
}

func newWorkflowCell(t *testing.T) *workflowCell {
	t.Helper()
	c := &workflowCell{t: t, state: NewState()}
	c.apply(Command{Kind: KindApplyTable, Table: &modeler.QueueTable{
		Version: 1,
		Pools:   []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{
			Name: "quotes", Host: "h", Prefix: "/q/", Service: "planner", MaxAttempts: 2, Timeout: time.Second,
		}},
	}})
	return c
}

func (c *workflowCell) apply(command Command) Result {
	c.t.Helper()
	var result Result
	command.At = c.state.Now.Add(time.Millisecond)
	c.state, result, _ = Apply(c.state, c.state.Revision+1, command)
	return result
}

// announce adds a worker of 10 processors.
func (c *workflowCell) announce(worker string, born int64) string {
	c.t.Helper()
	s := modeler.Session{
		Worker: worker, Born: born, Address: worker + ":1", Service: "planner",
		Capacity: modeler.Resources{Processors: 10},
	}
	if result := c.apply(Command{Kind: KindAnnounceSession, Session: &s}); result.Refusal != nil {
		c.t.Fatal(result.Refusal)
	}
	return s.Key()
}

func (c *workflowCell) submit(id string, steps ...modeler.StepSpec) {
	c.t.Helper()
	spec := modeler.WorkflowSpec{ID: id, Queue: "quotes", Steps: steps}
	if result := c.apply(Command{Kind: KindSubmitWorkflow, Workflow: &spec}); result.Refusal != nil {
		c.t.Fatal(result.Refusal)
	}
}

func (c *workflowCell) start(session string, tasks ...modeler.TaskName) int {
	c.t.Helper()
	var attempts []modeler.Attempt
	for _, n := range tasks {
		attempts = append(attempts, modeler.Attempt{Task: n, Session: session})
	}
	return c.apply(Command{Kind: KindStartAttempts, Attempts: attempts}).Accepted
}

func (c *workflowCell) end(session string, name modeler.TaskName, number int, outcome AttemptOutcome) int {
	c.t.Helper()
	return c.apply(Command{Kind: KindEndAttempts, Ends: []AttemptEnd{{
		Attempt: modeler.Attempt{Task: name, Session: session, Number: number}, Outcome: outcome, Checkpoint: "c",
	}}}).Accepted
}

// phase is that of workflow a.
func (c *workflowCell) phase() modeler.WorkflowPhase {
	w, _ := c.state.Workflows.Get("a")
	return w.Phase
}

func step(count int, processors int64) modeler.StepSpec {
	return modeler.StepSpec{Count: count, Need: modeler.Resources{Processors: processors}}
}

func task(id string, index int) modeler.TaskName { return modeler.TaskName{Workflow: id, Index: index} }

func TestAWorkflowGoesFromItsSubmissionToItsEnd(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	second := step(1, 4)
	second.DependsOn = []int{0}
	c.submit("a", step(2, 4), second)
	behind := modeler.TaskName{Workflow: "a", Step: 1}
	if c.start(worker, behind) != 0 {
		t.Fatal("a step started before the one that it depends on had finished")
	}
	if c.start(worker, task("a", 0), task("a", 1)) != 2 || c.phase() != modeler.WorkflowRunning {
		t.Fatal("the first step did not start")
	}
	c.end(worker, task("a", 0), 1, AttemptFinished)
	c.end(worker, task("a", 1), 1, AttemptFinished)
	if c.start(worker, behind) != 1 {
		t.Fatal("the second step did not start after the first one")
	}
	c.end(worker, behind, 1, AttemptFinished)
	if c.phase() != modeler.WorkflowFinished {
		t.Fatalf("the phase is %s", c.phase())
	}
	if session, _ := c.state.Sessions.Get(worker); session.Used != (modeler.Resources{}) {
		t.Errorf("%v is still used", session.Used)
	}
}

func TestStartsThatMustNotBe(t *testing.T) {
	t.Parallel()
	tests := map[string]func(c *workflowCell, worker string) (string, modeler.TaskName){
		"more than the worker has": func(c *workflowCell, worker string) (string, modeler.TaskName) {
			c.submit("b", step(1, 7))
			return worker, task("b", 0)
		},
		"a second time while the first is held": func(_ *workflowCell, worker string) (string, modeler.TaskName) {
			return worker, task("a", 0)
		},
		"on a session that is not known": func(_ *workflowCell, _ string) (string, modeler.TaskName) {
			return "w9@1", task("a", 1)
		},
		"on a draining worker": func(c *workflowCell, _ string) (string, modeler.TaskName) {
			s := modeler.Session{
				Worker: "w1", Born: 1, Address: "w1:1", Service: "planner", Draining: true,
				Capacity: modeler.Resources{Processors: 10},
			}
			c.apply(Command{Kind: KindAnnounceSession, Session: &s})
			return s.Key(), task("a", 1)
		},
		"on a worker of another pool": func(c *workflowCell, _ string) (string, modeler.TaskName) {
			s := modeler.Session{
				Worker: "w1", Born: 1, Address: "w1:1", Service: "other", Capacity: modeler.Resources{Processors: 10},
			}
			c.apply(Command{Kind: KindAnnounceSession, Session: &s})
			return s.Key(), task("a", 1)
		},
		"without the label": func(c *workflowCell, worker string) (string, modeler.TaskName) {
			labelled := step(1, 1)
			labelled.Label = "gpu"
			c.submit("b", labelled)
			return worker, task("b", 0)
		},
		"beyond the bound on one worker": func(c *workflowCell, worker string) (string, modeler.TaskName) {
			apart := step(2, 1)
			apart.MaxPerWorker = 1
			c.submit("b", apart)
			c.start(worker, task("b", 0))
			return worker, task("b", 1)
		},
		"of a cancelled workflow": func(c *workflowCell, worker string) (string, modeler.TaskName) {
			c.apply(Command{Kind: KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: "a", Queue: "quotes"}})
			return worker, task("a", 1)
		},
		"of a part of a gang": func(c *workflowCell, worker string) (string, modeler.TaskName) {
			gang := step(2, 1)
			gang.Gang = true
			c.submit("b", gang)
			return worker, task("b", 0)
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newWorkflowCell(t)
			worker := c.announce("w0", 1)
			c.submit("a", step(2, 4))
			c.start(worker, task("a", 0))
			session, name := prepare(c, worker)
			if c.start(session, name) != 0 {
				t.Error("the start was accepted")
			}
		})
	}
}

func TestEndsOfOtherAttemptsChangeNothing(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	c.submit("a", step(1, 4))
	c.start(worker, task("a", 0))
	c.end(worker, task("a", 0), 1, AttemptLapsed)
	c.start(worker, task("a", 0))
	if c.end(worker, task("a", 0), 1, AttemptFinished) != 0 || c.end("w1@1", task("a", 0), 2, AttemptFinished) != 0 {
		t.Error("the end of another attempt was taken")
	}
	w, _ := c.state.Workflows.Get("a")
	if got, _ := w.Task(task("a", 0)); got.Checkpoint != "c" || got.Attempt != 2 || !got.IsHeld() {
		t.Errorf("the task is %+v", got)
	}
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	c.submit("a", step(1, 4))
	for number, outcome := range []AttemptOutcome{AttemptLapsed, AttemptStopped, AttemptRefused, AttemptFailed} {
		c.start(worker, task("a", 0))
		c.end(worker, task("a", 0), number+1, outcome)
	}
	if c.phase() != modeler.WorkflowRunning {
		t.Fatalf("the phase is %s after one failure of two", c.phase())
	}
	c.start(worker, task("a", 0))
	c.end(worker, task("a", 0), 5, AttemptFailed)
	if c.phase() != modeler.WorkflowFailed {
		t.Errorf("the phase is %s after two failures", c.phase())
	}
}

func TestTheEndOfOneGangTaskStandsForAll(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	gang := step(3, 1)
	gang.Gang = true
	c.submit("a", gang)
	names := []modeler.TaskName{task("a", 0), task("a", 1), task("a", 2)}
	c.start(worker, names...)
	c.end(worker, names[1], 1, AttemptFinished)
	if c.phase() != modeler.WorkflowFinished {
		t.Fatalf("the phase is %s", c.phase())
	}
	session, _ := c.state.Sessions.Get(worker)
	if session.Used.Processors != 2 {
		t.Errorf("%d processors are used; the other two tasks hold theirs until their ends are known", session.Used.Processors)
	}
	c.end(worker, names[0], 1, AttemptFinished)
	c.end(worker, names[2], 1, AttemptStopped)
	if session, _ = c.state.Sessions.Get(worker); session.Used.Processors != 0 || c.phase() != modeler.WorkflowFinished {
		t.Errorf("%d processors are used, the phase is %s", session.Used.Processors, c.phase())
	}
}

func TestAGangThatFailsInSeveralTasksFailsOnce(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	gang := step(2, 1)
	gang.Gang = true
	c.submit("a", gang)
	c.start(worker, task("a", 0), task("a", 1))
	c.end(worker, task("a", 0), 1, AttemptFailed)
	if c.start(worker, task("a", 0), task("a", 1)) != 0 {
		t.Fatal("a gang started again while a task of its last attempt is held")
	}
	c.end(worker, task("a", 1), 1, AttemptFailed)
	if c.phase() != modeler.WorkflowRunning {
		t.Fatalf("the phase is %s after one failed attempt of two", c.phase())
	}
	if c.start(worker, task("a", 0), task("a", 1)) != 2 {
		t.Fatal("the gang did not start again")
	}
	c.end(worker, task("a", 1), 2, AttemptFailed)
	if c.phase() != modeler.WorkflowFailed {
		t.Errorf("the phase is %s after two failed attempts", c.phase())
	}
}

func TestACancelThatOvertakesItsSubmission(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	spec := &modeler.WorkflowSpec{ID: "a", Queue: "quotes"}
	if c.apply(Command{Kind: KindCancelWorkflow, Workflow: spec}).Accepted != 0 {
		t.Error("the cancel of a workflow that nobody submitted counts as accepted")
	}
	c.submit("a", step(1, 1))
	if c.phase() != modeler.WorkflowCancelled {
		t.Errorf("the phase is %s", c.phase())
	}
	if c.start(c.announce("w0", 1), task("a", 0)) != 0 {
		t.Error("it started")
	}
}

func TestALaterLifeEndsTheEarlierOne(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	worker := c.announce("w0", 1)
	c.submit("a", step(1, 4))
	c.start(worker, task("a", 0))
	later := c.announce("w0", 2)
	w, _ := c.state.Workflows.Get("a")
	if got, _ := w.Task(task("a", 0)); got.IsHeld() {
		t.Error("the earlier life still holds the task")
	}
	stale := modeler.Session{Worker: "w0", Born: 1, Address: "w0:1", Service: "planner"}
	if result := c.apply(Command{Kind: KindAnnounceSession, Session: &stale}); result.Refusal == nil {
		t.Error("a late heartbeat of the earlier life was taken")
	}
	if _, ok := c.state.Sessions.Get(later); !ok {
		t.Error("the later life is not known any more")
	}
}

func TestTheHighestTableIsInForce(t *testing.T) {
	t.Parallel()
	c := newWorkflowCell(t)
	put := func(version uint64, queue string) Result {
		return c.apply(Command{Kind: KindApplyTable, Table: &modeler.QueueTable{
			Version: version, Pools: []modeler.Pool{{Name: "planner"}},
			Queues: []modeler.Queue{{Name: queue, Host: "h", Prefix: "/" + queue, Service: "planner", Timeout: 1}},
		}})
	}
	put(7, "new")
	if result := put(5, "old"); result.Refusal != nil || result.Accepted != 0 {
		t.Errorf("a lower version led to %+v, want an acknowledgement without effect", result)
	}
	if result := put(7, "other"); result.Refusal != nil || result.Accepted != 0 {
		t.Errorf("the same version led to %+v, want an acknowledgement without effect", result)
	}
	if _, ok := c.state.Table.Queue("new"); !ok || c.state.Table.Version != 7 {
		t.Errorf("version %d is in force", c.state.Table.Version)
	}
}

// TestTheLedgerHoldsUnderAnyCommands holds after each of many drawn commands
// that sessions hold just what workflows say, and never more than they have.
func TestTheLedgerHoldsUnderAnyCommands(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			c := newWorkflowCell(t)
			for range 400 {
				drawCommand(c, random)
				checkLedger(t, c.state)
			}
			data, err := c.state.Encode()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := DecodeState(data)
			if err != nil {
				t.Fatal(err)
			}
			checkLedger(t, restored)
			if again, _ := restored.Encode(); string(again) != string(data) {
				t.Error("a snapshot does not survive its round trip")
			}
			if restored.ActiveWorkflows.Len() != c.state.ActiveWorkflows.Len() {
				t.Error("the active workflows are others after the round trip")
			}
		})
	}
}

func drawCommand(c *workflowCell, random *rand.Rand) {
	id := fmt.Sprint("job", random.IntN(12))
	name := modeler.TaskName{Workflow: id, Step: random.IntN(2), Index: random.IntN(3)}
	worker := fmt.Sprint("w", random.IntN(4))
	switch random.IntN(10) {
	case 0:
		c.announce(worker, int64(c.state.Revision))
	case 1, 2:
		first, second := step(1+random.IntN(3), 3), step(1+random.IntN(3), 2)
		first.Gang = random.IntN(2) == 0
		second.DependsOn = []int{0}
		c.submit(id, first, second)
	case 3:
		if random.IntN(4) == 0 {
			c.apply(Command{Kind: KindCancelWorkflow, Workflow: &modeler.WorkflowSpec{ID: id, Queue: "quotes"}})
		}
	case 4, 5, 6:
		sessions := Values(c.state.Sessions)
		w, _ := c.state.Workflows.Get(id)
		if len(sessions) == 0 || name.Step >= len(w.Spec.Steps) {
			return
		}
		var names []modeler.TaskName
		for i := range w.Spec.Steps[name.Step].Count {
			names = append(names, modeler.TaskName{Workflow: id, Step: name.Step, Index: i})
		}
		c.start(sessions[random.IntN(len(sessions))].Key(), names...)
	default:
		w, _ := c.state.Workflows.Get(id)
		held, _ := w.Task(name)
		outcomes := []AttemptOutcome{AttemptFinished, AttemptFinished, AttemptFailed, AttemptStopped, AttemptLapsed}
		c.end(held.Session, name, held.Attempt, outcomes[random.IntN(len(outcomes))])
	}
}

func checkLedger(t *testing.T, state State) {
	t.Helper()
	held := map[string]modeler.Resources{}
	for _, w := range Values(state.Workflows) {
		for position, run := range w.Runs {
			for _, task := range run.Tasks {
				if task.IsHeld() {
					need := w.Spec.Steps[position%len(w.Spec.Steps)].CountedNeed()
					held[task.Session] = held[task.Session].Plus(need)
				}
			}
		}
	}
	for _, s := range Values(state.Sessions) {
		if s.Used != held[s.Key()] {
			t.Fatalf("session %s uses %v, its tasks %v", s.Key(), s.Used, held[s.Key()])
		}
		if s.Free().IsNegative() {
			t.Fatalf("session %s holds more than it has: %v", s.Key(), s.Free())
		}
		delete(held, s.Key())
	}
	if len(held) > 0 {
		t.Fatalf("sessions that are not known hold %v", held)
	}
}
