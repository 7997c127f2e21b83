package reducer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// departmentTable returns a table with the queue of the fixture and the departments.
func departmentTable(version uint64, departments ...modeler.Department) *modeler.QueueTable {
	return &modeler.QueueTable{
		Version: version, Departments: departments, Pools: []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{
			Name: "quotes", Host: "h", Prefix: "/q/", Service: "planner", MaxAttempts: 2, Timeout: time.Second,
		}},
	}
}

// withDepartments returns a fixture whose table has departments red, with a cap of 8
// millicores, and blue, without one.
func withDepartments(t *testing.T) *workflowFixture {
	t.Helper()
	f := newWorkflowFixture(t)
	f.applyTable(2, modeler.Department{Name: "red", Keys: []string{"r1"}, Weight: 1, Cap: modeler.Resources{Processors: 8}},
		modeler.Department{Name: "blue", Keys: []string{"b1"}, Weight: 1})
	return f
}

func (f *workflowFixture) applyTable(version uint64, departments ...modeler.Department) {
	f.t.Helper()
	command := Command{Kind: KindApplyQueueTable, Table: departmentTable(version, departments...)}
	if result := f.apply(command); result.Refusal != nil {
		f.t.Fatal(result.Refusal)
	}
}

func (f *workflowFixture) submitFor(department, id string, steps ...modeler.StepSpec) *modeler.RefusalError {
	spec := modeler.WorkflowSpec{ID: id, Queue: "quotes", Department: department, Steps: steps}
	return f.apply(Command{Kind: KindSubmitWorkflow, Workflow: &spec}).Refusal
}

func (f *workflowFixture) mustSubmitForRed(id string, steps ...modeler.StepSpec) {
	f.t.Helper()
	if refusal := f.submitFor("red", id, steps...); refusal != nil {
		f.t.Fatal(refusal)
	}
}

func (f *workflowFixture) cancelFor(department, id string) int {
	spec := modeler.WorkflowSpec{ID: id, Queue: "quotes", Department: department}
	return f.apply(Command{Kind: KindCancelWorkflow, Workflow: &spec}).Accepted
}

func (f *workflowFixture) usage(department string) int64 {
	usage, _ := f.state.DepartmentUsage.Get(department)
	return usage.Processors
}

// restore encodes the state, reverses the order of each list in it, and decodes it.
func (f *workflowFixture) restore() {
	f.t.Helper()
	data, err := f.state.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		f.t.Fatal(err)
	}
	for _, name := range []string{"workflows", "sessions", "departments", "rates", "queues"} {
		var list []json.RawMessage
		if fields[name] == nil {
			continue
		}
		if err := json.Unmarshal(fields[name], &list); err != nil {
			f.t.Fatal(err)
		}
		slices.Reverse(list)
		fields[name], _ = json.Marshal(list)
	}
	reversed, _ := json.Marshal(fields)
	if f.state, err = DecodeState(reversed); err != nil {
		f.t.Fatal(err)
	}
	if again, err := f.state.Encode(); err != nil || string(again) != string(data) {
		f.t.Fatalf("the restored state has a different encoding (%v)", err)
	}
}

// TestLedgerAgreesWithNaiveCount guards against usage that is lost or kept when attempts
// or sessions end, when tables change or when a snapshot is restored, against a start above
// a cap, and against one that is refused below it.
func TestLedgerAgreesWithNaiveCount(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			l := ledgerComparison{workflowFixture: withDepartments(t), random: random, caps: map[string]int64{"red": 8}}
			for range 500 {
				l.step()
			}
			if l.refusedByCap == 0 || l.started == 0 {
				t.Errorf("%d starts were applied and %d refused by a cap; the commands test nothing", l.started, l.refusedByCap)
			}
		})
	}
}

// ledgerComparison applies random commands and counts what departments hold naively.
type ledgerComparison struct {
	*workflowFixture
	random *rand.Rand
	// caps holds the last caps of the departments that have one, in millicores.
	caps                  map[string]int64
	started, refusedByCap int
}

