package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["nested"] = nestedConfigurationHangsCell }

// nestedConfigurationHangsCell sends one configuration with a deeply nested value in a field that no
// page names, while jobs of two steps run.
func nestedConfigurationHangsCell(t *trial) (int, error) {
	const (
		depth   = 9996
		jobs    = 6
		finish  = 14 * time.Second
		idleFor = 3 * time.Second
	)
	keep := route("r-1", "/jobs/")
	if t.putConfig("version 1", configuration(1, keep), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	workers, err := t.startWorkers(6, func(int) string { return "a" })
	if err != nil {
		return failed, err
	}
	at := t.cell.awaitLeader()
	if at == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	var ids []string
	for range jobs {
		id := newID()
		body, _ := json.Marshal(map[string]any{"spec": "2000", "steps": []any{
			map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 2000},
			map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 2000, "dependsOn": []int{0}},
		}})
		status, _ := t.request(at, "POST", "/jobs/"+id, body)
		t.record.add("client: POST /jobs/%s, two steps of 2 s: %s", id, describe(status))
		if status != 200 {
			return failed, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	send := func() {}
	if t.hasTrouble {
		nested := bytes.TrimSuffix(configuration(2, keep), []byte("}"))
		nested = append(nested, []byte(`,"note":`+strings.Repeat("[", depth)+strings.Repeat("]", depth)+"}")...)
		send = func() {
			t.putConfig(fmt.Sprintf("version 2 with a note of %d nested lists", depth), nested, t.controls(""), 3*time.Second)
		}
	}
	send()
	time.Sleep(finish)
	t.record.add("%s after the end of the traffic", finish)
	for _, id := range ids {
		status, body := t.request(at, "GET", "/jobs/"+id, nil)
		t.record.add("client: GET /jobs/%s: %s %s", id, describe(status), body)
	}
	most := 0
	for began := time.Now(); time.Since(began) < idleFor; time.Sleep(50 * time.Millisecond) {
		most = max(most, t.coresInUse(workers))
	}
	lost := 0
	for _, id := range ids {
		if starts := t.record.startsOf(id); len(starts) == 1 && starts[0].how == "done" {
			lost++
			t.record.add("LOST: job %s was accepted, its first step is done, and its second one never started, while %d thousandths of a core are in use",
				id, most)
		}
	}
	t.probe(at, keep)
	if t.hasTrouble {
		// This comes after the verdict, and shows what an operator would meet.
		t.restartLeader()
		send()
		t.restartLeader()
		t.probe(at, keep)
	}
	fmt.Printf("%d of %d jobs are stuck after their first step\n", lost, len(ids))
	if lost > 0 && most == 0 {
		return broken, nil
	}
	return held, nil
}

// probe records whether the cell still takes jobs and configurations, and whether its processes run.
func (t *trial) probe(at *machine, keep map[string]any) {
	id := newID()
	status, body := t.request(at, "POST", "/jobs/"+id, job(1, 100, ""))
	t.record.add("client: POST /jobs/%s: %s %s", id, describe(status), body)
	t.putConfig("version 3, an ordinary one", configuration(3, keep), t.controls(""), 3*time.Second)
	leader := t.cell.leader()
	for _, m := range t.cell.members {
		t.record.add("control on %s runs: %t; leads: %t", m.name, !m.control.hasEnded(), m == leader)
	}
}

// restartLeader does what an operator would try next: it kills the member that leads, and starts it
// again a few times.
func (t *trial) restartLeader() {
	leader := t.cell.leader()
	if leader == nil {
		t.record.add("no member leads")
		return
	}
	leader.control.signal(syscall.SIGKILL)
	<-leader.control.ended
	settings := strings.Replace(t.cell.controlSettings(leader), "founding = on", "founding = off", 1)
	for range 3 {
		again, err := t.cell.start(t.ctx, "again-"+leader.name, "samphirewick-control", settings)
		if err != nil {
			return
		}
		time.Sleep(time.Second)
		t.record.add("control on %s, killed and started again, runs a second later: %t", leader.name, !again.hasEnded())
	}
	log, _ := os.ReadFile(filepath.Join(t.cell.folder, "again-"+leader.name+".log"))
	for _, line := range strings.Split(string(log), "\n") {
		if _, cause, ok := strings.Cut(line, `"error":"`); ok {
			cause, _, _ = strings.Cut(cause, `"`)
			t.record.add("its log: %s", cause)
			break
		}
	}
}
