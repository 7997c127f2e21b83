package reducer

import (
	"testing"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// action changes the state of a workflow whose first task was started on the session.
type action func(f *workflowFixture, session string)

func (f *workflowFixture) begin(session string, name modeler.TaskName, number int) {
	f.t.Helper()
	f.apply(Command{Kind: KindEndAttempts, Begins: []modeler.Attempt{{Task: name, Session: session, Number: number}}})
}

// TestOnlyKnownBeginsEndTheWait guards against workflows that count as begun because an
// attempt is over that no worker confirmed or listed.
func TestOnlyKnownBeginsEndTheWait(t *testing.T) {
	t.Parallel()
	endWith := func(outcome AttemptOutcome) action {
		return func(f *workflowFixture, worker string) { f.end(worker, task("a", 0), 1, outcome) }
	}
	endSession := func(reportsBegins bool) action {
		return func(f *workflowFixture, worker string) {
			f.apply(Command{Kind: KindEndSessions, Names: []string{worker}, ReportsBegins: reportsBegins})
		}
	}
	announceLaterLife := func(reportsBegins bool) action {
		return func(f *workflowFixture, _ string) {
			s := modeler.Session{Worker: "w0", StartedAtMillis: 2, Address: "w0:1", Service: "planner"}
			f.apply(Command{Kind: KindAnnounceSession, Session: &s, ReportsBegins: reportsBegins})
		}
	}
	begin := func(f *workflowFixture, worker string) { f.begin(worker, task("a", 0), 1) }
	tests := map[string]struct {
		act  []action
		want modeler.WorkflowPhase
	}{
		"the start is committed": {want: modeler.WorkflowWaiting},
		"an attempt has begun":   {act: []action{begin}, want: modeler.WorkflowRunning},
		"another attempt has begun": {
			act:  []action{func(f *workflowFixture, worker string) { f.begin(worker, task("a", 0), 2) }},
			want: modeler.WorkflowWaiting,
		},
		"the attempt has begun on another session": {
			act:  []action{func(f *workflowFixture, _ string) { f.begin("w1@1", task("a", 0), 1) }},
			want: modeler.WorkflowWaiting,
		},
		"a task that does not exist has begun": {
			act:  []action{func(f *workflowFixture, worker string) { f.begin(worker, task("a", 9), 1) }},
			want: modeler.WorkflowWaiting,
		},
		"the attempt was refused": {
			act: []action{endWith(AttemptRefused)}, want: modeler.WorkflowWaiting,
		},
		"the attempt was not confirmed": {
			act: []action{endWith(AttemptUnconfirmed)}, want: modeler.WorkflowWaiting,
		},
		"the attempt has begun and was not confirmed again": {
			act: []action{begin, endWith(AttemptUnconfirmed)}, want: modeler.WorkflowRunning,
		},
		"the attempt has lapsed": {
			act: []action{endWith(AttemptLapsed)}, want: modeler.WorkflowRunning,
		},
		"the attempt was stopped": {
			act: []action{endWith(AttemptStopped)}, want: modeler.WorkflowRunning,
		},
		"the attempt has failed": {
			act: []action{endWith(AttemptFailed)}, want: modeler.WorkflowRunning,
		},
		"the attempt has finished": {
			act: []action{endWith(AttemptFinished)}, want: modeler.WorkflowRunning,
		},
		"the session has ended": {
			act: []action{endSession(true)}, want: modeler.WorkflowWaiting,
		},
		"the session has ended after the begin": {
			act: []action{begin, endSession(true)}, want: modeler.WorkflowRunning,
		},
		"the session was ended by a leader that reports no begins": {
			act: []action{endSession(false)}, want: modeler.WorkflowRunning,
		},
		"a later life has ended the session": {
			act: []action{announceLaterLife(true)}, want: modeler.WorkflowWaiting,
		},
		"a later life has ended the session, for a leader that reports no begins": {
			act: []action{announceLaterLife(false)}, want: modeler.WorkflowRunning,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWorkflowFixture(t)
			worker := f.announce("w0", 1)
			f.submit("a", step(2, 4))
			f.start(worker, task("a", 0))
			for _, act := range tt.act {
				act(f, worker)
			}
			w, _ := f.state.Workflows.Get("a")
			if got := w.ReportedPhase(); got != tt.want {
				t.Errorf("workflow is shown as %s, want %s", got, tt.want)
			}
		})
	}
}

// TestUnconfirmedAttemptCountsAsNoFailure guards against workflows that fail by starts that
// no worker carried out.
func TestUnconfirmedAttemptCountsAsNoFailure(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(1, 4))
	for number := range 5 {
		if f.start(worker, task("a", 0)) != 1 {
			t.Fatalf("start %d was not accepted", number+1)
		}
		f.end(worker, task("a", 0), number+1, AttemptUnconfirmed)
	}
	w, _ := f.state.Workflows.Get("a")
	if got, _ := w.Task(task("a", 0)); w.Phase != modeler.WorkflowWaiting || got.Failures != 0 || got.HoldsResources() {
		t.Errorf("workflow is %s and its task %+v, want it to wait without failures", w.Phase, got)
	}
}

// TestCommandsWithoutBeginsAreReadAsBefore guards against members that disagree on a journal
// of which some have only a snapshot.
func TestCommandsWithoutBeginsAreReadAsBefore(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submit("a", step(1, 4))
	f.start(worker, task("a", 0))
	const attempt = `{"task":{"workflow":"a"},"session":"w0@1","number":1}`
	tests := map[string]struct {
		command string
		want    bool
	}{
		"end by a lapsed lease": {
			command: `{"kind":"endAttempts","ends":[{"attempt":` + attempt + `,"outcome":"lapsed"}]}`,
			want:    true,
		},
		"end of a refused start": {
			command: `{"kind":"endAttempts","ends":[{"attempt":` + attempt + `,"outcome":"refused"}]}`,
		},
		"end of the session": {command: `{"kind":"endSessions","names":["w0@1"]}`, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			command, err := DecodeCommand([]byte(tt.command))
			if err != nil {
				t.Fatal(err)
			}
			state, _, _ := Apply(f.state, f.state.Revision+1, command)
			if w, _ := state.Workflows.Get("a"); w.Begun != tt.want || w.HoldsResources() {
				t.Errorf("workflow has begun: %t, want %t; it holds resources: %t", w.Begun, tt.want, w.HoldsResources())
			}
		})
	}
}