func (l *ledgerComparison) step() {
	l.t.Helper()
	department := []string{"red", "blue", ""}[l.random.IntN(3)]
	id := fmt.Sprint("job", l.random.IntN(20))
	switch l.random.IntN(12) {
	case 0:
		l.announce(fmt.Sprint("w", l.random.IntN(6)), int64(l.state.Revision))
	case 1, 2, 3:
		first, second := step(1+l.random.IntN(3), 3), step(1+l.random.IntN(3), 2)
		first.Gang, second.UsesIdleProcessors = l.random.IntN(2) == 0, true
		// Refused if another department has the ID.
		_ = l.submitFor(department, id, first, second)
	case 4:
		l.cancelFor(department, id)
	case 5:
		l.restore()
	case 6:
		l.changeTable()
	case 7:
		if sessions := Values(l.state.Sessions); len(sessions) > 0 && l.random.IntN(3) == 0 {
			key := sessions[l.random.IntN(len(sessions))].Key()
			l.apply(Command{Kind: KindEndSessions, Names: []string{key}, ReportsBegins: l.random.IntN(2) == 0})
		}
	case 8, 9, 10:
		l.startStep(id)
	default:
		name := modeler.TaskName{Workflow: id, Step: l.random.IntN(2), Index: l.random.IntN(3)}
		w, _ := l.state.Workflows.Get(id)
		held, _ := w.Task(name)
		outcomes := []AttemptOutcome{AttemptFinished, AttemptFailed, AttemptStopped, AttemptRefused}
		l.end(held.Session, name, held.Attempt, outcomes[l.random.IntN(len(outcomes))])
	}
	for _, d := range []string{"red", "blue"} {
		if got, want := l.usage(d), l.count(d); got != want {
			l.t.Fatalf("revision %d: the ledger of %s has %d millicores, its tasks hold %d", l.state.Revision, d, got, want)
		}
	}
	if got, ok := l.state.DepartmentUsage.Get(""); ok {
		l.t.Fatalf("work without a department is in the ledger: %+v", got)
	}
}

// count returns what the department's tasks hold, in millicores.
func (l *ledgerComparison) count(department string) int64 {
	var sum int64
	for _, w := range Values(l.state.Workflows) {
		for i, run := range w.Runs {
			for _, task := range run.Tasks {
				if w.Spec.Department == department && task.Session != "" {
					sum += w.Spec.Steps[i%len(w.Spec.Steps)].Need.Processors
				}
			}
		}
	}
	return sum
}

// changeTable removes department red, or sets its cap.
func (l *ledgerComparison) changeTable() {
	departments := []modeler.Department{{Name: "blue", Weight: 1}}
	if l.random.IntN(3) > 0 {
		l.caps["red"] = 4 + l.random.Int64N(10)
		red := modeler.Department{Name: "red", Cap: modeler.Resources{Processors: l.caps["red"]}}
		departments = append(departments, red)
	}
	l.applyTable(l.state.QueueTable.Version+1, departments...)
}

// startStep starts the tasks of a step that wait on a new session, which has room for all, and
// compares how many are accepted with the room below the cap.
func (l *ledgerComparison) startStep(id string) {
	l.t.Helper()
	w, ok := l.state.Workflows.Get(id)
	if !ok || w.IsEnded() {
		return
	}
	position := l.random.IntN(len(w.Runs))
	s := w.Spec.Steps[position]
	var names []modeler.TaskName
	for i, task := range w.Runs[position].Tasks {
		if task.Phase == modeler.TaskWaiting && task.Session == "" {
			names = append(names, modeler.TaskName{Workflow: id, Step: position, Index: i})
		}
	}
	if s.Gang && len(names) < s.Count {
		return
	}
	session := l.announce(fmt.Sprint("big", l.state.Revision), 1)
	want := len(names)
	if limit, ok := l.caps[w.Spec.Department]; ok {
		room := max(0, limit-l.count(w.Spec.Department)) / s.Need.Processors
		want = min(want, int(room))
		if s.Gang && want < s.Count {
			want = 0
		}
	}
	got := l.start(session, names...)
	if got != want {
		l.t.Fatalf("revision %d: %d of %d tasks of %s started, want %d (usage %d, caps %v)", l.state.Revision, got, len(names),
			w.Spec.Department, want, l.usage(w.Spec.Department), l.caps)
	}
	l.started += got
	l.refusedByCap += len(names) - got
}

