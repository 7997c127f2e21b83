package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["quarantine"] = lastingTasksStayDown }

// lastingTasksStayDown hands in jobs whose tasks last. They fail once, in two waves, and have to be
// started again.
func lastingTasksStayDown(t *trial) (int, error) {
	const (
		workers = 6
		jobs    = 60
		after   = 6 * time.Second
		idleFor = 3 * time.Second
		watch   = 25 * time.Second
	)
	if t.putConfig("version 1", configuration(1, route("r-1", "/jobs/")), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	if _, err := t.startWorkers(workers, func(int) string { return "a" }); err != nil {
		return failed, err
	}
	at := t.cell.awaitLeader()
	if at == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	began := time.Now()
	var ids []string
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() {
			wave := 6*time.Second + time.Duration(i%2)*5*time.Second
			failAfter := wave - time.Since(began)
			if !t.hasTrouble {
				failAfter = time.Hour
			}
			body, _ := json.Marshal(map[string]any{"spec": fmt.Sprint(lasts, failAfter.Milliseconds()), "steps": []any{map[string]any{
				"count": 1, "cpu": 2500, "memMb": 1024, "estimateMs": 1000, "longRunning": true,
			}}})
			id := newID()
			status, _ := t.request(at, "POST", "/jobs/"+id, body)
			t.record.add("client: POST /jobs/%s, a task that lasts: %s", id, describe(status))
			mutex.Lock()
			ids = append(ids, id)
			mutex.Unlock()
		})
	}
	group.Wait()
	time.Sleep(watch)
	broke, longest := 0, time.Duration(0)
	for _, id := range ids {
		starts := t.record.startsOf(id)
		for i, s := range starts {
			if s.ended.IsZero() {
				continue
			}
			next := time.Now()
			if i+1 < len(starts) {
				next = starts[i+1].begun
			}
			down := next.Sub(s.ended)
			longest = max(longest, down)
			if down > after+idleFor {
				broke++
				t.record.add("LOST: task %s was not running for %.1f s", s.task, down.Seconds())
			}
		}
		if len(starts) == 0 {
			return failed, fmt.Errorf("job %s never started", id)
		}
	}
	fmt.Printf("%d tasks were down for more than %s; the longest for %s\n", broke, after+idleFor, longest)
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}
