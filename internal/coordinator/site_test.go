package coordinator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	// siteLatency is how long a message between two machines takes.
	siteLatency = 5 * time.Millisecond
	// sitePoll is the interval at which the site is looked at.
	sitePoll = 20 * time.Millisecond
	// stopTimeout bounds the hand-over of a member that stops, as control does.
	stopTimeout = time.Second
)

// machine is a computer with its disk, and the member that runs on it.
type machine struct {
	address string
	disk    *faker.Disk
	// process is nil while the member does not run.
	process *process
	// isCut is set while the machine is cut off from all others.
	isCut atomic.Bool
	// thawAt is the time of the site until which the member is frozen.
	thawAt atomic.Int64
	// syncTime is how long a sync of the disk takes, in nanoseconds.
	syncTime atomic.Int64
	// isGone is set once the machine was removed for good.
	isGone bool
}

// process is one run of a member.
type process struct {
	// links holds the links to other members by ID and address. The site's mutex guards it.
	links map[string]*link
	*coordinator.Coordinator
	machine *machine
	isDead  atomic.Bool
	cancel  context.CancelFunc
	ended   sync.WaitGroup
}

// site is a cell of real coordinators in virtual time, with fake disks and a fake network.
type site struct {
	t         *testing.T
	tolerated int
	seeds     []replicator.Member
	startedAt time.Time
	random    *rand.Rand
	log       *zap.Logger
	// formatted counts the identities that were created.
	formatted int

	mutex    sync.Mutex
	machines []*machine
	// written counts the changes that were sent.
	written atomic.Int64
	// answered counts the changes that a client got an answer to.
	answered atomic.Int64
	// acknowledged holds the IDs of the changes that a leader has committed.
	acknowledged []string
	writers      sync.WaitGroup
	// clients is done once the clients have to stop.
	clients     context.Context
	stopWriters context.CancelFunc
	// starting counts the members that are about to run.
	starting sync.WaitGroup
	// planned is what later has planned last.
	planned *time.Timer
	// passes reports whether a message gets through; nil if all do.
	passes func(from, to *machine, m replicator.Message) bool
}

// newSite starts the machines of a site, the first three of which found the cell, and a
// client.
func newSite(t *testing.T, seed uint64, tolerated, machines int) *site {
	t.Helper()
	const founders = 3
	s := &site{t: t, tolerated: tolerated, startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), log: zap.NewNop()}
	for i := range founders {
		a := fmt.Sprintf("host%d", i)
		s.seeds = append(s.seeds, replicator.Member{ID: "founder-" + a, Address: a, Voter: true})
	}
	for range machines {
		s.addMachine()
	}
	s.clients, s.stopWriters = context.WithCancel(t.Context())
	s.addClient()
	return s
}

// addClient starts a client that writes all the time.
func (s *site) addClient() { s.writers.Go(func() { s.write(s.clients) }) }

// close ends everything that runs on the site.
func (s *site) close() {
	s.stopWriters()
	s.writers.Wait()
	for _, m := range s.machines {
		s.kill(m)
	}
}

func (s *site) now() time.Duration { return time.Since(s.startedAt) }

// addMachine starts a machine with a new address and an empty disk.
func (s *site) addMachine() {
	m := &machine{address: fmt.Sprintf("host%d", len(s.machines))}
	s.mutex.Lock()
	s.machines = append(s.machines, m)
	s.mutex.Unlock()
	s.wipe(m)
	s.start(m)
}

// wipe gives the machine an empty disk.
func (s *site) wipe(m *machine) { m.disk = faker.NewDisk(s.random.Uint64()) }

