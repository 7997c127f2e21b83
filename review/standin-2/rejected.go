package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["rejected"] = rejectedJobStarts }

// rejectedJobStarts hands in jobs at one machine of the core while an operator drops their route,
// and the machine is cut off in one direction for a second: it sends to the others of the core,
// and hears nothing from them.
func rejectedJobStarts(t *trial) (int, error) {
	const (
		cutFor    = 1100 * time.Millisecond
		perSecond = 30
	)
	keep, drop := route("r-keep", "/keep/"), route("r-drop", "/drop/")
	if t.putConfig("version 1", configuration(1, keep, drop), t.controls(""), 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 1 was not acknowledged")
	}
	if _, err := t.startWorkers(6, func(int) string { return "a" }); err != nil {
		return failed, err
	}
	leader := t.cell.awaitLeader()
	if leader == nil {
		return failed, fmt.Errorf("no member leads for long")
	}
	var taker, other *machine
	for _, m := range t.cell.members {
		switch {
		case m == leader:
		case taker == nil:
			taker = m
		default:
			other = m
		}
	}
	t.record.add("%s leads; clients use %s; the operator uses %s", leader.name, taker.name, other.name)

	type handIn struct {
		id     string
		sent   time.Time
		status int
	}
	var mutex sync.Mutex
	var all []*handIn
	var clients sync.WaitGroup
	send := func() {
		h := &handIn{id: newID(), sent: time.Now()}
		mutex.Lock()
		all = append(all, h)
		mutex.Unlock()
		t.record.add("client: POST /drop/%s to %s", h.id, taker.name)
		h.status, _ = t.request(taker, "POST", "/drop/"+h.id, job(1, 300, ""))
		t.record.add("client: POST /drop/%s: %s", h.id, describe(h.status))
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				clients.Go(send)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if t.hasTrouble {
		t.record.add("%s hears nothing from the other machines of the core", taker.name)
		processes := []int{taker.entry.command.Process.Pid, taker.control.command.Process.Pid}
		heal, healOther := leader.relay.hold(processes...), other.relay.hold(processes...)
		time.AfterFunc(cutFor, func() {
			heal()
			healOther()
			t.record.add("%s hears the others again", taker.name)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if t.putConfig("version 2, without /drop/", configuration(2, keep), []string{other.at(controlPort)}, 10*time.Second) != 200 {
		return failed, fmt.Errorf("version 2 was not acknowledged")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	<-ended
	clients.Wait()
	time.Sleep(3 * time.Second)

	wrong, accepted, rejected, unknown := 0, 0, 0, 0
	for _, h := range all {
		starts := t.record.startsOf(h.id)
		switch h.status {
		case 200:
			accepted++
		case 404, 429, 503:
			rejected++
			if len(starts) > 0 {
				wrong++
				t.record.add("REFUSED: job %s was sent once and answered %d, and %s started on %s", h.id, h.status, starts[0].task, starts[0].worker)
			}
		default:
			unknown++
		}
	}
	t.record.add("%d jobs were handed in, each once: %d accepted, %d rejected, %d without a clear answer; %d of the rejected ones ran",
		len(all), accepted, rejected, unknown, wrong)
	fmt.Printf("%d jobs: %d accepted, %d rejected, %d without a clear answer; %d of the rejected ones ran\n",
		len(all), accepted, rejected, unknown, wrong)
	if accepted == 0 || rejected == 0 {
		return failed, fmt.Errorf("the jobs before or after the change did not get their answers")
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
