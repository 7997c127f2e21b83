package transporter_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/transporter"
)

// serveNothing takes connections and never answers on them. It returns its address, and a
// channel that receives a value for each connection.
func serveNothing(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			accepted <- struct{}{}
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String(), accepted
}

// TestHangingDialDelaysNoOtherCall checks that a call whose context ends, and a reset, do
// not wait for another call that connects to a machine which does not answer.
func TestHangingDialDelaysNoOtherCall(t *testing.T) {
	t.Parallel()
	const hangs = 2 * time.Second
	tests := map[string]struct {
		act func(t *testing.T, client *transporter.Client)
	}{
		"a call whose context has ended": {func(t *testing.T, client *transporter.Client) {
			t.Helper()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if err := client.Call(ctx, "echo", struct{}{}, nil); !errors.Is(err, transporter.ErrNotSent) {
				t.Errorf("got %v, want that the call was not sent", err)
			}
		}},
		"a reset": {func(_ *testing.T, client *transporter.Client) { client.Reset() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := serveNothing(t)
			client := transporter.NewClient(address, &tls.Config{ServerName: "control", MinVersion: tls.VersionTLS13}, zap.NewNop())
			ctx, cancel := context.WithTimeout(t.Context(), hangs)
			defer cancel()
			hanging := make(chan error, 1)
			go func() { hanging <- client.Call(ctx, "echo", struct{}{}, nil) }()
			<-accepted
			tt.act(t, client)
			if ctx.Err() != nil {
				t.Error("waited for the call that connects")
			}
			cancel()
			if err := <-hanging; !errors.Is(err, transporter.ErrNotSent) {
				t.Errorf("the call that connects ended with %v", err)
			}
		})
	}
}
