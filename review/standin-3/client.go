package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// client sends the calls of clients and of the operator.
type client struct {
	record *record
	http   *http.Client
}

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one call. The status is zero if there was no answer.
func (c *client) call(method, address, path, host string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Samphirewick-Deadline-Ms", "3000")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// until sends a call to one address after the other, until it gets a 2xx response or the context
// ends. It reports whether it got one.
func (c *client) until(ctx context.Context, what, method string, addresses []string, path, host string, body any) bool {
	for i := 0; ctx.Err() == nil; i++ {
		address := addresses[i%len(addresses)]
		status, answer := c.call(method, address, path, host, body)
		c.record.add("%s: %s %s at %s -> %d %.80s", what, method, path, address, status, answer)
		if status/100 == 2 {
			return true
		}
		pause(ctx, 200*time.Millisecond)
	}
	return false
}

// route returns a queue of the configuration. A nil advice means that the queue has none.
func route(name, prefix string, advice any) map[string]any {
	r := map[string]any{
		"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
		"priority": 1, "service": serviceName, "maxAttempts": 3, "stretch": 2.2,
	}
	if advice != nil {
		r["advice"] = advice
	}
	return r
}

// configuration returns a configuration with the queues.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false,
			"rejectsOverload": false, "spare": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}

// job returns a job with one step.
func job(spec string, step map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{step}}
}
