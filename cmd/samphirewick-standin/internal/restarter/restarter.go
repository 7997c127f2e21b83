// Package restarter runs a cell of real processes whose workers start again under their ids and
// are cut off soon after, and looks for tasks that ran twice.
package restarter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/platform/performer"
)

const (
	networkOctet   = 77
	zoneCount      = 3
	workersPerZone = 8
	workersPerRack = 4
	workerPort     = 8080
	firstWorker    = 20
	service        = "planner"
	queueHost      = "jobs.example"
	queuePrefix    = "/jobs/"
	// darkTime is how long a worker that starts again is down.
	darkTime = 600 * time.Millisecond
	// settleTime is how long after its start the cell gets no work.
	settleTime = 4 * time.Second
	// jobInterval is the time between two jobs.
	jobInterval = 120 * time.Millisecond
	callTimeout = 3 * time.Second
	// configTimeout bounds the time until the configuration is accepted.
	configTimeout = 20 * time.Second
)

// Options configures a run.
type Options struct {
	// Control and Entry are the paths of the programs.
	Control, Entry string
	Seed           uint64
	// Network tells runs beside each other apart; 0 to 255.
	Network int
	// Rounds is how often the workers of a zone start again and are cut off.
	Rounds int
	// CutAfter is how long after its start a worker is cut off, and CutFor for how long.
	CutAfter, CutFor time.Duration
	// KillLeader makes the leader start again shortly before each cut.
	KillLeader bool
	// LateShare is the share of the orders around each restart that get no answer and are carried
	// out late.
	LateShare float64
	// Tickets is true if starts need tickets.
	Tickets bool
	// LongestLease is the longest lease that workers grant.
	LongestLease time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Jobs, Runs int
	// Twice describes the tasks that ran twice.
	Twice []string
	// Folder holds the settings, logs and data of the processes.
	Folder string
}

type experiment struct {
	options  Options
	cell     *cell
	random   *rand.Rand
	recorder *performer.Recorder
	workers  map[int][]*performer.Worker
	jobs     int
	client   *http.Client
}

// Run runs the experiment, and writes what it does to the log.
func Run(ctx context.Context, options Options, log io.Writer) (Report, error) {
	folder, err := os.MkdirTemp("", "samphirewick-restarts-")
	if err != nil {
		return Report{}, err
	}
	e := &experiment{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), recorder: performer.NewRecorder(),
		workers: map[int][]*performer.Worker{}, client: &http.Client{Timeout: callTimeout},
	}
	advice := ""
	if options.Tickets {
		advice = fmt.Sprintf("%s:%d", options.host(firstWorker-1), workerPort)
	}
	e.cell = newCell(options, folder, advice)
	ctx, cancel := context.WithCancel(ctx)
	group := runner.NewGroup()
	defer func() {
		cancel()
		_ = group.Wait()
		e.cell.stopAll()
	}()
	e.startWorkers(ctx, group)
	if options.Tickets {
		group.Go(ctx, policyService{address: advice, workers: e.byID()}.run)
	}
	if err := e.cell.startAll(); err != nil {
		return Report{}, err
	}
	if err := e.configure(ctx); err != nil {
		return Report{}, err
	}
	pause(ctx, settleTime)
	group.Go(ctx, e.submitJobs)
	for round := range options.Rounds {
		if err := e.playRound(ctx, round, log); err != nil {
			return Report{}, err
		}
	}
	return Report{Jobs: e.jobs, Runs: e.recorder.Count(), Twice: e.recorder.Twice(), Folder: folder}, nil
}

func (e *experiment) startWorkers(ctx context.Context, group *runner.Group) {
	for number := range zoneCount * workersPerZone {
		zone := number % zoneCount
		w := performer.New(performer.Options{
			ID: workerID(number), Address: fmt.Sprintf("%s:%d", e.options.host(firstWorker+number), workerPort), Service: service,
			Zone: fmt.Sprintf("zone-%d", zone), Rack: fmt.Sprintf("r%d-%d", zone, number/zoneCount/workersPerRack),
			Control: e.options.control(), LongestLease: e.options.LongestLease, WantsTickets: e.options.Tickets, Recorder: e.recorder,
		})
		e.workers[zone] = append(e.workers[zone], w)
		group.Go(ctx, w.Run)
	}
}

