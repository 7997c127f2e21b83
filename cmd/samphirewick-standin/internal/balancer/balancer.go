// Package balancer imitates the platform's balancer: it forwards each request to
// an entry chosen at random among those whose readiness check succeeds, or among
// all entries if none is ready.
package balancer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// Target is the addresses of one entry.
type Target struct {
	// Address receives the callers' requests, Admin serves the readiness check.
	Address string
	Admin   string
}

// Balancer is a reverse proxy. It is safe for concurrent use.
type Balancer struct {
	targets []Target
	ready   atomic.Pointer[[]Target]
	proxy   *httputil.ReverseProxy
	client  *http.Client
}

// New returns a balancer in front of the targets, which must not be empty.
func New(targets []Target) *Balancer {
	b := &Balancer{targets: targets, client: &http.Client{Timeout: checkTimeout}}
	b.ready.Store(&[]Target{})
	b.proxy = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			ready := *b.ready.Load()
			target := targets[rand.IntN(len(targets))]
			if len(ready) > 0 {
				target = ready[rand.IntN(len(ready))]
			}
			r.SetURL(&url.URL{Scheme: "http", Host: target.Address})
		},
		// The transport may resend a request when a reused connection fails. Each
		// request has a connection of its own, so that none is sent twice.
		Transport:    &http.Transport{DisableKeepAlives: true},
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
	}
	return b
}

// ServeHTTP implements http.Handler.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.proxy.ServeHTTP(w, r) }

// Run checks the readiness of the targets periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		var ready []Target
		for _, t := range b.targets {
			if b.isReady(ctx, t) {
				ready = append(ready, t)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *Balancer) isReady(ctx context.Context, t Target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Admin+"/healthz/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
