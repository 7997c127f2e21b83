package transporter

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// TestMachineIsReachedSoonAfterPowerReturns checks that a sender which connects to a
// machine without power tries again soon: the opening packet is lost, and is sent again
// only after a second.
func TestMachineIsReachedSoonAfterPowerReturns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const (
			powerReturns = 1010 * time.Millisecond
			wanted       = 400 * time.Millisecond
			// sendTimeout is that of the courier.
			sendTimeout = 2 * time.Second
		)
		began := time.Now()
		local, remote := net.Pipe()
		go func() { _, _ = remote.Read(make([]byte, 1)) }()
		client := NewClient("member", nil, zap.NewNop())
		client.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Since(began) >= powerReturns {
				return local, nil
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		for {
			ctx, cancel := context.WithTimeout(t.Context(), sendTimeout)
			_, err := client.connect(ctx)
			cancel()
			if err == nil {
				break
			}
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
		}
		if took := time.Since(began) - powerReturns; took > wanted {
			t.Errorf("reached the machine %v after its power returned, want at most %v", took, wanted)
		}
		client.Reset()
		_ = remote.Close()
	})
}
