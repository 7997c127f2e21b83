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
	workerLease = 5 * time.Second
	entryLease  = 2 * time.Second
	hop         = time.Millisecond
)

var errCut = errors.New("cut off")

// member is one member of control on a fake disk.
type member struct {
	id   string
	disk *faker.Disk
	stop func()

	mutex sync.Mutex
	parts parts
}

// parts are what a member consists of from one start to the next.
type parts struct {
	coordinator *coordinator.Coordinator
	responder   *responder.Responder
}

func (m *member) running() parts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.parts
}

// cell is three members in one bubble; entries and workers call them through it.
type cell struct {
	t       *testing.T
	members map[string]*member
	snaps   uint64

	mutex sync.Mutex
	// cut holds who is cut off from everybody, split which members only from each other.
	cut     map[string]bool
	split   map[string]bool
	workers map[string]*worker
}

// splitOff cuts the member off from the other members alone.
func (c *cell) splitOff(id string, split bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.split[id] = split
}

func (c *cell) isSplit(ids ...string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return c.split[id] })
}

// cutOff cuts the one of the name off from everybody, and heal ends that.
func (c *cell) cutOff(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[id] = true
}

func (c *cell) heal(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.cut, id)
}

func (c *cell) isCut(ids ...string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return c.cut[id] })
}

func newCell(t *testing.T) *cell {
	t.Helper()
	c := &cell{
		t: t, members: map[string]*member{}, workers: map[string]*worker{}, snaps: 100,
		cut: map[string]bool{}, split: map[string]bool{},
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
	c.settle()
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
	made, err := coordinator.New(coordinator.Options{
		Identity: journaler.Identity{Member: m.id, Cell: "cell"},
		Journal:  journal,
		Restored: restored,
		Core: replicator.Config{
			ID: m.id, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			LeaseDuration: 400 * time.Millisecond, MaxBatch: 64, Seed: uint64(m.id[1]),
		},
		SnapshotEvery: c.snaps,
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
		ForgetAfter: time.Minute, KeepJobs: time.Hour, Push: c.push,
	}
	manager := controller.NewManager(made, options, zap.NewNop())
	answers := responder.New(made, manager, responder.Options{
		WorkerLease: workerLease, EntryLease: entryLease, RenewInterval: time.Second,
		Log: zap.NewNop(), Learn: func(messenger.RaftBatch) {},
	})
	m.mutex.Lock()
	m.parts = parts{made, answers}
	m.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	crew := runner.NewCrew()
	crew.Add(ctx, made.Run)
	crew.Add(ctx, manager.Run)
	m.stop = func() {
		cancel()
		if err := crew.Wait(); err != nil {
			c.t.Errorf("%s: %v", m.id, err)
		}
	}
}

// deliver carries the written form of messages, as a network does.
func (c *cell) deliver(from, to, name string, messages []replicator.Message) {
	data, err := json.Marshal(messages)
	if err != nil {
		c.t.Error(err)
	}
	if c.isCut(from, to) || c.isSplit(from, to) {
		return
	}
	time.AfterFunc(hop, func() {
		var copied []replicator.Message
		if err := json.Unmarshal(data, &copied); err != nil {
			c.t.Error(err)
		}
		if !c.isCut(to) {
			c.members[to].running().coordinator.Deliver(name, copied)
		}
	})
}

// crash ends the member at once, with what its disk had not synced; restart
// lets it come back.
func (c *cell) crash(m *member) {
	c.cutOff(m.id)
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
		if !c.isCut(m.id) && m.running().coordinator.ConfirmLeadership() {
			return m
		}
	}
	return nil
}

// settle waits until a leader serves, and returns how long that took.
func (c *cell) settle() time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		if m := c.leader(); m != nil && c.ask("test", messenger.MethodMembers, struct{}{}, nil) == nil {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within a minute")
	return 0
}

// ask calls the leader once, as the caller of the name.
func (c *cell) ask(from, method string, params, result any) error {
	return c.askMember(c.leader(), from, method, params, result)
}

func (c *cell) askMember(m *member, from, method string, params, result any) error {
	if m == nil || c.isCut(from) {
		time.Sleep(10 * time.Millisecond)
		return errCut
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(hop)
	answer, err := m.running().responder.Handle(context.Background(), method, data)
	time.Sleep(hop)
	if err != nil {
		return err
	}
	if c.isCut(from, m.id) {
		return errCut
	}
	written, err := json.Marshal(answer)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(written, result)
}

// must asks until there is an answer.
func (c *cell) must(method string, params, result any) {
	c.t.Helper()
	var err error
	for range 300 {
		if err = c.ask("test", method, params, result); err == nil {
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
	if !ok || !isAssignment || c.isCut(address) {
		return errCut
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.assign(assignment)
	return nil
}

// configure applies the base configuration.
func (c *cell) configure() {
	c.t.Helper()
	c.must(messenger.MethodApply, messenger.ApplyCall{ChangeID: "base", Documents: []modeler.Document{
		{Schema: 2, Kind: modeler.DocumentPool, Name: "pool", Spec: json.RawMessage(`{"placement":"bestFit"}`)},
		{Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Spec: json.RawMessage(`{"queueLimit":1}`)},
		{Schema: 2, Kind: modeler.DocumentGrant, Name: "kowhai", Spec: json.RawMessage(
			`{"department":"kowhai","year":2026,"from":"1999-01-01T00:00:00Z","limit":{"processors":100000}}`)},
	}}, nil)
}

// submit submits a batch job.
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
	c.must(messenger.MethodSubmitJob, call, nil)
}

func (c *cell) job(id string) messenger.JobStatus {
	c.t.Helper()
	var status messenger.JobStatus
	c.must(messenger.MethodGetJob, messenger.JobCall{ID: id, Schema: 2}, &status)
	return status
}
