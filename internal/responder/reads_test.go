package responder_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const readTableVersion = 7

// submitForReading configures one queue, and submits a workflow that never starts.
func (c *cell) submitForReading() messenger.WorkflowCall {
	c.t.Helper()
	c.awaitLeader()
	c.mustCall(messenger.MethodApplyQueueTable, messenger.ApplyQueueTableCall{Table: modeler.QueueTable{
		Version: readTableVersion, Pools: []modeler.Pool{{Name: "planner"}},
		Queues: []modeler.Queue{{
			Name: "lists", Host: "h", Prefix: "/q/", Service: "planner", MaxAttempts: 1, Timeout: time.Second, DeadlineFactor: 1,
		}},
	}}, nil)
	target := messenger.RequestTarget{Host: "h", Path: "/q/5c0e7a21d94b36f8"}
	c.mustCall(messenger.MethodSubmitWorkflow, messenger.SubmitWorkflowCall{Target: target, Spec: modeler.WorkflowSpec{
		Steps: []modeler.StepSpec{{Count: 1, Need: modeler.Resources{Processors: 1}}},
	}}, nil)
	time.Sleep(time.Second)
	return messenger.WorkflowCall{Target: target}
}

// followers returns the members that do not lead.
func (c *cell) followers() []*member {
	var followers []*member
	for _, m := range c.members {
		if m != c.leader() {
			followers = append(followers, m)
		}
	}
	return followers
}

func isRefusedByFollower(err error) bool {
	var refusal *modeler.RefusalError
	return errors.As(err, &refusal) && refusal.Code == modeler.CodeNotLeader
}

// TestCallersReadingStatesDoNotLoadTheLeader checks that followers answer the calls
// whose number grows with the workflows that wait.
func TestCallersReadingStatesDoNotLoadTheLeader(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		call := c.submitForReading()
		for _, m := range c.followers() {
			var workflow messenger.WorkflowStatus
			if err := c.callMember(m, "entry", messenger.MethodGetWorkflow, call, &workflow); err != nil {
				t.Errorf("%s does not answer for a workflow: %v", m.id, err)
			}
			if workflow.Phase != modeler.WorkflowWaiting || workflow.Table != readTableVersion {
				t.Errorf("%s answers %+v, want a waiting workflow by table %d", m.id, workflow, readTableVersion)
			}
			queue := messenger.WorkflowCall{Target: messenger.RequestTarget{Host: "h", Path: "/q/"}}
			var status messenger.QueueStatus
			if err := c.callMember(m, "entry", messenger.MethodGetQueue, queue, &status); err != nil || status.Waiting != 1 {
				t.Errorf("%s answers that %d workflows wait (%v), want 1", m.id, status.Waiting, err)
			}
		}
	})
}

// TestEveryMemberShowsWorkflowsThatHaveNotBegunAsWaiting guards against members that leave
// out of the number of waiting workflows those whose starts are unconfirmed.
func TestEveryMemberShowsWorkflowsThatHaveNotBegunAsWaiting(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, _ *runner.Group) {
		call := c.submitForReading()
		attempt := modeler.Attempt{Task: modeler.TaskName{Workflow: "5c0e7a21d94b36f8"}, Session: "w0@1"}
		first := attempt
		first.Number = 1
		steps := []struct {
			command     reducer.Command
			wantPhase   modeler.WorkflowPhase
			wantWaiting int
		}{
			{
				command: reducer.Command{Kind: reducer.KindAnnounceSession, Session: &modeler.Session{
					Worker: "w0", StartedAtMillis: 1, Address: "w0:1", Service: "planner", Capacity: modeler.Resources{Processors: 1},
				}},
				wantPhase: modeler.WorkflowWaiting, wantWaiting: 1,
			},
			{
				command:   reducer.Command{Kind: reducer.KindStartAttempts, Attempts: []modeler.Attempt{attempt}},
				wantPhase: modeler.WorkflowWaiting, wantWaiting: 1,
			},
			{
				command:   reducer.Command{Kind: reducer.KindEndAttempts, Begins: []modeler.Attempt{first}},
				wantPhase: modeler.WorkflowRunning,
			},
		}
		for _, s := range steps {
			if result, err := c.leader().running().coordinator.Propose(ctx, s.command); err != nil || result.Refusal != nil {
				t.Errorf("%s was not applied: %v", s.command.Kind, err)
				return
			}
			time.Sleep(time.Second)
			for _, m := range c.members {
				var workflow messenger.WorkflowStatus
				var queue messenger.QueueStatus
				err := c.callMember(m, "entry", messenger.MethodGetWorkflow, call, &workflow)
				if err != nil || workflow.Phase != s.wantPhase {
					t.Errorf("%s after %s: workflow is shown as %s (%v), want %s", m.id, s.command.Kind, workflow.Phase, err, s.wantPhase)
				}
				queueCall := messenger.WorkflowCall{Target: messenger.RequestTarget{Host: "h", Path: "/q/"}}
				err = c.callMember(m, "entry", messenger.MethodGetQueue, queueCall, &queue)
				if err != nil || queue.Waiting != s.wantWaiting {
					t.Errorf("%s after %s: %d workflows wait (%v), want %d", m.id, s.command.Kind, queue.Waiting, err, s.wantWaiting)
				}
			}
		}
	})
}

