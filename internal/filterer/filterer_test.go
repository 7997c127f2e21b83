package filterer_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

var errNoQuorum = errors.New("no quorum")

// fakeEntry provides the dependencies of the filters and records the order of the calls.
type fakeEntry struct {
	calls     []string
	record    messenger.RecordAnswer
	recordErr error
	leased    bool
	answer    filterer.Answer
}

func (f *fakeEntry) dependencies() filterer.Dependencies {
	return filterer.Dependencies{
		Leased: func() bool { return f.leased },
		Policy: func(string) (modeler.PolicySpec, bool) { return modeler.DefaultPolicy(), true },
		Record: func(context.Context, modeler.RequestRecord) (messenger.RecordAnswer, error) {
			f.calls = append(f.calls, "record")
			return f.record, f.recordErr
		},
		Settle: func(_ context.Context, r modeler.RequestRecord) error {
			f.calls = append(f.calls, "settle "+string(r.Outcome))
			return nil
		},
		Route: func(context.Context, filterer.Request) filterer.Answer {
			f.calls = append(f.calls, "route")
			return f.answer
		},
	}
}

func TestRequestThatIsNotRepeatable(t *testing.T) {
	t.Parallel()
	ran := filterer.Answer{Outcome: modeler.OutcomeRan}
	notRun := filterer.NotRun(modeler.Refuse(modeler.CodeOverloaded, "", "full"))
	unknown := filterer.Unknown(modeler.Refuse(modeler.CodeUnknownOutcome, "", "broke"))
	first := messenger.RecordAnswer{Earlier: modeler.RequestRecord{Outcome: modeler.OutcomeRan}}
	tests := map[string]struct {
		entry       fakeEntry
		wantCalls   []string
		wantOutcome modeler.Outcome
	}{
		"is recorded before it is sent": {
			fakeEntry{leased: true, record: messenger.RecordAnswer{New: true}, answer: ran},
			[]string{"record", "route", "settle ran"},
			modeler.OutcomeRan,
		},
		"is not sent when it was already recorded": {
			fakeEntry{leased: true, record: first, answer: ran},
			[]string{"record"},
			modeler.OutcomeRan,
		},
		"is not sent when the record is refused": {
			fakeEntry{leased: true, recordErr: modeler.Refuse(modeler.CodeStale, "idempotencyKey", "old"), answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is not sent when recording fails": {
			fakeEntry{leased: true, recordErr: errNoQuorum, answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is settled as not run when it was not sent": {
			fakeEntry{leased: true, record: messenger.RecordAnswer{New: true}, answer: notRun},
			[]string{"record", "route", "settle notRun"},
			modeler.OutcomeNotRun,
		},
		"stays unknown when the answer is lost": {
			fakeEntry{leased: true, record: messenger.RecordAnswer{New: true}, answer: unknown},
			[]string{"record", "route"},
			modeler.OutcomeUnknown,
		},
		"is not recorded without a lease": {
			fakeEntry{record: messenger.RecordAnswer{New: true}, answer: ran},
			nil,
			modeler.OutcomeNotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			chain := filterer.Chain(filterer.Filters(tt.entry.dependencies()))
			got := chain(t.Context(), filterer.Request{ID: "1", Service: "toll-desk", Key: "k"})
			if got.Outcome != tt.wantOutcome || !slices.Equal(tt.entry.calls, tt.wantCalls) {
				t.Errorf("outcome %s after the calls %v, want %s after %v", got.Outcome, tt.entry.calls, tt.wantOutcome, tt.wantCalls)
			}
		})
	}
}

func TestDepartmentLimitIsEnforced(t *testing.T) {
	t.Parallel()
	entered, release := make(chan struct{}), make(chan struct{})
	deps := (&fakeEntry{leased: true}).dependencies()
	deps.Policy = func(string) (modeler.PolicySpec, bool) {
		policy := modeler.DefaultPolicy()
		policy.DepartmentLimit = 1
		return policy, true
	}
	deps.Route = func(_ context.Context, r filterer.Request) filterer.Answer {
		if r.ID == "slow" {
			close(entered)
			<-release
		}
		return filterer.Answer{Outcome: modeler.OutcomeRan}
	}
	chain := filterer.Chain(filterer.Filters(deps))
	done := make(chan filterer.Answer, 1)
	go func() {
		done <- chain(t.Context(), filterer.Request{ID: "slow", Department: "kowhai", Repeatable: true})
	}()
	<-entered
	if got := chain(t.Context(), filterer.Request{Department: "kowhai", Repeatable: true}); got.Outcome != modeler.OutcomeNotRun {
		t.Errorf("second request of the department: outcome %s, want notRun", got.Outcome)
	}
	if got := chain(t.Context(), filterer.Request{Department: "seri-loceng", Repeatable: true}); got.Outcome != modeler.OutcomeRan {
		t.Errorf("request of another department: outcome %s, want ran", got.Outcome)
	}
	close(release)
	<-done
	if got := chain(t.Context(), filterer.Request{Department: "kowhai", Repeatable: true}); got.Outcome != modeler.OutcomeRan {
		t.Errorf("request after the first one ended: outcome %s, want ran", got.Outcome)
	}
}
