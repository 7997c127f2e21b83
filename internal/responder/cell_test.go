package responder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/responder"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const (
	workerLease  = 5 * time.Second
	entryLease   = 2 * time.Second
	networkDelay = time.Millisecond
	// workBytes is the memory for work.
	workBytes = 4 << 20
)

var errUnreachable = errors.New("peer is unreachable")

// member is a member of control with a fake disk.
type member struct {
	id   string
	disk *faker.Disk
	stop func()

	mutex   sync.Mutex
	current components
}

// components holds the objects that are created anew at each start of a member.
type components struct {
	coordinator *coordinator.Coordinator
	responder   *responder.Responder
}

func (m *member) running() components {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.current
}

// cell is a cell of three members in one synctest bubble. Entries and workers call the members through it.
type cell struct {
	t             *testing.T
	members       map[string]*member
	snapshotEvery uint64

	mutex sync.Mutex
	// isolated holds the processes that reach no other process, partitioned the
	// members that do not reach the other members.
	isolated    map[string]bool
	partitioned map[string]bool
	workers     map[string]*worker
}

// setPartitioned cuts the member off from the other members, or reconnects it.
// Entries and workers still reach it.
func (c *cell) setPartitioned(id string, partitioned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.partitioned[id] = partitioned
}

func (c *cell) isPartitioned(ids ...string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return c.partitioned[id] })
}

// isolate cuts the process off from all others until heal is called.
func (c *cell) isolate(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[id] = true
}

func (c *cell) heal(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.isolated, id)
}

func (c *cell) isIsolated(ids ...string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return c.isolated[id] })
}

func newCell(t *testing.T) *cell {
	t.Helper()
	c := &cell{
		t: t, members: map[string]*member{}, workers: map[string]*worker{}, snapshotEvery: 100,
		isolated: map[string]bool{}, partitioned: map[string]bool{},
	}
	for i := range 3 {
		id := fmt.Sprintf("m%d", i)
		c.members[id] = &member{id: id, disk: faker.NewDisk(uint64(i))}
	}
	for _, m := range c.members {
		c.start(m)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			m.stop()
		}
	})
	c.awaitLeader()
	return c
}

