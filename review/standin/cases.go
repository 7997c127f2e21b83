package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	service = "crate-planner"
	host    = "orders.example"
)

// route is a queue of the configuration.
type route struct {
	name, host, prefix string
	priority           int
}

var (
	quote     = route{"r-quote", host, "/quote/", 0}
	routePlan = route{"r-route-plan", host, "/route-plan/", 1}
	pickList  = route{"r-pick-list", host, "/pick-list/", 2}
)

// configuration returns a configuration with the three queues of the site.
func configuration(version int, advised bool) map[string]any {
	entry := func(r route, slo, attempts int, stretch, decide, each float64) map[string]any {
		q := map[string]any{
			"name": r.name, "host": r.host, "pathPrefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": slo,
			"priority": r.priority, "service": service, "maxAttempts": attempts, "stretch": stretch,
		}
		if advised {
			q["advice"] = map[string]any{"decideMs": decide, "perWorkerMs": each, "validMs": 1500}
		}
		return q
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			entry(routePlan, 1000, 3, 2.2, 410, 5.9), entry(pickList, 3000, 4, 4.0, 82, 1.2), entry(quote, 250, 3, 1.5, 12, 0.17),
		},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false,
			"rejectsOverload": false, "spare": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// submit registers the job with the workers and hands it in.
func (p *play) submit(n int, r route, j job, estimateMs int) int {
	steps := []any{}
	for _, s := range j.steps {
		body := map[string]any{"count": s.count, "cpu": s.cpu, "memMb": s.mem}
		if estimateMs > 0 {
			body["estimateMs"] = estimateMs
		}
		if s.gang {
			body["gang"] = true
		}
		if s.label != "" {
			body["constraints"] = s.label
		}
		if s.longRunning {
			body["longRunning"] = true
		}
		if s.fills {
			body["fills"] = true
		}
		if s.targetMs > 0 {
			body["targetMs"] = s.targetMs
			body["image"] = "serve"
		}
		steps = append(steps, body)
	}
	p.world.mutex.Lock()
	p.world.jobs[jobID(n)] = j
	p.world.mutex.Unlock()
	return p.sys.submit(n, r, jobID(n), map[string]any{"spec": "job " + jobID(n), "steps": steps})
}

// found starts the system, the policy service if there is one, and the workers.
func (p *play) found(a *advice, workers ...*worker) error {
	if err := p.sys.start(); err != nil {
		return err
	}
	if a != nil {
		if err := a.serve(fmt.Sprintf("%s.200:%d", p.sys.network, portAdvice)); err != nil {
			return err
		}
	}
	if err := p.sys.configure(configuration(1, a != nil)); err != nil {
		return err
	}
	for _, w := range workers {
		if err := w.serve(0); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) newWorker(n int, id string, life int, cpu, mem int64, labels ...string) *worker {
	address := fmt.Sprintf("%s.%d:%d", p.sys.network, 100+n, portWorker)
	return newWorker(p.world, id, life, address, service, cpu, mem, labels, p.sys.controls())
}

// await polls a condition until it holds or the time has passed.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// playReserve hands in jobs of two queues; one of the first queue can never be done. It
// checks the rule LOST finishAfter after the last job was handed in.
func playReserve(p *play) (bool, error) {
	const workers, cpu = 4, 32000
	var pool []*worker
	for n := range workers {
		pool = append(pool, p.newWorker(n, fmt.Sprintf("i-%08x", 0xa0+n), 1, cpu, 65536, "a", fmt.Sprintf("r1-%d", n)))
	}
	// The policy allows three workers of the four to run a step of the first queue, and two
	// of them to run a step of the second.
	policy := func(step, id string) bool {
		n := int(id[len(id)-1] - '0')
		if p.isOf(step, routePlan) {
			return n != 3
		}
		sum := 0
		for _, c := range step {
			sum += int(c)
		}
		return n == sum%workers || n == (sum+1+sum/workers%(workers-1))%workers
	}
	a := &advice{permits: policy, decide: 12 * time.Millisecond, each: 170 * time.Microsecond, validMs: 1500}
	if err := p.found(a, pool...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var handed sync.WaitGroup
	ids := map[int]route{}
	next := 0
	hand := func(r route, j job, estimateMs int) {
		n := next
		next++
		ids[n] = r
		p.queues.Store(jobID(n), r)
		handed.Add(1)
		go func() {
			defer handed.Done()
			p.submit(n, r, j, estimateMs)
		}()
	}
	// 20 jobs of the queue within 3 s; with trouble one of them, a twentieth, can never be
	// done: its tasks work only together, and there is one more of them than the workers
	// that the policy allows have room for.
	sound := job{steps: []step{{count: 2, cpu: 9000, mem: 4096, gang: true}}, work: 400 * time.Millisecond}
	hopeless := job{steps: []step{{count: workers, cpu: 31000, mem: 4096, gang: true}}, work: 400 * time.Millisecond}
	hopelessID := -1
	for n := range 20 {
		if n == 10 && p.trouble {
			hopelessID = next
			hand(routePlan, hopeless, 400)
		} else {
			hand(routePlan, sound, 400)
		}
		time.Sleep(150 * time.Millisecond)
	}
	for range 20 {
		hand(pickList, job{steps: []step{{count: 2, cpu: 2000, mem: 2048}}, work: 500 * time.Millisecond}, 500)
		time.Sleep(250 * time.Millisecond)
	}
	handed.Wait()
	last := time.Now()
	const finishAfter = 14 * time.Second
	time.Sleep(time.Until(last.Add(finishAfter)))
	// From here on, a job breaks the rule that has nothing running for 3 s.
	idleSince := map[int]time.Time{}
	broken := map[int]bool{}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used, running := int64(0), map[string]bool{}
		for _, w := range pool {
			w.mutex.Lock()
			for _, r := range w.running {
				used += r.step.cpu
				running[r.job] = true
			}
			w.mutex.Unlock()
		}
		for n := range ids {
			if n == hopelessID || p.isDone(n) || running[jobID(n)] || 2*used >= workers*cpu {
				delete(idleSince, n)
				continue
			}
			if since, ok := idleSince[n]; !ok {
				idleSince[n] = time.Now()
			} else if time.Since(since) >= 3*time.Second {
				broken[n] = true
			}
		}
	}
	states := map[string]int{}
	for n, r := range ids {
		state := p.sys.state(n, r, jobID(n))
		states[r.name+" "+state]++
		if broken[n] {
			p.rec.add("check: job %s of %s has had nothing running for 3 s, all tasks of it wait, the state is %q", jobID(n), r.name, state)
		}
	}
	p.rec.add("check: states %v; jobs that wait while more than half of the pool is free: %d", states, len(broken))
	return len(broken) > 0, nil
}

// isOf reports whether the step, in the form ID.K.STEP, belongs to a job of the queue.
func (p *play) isOf(step string, r route) bool {
	known, ok := p.queues.Load(step[:16])
	return ok && known.(route) == r
}

// isDone reports whether all tasks of the job have ended as done.
func (p *play) isDone(n int) bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	want := 0
	for _, s := range p.world.jobs[jobID(n)].steps {
		want += s.count
	}
	done := map[string]bool{}
	for _, r := range p.world.runs {
		if r.job == jobID(n) && r.how == "done" {
			done[r.task] = true
		}
	}
	return len(done) >= want
}

// playReborn cuts one worker of six off for a moment. Behind the cut it crashes and starts
// again under its id. It checks the rule TWICE.
func playReborn(p *play) (bool, error) {
	const workers = 6
	var pool []*worker
	for n := range workers {
		pool = append(pool, p.newWorker(n, fmt.Sprintf("i-%08x", 0xa0+n), 1, 32000, 65536, "a", "r1-0"))
	}
	if err := p.found(nil, pool...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	hand := func(first int, work time.Duration) {
		for n := range 4 {
			j := job{steps: []step{{count: 1, cpu: 5000, mem: 1024}}, work: work}
			p.submit(first+n, quote, j, int(work.Milliseconds()))
		}
	}
	hand(0, 250*time.Millisecond)
	// A quiet time, in which the kept connections for orders are closed.
	time.Sleep(17 * time.Second)
	// The worker that got the first jobs gets the next ones too.
	victim := p.workerOf(0)
	if victim == nil {
		return false, errors.New("the first jobs have not run")
	}
	const cut, restart = 400 * time.Millisecond, 150 * time.Millisecond
	if p.trouble {
		p.rec.add("cut: worker %s is cut off from all machines for %v, silently", victim.id, cut)
		victim.machine.setCut(true)
		victim.dieSilently()
		time.Sleep(restart)
		var n int
		for n = range pool {
			if pool[n] == victim {
				break
			}
		}
		reborn := p.newWorker(n, victim.id, 2, 32000, 65536, "a", "r1-0")
		reborn.machine = victim.machine
		// The heartbeat that it sends behind the cut gets no answer within a second; then it
		// calls the next node.
		p.rec.add("worker %s life 2: its first heartbeat is lost in the cut", victim.id)
		if err := reborn.serve(time.Second); err != nil {
			return false, err
		}
		time.Sleep(cut - restart)
		p.rec.add("cut: ends")
		victim.machine.setCut(false)
	}
	hand(4, 850*time.Millisecond)
	time.Sleep(6 * time.Second)
	return p.runsTwice(), nil
}

// workerOf returns the worker that has run the job first.
func (p *play) workerOf(n int) *worker {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	for _, r := range p.world.runs {
		for _, w := range p.world.workers {
			if r.job == jobID(n) && w.id == r.worker && w.life == r.life {
				return w
			}
		}
	}
	return nil
}

// runsTwice reports whether two runs of one task were there at the same time, or one
// started after another had ended as done and the system had taken note of that end.
func (p *play) runsTwice() bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	now, broken := time.Now(), false
	end := func(r *run) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	for i, a := range p.world.runs {
		for _, b := range p.world.runs[i+1:] {
			if a.task == b.task && a.how == "done" && a.noted && b.began.After(a.ended) {
				p.rec.add("check: task %s: run %d on %s life %d ended done, which was taken note of, and run %d started on %s life %d %v after that end",
					a.task, a.number, a.worker, a.life, b.number, b.worker, b.life, b.began.Sub(a.ended).Round(time.Millisecond))
				broken = true
			}
			if a.task != b.task || !a.began.Before(end(b)) || !b.began.Before(end(a)) {
				continue
			}
			from, to := a.began, end(a)
			if b.began.After(from) {
				from = b.began
			}
			if end(b).Before(to) {
				to = end(b)
			}
			p.rec.add("check: task %s: run %d on %s life %d and run %d on %s life %d at the same time for %v",
				a.task, a.number, a.worker, a.life, b.number, b.worker, b.life, to.Sub(from).Round(time.Millisecond))
			broken = true
		}
	}
	return broken
}

// playWaiting hands in jobs that only one worker of eight may run, just after that worker
// was lost for good. It checks the rule MIXED: the number of waiting jobs that the queue
// shows.
func playWaiting(p *play) (bool, error) {
	const workers, visible, slack = 8, 3 * time.Second, 2 * time.Second
	pool := []*worker{p.newWorker(0, "i-000000a0", 1, 32000, 65536, "b", "r1-0")}
	for n := 1; n < workers; n++ {
		pool = append(pool, p.newWorker(n, fmt.Sprintf("i-%08x", 0xa0+n), 1, 32000, 65536, "a", "r1-0"))
	}
	if err := p.found(nil, pool...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		pool[0].dieSilently()
	}
	const jobs = 5
	acceptedAt := map[int]time.Time{}
	for n := range jobs {
		j := job{steps: []step{{count: 2, cpu: 2000, mem: 1024, label: "b"}}, work: 500 * time.Millisecond}
		if status := p.submit(n, pickList, j, 500); status == http.StatusOK {
			acceptedAt[n] = time.Now()
		}
		time.Sleep(60 * time.Millisecond)
	}
	if len(acceptedAt) != jobs {
		return false, errors.New("not all jobs were accepted")
	}
	broken := 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for n := range p.sys.ips {
			owed := 0
			for id, at := range acceptedAt {
				if time.Since(at) > visible+slack && !p.hasBegun(id) {
					owed++
				}
			}
			status, answer := p.sys.call(http.MethodGet, p.sys.front(n), pickList.host, pickList.prefix, nil)
			var decoded struct{ Waiting int }
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &decoded) != nil {
				p.rec.add("client: GET %s at node %d -> %d %s", pickList.prefix, n+1, status, answer)
				continue
			}
			p.rec.add("client: GET %s at node %d -> waiting %d; %d jobs that were accepted over %v before have not begun",
				pickList.prefix, n+1, decoded.Waiting, owed, visible+slack)
			if 2*decoded.Waiting < owed {
				broken++
			}
		}
	}
	for n := range jobs {
		p.rec.add("check: job %s is shown as %q; it has begun: %v", jobID(n), p.sys.state(n, pickList, jobID(n)), p.hasBegun(n))
	}
	p.rec.add("check: answers with under half of the jobs that wait: %d", broken)
	return broken > 0, nil
}

