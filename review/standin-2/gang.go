package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["gang"] = gangKeepsIdleWorkers }

// step is a step of a job.
type step struct {
	count, cpu, memMb, estimateMs int
	gang                          bool
}

func jobOf(workMs int, s step) []byte {
	data, _ := json.Marshal(map[string]any{"spec": fmt.Sprint(workMs), "steps": []any{map[string]any{
		"count": s.count, "cpu": s.cpu, "memMb": s.memMb, "estimateMs": s.estimateMs, "gang": s.gang,
	}}})
	return data
}

// gangKeepsIdleWorkers hands in a job that runs for long on one worker, a gang that needs all workers,
// and small jobs.
func gangKeepsIdleWorkers(t *trial) (int, error) {
	const (
		workers = 6
		cores   = 32000
		finish  = 14 * time.Second
		idleFor = 3 * time.Second
	)
	plan := advice{decide: 50 * time.Millisecond, perWorker: 2 * time.Millisecond, valid: 1500 * time.Millisecond}
	if err := t.servePolicy(plan); err != nil {
		return failed, err
	}
	routePlan, pickList := route("r-route-plan", "/route-plan/"), route("r-pick-list", "/pick-list/")
	routePlan["advice"] = plan.config()
	pickList["advice"] = plan.config()
	pickList["priority"], pickList["stretch"], pickList["sloMs"] = 2, 4.0, 3000
	if t.putConfig("version 1", configuration(1, routePlan, pickList), t.controls(""), 10*time.Second) != 200 {
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
	send := func(queue, what string, body []byte) (string, error) {
		id := newID()
		status, _ := t.request(at, "POST", "/"+queue+"/"+id, body)
		t.record.add("client: POST /%s/%s, %s: %s", queue, id, what, describe(status))
		if status != 200 {
			return id, fmt.Errorf("job %s was not accepted", id)
		}
		return id, nil
	}
	if _, err := send("pick-list", "4 tasks of 31 s on 5 cores", jobOf(31000, step{count: 4, cpu: 5000, memMb: 3600, estimateMs: 31000})); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	if t.hasTrouble {
		_, err := send("route-plan", "a gang of 12 tasks of 10 s on 15 cores", jobOf(10000, step{count: 12, cpu: 15000, memMb: 17000, estimateMs: 10000, gang: true}))
		if err != nil {
			return failed, err
		}
		time.Sleep(time.Second)
	}
	var small []string
	for range 4 {
		id, err := send("pick-list", "2 tasks of 0.5 s on 4 cores", jobOf(500, step{count: 2, cpu: 4000, memMb: 3600, estimateMs: 500}))
		if err != nil {
			return failed, err
		}
		small = append(small, id)
	}
	time.Sleep(finish)
	t.record.add("%s after the end of the traffic", finish)
	verdict := held
	for _, id := range small {
		_, body := t.request(at, "GET", "/pick-list/"+id, nil)
		t.record.add("client: GET /pick-list/%s: %s", id, body)
	}
	// The use of the workers is looked at for 3 s.
	most := 0
	for began := time.Now(); time.Since(began) < idleFor; time.Sleep(50 * time.Millisecond) {
		most = max(most, t.coresInUse(all))
	}
	for _, id := range small {
		if starts := t.record.startsOf(id); len(starts) == 0 && most < workers*cores/2 {
			t.record.add("LOST: job %s was accepted and could run, and nothing of it runs for %s, while at most %d of %d thousandths of a core are in use",
				id, idleFor, most, workers*cores)
			verdict = broken
		}
	}
	fmt.Printf("at most %d of %d thousandths of a core are in use\n", most, workers*cores)
	return verdict, nil
}

// coresInUse returns the thousandths of a core that the workers' runs use.
func (t *trial) coresInUse(workers []*worker) int {
	use := 0
	for _, w := range workers {
		w.mutex.Lock()
		if w.life != nil {
			for task := range w.life.running {
				use += t.needs.of(task)
			}
		}
		w.mutex.Unlock()
	}
	return use
}
