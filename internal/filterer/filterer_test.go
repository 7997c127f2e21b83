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

// script notes the order in which the steps are taken.
type script struct {
	taken  []string
	record messenger.RecordAnswer
	refuse error
	leased bool
	answer filterer.Answer
}

func (s *script) steps() filterer.Dependencies {
	return filterer.Dependencies{
		Leased: func() bool { return s.leased },
		Policy: func(string) (modeler.PolicySpec, bool) { return modeler.DefaultPolicy(), true },
		Record: func(context.Context, modeler.RequestRecord) (messenger.RecordAnswer, error) {
			s.taken = append(s.taken, "record")
			return s.record, s.refuse
		},
		Settle: func(_ context.Context, r modeler.RequestRecord) error {
			s.taken = append(s.taken, "settle "+string(r.Outcome))
			return nil
		},
		Route: func(context.Context, filterer.Request) filterer.Answer {
			s.taken = append(s.taken, "route")
			return s.answer
		},
	}
}

func TestRequestThatIsNotRepeatable(t *testing.T) {
	t.Parallel()
	ran := filterer.Answer{Outcome: modeler.OutcomeRan}
	notRun := filterer.NotRun(modeler.Refuse(modeler.CodeOverloaded, "", "full"))
	unknown := filterer.Unknown(modeler.Refuse(modeler.CodeUnknownOutcome, "", "broke"))
	first := messenger.RecordAnswer{First: modeler.RequestRecord{Outcome: modeler.OutcomeRan}}
	tests := map[string]struct {
		script      script
		wantTaken   []string
		wantOutcome modeler.Outcome
	}{
		"is recorded before it is sent": {
			script{leased: true, record: messenger.RecordAnswer{New: true}, answer: ran},
			[]string{"record", "route", "settle ran"},
			modeler.OutcomeRan,
		},
		"is not sent when it was received before": {
			script{leased: true, record: first, answer: ran},
			[]string{"record"},
			modeler.OutcomeRan,
		},
		"is not sent when the record is refused": {
			script{leased: true, refuse: modeler.Refuse(modeler.CodeStale, "idempotencyKey", "old"), answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is not sent when the record may be missing": {
			script{leased: true, refuse: errNoQuorum, answer: ran},
			[]string{"record"},
			modeler.OutcomeNotRun,
		},
		"is settled as not run when it was not sent": {
			script{leased: true, record: messenger.RecordAnswer{New: true}, answer: notRun},
			[]string{"record", "route", "settle notRun"},
			modeler.OutcomeNotRun,
		},
		"stays unknown when the answer is lost": {
			script{leased: true, record: messenger.RecordAnswer{New: true}, answer: unknown},
			[]string{"record", "route"},
			modeler.OutcomeUnknown,
		},
		"is not even recorded by an entry that is cut off": {
			script{record: messenger.RecordAnswer{New: true}, answer: ran},
			nil,
			modeler.OutcomeNotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			chain := filterer.Chain(filterer.Filters(tt.script.steps()))
			got := chain(t.Context(), filterer.Request{ID: "1", Service: "toll-desk", Key: "k"})
			if got.Outcome != tt.wantOutcome || !slices.Equal(tt.script.taken, tt.wantTaken) {
				t.Errorf("outcome %s after %v, want %s after %v", got.Outcome, tt.script.taken, tt.wantOutcome, tt.wantTaken)
			}
		})
	}
}

func TestDepartmentIsBounded(t *testing.T) {
	t.Parallel()
	inside, release := make(chan struct{}), make(chan struct{})
	steps := (&script{leased: true}).steps()
	steps.Policy = func(string) (modeler.PolicySpec, bool) {
		policy := modeler.DefaultPolicy()
		policy.DepartmentLimit = 1
		return policy, true
	}
	steps.Route = func(_ context.Context, r filterer.Request) filterer.Answer {
		if r.ID == "slow" {
			close(inside)
			<-release
		}
		return filterer.Answer{Outcome: modeler.OutcomeRan}
	}
	chain := filterer.Chain(filterer.Filters(steps))
	done := make(chan filterer.Answer, 1)
	go func() {
		done <- chain(t.Context(), filterer.Request{ID: "slow", Department: "kowhai", Repeatable: true})
	}()
	<-inside
	if got := chain(t.Context(), filterer.Request{Department: "kowhai", Repeatable: true}); got.Outcome != modeler.OutcomeNotRun {
		t.Errorf("a second request of the department: %s, want notRun", got.Outcome)
	}
	if got := chain(t.Context(), filterer.Request{Department: "seri-loceng", Repeatable: true}); got.Outcome != modeler.OutcomeRan {
		t.Errorf("a request of another department: %s, want ran", got.Outcome)
	}
	close(release)
	<-done
	if got := chain(t.Context(), filterer.Request{Department: "kowhai", Repeatable: true}); got.Outcome != modeler.OutcomeRan {
		t.Errorf("a request after the first one ended: %s, want ran", got.Outcome)
	}
}