// hasBegun reports whether a task of the job has started on a worker.
func (p *play) hasBegun(n int) bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	for _, r := range p.world.runs {
		if r.job == jobID(n) {
			return true
		}
	}
	return false
}

// playHandover stops the machine of the leader in the ordinary way while eight workers of
// 48 are cut off. It checks the rule TWICE.
func playHandover(p *play) (bool, error) {
	const workers, cutOff, rounds = 48, 8, 3
	var pool []*worker
	for n := range workers {
		w := p.newWorker(n, fmt.Sprintf("i-%08x", 0xa0+n), 1, 32000, 65536, "a", "r1-0")
		if n < cutOff {
			w.rate = 0.98
		}
		pool = append(pool, w)
	}
	if err := p.found(nil); err != nil {
		return false, err
	}
	for _, w := range pool {
		if err := w.serve(0); err != nil {
			return false, err
		}
		time.Sleep(37 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	next := 0
	for round := range rounds {
		// The scheduler fills the workers in their order, with six tasks each.
		for range 12 {
			j := job{steps: []step{{count: 4, cpu: 5000, mem: 1024}}, work: 9 * time.Second}
			p.submit(next, pickList, j, 9000)
			next++
		}
		time.Sleep(1500 * time.Millisecond)
		leader := p.sys.leader()
		if leader == 0 {
			return false, errors.New("no leader is known")
		}
		if !p.trouble {
			time.Sleep(12 * time.Second)
			continue
		}
		p.sys.terminate(leader)
		for _, w := range pool[:cutOff] {
			w.machine.setRefuse(true)
		}
		p.rec.add("cut: %d workers, %s to %s, are cut off from all machines, connections are refused (round %d)",
			cutOff, pool[0].id, pool[cutOff-1].id, round+1)
		time.Sleep(5 * time.Second)
		for _, w := range pool[:cutOff] {
			w.machine.setRefuse(false)
		}
		p.rec.add("cut: ends")
		if err := p.sys.restart(leader); err != nil {
			return false, err
		}
		time.Sleep(7 * time.Second)
	}
	return p.runsTwice(), nil
}

// playPace lets a worker carry out one pace order late. It checks the rule HARM.
func playPace(p *play) (bool, error) {
	const target, harm, contact = 100.0, 4 * time.Second, 3 * time.Second
	w := p.newWorker(0, "i-000000a0", 1, 32000, 65536, "a", "r1-0")
	p.world.load = 30
	var mutex sync.Mutex
	var carriedOut time.Time
	chosen := false
	var window time.Time
	p.world.delayOrder = func(_, path string, body []byte) time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		var o order
		_ = json.Unmarshal(body, &o)
		if chosen || path != "/api/pace" || o.Percent < 45 || window.IsZero() {
			return 0
		}
		chosen = true
		if !p.trouble {
			return 0
		}
		const delay = 6 * time.Second
		carriedOut = time.Now().Add(delay)
		return delay
	}
	if err := p.found(nil, w); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if status := p.submit(0, quote, job{steps: []step{{count: 1, cpu: 8000, mem: 4096, longRunning: true, targetMs: target}}}, 0); status != http.StatusOK {
		return false, errors.New("the job that serves was not accepted")
	}
	time.Sleep(time.Second)
	mutex.Lock()
	window = time.Now()
	mutex.Unlock()
	fill := job{steps: []step{{count: 1, cpu: 16000, mem: 4096, fills: true}}, work: 50 * time.Second, perFill: 60}
	if status := p.submit(1, pickList, fill, 50000); status != http.StatusOK {
		return false, errors.New("the job that fills was not accepted")
	}
	// Other orders in the same seconds, so that the one is a small share of them.
	isChosen := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return chosen
	}
	for n := 2; n < 22 || !isChosen(); n++ {
		if n > 100 {
			return false, errors.New("no order that raises the pace came")
		}
		p.submit(n, quote, job{steps: []step{{count: 1, cpu: 500, mem: 256}}, work: 200 * time.Millisecond}, 200)
		time.Sleep(120 * time.Millisecond)
	}
	// More users: the tail rises, but stays below the target without the fill task.
	w.mutex.Lock()
	p.world.load = 90
	w.mutex.Unlock()
	p.rec.add("the load of the serving task rises: its tail is 90 ms without the task that fills, the target is 100 ms")
	var since, longestFrom time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mutex.Lock()
		calmFrom := carriedOut.Add(contact)
		mutex.Unlock()
		w.mutex.Lock()
		tail, without := w.tailLocked()
		w.mutex.Unlock()
		if tail <= target || without > target || time.Now().Before(calmFrom) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			p.rec.add("check: the tail is %.0f ms, and %.0f ms without the task that fills", tail, without)
		}
		if d := time.Since(since); d > longest {
			longest, longestFrom = d, since
		}
	}
	p.rec.add("check: over the target by what fills beside it for %v on end, from %.3f; the bound is %v",
		longest.Round(time.Millisecond), longestFrom.Sub(p.rec.began).Seconds(), harm)
	return longest > harm, nil
}
