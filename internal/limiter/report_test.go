package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestRefusalsAreLoggedOnceASecond guards against a log line for each refusal, and against
// refusals that the metrics leave out.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		l, scope := New(Limits{}, zap.New(core)), tally.NewTestScope("", nil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, scope) }()
		for range 500 {
			l.refused[reasonStalled].Add(1)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if got := lines.Len(); got < 4 || got > 6 {
			t.Errorf("got %d log lines for refusals over 5 s", got)
		}
		if c := scope.Snapshot().Counters()["clients_refused+reason=stalled"]; c == nil || c.Value() != 500 {
			t.Errorf("the counter holds %v, want 500", c)
		}
	})
}