// TestSecondLeaderCannotExceedACap guards against a new leader that plans without knowing
// the starts of the former one: the same room below the cap is used only once, a gang
// starts as a whole or not at all, and a lower cap stops nothing.
func TestSecondLeaderCannotExceedACap(t *testing.T) {
	t.Parallel()
	f := withDepartments(t)
	first, second := f.announce("w0", 1), f.announce("w1", 1)
	gang := step(3, 2)
	gang.Gang = true
	for id, s := range map[string]modeler.StepSpec{"a": step(2, 3), "b": gang, "c": step(2, 3)} {
		f.mustSubmitForRed(id, s)
	}
	if got := f.start(first, task("a", 0), task("a", 1)); got != 2 {
		t.Fatalf("%d tasks started below the cap, want 2", got)
	}
	if got := f.start(second, task("c", 0), task("c", 1)); got != 0 {
		t.Errorf("%d tasks of a plan without the first starts began above the cap", got)
	}
	if got := f.start(second, task("b", 0), task("b", 1), task("b", 2)); got != 0 || f.usage("red") != 6 {
		t.Errorf("%d tasks of a gang that fits only in part started, the ledger has %d", got, f.usage("red"))
	}
	f.applyTable(3, modeler.Department{Name: "red", Cap: modeler.Resources{Processors: 2}})
	if f.usage("red") != 6 {
		t.Errorf("a lower cap changed the ledger to %d", f.usage("red"))
	}
	f.end(first, task("a", 0), 1, AttemptFinished)
	if got := f.start(second, task("c", 0)); got != 0 || f.usage("red") != 3 {
		t.Errorf("%d tasks started above the lowered cap, the ledger has %d", got, f.usage("red"))
	}
}

// TestDepartmentsDoNotTouchEachOthersWorkflows guards against a cancellation or a
// submission with another department's key that takes effect on a workflow.
func TestDepartmentsDoNotTouchEachOthersWorkflows(t *testing.T) {
	t.Parallel()
	f := withDepartments(t)
	phase := func(id string) modeler.WorkflowPhase {
		w, _ := f.state.Workflows.Get(id)
		return w.Phase
	}
	f.mustSubmitForRed("a", step(1, 1))
	if f.cancelFor("blue", "a") != 0 || f.cancelFor("", "a") != 0 || phase("a") != modeler.WorkflowWaiting {
		t.Errorf("another department's cancellation left the workflow %s", phase("a"))
	}
	if refusal := f.submitFor("blue", "a", step(1, 1)); refusal == nil || refusal.Code != modeler.CodeConflict {
		t.Errorf("the ID of another department was refused by %v, want a conflict", refusal)
	}
	f.cancelFor("red", "a")
	if refusal := f.submitFor("blue", "a", step(1, 1)); refusal == nil || refusal.Code != modeler.CodeConflict {
		t.Errorf("the ID of another department's ended workflow was refused by %v, want a conflict", refusal)
	}

	f.cancelFor("blue", "b")
	f.mustSubmitForRed("b", step(1, 1))
	if phase("b") != modeler.WorkflowWaiting {
		t.Errorf("another department's early cancellation left the workflow %s", phase("b"))
	}
	f.cancelFor("blue", "c")
	f.cancelFor("red", "c")
	f.restore()
	f.mustSubmitForRed("c", step(1, 1))
	if phase("c") != modeler.WorkflowCancelled {
		t.Errorf("the department's own early cancellation after another's left the workflow %s", phase("c"))
	}
}

