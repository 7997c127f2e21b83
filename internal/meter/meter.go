// Package meter collects the metrics of a process and serves them together with
// its health checks.
package meter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/samphirewick/samphirewick/internal/limiter"
)

const (
	reportInterval = time.Second
	readTimeout    = 5 * time.Second
	maxBodyBytes   = 1 << 10
)

// Meter holds the metrics of a process.
type Meter struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter whose metric names start with samphirewick_ and the program.
func New(program string) *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "samphirewick_" + program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{Scope: scope, closer: closer, reporter: reporter}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Health holds the health checks of a process. Each returns nil if the check passes
// and the reason otherwise.
type Health struct {
	// Live fails if the process has to be restarted. Never nil.
	Live func() error
	// Ready fails while the process should get no new work. Never nil.
	Ready func() error
}

// Serve serves /metrics, /healthz/live and /healthz/ready on the listener, within the limits,
// until the context ends, and closes the listener.
func (m *Meter) Serve(ctx context.Context, limits *limiter.Limiter, listener net.Listener, health Health) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.reporter.HTTPHandler())
	mux.HandleFunc("/healthz/live", healthHandler(health.Live))
	mux.HandleFunc("/healthz/ready", healthHandler(health.Ready))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener = limits.ListenHTTP(listener, server, limiter.ServerOptions{BodyBytes: maxBodyBytes})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func healthHandler(health func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}
}