// identity returns the identity on the disk of the machine, or a new one. Only the first
// start of a seed founds the cell.
func (s *site) identity(m *machine, disk journaler.Disk) journaler.Identity {
	identity, err := journaler.ReadIdentity(disk)
	if err == nil {
		return identity
	}
	identity = journaler.Identity{Schema: 1, Member: fmt.Sprintf("member%d", s.formatted), Address: m.address}
	if s.formatted < len(s.seeds) {
		identity.Member, identity.Cell = s.seeds[s.formatted].ID, "cell"
		identity.Founder, identity.Founders = true, s.seeds
	}
	s.formatted++
	if err := journaler.WriteIdentity(disk, identity); err != nil {
		s.t.Error(err)
	}
	return identity
}

// start runs the member of the machine.
func (s *site) start(m *machine) {
	s.starting.Add(1)
	defer s.starting.Done()
	p := &process{machine: m}
	disk := p.openDisk()
	identity := s.identity(m, disk)
	journal, restored, err := journaler.Open(disk, identity.InitialMembers())
	if err != nil {
		s.t.Errorf("journal of %s: %v", identity.Member, err)
		return
	}
	p.Coordinator, err = coordinator.New(coordinator.Options{
		Identity: identity, Journal: journal, Restored: restored,
		Core: replicator.Config{
			ID: identity.Member, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			LeaseDuration: 400 * time.Millisecond, MaxBatch: 512, Seed: s.random.Uint64(),
		},
		SnapshotEvery: 60, KeepEntries: 20, FreeBytes: disk.FreeBytes, Voters: 2*s.tolerated + 1,
		SaveIdentity: func(i journaler.Identity) error { return journaler.WriteIdentity(disk, i) },
		Send:         func(to replicator.Member, cell string, ms []replicator.Message) { s.send(p, to, cell, ms) },
		Clock: func() time.Duration {
			for !p.isDead.Load() && s.now() < time.Duration(m.thawAt.Load()) {
				time.Sleep(sitePoll)
			}
			return s.now()
		},
		Log: s.log,
	})
	if err != nil {
		s.t.Errorf("member %s: %v", identity.Member, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	joiner := coordinator.Joiner{
		IsMember:     func() bool { return slices.ContainsFunc(p.MemberList(), hasID(identity.Member)) },
		SinceContact: p.SinceLeaderContact,
		Ask:          func(ctx context.Context) { s.join(ctx, p) },
	}
	for _, run := range []func(context.Context) error{p.Run, joiner.Run} {
		p.ended.Go(func() {
			if err := run(ctx); err != nil && !errors.Is(err, faker.ErrStopped) {
				s.t.Errorf("member %s: %v", identity.Member, err)
			}
		})
	}
	s.mutex.Lock()
	m.process = p
	s.mutex.Unlock()
}

// openDisk returns the disk of the machine as the process sees it: a sync takes the time
// that the machine's disk takes, and does not happen if the process ends meanwhile.
func (p *process) openDisk() journaler.Disk {
	const poll = 5 * time.Millisecond
	disk := p.machine.disk.Open()
	await := func() error {
		started := time.Now()
		for !p.isDead.Load() {
			left := time.Duration(p.machine.syncTime.Load()) - time.Since(started)
			if left <= 0 {
				return nil
			}
			time.Sleep(min(left, poll))
		}
		return faker.ErrStopped
	}
	sync, replace := disk.Sync, disk.Replace
	disk.Sync = func(name string) error {
		if err := await(); err != nil {
			return err
		}
		return sync(name)
	}
	disk.Replace = func(name string, data []byte) error {
		if err := await(); err != nil {
			return err
		}
		return replace(name, data)
	}
	return disk
}

func hasID(id string) func(replicator.Member) bool {
	return func(m replicator.Member) bool { return m.ID == id }
}

// kill ends the process on the machine at once. What it has not synced is lost if the
// machine loses power.
func (s *site) kill(m *machine) {
	s.mutex.Lock()
	p := m.process
	m.process = nil
	s.mutex.Unlock()
	if p == nil {
		return
	}
	p.isDead.Store(true)
	p.cancel()
	p.ended.Wait()
	m.thawAt.Store(0)
}

// terminate stops the process on the machine as control does at SIGTERM.
func (s *site) terminate(m *machine) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	m.process.HandOver(ctx)
	s.kill(m)
}

// processes returns the running processes, in the order of their machines.
func (s *site) processes() []*process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var running []*process
	for _, m := range s.machines {
		if m.process != nil {
			running = append(running, m.process)
		}
	}
	return running
}

