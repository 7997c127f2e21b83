package responder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// runRecorder records the tasks that run, and fails the test if a task runs twice at the same time.
type runRecorder struct {
	t *testing.T

	mutex   sync.Mutex
	running map[modeler.TaskReference]string
	starts  int
}

func (r *runRecorder) record(worker string, task modeler.TaskReference, attempt int, running bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	location := fmt.Sprintf("%s as attempt %d", worker, attempt)
	if !running {
		if r.running[task] == location {
			delete(r.running, task)
		}
		return
	}
	r.starts++
	if other, ok := r.running[task]; ok {
		r.t.Errorf("task %s runs on %s and on %s at the same time", task, other, location)
	}
	r.running[task] = location
}

// count returns the number of running tasks and of all starts.
func (r *runRecorder) count() (running, starts int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.running), r.starts
}

func (r *runRecorder) areRunning(number int) bool {
	running, _ := r.count()
	return running == number
}

func TestTaskNeverRunsTwiceAtTheSameTime(t *testing.T) {
	failures := map[string]func(c *cell, worker string){
		"its worker is isolated": func(c *cell, worker string) { c.isolate(worker) },
		"the leader crashes":     func(c *cell, _ string) { c.crash(c.leader()) },
		"both at the same time":  func(c *cell, worker string) { c.isolate(worker); c.crash(c.leader()) },
		"both are isolated":      func(c *cell, worker string) { c.isolate(worker); c.isolate(c.leader().id) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
				r := &runRecorder{t: c.t, running: map[modeler.TaskReference]string{}}
				for i := range 3 {
					c.addWorker(ctx, group, fmt.Sprintf("w%d", i), r.record)
				}
				c.configure()
				c.submit("job", 6, 1, false)
				c.eventually(5*time.Second, "starts", func() bool { return r.areRunning(6) })
				worker := c.job("job").Tasks[0].Worker
				fail(c, worker)
				time.Sleep(12 * time.Second)
				c.eventually(5*time.Second, "all tasks run", func() bool { return r.areRunning(6) })
				c.heal(worker)
				time.Sleep(5 * time.Second)
				if running, _ := r.count(); running != 6 {
					c.t.Errorf("%d tasks run, want 6", running)
				}
			})
		})
	}
}

func TestNewLeaderEndsNoLeaseGrantedByItsPredecessor(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		r := &runRecorder{t: c.t, running: map[modeler.TaskReference]string{}}
		c.addWorker(ctx, group, "w0", r.record)
		c.configure()
		c.submit("job", 2, 1, false)
		c.eventually(5*time.Second, "starts", func() bool { return r.areRunning(2) })
		for range 4 {
			old := c.leader()
			c.crash(old)
			c.awaitLeader()
			c.restart(old)
			time.Sleep(time.Second)
		}
		if _, starts := r.count(); starts != 2 {
			c.t.Errorf("%d starts of 2 tasks whose worker was connected all the time, want 2", starts)
		}
	})
}

// An urgent job starts within 4.1 s even if it is submitted right behind the cancellation of 1000 jobs.
func TestMassCancellationDoesNotDelayUrgentJob(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		const (
			jobs       = 1000
			urgentTime = 4100 * time.Millisecond
		)
		r := &runRecorder{t: c.t, running: map[modeler.TaskReference]string{}}
		for i := range 2 {
			c.addWorker(ctx, group, fmt.Sprintf("w%d", i), r.record)
		}
		c.configure()
		var names []string
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			names = append(names, id)
			c.submit(id, 2, 1, false)
		}
		c.eventually(5*time.Second, "the pool is full", func() bool { return r.areRunning(16) })
		cancelled := make(chan error, 1)
		go func() {
			cancelled <- c.call("operator", messenger.MethodCancelJobs, messenger.CancelCall{IDs: names}, nil)
		}()
		submitted := time.Now()
		c.submit("urgent", 1, 4, true)
		started := func() bool { return c.job("urgent").Phase == "running" }
		c.eventually(urgentTime-time.Since(submitted), "the urgent job runs", started)
		if err := <-cancelled; err != nil {
			c.t.Fatal(err)
		}
		// A worker reports the ends of tasks with its next renewal, after the tasks have ended.
		c.eventually(5*time.Second, "the other jobs are cancelled, and only the urgent job runs", func() bool {
			return c.job(names[0]).Phase == "cancelled" && c.job(names[jobs-1]).Phase == "cancelled" && r.areRunning(1)
		})
	})
}
