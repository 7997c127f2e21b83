package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["scheduled"] = scheduledJobsKillCore }

// memoryMB is the memory of a machine's processes, as the settings say.
const memoryMB = 284

// anonymousMB returns the memory that a process uses, without the pages of its program file.
func anonymousMB(p *process) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// enforceMemory is the platform's part: it kills a member that uses more than its memory, and starts
// it again a second later.
func (t *trial) enforceMemory(m *machine, kills *atomic.Int32) {
	current := m.control
	most := 0
	for ; t.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		used := anonymousMB(current)
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		current.signal(syscall.SIGKILL)
		<-current.ended
		kills.Add(1)
		t.record.add("platform: control on %s uses %d MB, more than %d, and is killed", m.name, used, memoryMB)
		time.Sleep(time.Second)
		next, err := t.cell.start(t.ctx, "control-"+m.name, "samphirewick-control",
			strings.Replace(t.cell.controlSettings(m), "founding = on", "founding = off", 1))
		if err != nil {
			return
		}
		current = next
	}
}

// scheduledJobsKillCore hands in jobs that repeat, of the usual width, at the usual rate.
func scheduledJobsKillCore(t *trial) (int, error) {
	const (
		jobs     = 80
		interval = 250 * time.Millisecond
		repeats  = 1000
		width    = 60
		finish   = 14 * time.Second
		// givenUp is how many jobs in a row are not accepted until clients hand in no more.
		givenUp = 3
	)
	if t.putConfig("version 1", configuration(1, route("r-1", "/jobs/")), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	if _, err := t.startWorkers(6, func(int) string { return "a" }); err != nil {
		return failed, err
	}
	if t.cell.awaitLeader() == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	kills := make([]atomic.Int32, len(t.cell.members))
	for i, m := range t.cell.members {
		go t.enforceMemory(m, &kills[i])
	}
	count := repeats
	if !t.hasTrouble {
		count = 1
	}
	start := time.Now().Add(10 * time.Minute).UnixMilli()
	body, _ := json.Marshal(map[string]any{
		"spec": "300", "repeats": count, "startAtMs": start, "intervalMs": 60000,
		"steps": []any{map[string]any{"count": width, "cpu": 2000, "memMb": 3600, "estimateMs": 300}},
	})
	accepted, refused := 0, 0
	plain := newID()
	status, _ := t.request(t.cell.members[0], "POST", "/jobs/"+plain, job(2, 300, ""))
	t.record.add("client: POST /jobs/%s, an ordinary job: %s", plain, describe(status))
	if status != 200 {
		return failed, fmt.Errorf("the ordinary job was not accepted")
	}
	for i := range jobs {
		id := newID()
		at := t.cell.members[i%len(t.cell.members)]
		status, _ := t.request(at, "POST", "/jobs/"+id, body)
		t.record.add("client: POST /jobs/%s to %s, %d times %d tasks from 10 minutes on: %s", id, at.name, count, width, describe(status))
		refused++
		if status == 200 {
			accepted++
			refused = 0
		}
		if refused == givenUp {
			break
		}
		time.Sleep(interval)
	}
	time.Sleep(finish)
	t.record.add("%s after the end of the traffic", finish)
	answers := 0
	for range 3 {
		for _, m := range t.cell.members {
			status, text := t.request(m, "GET", "/jobs/"+plain, nil)
			t.record.add("client: GET /jobs/%s at %s: %s %s", plain, m.name, describe(status), text)
			if status == 200 {
				answers++
			}
		}
	}
	often := 0
	for i, m := range t.cell.members {
		t.record.add("control on %s was killed %d times", m.name, kills[i].Load())
		if kills[i].Load() >= 3 {
			often++
		}
	}
	fmt.Printf("%d of %d repeating jobs were accepted; members that were killed three times: %d; answers about the ordinary job: %d of 9\n",
		accepted, jobs, often, answers)
	if 2*often >= len(t.cell.members) {
		t.record.add("Fault: on half of the core, a process has ended three times with no disruption there")
		return broken, nil
	}
	return held, nil
}
