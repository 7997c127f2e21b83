package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/samphirewick/samphirewick/internal/agent"
	"github.com/samphirewick/samphirewick/internal/delegator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/supervisor"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

const (
	// peersVariable makes the benchmark's own program run the workers and entries, with as many
	// tasks on each worker as it says, so that their processor time is not the leader's.
	peersVariable  = "SAMPHIREWICK_BENCHMARK_PEERS"
	benchedWorkers = 400
	benchedEntries = 10
)

// BenchmarkPollOfWorker measures the leader's processor time for a poll without ends: direct, and
// delegated. Workers hold polls for a second, as in large cells.
func BenchmarkPollOfWorker(b *testing.B) {
	if tasks, ok := os.LookupEnv(peersVariable); ok {
		runPeers(tasks)
		return
	}
	for _, tasks := range []int{0, 8} {
		for _, isDelegated := range []bool{false, true} {
			b.Run(fmt.Sprintf("tasks=%d/delegated=%t", tasks, isDelegated), func(b *testing.B) {
				workers, entries := startPeers(b, tasks)
				calls := platform.NewWorkerClient(0).Calls()
				if isDelegated {
					calls = startDelegation(b, calls, workers, entries)
				}
				pollAll(b, calls, workers)
				before := processorTime(b)
				for b.Loop() {
					pollAll(b, calls, workers)
				}
				perPoll := float64((processorTime(b) - before).Microseconds()) / float64(b.N*len(workers))
				b.ReportMetric(perPoll, "cpu-µs/poll")
			})
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func pollAll(b *testing.B, calls supervisor.Calls, workers []modeler.Session) {
	b.Helper()
	var group sync.WaitGroup
	for _, w := range workers {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 1700*time.Millisecond)
			defer cancel()
			if _, err := calls.Poll(ctx, w, supervisor.PollOrder{Fence: 1, Wait: time.Second, Deadline: time.Hour}); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
}

func startDelegation(
	b *testing.B, direct supervisor.Calls, workers []modeler.Session, entries []string,
) supervisor.Calls {
	b.Helper()
	clients := &entryClients{log: zap.NewNop(), clients: map[string]*transporter.Client{}}
	keys := make([]string, len(workers))
	for i, w := range workers {
		keys[i] = w.Key()
	}
	d := delegator.New(delegator.Options{
		Direct: direct, SetBounded: func(bool) {}, Exchange: clients.exchangeCalls,
		Workers: func() []string { return keys }, Entries: func() []string { return entries },
		Epoch: 1, Now: runner.BootClock, AwaitConfirmed: func(context.Context) bool { return true }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	return d.Calls()
}

// startPeers starts the workers and entries in a process of their own.
func startPeers(b *testing.B, tasks int) ([]modeler.Session, []string) {
	b.Helper()
	peers := exec.Command(os.Args[0], "-test.run=^$", "-test.bench=^BenchmarkPollOfWorker$", "-test.benchtime=1x")
	peers.Env = append(os.Environ(), peersVariable+"="+strconv.Itoa(tasks))
	input, err := peers.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := peers.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := peers.Start(); err != nil {
		b.Fatal(err)
	}
	// The peers end when their input is closed.
	b.Cleanup(func() {
		_ = input.Close()
		_ = peers.Wait()
	})
	var workers []modeler.Session
	var entries []string
	for lines := bufio.NewScanner(output); len(workers) < benchedWorkers || len(entries) < benchedEntries; {
		if !lines.Scan() {
			b.Fatal("the peers did not start")
		}
		switch kind, address, _ := strings.Cut(lines.Text(), " "); kind {
		case "worker":
			workers = append(workers, modeler.Session{Worker: "w" + address, StartedAtMillis: 1, Address: address})
		case "entry":
			entries = append(entries, address)
		}
	}
	return workers, entries
}

// runPeers runs workers and entries until the standard input is closed.
func runPeers(tasks string) {
	count, _ := strconv.Atoi(tasks)
	var polls atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			WaitMs int64 `json:"waitMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&call)
		time.Sleep(time.Duration(call.WaitMs) * time.Millisecond)
		rows := make([]string, count)
		for i := range rows {
			rows[i] = fmt.Sprintf(`["0195c2a1-%04d-job.0.1.%d",1,"",%d,3500]`, i, i, polls.Add(1)%100)
		}
		_, _ = fmt.Fprintf(w, `{"born":1,"clockMs":%d,"running":[%s],"ended":[]}`, time.Now().UnixMilli()%1e9, strings.Join(rows, ","))
	}
	listen := func(kind string) net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		fmt.Println(kind, listener.Addr())
		return listener
	}
	for range benchedWorkers {
		listener := listen("worker")
		go func() { _ = http.Serve(listener, http.HandlerFunc(answer)) }()
	}
	for i := range benchedEntries {
		a := agent.New(agent.Options{
			Calls: platform.NewWorkerClient(0).Calls(), Life: strconv.Itoa(i), Now: runner.BootClock, OnWorkers: func(int) {},
		})
		handle := func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
			var x messenger.CallExchange
			err := json.Unmarshal(params, &x)
			return a.Exchange(ctx, x), err
		}
		listener := listen("entry")
		go func() { _ = transporter.NewServer(handle, nil, 100).Serve(context.Background(), listener) }()
	}
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}
