package replicator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

const (
	stepInterval    = 10 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	// maxClockDriftPercent is by how much a clock may run faster or slower than the simulated time.
	maxClockDriftPercent = 5
)

// instance is one member with its disk and journal.
type instance struct {
	id             string
	core           *replicator.Core
	disk           *faker.Disk
	journal        *journaler.Journal
	initialMembers []replicator.Member
	// clockRate is the rate of the instance's clock relative to the simulated time.
	clockRate float64
	// clockOffset is what the clock shows beyond the simulated time at its rate.
	clockOffset time.Duration
	// starts counts the starts of the instance.
	starts uint64
	// pausedUntil is the simulated time until which the process is suspended.
	pausedUntil time.Duration
	applied     uint64
}

// cell simulates a set of members and the network between them, and records
// what they apply to check them against each other.
type cell struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	instances []*instance
	inFlight  []inFlightMessage
	// blocked holds the (from, to) pairs whose messages are lost.
	blocked map[[2]string]bool
	// committed holds the entry that was first applied at each index.
	committed map[uint64]string
	// leaders holds the ID of the leader of each term.
	leaders map[uint64]string
	// acknowledged holds the proposals that a leader has applied.
	acknowledged map[string]bool
	proposed     int
	lossPercent  int
	// ordered networks neither reorder nor duplicate messages.
	ordered bool
	// extraLatency is by how much longer than others messages to a member take on an
	// ordered network.
	extraLatency map[string]time.Duration
	// messageBudget is how many messages and entries a member reads in a step; zero for
	// any number. The rest waits in its order.
	messageBudget int
	// batches is set if a member handles all messages of a step before it saves.
	batches bool
	// bytesPerStep is how many bytes a member reads in a step; zero for any number. A
	// message that takes longer than sendTimeout is lost.
	bytesPerStep int
	// maxBatch is the maximum number of entries in a message.
	maxBatch int
	// sentEntries counts the entries sent to each member, lost ones included.
	sentEntries map[string]int
	// onStep, if not nil, is called before and after the members act in a step.
	onStep func()
}

// smallBatch makes messages of few entries, so that a cell sends many.
const smallBatch = 16

func newCell(t *testing.T, seed uint64, size int) *cell {
	t.Helper()
	return newCellOf(t, seed, size, smallBatch)
}

func newCellOf(t *testing.T, seed uint64, size, maxBatch int) *cell {
	t.Helper()
	c := &cell{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		blocked:      map[[2]string]bool{},
		committed:    map[uint64]string{},
		leaders:      map[uint64]string{},
		acknowledged: map[string]bool{},
		lossPercent:  5,
		maxBatch:     maxBatch,

		sentEntries: map[string]int{},
	}
	var members []replicator.Member
	for i := range size {
		members = append(members, replicator.Member{ID: fmt.Sprintf("m%d", i), Voter: true})
	}
	for i := range size {
		c.addInstance(members[i].ID, seed+uint64(i), members)
	}
	return c
}

func (c *cell) addInstance(id string, seed uint64, initialMembers []replicator.Member) {
	drift := float64(c.random.IntN(2*maxClockDriftPercent+1)-maxClockDriftPercent) / 100
	n := &instance{id: id, disk: faker.NewDisk(seed), initialMembers: initialMembers, clockRate: 1 + drift}
	c.instances = append(c.instances, n)
	c.openInstance(n)
}

func (c *cell) clock(n *instance) time.Duration {
	return c.clockAt(n, c.now)
}

// clockAt returns what the clock of the instance shows at the simulated time.
func (c *cell) clockAt(n *instance, at time.Duration) time.Duration {
	return time.Duration(float64(at)*n.clockRate) + n.clockOffset
}

// simulatedTime returns the simulated time at which the clock of the instance shows the time.
func (n *instance) simulatedTime(clock time.Duration) time.Duration {
	return time.Duration(float64(clock-n.clockOffset) / n.clockRate)
}

// reboot crashes the instance and restarts it with a clock that shows the time.
func (c *cell) reboot(n *instance, clock time.Duration) {
	n.clockOffset += clock - c.clock(n)
	c.crashAndRestart(n)
}

func (c *cell) openInstance(n *instance) {
	c.t.Helper()
	journal, restored, err := journaler.Open(n.disk.Open(), n.initialMembers)
	if err != nil {
		c.t.Fatalf("open journal of %s: %v", n.id, err)
	}
	n.journal = journal
	n.applied = restored.Snapshot.Index
	n.starts++
	n.core = replicator.New(replicator.Config{
		ID:                n.id,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: electionTimeout / 5,
		LeaseDuration:     electionTimeout * 8 / 10,
		MaxBatch:          c.maxBatch,
		Seed:              c.random.Uint64(),
		Life:              n.starts,
	}, restored, c.clock(n))
}

// crashAndRestart crashes the instance and restarts it from the data that its
// disk has kept.
func (c *cell) crashAndRestart(n *instance) {
	n.disk.Crash()
	c.openInstance(n)
}

// run advances the simulated time.
func (c *cell) run(duration time.Duration) {
	for until := c.now + duration; c.now < until; {
		c.now += stepInterval
		c.notifyStep()
		c.deliver()
		for _, n := range c.instances {
			if n.pausedUntil <= c.now {
				n.core.Tick(c.clock(n))
				c.handleReady(n)
			}
		}
		c.checkLeases()
		c.notifyStep()
	}
}

func (c *cell) notifyStep() {
	if c.onStep != nil {
		c.onStep()
	}
}

