package estimator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/planner"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

// builder builds states of given sizes by applying commands to the reducer.
type builder struct {
	state    reducer.State
	revision uint64
	now      time.Time
}

func newBuilder() *builder {
	b := &builder{state: reducer.NewState(), now: time.Now()}
	b.apply(reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "base", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
		{Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai/2026", Spec: json.RawMessage(
			`{"department":"kowhai","year":2026,"from":"2020-01-01T00:00:00Z",
			  "limit":{"processors":1000000000000,"memory":1000000000000000}}`)},
	}})
	return b
}

// apply applies a command. It returns the size of the encoded command in the log
// and its result.
func (b *builder) apply(command reducer.Command) (int, reducer.Result) {
	b.revision++
	command.At = b.now
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	var result reducer.Result
	b.state, result, _ = reducer.Apply(b.state, b.revision, command)
	return len(data), result
}

func (b *builder) addWorkers(number int) {
	for i := range number {
		b.apply(reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("worker-%05d", i), Schema: 2, Service: fmt.Sprintf("service-%d", i%8), Address: "10.0.0.1:8080",
			Rack: fmt.Sprintf("rack-%d", i/8), DataCentre: fmt.Sprintf("dc-%d", i%28), Pool: "pool", Slots: 8, Connections: 64,
			Capacity: modeler.Resources{Processors: 32000, Memory: 64 << 30, Accelerators: 2}, Incarnation: "0f8fad5b",
		}})
	}
}

// submitAndStart submits and starts jobs of eight tasks until at least the given
// number of tasks run. It returns the log bytes of all submissions and of all starts.
func (b *builder) submitAndStart(tasks, workers int) (submitBytes, startBytes int) {
	const perJob = 8
	for n := 0; n*perJob < tasks; n++ {
		id := fmt.Sprintf("night-job-%06d", n)
		raw := fmt.Sprintf(`{"schema":2,"id":%q,"department":"kowhai","pool":"pool","kind":"batch","count":%d,`+
			`"need":{"processors":1000,"memory":1073741824},"seconds":60,"payload":{"orchard":"petone-%d"}}`, id, perJob, n)
		size, _ := b.apply(reducer.Command{
			Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)},
		})
		submitBytes += size
		var starts []reducer.Start
		for i := range perJob {
			w, _ := b.state.Workers.Get(fmt.Sprintf("worker-%05d", (n*perJob+i)%workers))
			starts = append(starts, reducer.Start{
				Task: modeler.TaskReference{Job: id, Index: i}, Worker: w.ID, Session: w.Session,
			})
		}
		size, result := b.apply(reducer.Command{Kind: reducer.KindStartTasks, Starts: starts})
		if result.Accepted != perJob {
			panic(fmt.Sprintf("started %d of %d tasks of job %s", result.Accepted, perJob, id))
		}
		startBytes += size
	}
	return submitBytes, startBytes
}

// Measure runs every measurement and returns the fitted lines.
func Measure() []Slope {
	slopes := []Slope{}
	slopes = append(slopes, stateSlopes()...)
	slopes = append(slopes, logSlopes()...)
	slopes = append(slopes, viewSlopes()...)
	slopes = append(slopes, renewalSlopes()...)
	return append(slopes, plannerSlope())
}

func sweep(sizes []int, measure func(size int) float64) []Point {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{float64(size), measure(size)})
	}
	return points
}

func stateSlopes() []Slope {
	snapshotBytes := func(b *builder) float64 {
		data, err := b.state.Encode()
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	}
	workerBytes := sweep([]int{500, 1000, 2000, 2600}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(n)
		return snapshotBytes(b)
	})
	taskBytes := sweep([]int{2000, 4000, 8000, 12000}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(1000)
		b.submitAndStart(n, 1000)
		return snapshotBytes(b)
	})
	workerHeap := sweep([]int{500, 1000, 2000, 2600}, func(n int) float64 {
		before := heapBytes()
		b := newBuilder()
		b.addWorkers(n)
		used := heapBytes() - before
		runtime.KeepAlive(b)
		return used
	})
	taskHeap := sweep([]int{2000, 4000, 8000, 12000}, func(n int) float64 {
		before := heapBytes()
		b := newBuilder()
		b.addWorkers(1000)
		b.submitAndStart(n, 1000)
		used := heapBytes() - before
		runtime.KeepAlive(b)
		return used
	})
	return []Slope{
		fit("snapshot", "bytes", "worker", workerBytes),
		fit("snapshot with 1000 workers", "bytes", "task", taskBytes),
		fit("control's heap", "bytes", "worker", workerHeap),
		fit("control's heap with 1000 workers", "bytes", "task", taskHeap),
	}
}

func logSlopes() []Slope {
	submits := sweep([]int{800, 1600, 3200}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(100)
		size, _ := b.submitAndStart(n, 100)
		return float64(size)
	})
	starts := sweep([]int{800, 1600, 3200}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(100)
		_, size := b.submitAndStart(n, 100)
		return float64(size)
	})
	applies := sweep([]int{800, 1600, 3200}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(1000)
		before := processorTime()
		b.submitAndStart(n, 1000)
		return (processorTime() - before).Seconds() * 1e6
	})
	return []Slope{
		fit("log of submissions, jobs of 8", "bytes", "task", submits),
		fit("log of starts", "bytes", "start", starts),
		fit("processor time to submit, encode and apply", "us", "start", applies),
	}
}

