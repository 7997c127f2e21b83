package caller

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// Guards against a call that is answered with a refusal although an earlier try of it was
// carried out, and against callers that don't hear a refusal that is true.
func TestRefusalOfALaterTry(t *testing.T) {
	t.Parallel()
	const (
		submit, withdrawn = messenger.MethodSubmitWorkflow, modeler.CodeUnauthenticated
		unknown           = modeler.CodeUnknownOutcome
	)
	tests := map[string]struct {
		method string
		// answersFirst is true if the first try gets its answer.
		answersFirst bool
		code, want   modeler.RefusalCode
	}{
		"the queue is gone":               {submit, false, modeler.CodeNotFound, unknown},
		"the queue is gone, cancellation": {messenger.MethodCancelWorkflow, false, modeler.CodeNotFound, unknown},
		"the key was withdrawn":           {submit, false, withdrawn, unknown},
		"the key is another's":            {submit, false, modeler.CodeConflict, unknown},
		"no memory is left":               {submit, false, modeler.CodeExhausted, unknown},
		"the call is invalid":             {submit, false, modeler.CodeInvalid, modeler.CodeInvalid},
		"a read":                          {messenger.MethodGetWorkflow, false, modeler.CodeNotFound, modeler.CodeNotFound},
		"there was no earlier try":        {submit, true, modeler.CodeNotFound, modeler.CodeNotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leader := newFakeMember(t)
			leader.isLeader.Store(true)
			c := New([]string{leader.address}, nil, zap.NewNop())
			c.attemptTimeout = 50 * time.Millisecond
			if err := call(t, c, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			<-leader.arrived
			leader.refusal.Store(modeler.Refuse(tt.code, "", "refused"))
			leader.unresponsive.Store(!tt.answersFirst)
			go func() {
				<-leader.arrived
				leader.unresponsive.Store(false)
			}()
			if got := refusalCodeOf(c.Call(t.Context(), tt.method, struct{}{}, nil)); got != tt.want {
				t.Errorf("the call was refused with %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against the same mistake where a follower carried out the first try.
func TestRefusalAfterAFollowerWasCalled(t *testing.T) {
	t.Parallel()
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.isLeader.Store(true)
	c := New([]string{leader.address, follower.address}, nil, zap.NewNop())
	if err := call(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	leader.refusal.Store(modeler.Refuse(modeler.CodeStale, "born", "refused"))
	follower.unresponsive.Store(true)
	err := c.CallFollower(t.Context(), messenger.MethodAnnounceSession, struct{}{}, nil)
	if got := refusalCodeOf(err); got != modeler.CodeUnknownOutcome {
		t.Errorf("the call was refused with %q, want %q", got, modeler.CodeUnknownOutcome)
	}
}

func refusalCodeOf(err error) modeler.RefusalCode {
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}
