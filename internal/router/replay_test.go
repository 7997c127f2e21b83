package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/router"
	"github.com/samphirewick/samphirewick/internal/sender"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const (
	service         = "toll-desk"
	backends        = 48
	slotsPerBackend = 8
	hopLatency      = 500 * time.Microsecond
	loadInterval    = 400 * time.Millisecond
)

// requestClass is one class of requests in a replay.
type requestClass struct {
	name string
	// mean is the mean of the exponentially distributed run times.
	mean time.Duration
	// share is the fraction of requests in this class.
	share float64
}

// festivalClasses models a festival morning of the department Seri Loceng:
// strikes, chimes, and peals, which run a thousand times as long as a strike.
var festivalClasses = []requestClass{
	{"strike", 10 * time.Millisecond, 0.93},
	{"chime", 100 * time.Millisecond, 0.069},
	{"peal", 10 * time.Second, 0.001},
}

// replay runs seeded arrivals against one configuration of entries.
type replay struct {
	entries int
	// load is the fraction of all slots that the arrivals keep busy. Between
	// peakStart and peakEnd it is peakLoad.
	load, peakLoad     float64
	peakStart, peakEnd time.Duration
	duration           time.Duration
	// ignoreClasses sends all requests in one class without a reserve for short
	// ones, so that the queue is first in, first out.
	ignoreClasses bool
	// localOnly makes entries use only their own slots.
	localOnly bool
	classes   []requestClass
}

// waits holds a histogram of the wait times of each class, in microseconds.
type waits map[string]*hdrhistogram.Histogram

func (w waits) quantile(class string, rank float64) time.Duration {
	return time.Duration(w[class].ValueAtQuantile(rank)) * time.Microsecond
}

// node is one entry of a replay.
type node struct {
	tracker    *tracker.Tracker
	dispatcher *dispatcher.Dispatcher
	router     *router.Router
}

func (r replay) run(t *testing.T) waits {
	t.Helper()
	results := waits{}
	for _, k := range r.classes {
		results[k.name] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		nodes := r.build(ctx)
		time.Sleep(time.Second)
		r.send(t, nodes, results)
		cancel()
		time.Sleep(time.Minute)
	})
	return results
}

// build returns entries that own equal parts of the backend servers.
func (r replay) build(ctx context.Context) []*node {
	full := viewer.View{Revision: 1, Full: true}
	for i := range backends {
		full.Backends = append(full.Backends, viewer.Backend{
			ID: fmt.Sprintf("w%02d", i), Service: service, Slots: slotsPerBackend, Connections: 64,
			Owner: fmt.Sprintf("e%02d", i%r.entries), OwnerEpoch: 1, Serving: true,
		})
	}
	for i := range r.entries {
		id := fmt.Sprintf("e%02d", i)
		full.Entries = append(full.Entries, modeler.Entry{ID: id, Address: id})
	}
	full.Policies = []viewer.Policy{{Service: service, Spec: r.policy()}}
	byID := map[string]*node{}
	var nodes []*node
	for _, e := range full.Entries {
		n := r.buildOne(e, full, byID)
		byID[e.ID] = n
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		go func() { _ = n.tracker.Run(ctx) }()
	}
	return nodes
}

func (r replay) policy() modeler.PolicySpec {
	policy := modeler.DefaultPolicy()
	policy.QueueLimit, policy.QueueMillis, policy.RequestMillis = 100000, 3600000, 3600000
	if r.ignoreClasses {
		policy.ShortReservePercent = 0
	}
	return policy
}

func (r replay) buildOne(e modeler.Entry, full viewer.View, byID map[string]*node) *node {
	n := &node{dispatcher: dispatcher.New()}
	n.tracker = tracker.New(tracker.Options{
		Entry: e,
		Watch: func(ctx context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error) {
			answer := messenger.WatchAnswer{Cell: "cell", Lease: time.Hour, View: full}
			if call.Since > 0 {
				select {
				case <-ctx.Done():
					return answer, ctx.Err()
				case <-time.After(loadInterval):
				}
				answer.View = viewer.View{Revision: call.Since}
			}
			for id, other := range byID {
				if id != e.ID {
					answer.Loads = append(answer.Loads, messenger.EntryLoad{Entry: id, Loads: other.dispatcher.Loads()})
				}
			}
			return answer, nil
		},
		Loads: n.dispatcher.Loads,
		OnChange: func(table tracker.Table) {
			n.dispatcher.SetOwned(table.Owned(), table.Policy)
			for _, b := range table.Owned() {
				n.dispatcher.SetRunning(b.ID, b.OwnerEpoch, dispatcher.Running{Foreign: 0})
			}
		},
		NewID: func() string { return e.ID },
		Log:   zap.NewNop(),
	})
	send := func(_ context.Context, _ viewer.Backend, call messenger.ForwardCall) (sender.Answer, error) {
		length, err := time.ParseDuration(string(call.Body))
		time.Sleep(length)
		return sender.Answer{Status: 200}, err
	}
	forward := func(ctx context.Context, to modeler.Entry, call messenger.ForwardCall) (messenger.ForwardAnswer, error) {
		time.Sleep(hopLatency)
		defer time.Sleep(hopLatency)
		return byID[to.ID].router.Serve(ctx, call), nil
	}
	n.router = router.New(n.tracker, n.dispatcher, send, forward)
	return n
}

