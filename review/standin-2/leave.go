package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = lateLeaveDrainsForGood }

// lateLeaveDrainsForGood shuts workers of one zone down as planned and starts them again under
// their ids, while the member of their zone stands still. The members handle what the workers said
// to it once it goes on.
func lateLeaveDrainsForGood(t *trial) (int, error) {
	const (
		freezeFor = 3500 * time.Millisecond
		finish    = 14 * time.Second
	)
	if t.putConfig("version 1", configuration(1, route("r-1", "/jobs/")), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	leader := t.cell.awaitLeader()
	if leader == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	var frozen *machine
	for _, m := range t.cell.members {
		if m != leader {
			frozen = m
		}
	}
	kindOf := func(i int) string {
		if t.cell.members[i%len(t.cell.members)] == frozen {
			return "b"
		}
		return "a"
	}
	workers, err := t.startWorkers(9, kindOf)
	if err != nil {
		return failed, err
	}
	t.record.add("%s leads; %s is going to stand still", leader.name, frozen.name)
	if err := t.expectCompleted(leader, "b", 10*time.Second); err != nil {
		return failed, err
	}

	var restarts sync.WaitGroup
	for _, w := range workers {
		if w.kind != "b" {
			continue
		}
		restarts.Go(func() {
			t.drainAndRestart(w, func() {
				if t.hasTrouble && frozen.control != nil {
					t.freeze(frozen, freezeFor)
				}
			})
		})
	}
	restarts.Wait()
	time.Sleep(freezeFor + 3*time.Second)

	id := newID()
	status, _ := t.request(leader, "POST", "/jobs/"+id, job(2, 300, "b"))
	t.record.add("client: POST /jobs/%s to %s, 2 tasks for workers of kind b: %s", id, leader.name, describe(status))
	if status != 200 {
		return failed, fmt.Errorf("the job was not accepted")
	}
	state := ""
	for began := time.Now(); time.Since(began) < finish+3*time.Second; time.Sleep(500 * time.Millisecond) {
		_, body := t.request(leader, "GET", "/jobs/"+id, nil)
		if body != state {
			state = body
			t.record.add("client: GET /jobs/%s: %s", id, body)
		}
	}
	idle := 0
	for _, w := range workers {
		w.mutex.Lock()
		if w.kind == "b" && w.life != nil && len(w.life.running) == 0 {
			idle++
			t.record.add("worker %s (born %d) of kind b says that it is %s, runs nothing, and has %d heartbeats acknowledged",
				w.id, w.life.born.UnixMilli(), w.life.state, w.life.acknowledged)
		}
		w.mutex.Unlock()
	}
	starts := t.record.startsOf(id)
	t.record.add("%s after it was accepted, the job has had %d starts; %d workers of kind b are up and idle", finish+3*time.Second, len(starts), idle)
	fmt.Printf("the job had %d starts; %d workers of its kind are up and idle\n", len(starts), idle)
	if len(starts) == 0 && idle >= 2 {
		t.record.add("LOST: job %s was accepted, could run, and was never started", id)
		return broken, nil
	}
	return held, nil
}

// expectCompleted hands in a job for a kind of workers, and waits until it is shown as completed.
func (t *trial) expectCompleted(at *machine, kind string, within time.Duration) error {
	id := newID()
	status, _ := t.request(at, "POST", "/jobs/"+id, job(2, 300, kind))
	t.record.add("client: POST /jobs/%s to %s, 2 tasks for workers of kind %s: %s", id, at.name, kind, describe(status))
	for began := time.Now(); time.Since(began) < within; time.Sleep(200 * time.Millisecond) {
		if _, body := t.request(at, "GET", "/jobs/"+id, nil); body == `{"state":"completed"}` {
			t.record.add("client: GET /jobs/%s: %s", id, body)
			return nil
		}
	}
	return fmt.Errorf("job %s was not completed before the disruption", id)
}

// freeze lets the processes of a machine stand still for a time, once.
func (t *trial) freeze(m *machine, length time.Duration) {
	t.freezing.Do(func() {
		t.record.add("%s stands still", m.name)
		m.control.signal(syscall.SIGSTOP)
		m.entry.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() {
			m.control.signal(syscall.SIGCONT)
			m.entry.signal(syscall.SIGCONT)
			t.record.add("%s goes on", m.name)
		})
	})
}

// drainAndRestart shuts the worker down as planned, and starts it again half a second later.
// beforeLeave is called before it says that it leaves.
func (t *trial) drainAndRestart(w *worker, beforeLeave func()) {
	const (
		drain   = 2 * time.Second
		restart = 500 * time.Millisecond
	)
	w.shutDown(t.ctx, drain, beforeLeave)
	time.Sleep(restart)
	if err := w.start(); err != nil {
		t.record.add("worker %s did not start again: %v", w.id, err)
	}
}
