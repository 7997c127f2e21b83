package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const (
	benchTasks   = 1000
	benchWorkers = 64
	// benchStarts is the number of tasks that a benchmark can start; further
	// starts would be refused.
	benchStarts = 40000
)

// testCell is a set of coordinators that deliver messages to each other directly.
type testCell struct {
	members []*coordinator.Coordinator
	// preVotes counts the requests for votes with which elections begin.
	preVotes atomic.Int64
	// links holds the link from each member to each other one.
	links map[[2]int]*link
}

// link delivers messages in the order in which they were sent.
type link struct {
	mutex   sync.Mutex
	waiting []func()
	// due is how many of the waiting ones have arrived.
	due          int
	isDelivering bool
}

// send calls deliver after the latency, and after what was sent before.
func (l *link) send(latency time.Duration, deliver func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waiting = append(l.waiting, deliver)
	time.AfterFunc(latency, l.deliverDue)
}

// deliverDue delivers what has arrived. It holds no lock meanwhile, as a frozen receiver
// blocks until it goes on.
func (l *link) deliverDue() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.due++
	if l.isDelivering {
		return
	}
	l.isDelivering = true
	for l.due > 0 {
		deliver := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.due--
		l.mutex.Unlock()
		deliver()
		l.mutex.Lock()
	}
	l.isDelivering = false
}

// newTestCell runs one voter on each of the disks until the test ends.
func newTestCell(tb testing.TB, disks []journaler.Disk, identity func(i int) journaler.Identity) *testCell {
	tb.Helper()
	var members []replicator.Member
	for i := range disks {
		members = append(members, replicator.Member{ID: fmt.Sprintf("m%d", i), Address: fmt.Sprint(i), Voter: true})
	}
	return newTestCellOf(tb, disks, identity, members, 0)
}

// newTestCellOf runs the members, one on each of the disks, until the test ends. Their
// messages arrive after the latency.
func newTestCellOf(
	tb testing.TB, disks []journaler.Disk, identity func(i int) journaler.Identity, members []replicator.Member,
	latency time.Duration,
) *testCell {
	tb.Helper()
	g := &testCell{links: map[[2]int]*link{}}
	for from := range disks {
		for to := range disks {
			g.links[[2]int{from, to}] = &link{}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := runner.NewGroup()
	for i, disk := range disks {
		journal, restored, err := journaler.Open(disk, members)
		if err != nil {
			tb.Fatal(err)
		}
		c, err := coordinator.New(coordinator.Options{
			Identity: identity(i), Journal: journal, Restored: restored,
			Core: replicator.Config{
				ID: members[i].ID, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
				LeaseDuration: 800 * time.Millisecond, MaxBatch: 512, Seed: uint64(i),
			},
			SnapshotEvery: 1 << 40, FreeBytes: disk.FreeBytes, Voters: len(members),
			SaveIdentity: func(journaler.Identity) error { return nil },
			Send: func(to replicator.Member, cell string, messages []replicator.Message) {
				for _, m := range messages {
					if m.Kind == replicator.MessagePreVote {
						g.preVotes.Add(1)
					}
				}
				for n, m := range members {
					if m.ID != to.ID {
						continue
					}
					deliver := func() { g.members[n].Deliver(cell, messages) }
					if latency == 0 {
						deliver()
						continue
					}
					g.links[[2]int{i, n}].send(latency, deliver)
				}
			},
			Log: zap.NewNop(),
		})
		if err != nil {
			tb.Fatal(err)
		}
		g.members = append(g.members, c)
	}
	for _, c := range g.members {
		group.Go(ctx, c.Run)
	}
	tb.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			tb.Error(err)
		}
	})
	return g
}

func identityInCell(i int) journaler.Identity {
	return journaler.Identity{Member: fmt.Sprintf("m%d", i), Cell: "cell"}
}

