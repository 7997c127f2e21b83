package filterer_test

import (
	"context"
	"errors"
	"slices"
	"strings"
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
	settleErr error
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
			return f.settleErr
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
		"is not sent when the key is stale, and may have run before": {
			fakeEntry{leased: true, recordErr: modeler.Refuse(modeler.CodeStale, "idempotencyKey", "old"), answer: ran},
			[]string{"record"},
			modeler.OutcomeUnknown,
		},
		"is not sent when the key is invalid, and never ran": {
			fakeEntry{leased: true, recordErr: modeler.Refuse(modeler.CodeInvalid, "idempotencyKey", "odd"), answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is not sent when another request has its key, and never ran": {
			fakeEntry{leased: true, recordErr: modeler.Refuse(modeler.CodeConflict, "idempotencyKey", "used"), answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is not sent when recording fails, and may have run before": {
			fakeEntry{leased: true, recordErr: errNoQuorum, answer: ran},
			[]string{"record"},
			modeler.OutcomeUnknown,
		},
		"is not sent when it is unknown whether it was recorded, and may have run before": {
			fakeEntry{
				leased: true, recordErr: modeler.Refuse(modeler.CodeUnknownOutcome, "", "no answer"), answer: ran,
			},
			[]string{"record"},
			modeler.OutcomeUnknown,
		},
		"has not run when its first sending was settled so": {
			fakeEntry{
				leased: true, answer: ran,
				record: messenger.RecordAnswer{Earlier: modeler.RequestRecord{Outcome: modeler.OutcomeNotRun}},
			},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"has not run, even if the outcome is not committed": {
			fakeEntry{leased: true, record: messenger.RecordAnswer{New: true}, answer: notRun, settleErr: errNoQuorum},
			[]string{"record", "route", "settle notRun"},
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
		"is not recorded without a lease, and may have run before": {
			fakeEntry{record: messenger.RecordAnswer{New: true}, answer: ran},
			nil,
			modeler.OutcomeUnknown,
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

// TestCallerIsToldToUseNewKey checks that a refusal does not invite the caller to use
// a key again that control will refuse.
func TestCallerIsToldToUseNewKey(t *testing.T) {
	t.Parallel()
	entry := fakeEntry{
		leased: true, record: messenger.RecordAnswer{New: true}, settleErr: errNoQuorum,
		answer: filterer.NotRun(modeler.Refuse(modeler.CodeOverloaded, "", "full")),
	}
	got := filterer.Chain(filterer.Filters(entry.dependencies()))(t.Context(), filterer.Request{ID: "1", Key: "k"})
	if got.Refusal.Code != modeler.CodeOverloaded || !strings.Contains(got.Refusal.Reason, "new key") {
		t.Errorf("refusal is %v, want code overloaded and a reason that asks for a new key", got.Refusal)
	}
}

// TestRepeatableRequestRefusedBeforeItWasSent checks that a request without a key,
// each sending of which is a request of its own, is still told that it has not run.
func TestRepeatableRequestRefusedBeforeItWasSent(t *testing.T) {
	t.Parallel()
	chain := filterer.Chain(filterer.Filters((&fakeEntry{}).dependencies()))
	if got := chain(t.Context(), filterer.Request{ID: "1", Repeatable: true}); got.Outcome != modeler.OutcomeNotRun {
		t.Errorf("outcome %s, want notRun", got.Outcome)
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
