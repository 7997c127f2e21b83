package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["harm"] = shortFillTasksHarm }

// shortFillTasksHarm runs a task that serves on each worker, and hands in many short tasks that fill.
func shortFillTasksHarm(t *trial) (int, error) {
	const (
		workers   = 6
		target    = 100
		perSecond = 8
		harm      = 4 * time.Second
		watch     = 25 * time.Second
	)
	serving, batch := route("r-serving", "/serving/"), route("r-batch", "/batch/")
	serving["priority"], batch["priority"], batch["stretch"] = 0, 2, 4.0
	if t.putConfig("version 1", configuration(1, serving, batch), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	all, err := t.startWorkers(workers, func(int) string { return "a" })
	if err != nil {
		return failed, err
	}
	at := t.cell.awaitLeader()
	if at == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	send := func(queue, payload string, s map[string]any) error {
		id := newID()
		body, _ := json.Marshal(map[string]any{"spec": payload, "steps": []any{s}})
		status, _ := t.request(at, "POST", "/"+queue+"/"+id, body)
		t.record.add("client: POST /%s/%s: %s", queue, id, describe(status))
		if status != 200 {
			return fmt.Errorf("job %s was not accepted", id)
		}
		return nil
	}
	err = send("serving", serves, map[string]any{
		"count": workers, "cpu": 8000, "memMb": 4096, "estimateMs": 1000, "longRunning": true, "antiAffinity": 1, "image": "shop", "targetMs": target,
	})
	if err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	fill := map[string]any{"count": 1, "cpu": 2000, "memMb": 64, "estimateMs": 400, "fills": true, "image": "report"}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if !t.hasTrouble {
			// One long task in place of many short ones.
			_ = send("batch", fills+"20000", fill)
			return
		}
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				go func() { _ = send("batch", fills+"400", fill) }()
			}
		}
	}()
	over := map[*worker]time.Time{}
	longest, worst := time.Duration(0), ""
	for began := time.Now(); time.Since(began) < watch; time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		for _, w := range all {
			w.mutex.Lock()
			tail, atWork, isServing := w.life.tail(now), 0, false
			for _, r := range w.life.running {
				isServing = isServing || r.serves
				if r.fills {
					atWork += r.paceAt(now)
				}
			}
			w.mutex.Unlock()
			if !isServing || tail <= target {
				delete(over, w)
				continue
			}
			if over[w].IsZero() {
				over[w] = now
				t.record.add("worker %s: the tail of its task that serves is %d ms, above %d ms, with %d %% of tasks that fill at work",
					w.id, tail, target, atWork)
			}
			if length := now.Sub(over[w]); length > longest {
				longest, worst = length, w.id
			}
		}
	}
	close(stop)
	<-ended
	t.record.add("the task that serves on worker %s was over its target for %s on end", worst, longest.Round(10*time.Millisecond))
	fmt.Printf("a task that serves was over its target for %s on end\n", longest.Round(10*time.Millisecond))
	if longest > harm {
		t.record.add("HARM: it is at %d ms without the tasks that fill beside it", ownTail)
		return broken, nil
	}
	return held, nil
}
