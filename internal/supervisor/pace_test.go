package supervisor

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

func TestPaceReportsWhetherItIsConfirmed(t *testing.T) {
	confirm := func(context.Context) error { return nil }
	refuse := func(context.Context) error { return errors.New("refused") }
	leaveUnanswered := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := map[string]struct {
		session  string
		isLeader bool
		answer   func(ctx context.Context) error
		want     bool
	}{
		"the worker confirms it":         {onlySession, true, confirm, true},
		"the worker gives no answer":     {onlySession, true, leaveUnanswered, false},
		"the worker refuses it":          {onlySession, true, refuse, false},
		"a former leader does not send":  {onlySession, false, confirm, false},
		"the session is no longer known": {"gone@1", true, confirm, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSupervised(t, func(t *testing.T, h *harness) {
				time.Sleep(100 * time.Millisecond)
				h.setIsLeader(tt.isLeader)
				h.answerPace = tt.answer
				reports := make(chan bool, 2)
				a := modeler.Attempt{Task: onlyTask, Session: tt.session, Number: 1}
				h.supervisor.Pace(context.Background(), a, 50, func(confirmed bool) { reports <- confirmed })
				time.Sleep(time.Second)
				if len(reports) != 1 {
					t.Fatalf("%d reports, want one", len(reports))
				}
				if got := <-reports; got != tt.want {
					t.Errorf("report is %t, want %t", got, tt.want)
				}
			})
		})
	}
}