func viewSlopes() []Slope {
	full := sweep([]int{500, 1000, 2000, 2600}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(n)
		data, err := json.Marshal(messenger.WatchAnswer{View: viewer.Full(b.state)})
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	})
	delta := sweep([]int{1, 10, 100}, func(n int) float64 {
		b := newBuilder()
		b.addWorkers(200)
		var changed []reducer.ChangedRecord
		for i := range n {
			changed = append(changed, reducer.ChangedRecord{Kind: reducer.RecordWorker, Key: fmt.Sprintf("worker-%05d", i)})
		}
		data, err := json.Marshal(messenger.WatchAnswer{View: viewer.Delta(b.state, changed)})
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	})
	return []Slope{
		fit("an entry's whole view", "bytes", "backend server", full),
		fit("an entry's difference", "bytes", "change", delta),
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	count *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.count}, err
}

// renewalSlopes measures one renewal over HTTP, with headers, and the processor
// time that control spends on it.
func renewalSlopes() []Slope {
	const workers, repeats = 100, 20000
	b := newBuilder()
	b.addWorkers(workers)
	renewalOf := func(tasks int) messenger.Renewal {
		r := messenger.Renewal{Worker: "worker-00000", Session: 3}
		for i := range tasks {
			r.Running = append(r.Running, messenger.RunningTask{
				Task:    modeler.TaskReference{Job: fmt.Sprintf("night-job-%06d", i), Index: i},
				Attempt: 1, Usage: modeler.Resources{Processors: 1000, Memory: 1 << 30},
			})
		}
		return r
	}
	wireBytes := sweep([]int{0, 5, 10, 20}, func(tasks int) float64 {
		size, _ := renewOverHTTP(renewalOf(tasks))
		return size
	})
	bothEndsTime := sweep([]int{0, 5, 10, 20}, func(tasks int) float64 {
		_, used := renewOverHTTP(renewalOf(tasks))
		return used
	})
	controlTime := sweep([]int{0, 5, 10, 20}, func(tasks int) float64 {
		b := newBuilder()
		b.addWorkers(workers)
		b.submitAndStart(tasks*workers, workers)
		w, _ := b.state.Workers.Get("worker-00000")
		r := renewalOf(0)
		for _, reference := range w.Tasks {
			r.Running = append(r.Running, messenger.RunningTask{Task: reference, Attempt: 1})
		}
		data, err := json.Marshal(messenger.RenewCall{Renewals: []messenger.Renewal{r}})
		if err != nil {
			panic(err)
		}
		before := processorTime()
		for range repeats {
			var call messenger.RenewCall
			if err := json.Unmarshal(data, &call); err != nil {
				panic(err)
			}
			a := controller.AssignmentFor(b.state, w, call.Renewals[0].Running)
			if _, err := json.Marshal(messenger.RenewAnswer{Answers: []messenger.RenewalAnswer{{Assignment: a}}}); err != nil {
				panic(err)
			}
		}
		return (processorTime() - before).Seconds() * 1e6 / repeats
	})
	return []Slope{
		fit("one renewal over HTTP, both ways", "bytes", "running task", wireBytes),
		fit("processor time of a renewal over HTTP, both ends", "us", "running task", bothEndsTime),
		fit("processor time of a renewal in control", "us", "running task", controlTime),
	}
}

// renewOverHTTP returns the bytes of one renewal and its response on the wire, and
// the processor time in microseconds that sender and receiver use together.
func renewOverHTTP(r messenger.Renewal) (size, micros float64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var count atomic.Int64
	answer := func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		_ = json.NewEncoder(w).Encode(messenger.RenewalAnswer{Worker: r.Worker, LeaseMillis: 5000})
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(answer)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(countingListener{listener, &count}) }()
	const repeats = 3000
	before := processorTime()
	for range repeats {
		data, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		post(listener.Addr().String(), data)
	}
	used := processorTime() - before
	_ = server.Close()
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
	return float64(count.Load()) / repeats, used.Seconds() * 1e6 / repeats
}

func post(address string, data []byte) {
	request, err := http.NewRequestWithContext(
		context.Background(), http.MethodPost, "http://"+address+"/v1/renewals", bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// plannerSlope measures the processor time of one placement decision by the
// number of workers.
func plannerSlope() Slope {
	points := sweep([]int{48, 480, 1300, 2600}, func(workers int) float64 {
		b := newBuilder()
		b.addWorkers(workers)
		const tasks = 400
		for n := range tasks / 8 {
			raw := fmt.Sprintf(`{"id":"j%d","department":"kowhai","pool":"pool","kind":"batch","count":8,`+
				`"need":{"processors":500}}`, n)
			b.apply(reducer.Command{
				Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)},
			})
		}
		const repeats = 100
		var used time.Duration
		for range repeats {
			p := planner.New(b.state)
			before := processorTime()
			if plan := p.Plan(b.state, b.now); len(plan.Starts) != tasks {
				panic(fmt.Sprintf("planned %d of %d tasks", len(plan.Starts), tasks))
			}
			used += processorTime() - before
		}
		return used.Seconds() * 1e6 / tasks / repeats
	})
	return fit("processor time of a placement", "us", "worker", points)
}