func (c *cell) start(m *member) {
	c.t.Helper()
	base := []replicator.Member{
		{ID: "m0", Address: "m0", Voter: true}, {ID: "m1", Address: "m1", Voter: true}, {ID: "m2", Address: "m2", Voter: true},
	}
	journal, restored, err := journaler.Open(m.disk.Open(), base)
	if err != nil {
		c.t.Fatal(err)
	}
	replica, err := coordinator.New(coordinator.Options{
		Identity: journaler.Identity{Member: m.id, Cell: "cell"},
		Journal:  journal,
		Restored: restored,
		Core: replicator.Config{
			ID: m.id, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			LeaseDuration: 400 * time.Millisecond, MaxBatch: 64, Seed: uint64(m.id[1]),
		},
		SnapshotEvery: c.snapshotEvery,
		KeepEntries:   20,
		ReserveBytes:  1 << 20,
		FreeBytes:     m.disk.Open().FreeBytes,
		SaveIdentity:  func(journaler.Identity) error { return nil },
		Send: func(to replicator.Member, name string, messages []replicator.Message) {
			c.deliver(m.id, to.ID, name, messages)
		},
		Log: zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	options := controller.Options{
		WorkerLease: workerLease, EntryLease: entryLease, RenewInterval: time.Second,
		KeepLostWorkers: time.Minute, KeepJobs: time.Hour, KeepJobsLeast: 2 * time.Minute, WorkBytes: workBytes,
		Push: c.push,
	}
	manager := controller.NewManager(replica, options, zap.NewNop())
	handler := responder.New(replica, manager, responder.Options{
		WorkerLease: workerLease, EntryLease: entryLease, RenewInterval: time.Second,
		Log: zap.NewNop(), LearnAddress: func(messenger.RaftBatch) {}, WorkBytes: workBytes,
	})
	m.mutex.Lock()
	m.current = components{replica, handler}
	m.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	group := runner.NewGroup()
	group.Go(ctx, replica.Run)
	group.Go(ctx, manager.Run)
	m.stop = func() {
		cancel()
		if err := group.Wait(); err != nil {
			c.t.Errorf("%s: %v", m.id, err)
		}
	}
}

// deliver sends encoded copies of messages, as a network does.
func (c *cell) deliver(from, to, name string, messages []replicator.Message) {
	data, err := json.Marshal(messages)
	if err != nil {
		c.t.Error(err)
	}
	if c.isIsolated(from, to) || c.isPartitioned(from, to) {
		return
	}
	time.AfterFunc(networkDelay, func() {
		var copied []replicator.Message
		if err := json.Unmarshal(data, &copied); err != nil {
			c.t.Error(err)
		}
		if !c.isIsolated(to) {
			c.members[to].running().coordinator.Deliver(name, copied)
		}
	})
}

// crash stops the member at once and loses what its disk has not synced; restart
// starts it again.
func (c *cell) crash(m *member) {
	c.isolate(m.id)
	m.stop()
	m.disk.Crash()
	m.stop = func() {}
}

func (c *cell) restart(m *member) {
	c.heal(m.id)
	c.start(m)
}

func (c *cell) leader() *member {
	for _, m := range c.members {
		if !c.isIsolated(m.id) && m.running().coordinator.ConfirmLeadership() {
			return m
		}
	}
	return nil
}

// awaitLeader waits until a leader serves calls, and returns how long that took.
func (c *cell) awaitLeader() time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		if m := c.leader(); m != nil && c.call("test", messenger.MethodMembers, struct{}{}, nil) == nil {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within a minute")
	return 0
}

// call calls the leader once on behalf of the process named from.
func (c *cell) call(from, method string, params, result any) error {
	return c.callMember(c.leader(), from, method, params, result)
}

func (c *cell) callMember(m *member, from, method string, params, result any) error {
	if m == nil || c.isIsolated(from) {
		time.Sleep(10 * time.Millisecond)
		return errUnreachable
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(networkDelay)
	answer, err := m.running().responder.Handle(context.Background(), method, data)
	time.Sleep(networkDelay)
	if err != nil {
		return err
	}
	if c.isIsolated(from, m.id) {
		return errUnreachable
	}
	encoded, err := json.Marshal(answer)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// mustCall calls the leader until the call succeeds, and fails the test after 300 attempts.
func (c *cell) mustCall(method string, params, result any) {
	c.t.Helper()
	var err error
	for range 300 {
		if err = c.call("test", method, params, result); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s: %v", method, err)
}

func (c *cell) push(_ context.Context, address string, body any) error {
	c.mutex.Lock()
	w, ok := c.workers[address]
	c.mutex.Unlock()
	assignment, isAssignment := body.(messenger.Assignment)
	if !ok || !isAssignment || c.isIsolated(address) {
		return errUnreachable
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.assign(assignment)
	return nil
}

// configure applies the base configuration: a pool, a policy and a grant.
func (c *cell) configure() {
	c.t.Helper()
	c.mustCall(messenger.MethodApply, messenger.ApplyCall{ChangeID: "base", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
		{Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Spec: json.RawMessage(`{"queueLimit":1}`)},
		{Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai", Spec: json.RawMessage(
			`{"department":"kowhai","year":2026,"from":"1999-01-01T00:00:00Z","limit":{"processors":100000}}`)},
	}}, nil)
}

// submit submits a batch job of count tasks.
func (c *cell) submit(id string, count int, processors int64, urgent bool) {
	c.t.Helper()
	raw, err := json.Marshal(struct {
		modeler.JobSpec
		Schema int `json:"schema"`
	}{modeler.JobSpec{
		ID: id, Department: "kowhai", Pool: "pool", Kind: modeler.KindBatch, Count: count, Urgent: urgent,
		Need: modeler.Resources{Processors: processors},
	}, 2})
	if err != nil {
		c.t.Fatal(err)
	}
	var call messenger.SubmitCall
	call.Job.Schema, call.Job.Raw = 2, raw
	c.mustCall(messenger.MethodSubmitJob, call, nil)
}

func (c *cell) job(id string) messenger.JobStatus {
	c.t.Helper()
	var status messenger.JobStatus
	c.mustCall(messenger.MethodGetJob, messenger.JobCall{ID: id, Schema: 2}, &status)
	return status
}