func workerID(number int) string { return fmt.Sprintf("i-%08x", number) }

// byID returns the workers by their ids.
func (e *experiment) byID() map[string]*performer.Worker {
	workers := map[string]*performer.Worker{}
	for number := range zoneCount * workersPerZone {
		workers[workerID(number)] = e.workers[number%zoneCount][number/zoneCount]
	}
	return workers
}

// playRound makes the workers of a zone start again and cuts them off. It ends once they are
// connected again and their tasks have been settled.
func (e *experiment) playRound(ctx context.Context, round int, log io.Writer) error {
	const beforeRestart, beforeCut = 1500 * time.Millisecond, 500 * time.Millisecond
	zone := e.random.IntN(zoneCount)
	_, _ = fmt.Fprintf(log, "round %d: zone %d\n", round, zone)
	workers := e.workers[zone]
	pause(ctx, 2*time.Second)
	for _, w := range workers {
		w.SetLateShare(e.options.LateShare)
	}
	pause(ctx, beforeRestart)
	restarted := make(chan struct{}, len(workers))
	for _, w := range workers {
		go func() {
			w.Restart(ctx, darkTime)
			restarted <- struct{}{}
		}()
	}
	for range workers {
		<-restarted
	}
	pause(ctx, max(0, e.options.CutAfter-beforeCut))
	killed := make(chan error, 1)
	go func() {
		if !e.options.KillLeader {
			killed <- nil
			return
		}
		killed <- e.cell.restartLeader(ctx, time.Second)
	}()
	pause(ctx, min(e.options.CutAfter, beforeCut))
	for _, w := range workers {
		w.SetLateShare(0)
		w.CutOff(true)
	}
	pause(ctx, e.options.CutFor)
	for _, w := range workers {
		w.CutOff(false)
	}
	err := <-killed
	pause(ctx, 2*time.Second)
	return err
}

// configure sends the configuration until a member accepts it.
func (e *experiment) configure(ctx context.Context) error {
	queue := map[string]any{
		"name": "jobs", "host": queueHost, "pathPrefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 4, "stretch": 4.0,
	}
	if e.options.Tickets {
		queue["advice"] = map[string]float64{"decideMs": 1, "perWorkerMs": 0, "validMs": ticketValidMillis}
	}
	body := map[string]any{
		"version": 1, "routes": []any{queue}, "services": []any{map[string]any{"name": service, "maxConns": 64}},
		"limits": map[string]any{},
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for {
		for _, address := range e.options.control() {
			if e.post(ctx, "http://"+address+"/api/config/put", "", body) == nil {
				return nil
			}
		}
		pause(ctx, settleTime/10)
		if ctx.Err() != nil {
			return fmt.Errorf("configuration was not accepted: %w", ctx.Err())
		}
	}
}

// submitJobs submits jobs until the context ends. Every third has tasks that outlast the
// longest lease.
func (e *experiment) submitJobs(ctx context.Context) error {
	const short, long = 1500, 15000
	random := rand.New(rand.NewPCG(e.options.Seed, 1))
	for ; ctx.Err() == nil; pause(ctx, jobInterval) {
		work, count := short, 2
		if random.IntN(3) == 0 {
			work, count = long, 6
		}
		id := fmt.Sprintf("%016x", random.Uint64())
		body := map[string]any{"spec": fmt.Sprint(work), "steps": []any{map[string]any{
			"count": count, "cpu": 4000, "memMb": 512, "estimateMs": work,
		}}}
		url := "http://" + e.options.front(1+e.jobs%entryCount) + queuePrefix + id
		if e.post(ctx, url, queueHost, body) == nil {
			e.jobs++
		}
	}
	return nil
}

func (e *experiment) post(ctx context.Context, url, host string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return nil
}