func (c *cell) instanceByID(id string) *instance {
	for _, n := range c.instances {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (c *cell) handleReady(n *instance) {
	c.t.Helper()
	for n.core.HasReady() {
		r := n.core.Ready()
		c.send(r.MessagesBeforeSync)
		if err := n.journal.Save(r); err != nil {
			c.t.Fatalf("save to journal: %v", err)
		}
		n.core.Advance()
		for _, m := range r.MessagesAfterSync {
			if m.Kind == replicator.MessageAppendReply && !m.Reject && m.Term == n.core.Term() && m.Index > n.core.LastIndex() {
				c.t.Fatalf("member %s acknowledges entry %d in term %d, its log ends at %d", n.id, m.Index, m.Term, n.core.LastIndex())
			}
		}
		c.send(r.MessagesAfterSync)
		if r.Snapshot != nil {
			n.applied = r.Snapshot.Index
		}
		for _, e := range r.Committed {
			c.apply(n, e)
		}
	}
	if n.core.Role() == replicator.RoleLeader {
		if other, ok := c.leaders[n.core.Term()]; ok && other != n.id {
			c.t.Fatalf("members %s and %s are both leader in term %d", other, n.id, n.core.Term())
		}
		c.leaders[n.core.Term()] = n.id
	}
}

func (c *cell) apply(n *instance, e replicator.Entry) {
	c.t.Helper()
	if e.Index != n.applied+1 {
		c.t.Fatalf("member %s applies entry %d after entry %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	entry := fmt.Sprintf("%d %s %v", e.Term, e.Data, e.Members)
	if first, ok := c.committed[e.Index]; ok && first != entry {
		c.t.Fatalf("member %s applies %q at index %d, want committed entry %q", n.id, entry, e.Index, first)
	}
	c.committed[e.Index] = entry
	if n.core.Role() == replicator.RoleLeader && len(e.Data) > 0 {
		c.acknowledged[string(e.Data)] = true
	}
}

// checkLeases checks that at most one member holds the leadership lease.
func (c *cell) checkLeases() {
	c.t.Helper()
	var holders []string
	for _, n := range c.instances {
		if n.core.LeaseUntil() > c.clock(n) {
			holders = append(holders, n.id)
		}
	}
	if len(holders) > 1 {
		c.t.Fatalf("at %s members %v hold the leadership lease, want at most one", c.now, holders)
	}
}

func (c *cell) leader() *instance {
	for _, n := range c.instances {
		if n.core.LeaseUntil() > c.clock(n) && n.core.CommittedInTerm() && n.pausedUntil <= c.now {
			return n
		}
	}
	return nil
}

func (c *cell) propose() { c.proposeBytes(0) }

// proposeBytes proposes an entry that is at least as long as size.
func (c *cell) proposeBytes(size int) {
	for _, n := range c.instances {
		if n.core.Role() != replicator.RoleLeader || n.pausedUntil > c.now {
			continue
		}
		c.proposed++
		data := strconv.Itoa(c.proposed)
		if size > 0 {
			data = fmt.Sprintf(`"%0*d"`, size, c.proposed)
		}
		if _, err := n.core.Propose(json.RawMessage(data)); err == nil {
			n.core.Flush()
			c.handleReady(n)
		}
	}
}

func (c *cell) snapshot(n *instance) {
	c.t.Helper()
	if n.applied == 0 {
		return
	}
	s := n.core.TakeSnapshot(n.applied, json.RawMessage(strconv.FormatUint(n.applied, 10)), 4)
	if err := n.journal.Compact(s, n.core.EntriesAfterSnapshot()); err != nil {
		c.t.Fatal(err)
	}
}

// injectFailure causes one random failure, ends the network failures, or takes
// a snapshot.
func (c *cell) injectFailure() {
	n := c.instances[c.random.IntN(len(c.instances))]
	other := c.instances[c.random.IntN(len(c.instances))]
	switch c.random.IntN(8) {
	case 0, 1:
		c.crashAndRestart(n)
	case 2:
		n.pausedUntil = c.now + time.Duration(c.random.IntN(3000))*time.Millisecond
	case 3:
		c.blocked[[2]string{n.id, other.id}] = true
	case 4:
		c.blocked[[2]string{n.id, other.id}] = true
		c.blocked[[2]string{other.id, n.id}] = true
	case 5, 6:
		clear(c.blocked)
	case 7:
		c.snapshot(n)
	}
}

// healAndVerify ends all failures, and checks that the cell then makes progress
// and that no committed entry is lost.
func (c *cell) healAndVerify() {
	c.t.Helper()
	clear(c.blocked)
	c.lossPercent = 0
	for _, n := range c.instances {
		n.pausedUntil = 0
	}
	c.run(8 * time.Second)
	leader := c.leader()
	if leader == nil {
		c.t.Fatal("no leader 8 s after all failures ended")
	}
	before := len(c.acknowledged)
	c.propose()
	c.run(2 * time.Second)
	if len(c.acknowledged) == before {
		c.t.Fatal("no proposal was committed within 2 s after all failures ended")
	}
	// Restart all members from their disks: they have to apply all committed
	// entries again.
	for _, n := range c.instances {
		c.crashAndRestart(n)
	}
	c.run(8 * time.Second)
	if leader = c.leader(); leader == nil {
		c.t.Fatal("no leader 8 s after the restart of all members")
	}
	for index := range c.committed {
		if index > leader.applied {
			c.t.Errorf("committed entry %d is missing on the leader after the restart", index)
		}
	}
	for _, m := range leader.core.Members() {
		if n := c.instanceByID(m.ID); n.core.Commit() != leader.core.Commit() {
			c.t.Errorf("member %s has commit index %d, want %d as on the leader", n.id, n.core.Commit(), leader.core.Commit())
		}
	}
}