func (s *site) isFrozen(m *machine) bool { return s.now() < time.Duration(m.thawAt.Load()) }

// link returns the link from the process to the member.
func (s *site) link(from *process, to replicator.Member) *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := to.ID + " " + to.Address
	if from.links == nil {
		from.links = map[string]*link{}
	}
	if from.links[key] == nil {
		from.links[key] = &link{}
	}
	return from.links[key]
}

// send delivers messages to the process at the address of the member, or, without an
// address, to the process of that member.
func (s *site) send(from *process, to replicator.Member, cell string, messages []replicator.Message) {
	messages = slices.Clone(messages)
	s.link(from, to).send(siteLatency, func() {
		if from.isDead.Load() || from.machine.isCut.Load() {
			return
		}
		for _, p := range s.processes() {
			isRecipient := p.machine.address == to.Address || (to.Address == "" && p.Identity().Member == to.ID)
			if isRecipient && !p.machine.isCut.Load() {
				p.Deliver(cell, s.passing(from.machine, p.machine, messages))
			}
		}
	})
}

// passing returns the messages that get through from one machine to another.
func (s *site) passing(from, to *machine, messages []replicator.Message) []replicator.Message {
	s.mutex.Lock()
	passes := s.passes
	s.mutex.Unlock()
	if passes == nil {
		return messages
	}
	return slices.DeleteFunc(slices.Clone(messages), func(m replicator.Message) bool { return !passes(from, to, m) })
}

// leader returns the process that holds the leadership lease, or nil.
func (s *site) leader() *process {
	for _, p := range s.processes() {
		if !s.isFrozen(p.machine) && !p.machine.isCut.Load() && p.ConfirmLeadership() {
			return p
		}
	}
	return nil
}

// join asks the leader to add the process, as control does.
func (s *site) join(ctx context.Context, p *process) {
	leader := s.leader()
	if leader == nil || p.machine.isCut.Load() || s.isFrozen(p.machine) {
		return
	}
	id := p.Identity().Member
	_ = leader.ChangeMembers(ctx, func(members []replicator.Member) ([]replicator.Member, *modeler.RefusalError) {
		if slices.ContainsFunc(members, hasID(id)) {
			return nil, modeler.Refuse(modeler.CodeDuplicate, "id", "%q is a member", id)
		}
		return append(members, replicator.Member{ID: id, Address: p.machine.address}), nil
	})
}

// write sends changes to the leader, one after the other, until ctx is done. As control
// does, the leader answers once its leadership is confirmed.
func (s *site) write(ctx context.Context) {
	const interval, timeout, confirmTimeout = 50 * time.Millisecond, 2 * time.Second, time.Second
	for ctx.Err() == nil {
		time.Sleep(interval)
		leader := s.leader()
		if leader == nil {
			continue
		}
		id := fmt.Sprintf("change%d", s.written.Add(1))
		pool := []modeler.Document{{Schema: 2, Kind: modeler.DocumentPool, Name: id, Spec: json.RawMessage(`{}`)}}
		term := leader.Leadership().Term
		writeCtx, cancel := context.WithTimeout(ctx, timeout)
		_, err := leader.Propose(writeCtx, reducer.Command{Kind: reducer.KindApplyDocuments, ChangeID: id, Documents: pool})
		cancel()
		if err == nil {
			s.mutex.Lock()
			s.acknowledged = append(s.acknowledged, id)
			s.mutex.Unlock()
			if leader.AwaitLeadership(ctx, term, confirmTimeout) {
				s.answered.Add(1)
			}
		}
	}
}