func TestFollowerLeavesReadsToTheLeader(t *testing.T) {
	tests := map[string]struct {
		change func(*messenger.WorkflowCall)
		// cutOff is how long the follower has had no contact to the leader.
		cutOff time.Duration
	}{
		"of a workflow that it does not know": {change: func(call *messenger.WorkflowCall) { call.Target.Path = "/q/aa" }},
		"of a route that it does not know":    {change: func(call *messenger.WorkflowCall) { call.Target.Host = "other" }},
		"by a later queue table than its own": {change: func(call *messenger.WorkflowCall) { call.MinTable = readTableVersion + 1 }},
		"while it is cut off":                 {change: func(*messenger.WorkflowCall) {}, cutOff: 1500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
				call := c.submitForReading()
				follower := c.followers()[0]
				if tt.cutOff > 0 {
					c.setPartitioned(follower.id, true)
					time.Sleep(tt.cutOff)
				}
				tt.change(&call)
				err := c.callMember(follower, "entry", messenger.MethodGetWorkflow, call, nil)
				if !isRefusedByFollower(err) {
					t.Errorf("got %v, want a refusal as the follower does not lead", err)
				}
			})
		})
	}
}

func TestFollowerShowsEndOfWorkflowRightAfterItsCommit(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		call := c.submitForReading()
		phase := make(chan modeler.WorkflowPhase, 1)
		go func() {
			var status messenger.WorkflowStatus
			if err := c.callMember(c.followers()[0], "entry", messenger.MethodGetWorkflow, call, &status); err != nil {
				t.Error(err)
			}
			phase <- status.Phase
		}()
		c.mustCall(messenger.MethodCancelWorkflow, call, nil)
		if got := <-phase; got != modeler.WorkflowCancelled {
			t.Errorf("got %q, want %q", got, modeler.WorkflowCancelled)
		}
	})
}

// TestSubmissionSentAgainWhileItsAnswerIsLateIsCommittedOnce checks that a caller that
// does not wait for a slow leader adds no entries to its log.
func TestSubmissionSentAgainWhileItsAnswerIsLateIsCommittedOnce(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		call := c.submitForReading()
		call.Target.Path = "/q/00000000000000aa"
		submission := messenger.SubmitWorkflowCall{Target: call.Target, Spec: modeler.WorkflowSpec{
			Steps: []modeler.StepSpec{{Count: 1, Need: modeler.Resources{Processors: 1}}},
		}}
		leader := c.leader()
		before := leader.running().coordinator.State().Revision
		const copies = 5
		results := make(chan error, copies)
		for range copies {
			go func() { results <- c.callMember(leader, "entry", messenger.MethodSubmitWorkflow, submission, nil) }()
		}
		for range copies {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		if got := leader.running().coordinator.State().Revision - before; got != 1 {
			t.Errorf("%d copies of a submission added %d entries to the log, want 1", copies, got)
		}
	})
}

// TestAnswersOnWorkflowsNameTheirQueueTable guards against an entry that can't know by which
// queue table the leader has answered it.
func TestAnswersOnWorkflowsNameTheirQueueTable(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		known := c.submitForReading()
		unrouted, unknown := known, known
		unrouted.Target.Host, unknown.Target.Path = "other", "/q/aa"
		submission := messenger.SubmitWorkflowCall{Target: known.Target, Spec: modeler.WorkflowSpec{
			Steps: []modeler.StepSpec{{Count: 1, Need: modeler.Resources{Processors: 1}}},
		}}
		unroutedSubmission := submission
		unroutedSubmission.Target = unrouted.Target
		tests := map[string]struct {
			method      string
			call        any
			wantRefusal bool
		}{
			"a submission": {messenger.MethodSubmitWorkflow, submission, false},
			"a submission to a route that is missing": {messenger.MethodSubmitWorkflow, unroutedSubmission, true},
			"a read":                                {messenger.MethodGetWorkflow, known, false},
			"a read of a route that is missing":     {messenger.MethodGetWorkflow, unrouted, true},
			"a read of an unknown workflow":         {messenger.MethodGetWorkflow, unknown, true},
			"a queue that is missing":               {messenger.MethodGetQueue, unrouted, true},
			"a cancellation":                        {messenger.MethodCancelWorkflow, known, false},
			"a cancellation of an unknown workflow": {messenger.MethodCancelWorkflow, unknown, true},
		}
		for name, tt := range tests {
			var answer struct {
				Table uint64 `json:"table"`
			}
			err := c.callMember(c.leader(), "entry", tt.method, tt.call, &answer)
			var refusal *modeler.RefusalError
			table := answer.Table
			if errors.As(err, &refusal) {
				table = refusal.QueueTable
			}
			if (refusal != nil) != tt.wantRefusal || table != readTableVersion {
				t.Errorf("%s: answered by queue table %d (%v), want %d, refused: %t", name, table, err, readTableVersion, tt.wantRefusal)
			}
		}
	})
}
