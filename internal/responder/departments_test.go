package responder_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// keyedTable returns a table with departments red, which has the keys, and blue, a queue
// that needs a key and one that does not.
func keyedTable(version uint64, redKeys ...string) modeler.QueueTable {
	queue := modeler.Queue{Name: "lists", Host: "h", Prefix: "/q/", Service: "planner", MaxAttempts: 1, Timeout: time.Second}
	public := queue
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	return modeler.QueueTable{
		Version: version, Pools: []modeler.Pool{{Name: "planner"}}, Queues: []modeler.Queue{queue, public},
		Departments: []modeler.Department{
			{Name: "red", Keys: redKeys, Weight: 1, Cap: modeler.Resources{Processors: 4}},
			{Name: "blue", Keys: []string{"kBlue"}, Weight: 1},
		},
	}
}

// useKeys applies the keyed table and submits the workflow "aa" of two tasks for red.
func (c *cell) useKeys() {
	c.t.Helper()
	c.awaitLeader()
	c.mustCall(messenger.MethodApplyQueueTable, messenger.ApplyQueueTableCall{Table: keyedTable(readTableVersion, "kRed")}, nil)
	c.mustCall(messenger.MethodSubmitWorkflow, submissionOf("/q/aa", "kRed"), nil)
	time.Sleep(time.Second)
}

func target(path, key string) messenger.RequestTarget {
	return messenger.RequestTarget{Host: "h", Path: path, Key: key}
}

func submissionOf(path, key string) messenger.SubmitWorkflowCall {
	return messenger.SubmitWorkflowCall{Target: target(path, key), Spec: modeler.WorkflowSpec{
		Steps: []modeler.StepSpec{{Count: 2, Need: modeler.Resources{Processors: 3}}},
	}}
}

func codeOf(err error) modeler.RefusalCode {
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

// TestCallsAreAnsweredByTheirKey guards against calls that take effect with a missing,
// unknown or foreign key, and against refusals that don't name their table.
func TestCallsAreAnsweredByTheirKey(t *testing.T) {
	const (
		accepted = modeler.RefusalCode("")
		refused  = modeler.CodeUnauthenticated
	)
	cancellation := func(path, key string) messenger.WorkflowCall {
		return messenger.WorkflowCall{Target: target(path, key)}
	}
	tests := map[string]struct {
		method string
		call   any
		want   modeler.RefusalCode
	}{
		"submission":                  {messenger.MethodSubmitWorkflow, submissionOf("/q/bb", "kBlue"), accepted},
		"submission sent again":       {messenger.MethodSubmitWorkflow, submissionOf("/q/aa", "kRed"), accepted},
		"submission of another's ID":  {messenger.MethodSubmitWorkflow, submissionOf("/q/aa", "kBlue"), modeler.CodeConflict},
		"submission without a key":    {messenger.MethodSubmitWorkflow, submissionOf("/q/bb", ""), refused},
		"submission, unknown key":     {messenger.MethodSubmitWorkflow, submissionOf("/q/bb", "kOther"), refused},
		"public submission":           {messenger.MethodSubmitWorkflow, submissionOf("/open/bb", ""), accepted},
		"public, unknown key":         {messenger.MethodSubmitWorkflow, submissionOf("/open/bb", "kOther"), refused},
		"no route, unknown key":       {messenger.MethodSubmitWorkflow, submissionOf("/other/bb", "kOther"), modeler.CodeNotFound},
		"read with another's key":     {messenger.MethodGetWorkflow, cancellation("/q/aa", "kBlue"), accepted},
		"read without a key":          {messenger.MethodGetWorkflow, cancellation("/q/aa", ""), refused},
		"queue read without a key":    {messenger.MethodGetQueue, cancellation("/q/", ""), refused},
		"cancellation":                {messenger.MethodCancelWorkflow, cancellation("/q/aa", "kRed"), accepted},
		"another's cancellation":      {messenger.MethodCancelWorkflow, cancellation("/q/aa", "kBlue"), modeler.CodeNotFound},
		"cancellation through public": {messenger.MethodCancelWorkflow, cancellation("/open/aa", ""), modeler.CodeNotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
				c.useKeys()
				leader := c.leader()
				err := c.callMember(leader, "entry", tt.method, tt.call, nil)
				if got := codeOf(err); got != tt.want || (err != nil && got == "") {
					t.Fatalf("got %v, want %q", err, tt.want)
				}
				var refusal *modeler.RefusalError
				if errors.As(err, &refusal) && refusal.QueueTable != readTableVersion {
					t.Errorf("the refusal names table %d", refusal.QueueTable)
				}
				state := leader.running().coordinator.State()
				if _, exists := state.Workflows.Get("bb"); exists && tt.want != accepted {
					t.Error("the refused submission is in the state")
				}
				w, _ := state.Workflows.Get("aa")
				cancelled := tt.method == messenger.MethodCancelWorkflow && tt.want == accepted
				if w.Spec.Department != "red" || w.IsEnded() != cancelled {
					t.Errorf("workflow of %q is %s", w.Spec.Department, w.Phase)
				}
			})
		})
	}
}