// leader waits until a member holds the leadership lease, and returns it.
func (g *testCell) leader(tb testing.TB) *coordinator.Coordinator {
	tb.Helper()
	for range 1000 {
		for _, c := range g.members {
			if c.ConfirmLeadership() {
				return c
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("no member holds the leadership lease after 10 s")
	return nil
}

func mustPropose(tb testing.TB, c *coordinator.Coordinator, command reducer.Command) reducer.Result {
	tb.Helper()
	result, err := c.Propose(context.Background(), command)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

// submitTasks announces workers and submits at least the given number of tasks.
func submitTasks(tb testing.TB, c *coordinator.Coordinator, tasks int) {
	tb.Helper()
	mustPropose(tb, c, reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: "base", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{}`)},
		{Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai", Spec: json.RawMessage(
			`{"department":"kowhai","year":2026,"from":"2020-01-01T00:00:00Z","limit":{"processors":1000000000}}`)},
	}})
	for i := range benchWorkers {
		mustPropose(tb, c, reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &modeler.Worker{
			ID: fmt.Sprintf("w%d", i), Schema: 2, Address: "a", Pool: "pool", Incarnation: "i",
			Capacity: modeler.Resources{Processors: 1 << 40},
		}})
	}
	for job := 0; job*benchTasks < tasks; job++ {
		raw := fmt.Sprintf(`{"id":"j%d","department":"kowhai","pool":"pool","kind":"batch","count":1000,"need":{"processors":1}}`, job)
		mustPropose(tb, c, reducer.Command{Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)}})
	}
}

func startForTask(state reducer.State, number int) reducer.Start {
	w, _ := state.Workers.Get(fmt.Sprintf("w%d", number%benchWorkers))
	return reducer.Start{
		Task:   modeler.TaskReference{Job: fmt.Sprintf("j%d", number/benchTasks), Index: number % benchTasks},
		Worker: w.ID, Session: w.Session,
	}
}

func openDisks(tb testing.TB, number int) []journaler.Disk {
	tb.Helper()
	var disks []journaler.Disk
	for range number {
		disk, err := journaler.OpenDisk(tb.TempDir())
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { _ = disk.Close() })
		disks = append(disks, disk)
	}
	return disks
}

// BenchmarkStarts commits task starts, one per record, on three members that
// sync to a real disk, from 16 proposers per processor. The target is 5000 starts per
// second with a p99 latency under 20 ms.
func BenchmarkStarts(b *testing.B) {
	g := newTestCell(b, openDisks(b, 3), identityInCell)
	leader := g.leader(b)
	submitTasks(b, leader, benchStarts)
	state := leader.State()
	latencies := hdrhistogram.New(1, 1e8, 3)
	var mutex sync.Mutex
	number := 0
	next := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		number++
		return number - 1
	}
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			command := reducer.Command{
				Kind: reducer.KindStartTasks, Starts: []reducer.Start{startForTask(state, next()%benchStarts)},
			}
			sentAt := time.Now()
			if _, err := leader.Propose(context.Background(), command); err != nil {
				b.Error(err)
			}
			took := time.Since(sentAt)
			mutex.Lock()
			_ = latencies.RecordValue(took.Microseconds())
			mutex.Unlock()
		}
	})
	b.ReportMetric(float64(number)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkRecovery opens a log of 100,000 records and applies all of them. The
// target is 2 s.
func BenchmarkRecovery(b *testing.B) {
	disk := faker.NewDisk(1)
	journal, _, err := journaler.Open(disk.Open(), nil)
	if err != nil {
		b.Fatal(err)
	}
	const records = 100000
	var entries []replicator.Entry
	for i := uint64(1); i <= records; i++ {
		command := reducer.Command{Kind: reducer.KindSettleRequests, At: time.Now(), Requests: []modeler.RequestRecord{{
			Key: fmt.Sprintf("1790000000-%08d", i), Department: "seri-loceng", Outcome: modeler.OutcomeRan, Attempt: "a",
		}}}
		data, err := command.Encode()
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, replicator.Entry{Index: i, Term: 1, Data: data})
	}
	if err := journal.Save(replicator.Ready{Entries: entries}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_, restored, err := journaler.Open(disk.Open(), nil)
		if err != nil {
			b.Fatal(err)
		}
		state := reducer.NewState()
		for _, e := range restored.Entries {
			command, err := reducer.DecodeCommand(e.Data)
			if err != nil {
				b.Fatal(err)
			}
			state, _, _ = reducer.Apply(state, e.Index, command)
		}
		if state.Revision != records {
			b.Fatalf("restored up to revision %d, want all records", state.Revision)
		}
	}
}

// BenchmarkCancellations cancels 10,000 jobs with one record. An urgent start
// may have to wait for such a cancellation. The target is 4.1 s.
func BenchmarkCancellations(b *testing.B) {
	state := reducer.NewState()
	pool := modeler.Document{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{}`)}
	state, _, _ = reducer.Apply(state, 1, reducer.Command{
		Kind: reducer.KindApplyDocuments, ChangeID: "c", Documents: []modeler.Document{pool},
	})
	var names []string
	for i := range 10000 {
		id := fmt.Sprintf("j%d", i)
		names = append(names, id)
		raw := fmt.Sprintf(`{"id":%q,"department":"kowhai","pool":"pool","kind":"batch","count":4,"need":{"processors":1}}`, id)
		state, _, _ = reducer.Apply(state, uint64(i+2), reducer.Command{
			Kind: reducer.KindSubmitJob, Job: &reducer.Submission{Schema: 2, Raw: json.RawMessage(raw)},
		})
	}
	for b.Loop() {
		_, result, _ := reducer.Apply(state, 20000, reducer.Command{Kind: reducer.KindCancelJobs, Names: names})
		if result.Accepted != len(names) {
			b.Fatalf("%d of %d jobs were cancelled", result.Accepted, len(names))
		}
	}
}

// A joining member has no cell until it receives messages from a member of one.
// From then on it must report that cell, since entry processes check it. A
// demo found joining members that did not report it.
func TestJoiningMemberAdoptsCellOfLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		disks := []journaler.Disk{faker.NewDisk(1).Open(), faker.NewDisk(2).Open(), faker.NewDisk(3).Open()}
		g := newTestCell(t, disks, func(i int) journaler.Identity {
			identity := identityInCell(i)
			if i == 2 {
				identity.Cell = ""
			}
			return identity
		})
		mustPropose(t, g.leader(t), reducer.Command{Kind: reducer.KindNoop})
		time.Sleep(time.Second)
		if got := g.members[2].Identity().Cell; got != "cell" {
			t.Errorf("the joining member reports cell %q, want \"cell\"", got)
		}
	})
}