// TestWorkflowFromBeforeDepartmentsStaysUsable guards against callers who cannot repeat
// or cancel what they submitted before they got keys.
func TestWorkflowFromBeforeDepartmentsStaysUsable(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	f.submit("a", step(1, 1))
	f.start(f.announce("w0", 1), task("a", 0))
	data, err := f.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields["departments"] != nil || fields["rates"] != nil {
		t.Fatalf("a state without departments mentions them in its snapshot (%v)", err)
	}
	f.restore()
	f.applyTable(2, modeler.Department{Name: "red", Cap: modeler.Resources{Processors: 1}})
	if f.state.DepartmentUsage.Len() != 0 || f.state.Departments.Len() != 1 {
		t.Errorf("a snapshot from before departments gave the usage of %d departments", f.state.DepartmentUsage.Len())
	}
	if refusal := f.submitFor("red", "a", step(1, 1)); refusal != nil {
		t.Errorf("the submission sent again with a key was refused: %v", refusal)
	}
	if f.cancelFor("red", "a") != 1 {
		t.Error("the cancellation with a key had no effect")
	}
}

// TestTableOfSecondOperatorIsIgnoredAsAWhole guards against departments of two tables
// with the same version that are mixed.
func TestTableOfSecondOperatorIsIgnoredAsAWhole(t *testing.T) {
	t.Parallel()
	f := withDepartments(t)
	f.applyTable(3, modeler.Department{Name: "red", Keys: []string{"first"}, Cap: modeler.Resources{Processors: 1}})
	f.applyTable(3, modeler.Department{Name: "red", Keys: []string{"second"}}, modeler.Department{Name: "green"})
	red, _ := f.state.Departments.Get("red")
	_, hasSecond := f.state.QueueTable.DepartmentOfKey("second")
	_, hasGreen := f.state.Departments.Get("green")
	if _, hasFirst := f.state.QueueTable.DepartmentOfKey("first"); !hasFirst || hasSecond || hasGreen || red.Cap.Processors != 1 {
		t.Errorf("two tables with version 3 gave departments %+v", Values(f.state.Departments))
	}
}

// TestSubmissionsBeyondTheRateAreMarked compares the marks with a token bucket that is
// counted in whole units, also across snapshots.
func TestSubmissionsBeyondTheRateAreMarked(t *testing.T) {
	t.Parallel()
	for _, weight := range []int64{0, 1, 2, 5, 10} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(weight), 2))
			f := newWorkflowFixture(t)
			f.applyTable(2, modeler.Department{Name: "red", Weight: float64(weight)})
			// One token is a second of one unit per nanosecond.
			const token = int64(time.Second)
			full := max(2*weight, 2) * token
			level, at := full, f.state.Now
			for i := range 300 {
				f.apply(Command{Kind: KindNoop})
				f.state.Now = f.state.Now.Add(time.Duration(random.Int64N(int64(time.Second) * 3 / max(1, 2*weight))))
				if i%50 == 0 {
					f.restore()
				}
				id := fmt.Sprint("job", i)
				f.mustSubmitForRed(id, step(1, 1))
				level = min(full, level+weight*int64(f.state.Now.Sub(at)))
				at = f.state.Now
				beyond := level < token
				if !beyond {
					level -= token
				}
				if w, _ := f.state.Workflows.Get(id); w.BeyondRate != beyond {
					t.Fatalf("submission %d: beyond the rate: %t, want %t (level %d)", i, w.BeyondRate, beyond, level)
				}
			}
		})
	}
}

// TestAuditNamesDepartmentsWhoseKeysChange guards against a key that changes hands without
// a record, and against keys in the audit trail.
func TestAuditNamesDepartmentsWhoseKeysChange(t *testing.T) {
	t.Parallel()
	f := withDepartments(t)
	green := modeler.Department{Name: "green", Keys: []string{"b1"}}
	f.applyTable(3, modeler.Department{Name: "red", Keys: []string{"r1", "r2"}}, green)
	f.applyTable(4, modeler.Department{Name: "red", Keys: []string{"r2", "r1"}}, green)
	var got []string
	for i := range f.state.Audit.Len() {
		if r := f.state.Audit.Get(i); r.Action == "changeKeys" {
			got = append(got, fmt.Sprintf("%d %s %s", r.ToVersion, r.Subject, r.Result))
		}
	}
	want := []string{
		"2 department:blue 1 added, 0 removed", "2 department:red 1 added, 0 removed", "3 department:blue 0 added, 1 removed",
		"3 department:green 1 added, 0 removed", "3 department:red 1 added, 0 removed",
	}
	if !slices.Equal(got, want) {
		t.Errorf("audited %q, want %q", got, want)
	}
}