// TestChangedKeysTakeEffectOnEveryMember guards against a follower that answers by a key
// which was removed, or refuses one that was added, by an older table.
func TestChangedKeysTakeEffectOnEveryMember(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		behind := c.followers()[0]
		c.setPartitioned(behind.id, true)
		c.mustCall(messenger.MethodApplyQueueTable, messenger.ApplyQueueTableCall{Table: keyedTable(readTableVersion+1, "kNew")}, nil)
		read := func(m *member, key string, minTable uint64) error {
			call := messenger.WorkflowCall{Target: target("/q/aa", key), MinTable: minTable}
			return c.callMember(m, "entry", messenger.MethodGetWorkflow, call, nil)
		}
		if err := read(behind, "kNew", 0); !isRefusedByFollower(err) {
			t.Errorf("a follower that does not know a key answers %v, want that it does not lead", err)
		}
		if err := read(behind, "kRed", readTableVersion+1); !isRefusedByFollower(err) {
			t.Errorf("a follower with an older table than asked for answers %v", err)
		}
		if err := read(c.leader(), "kRed", 0); codeOf(err) != modeler.CodeUnauthenticated {
			t.Errorf("the leader answers a removed key with %v", err)
		}
		if err := read(c.leader(), "kNew", 0); err != nil {
			t.Errorf("the leader refuses an added key: %v", err)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, m := range c.members {
			if err := read(m, "kRed", 0); err == nil {
				t.Errorf("%s answers by a removed key", m.id)
			}
		}
	})
}

// TestDepartmentsShareNoSubmission guards against a department that is told that its
// workflow was accepted, because another submitted the same ID at the same time.
func TestDepartmentsShareNoSubmission(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		leader := c.leader()
		results := make(chan modeler.RefusalCode, 2)
		for _, key := range []string{"kRed", "kBlue"} {
			go func() {
				results <- codeOf(c.callMember(leader, "entry", messenger.MethodSubmitWorkflow, submissionOf("/q/bb", key), nil))
			}()
		}
		first, second := <-results, <-results
		if (first == "") == (second == "") || first+second != modeler.CodeConflict {
			t.Errorf("two departments that submit the same ID get %q and %q, want one conflict", first, second)
		}
	})
}

// TestLeaderThatMayBeReplacedDoesNotRefuseAKey guards against a leader that refuses a key
// which a table of its successor may have, or that leaves open whether the call ran.
func TestLeaderThatMayBeReplacedDoesNotRefuseAKey(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		leader := c.leader()
		c.setPartitioned(leader.id, true)
		// Longer than the leadership lease, and shorter than a leader takes to step down.
		time.Sleep(450 * time.Millisecond)
		err := c.callMember(leader, "entry", messenger.MethodSubmitWorkflow, submissionOf("/q/bb", "kNew"), nil)
		if codeOf(err) != modeler.CodeUnavailable {
			t.Errorf("got %v, want %q", err, modeler.CodeUnavailable)
		}
	})
}

// TestLedgerSurvivesALeader guards against a new leader that starts tasks above a cap which
// the former leader's starts had reached.
func TestLedgerSurvivesALeader(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		start := func(index int) int {
			result, err := c.leader().running().coordinator.Propose(ctx, reducer.Command{
				Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{{
					Task: modeler.TaskName{Workflow: "aa", Index: index}, Session: "w0@1",
				}},
			})
			if err != nil {
				t.Error(err)
			}
			return result.Accepted
		}
		announce := reducer.Command{Kind: reducer.KindAnnounceSession, Session: &modeler.Session{
			Worker: "w0", StartedAtMillis: 1, Address: "w0:1", Service: "planner", Capacity: modeler.Resources{Processors: 100},
		}}
		if _, err := c.leader().running().coordinator.Propose(ctx, announce); err != nil {
			t.Fatal(err)
		}
		if start(0) != 1 {
			t.Error("a start below the cap is refused")
		}
		former := c.leader()
		c.crash(former)
		c.awaitLeader()
		if start(1) != 0 {
			t.Error("the new leader exceeds the cap")
		}
		c.restart(former)
		time.Sleep(3 * time.Second)
		for _, m := range c.members {
			usage, _ := m.running().coordinator.State().DepartmentUsage.Get("red")
			if usage.Processors != 3 {
				t.Errorf("%s counts %d millicores, want 3", m.id, usage.Processors)
			}
		}
	})
}

// TestDepartmentsAreListedWithoutKeys guards against operators who cannot see what a
// department holds and waits for, also once it was removed, or who see its keys.
func TestDepartmentsAreListedWithoutKeys(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		for _, path := range []string{"/q/b1", "/q/b2", "/q/b3"} {
			c.mustCall(messenger.MethodSubmitWorkflow, submissionOf(path, "kRed"), nil)
		}
		table := keyedTable(readTableVersion+1, "kRed")
		table.Departments = table.Departments[:1]
		c.mustCall(messenger.MethodApplyQueueTable, messenger.ApplyQueueTableCall{Table: table}, nil)
		var raw json.RawMessage
		c.mustCall(messenger.MethodGetDepartments, struct{}{}, &raw)
		var got []messenger.DepartmentStatus
		if err := json.Unmarshal(raw, &got); err != nil || len(got) != 2 {
			t.Fatalf("departments are %s (%v)", raw, err)
		}
		if strings.Contains(string(raw), "kRed") || !got[0].Removed || got[0].Name != "blue" {
			t.Errorf("departments are %s", raw)
		}
		// One token of the rate was filled again meanwhile.
		if red := got[1]; red.Waiting != 4 || red.BeyondRate != 1 || red.Cap.Processors != 4 || red.Removed {
			t.Errorf("department red is %+v", red)
		}
	})
}
