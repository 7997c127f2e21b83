// Command review-2 runs the cases of the second review: it starts a small deployment of the
// project's programs on loopback addresses, with stand-ins for workers, clients and the operator.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const maxCaseTime = 115 * time.Second

// trial is one run of a case.
type trial struct {
	ctx    context.Context
	cell   *cell
	record *record
	// hasTrouble is false if the case runs without the disruption.
	hasTrouble bool
	// freezing is done once a machine stands still.
	freezing sync.Once
	// needs holds what the tasks of the jobs need.
	needs needs
}

// needs holds the thousandths of a core that a task needs, by job.
type needs struct {
	mutex sync.Mutex
	byJob map[string]int
}

func (n *needs) add(path string, body []byte) {
	var j struct{ Steps []struct{ CPU int } }
	if json.Unmarshal(body, &j) != nil || len(j.Steps) == 0 {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.byJob == nil {
		n.byJob = map[string]int{}
	}
	n.byJob[path[strings.LastIndexByte(path, '/')+1:]] = j.Steps[0].CPU
}

func (n *needs) of(task string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return n.byJob[id]
}

var cases = map[string]func(*trial) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(failed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	t := &trial{ctx: ctx, record: newRecord(), hasTrouble: os.Getenv("TROUBLE") != "0"}
	code, err := t.play(cases[os.Args[1]])
	if err != nil {
		t.record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = failed
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "not run"}[code]
	t.record.add("%s", verdict)
	if err := t.record.write(os.Args[2]); err != nil {
		fmt.Println(err)
	}
	fmt.Println(verdict)
	stop()
	cancel()
	os.Exit(code)
}

func (t *trial) play(run func(*trial) (int, error)) (int, error) {
	var err error
	if t.cell, err = newCell(3, 0); err != nil {
		return failed, err
	}
	startedProcesses = func() []int {
		t.cell.mutex.Lock()
		defer t.cell.mutex.Unlock()
		var pids []int
		for _, p := range t.cell.all {
			if !p.hasEnded() {
				pids = append(pids, p.command.Process.Pid)
			}
		}
		return pids
	}
	defer t.cell.stop()
	if err := t.cell.run(t.ctx); err != nil {
		return failed, err
	}
	t.record.add("a cell of %d machines runs", len(t.cell.machines))
	return run(t)
}

// controls returns the addresses that take heartbeats and configurations, that of the zone first.
func (t *trial) controls(zone string) []string {
	var own, others []string
	for _, m := range t.cell.members {
		if m.zone == zone {
			own = append(own, m.at(controlPort))
		} else {
			others = append(others, m.at(controlPort))
		}
	}
	return append(own, others...)
}

// route is a route of a configuration.
func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 1000, "priority": 1,
		"service": service, "maxAttempts": 3, "stretch": 2.2,
	}
}

const (
	host    = "nony24.example"
	service = "huvo11a"
)

func configuration(version int, routes ...map[string]any) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false,
		}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return data
}

// putConfig sends a configuration to one node after the other until it is acknowledged, or
// refused.
func (t *trial) putConfig(name string, data []byte, nodes []string, within time.Duration) int {
	last := 0
	for began := time.Now(); time.Since(began) < within && t.ctx.Err() == nil; {
		for _, node := range nodes {
			status := post(t.ctx, "http://"+node+"/api/config/put", data)
			t.record.add("operator: %s to %s: %s", name, node, describe(status))
			if status != 0 {
				last = status
			}
			if status/100 == 2 || status == 400 || status == 413 || status == 409 {
				return status
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return last
}

// newID returns an id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a job of one step.
func job(tasks, workMs int, label string) []byte {
	step := map[string]any{"count": tasks, "cpu": 1000, "memMb": 256, "estimateMs": workMs}
	if label != "" {
		step["constraints"] = label
	}
	data, _ := json.Marshal(map[string]any{"spec": fmt.Sprint(workMs), "steps": []any{step}})
	return data
}

// clientTransport opens a connection for each request, as many clients do.
var clientClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a client's request to the front of a machine. It returns the status, or zero if
// no answer came within the client's deadline of 3 s, and the body.
func (t *trial) request(m *machine, method, path string, body []byte) (int, string) {
	const deadline = 3 * time.Second
	if method == http.MethodPost {
		t.needs.add(path, body)
	}
	ctx, cancel := context.WithTimeout(t.ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Samphirewick-Deadline-Ms", "3000")
	response, err := clientClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// startWorkers starts workers, the first in the zone of the first machine, and waits until their
// first heartbeats are acknowledged.
func (t *trial) startWorkers(count int, kindOf func(i int) string) ([]*worker, error) {
	var workers []*worker
	for i := range count {
		zone := t.cell.members[i%len(t.cell.members)].zone
		w := &worker{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), address: t.cell.workerAddress(i), service: service, zone: zone,
			kind: kindOf(i), rack: fmt.Sprintf("r1-%d", i%3), nodes: t.controls(zone), record: t.record,
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		if allAcknowledged(workers) {
			return workers, nil
		}
	}
	return nil, fmt.Errorf("the workers' heartbeats are not acknowledged")
}

func allAcknowledged(workers []*worker) bool {
	for _, w := range workers {
		w.mutex.Lock()
		ok := w.life != nil && w.life.acknowledged > 0
		w.mutex.Unlock()
		if !ok {
			return false
		}
	}
	return true
}