// send sends each arriving request to an entry drawn at random, and waits until
// all requests have ended.
func (r replay) send(t *testing.T, nodes []*node, results waits) {
	random := rand.New(rand.NewPCG(1, 2))
	mean := 0.0
	for _, k := range r.classes {
		mean += k.share * k.mean.Seconds()
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for time.Since(began) < r.duration {
		load := r.load
		if at := time.Since(began); at >= r.peakStart && at < r.peakEnd {
			load = r.peakLoad
		}
		rate := load * backends * slotsPerBackend / mean
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		k := r.drawClass(random)
		length := time.Duration(random.ExpFloat64() * float64(k.mean))
		n := nodes[random.IntN(len(nodes))]
		group.Go(func() {
			arrived := time.Now()
			outcome := r.sendRequest(t.Context(), n, k, length)
			if outcome != modeler.OutcomeRan {
				t.Errorf("request outcome is %s, want ran", outcome)
			}
			mutex.Lock()
			defer mutex.Unlock()
			_ = results[k.name].RecordValue(max(1, (time.Since(arrived) - length).Microseconds()))
		})
	}
	group.Wait()
}

func (r replay) drawClass(random *rand.Rand) requestClass {
	at := random.Float64()
	for _, k := range r.classes {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return r.classes[0]
}

func (r replay) sendRequest(ctx context.Context, n *node, k requestClass, length time.Duration) modeler.Outcome {
	class := k.name
	if r.ignoreClasses {
		class = "all"
	}
	if !r.localOnly {
		return n.router.Route(ctx, filterer.Request{
			ID: "r", Service: service, Department: "seri-loceng", Class: class, Repeatable: true,
			Body: []byte(length.String()), Policy: r.policy(),
		}).Outcome
	}
	return n.router.Serve(ctx, messenger.ForwardCall{
		ID: "r", Service: service, Class: class, Repeatable: true, Body: []byte(length.String()),
		Wait: time.Hour, Run: time.Hour,
	}).Outcome
}

// report prints one measure as a line of JSON, which make bench collects.
func report(t *testing.T, measure, workload string, baseline, ours time.Duration) {
	t.Helper()
	line, err := json.Marshal(struct {
		Measure  string  `json:"measure"`
		Workload string  `json:"workload"`
		Baseline float64 `json:"naive"`
		Earlier  float64 `json:"earlier,omitempty"`
		Ours     float64 `json:"ours"`
		Ratio    float64 `json:"ratio"`
	}{
		Measure: measure, Workload: workload, Baseline: millis(baseline), Ours: millis(ours),
		Ratio: math.Round(1000*ours.Seconds()/max(baseline.Seconds(), 1e-6)) / 1000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("SAMPHIREWICK_BENCH") != "" {
		fmt.Println(string(line))
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// TestShortRequestsAtFestivalPeak checks that the p99 wait of short requests over
// a festival morning with a load peak is at most a fifth of the wait in
// a first in, first out queue.
func TestShortRequestsAtFestivalPeak(t *testing.T) {
	const targetRatio = 5
	base := replay{
		entries: 11, load: 0.6, peakLoad: 2, peakStart: 6 * time.Second, peakEnd: 10 * time.Second,
		duration: 12 * time.Second, classes: festivalClasses,
	}
	fifo := base
	fifo.ignoreClasses = true
	baseline, ours := fifo.run(t), base.run(t)
	for _, class := range []string{"strike", "chime", "peal"} {
		for name, rank := range map[string]float64{"p50": 50, "p99": 99, "p99.9": 99.9} {
			report(t, "wait "+name+" ms, "+class, "festival crest, first in first out against ours",
				baseline.quantile(class, rank), ours.quantile(class, rank))
		}
	}
	if got, limit := ours.quantile("strike", 99), baseline.quantile("strike", 99)/targetRatio; got > limit {
		t.Errorf("p99 wait of strikes is %s, want at most a fifth of %s", got, baseline.quantile("strike", 99))
	}
}

// TestSlotAssignmentStrategies compares strategies of assigning slots under the
// same arrivals without classes, and checks that the p99 wait with forwarding to
// the better of two entries is no longer than with the entry's own slots only.
func TestSlotAssignmentStrategies(t *testing.T) {
	uniform := []requestClass{{"all", 50 * time.Millisecond, 1}}
	for _, load := range []float64{0.85, 0.95} {
		strategies := map[string]replay{
			"each entry keeps to its own slots":       {entries: 11, localOnly: true},
			"one entry owns each server, best of two": {entries: 11},
			"one entry places all":                    {entries: 1, localOnly: true},
		}
		results := map[string]time.Duration{}
		for name, strategy := range strategies {
			strategy.load, strategy.duration, strategy.classes, strategy.ignoreClasses = load, 5*time.Second, uniform, true
			results[name] = strategy.run(t).quantile("all", 99)
		}
		baseline := results["each entry keeps to its own slots"]
		for name, ours := range results {
			report(t, "wait p99 ms", fmt.Sprintf("load %.2f, %s", load, name), baseline, ours)
		}
		if ours := results["one entry owns each server, best of two"]; ours > baseline {
			t.Errorf("at load %.2f the p99 wait is %s with best of two, and %s with own slots only", load, ours, baseline)
		}
	}
}
