// Package coordinator runs one member of control: it drives the replicated log
// against the disk and the other members, and applies what is committed.
package coordinator

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/viewer"
	"github.com/samphirewick/samphirewick/internal/watcher"
)

const (
	// ringSize bounds the events that wait for the loop. A full ring refuses
	// proposals as overloaded, and drops messages, which members send again.
	ringSize = 8192
	// maxBatch bounds the events that share one sync.
	maxBatch = 1024
	// feedSize bounds the changes that watchers may be behind.
	feedSize = 8192
	// tickInterval is how often the core is told the time.
	tickInterval = 20 * time.Millisecond
	// catchUpLag is how many entries behind a newcomer may be to get its vote.
	catchUpLag = 100
	// tendInterval is how often the membership is looked at.
	tendInterval = 200 * time.Millisecond
	// replaceAfter is how long a voter is silent before a member that has caught
	// up takes its place.
	replaceAfter = 2500 * time.Millisecond
	// forgetAfter is how long a member without a vote is silent before it is removed.
	forgetAfter = 20 * time.Second
	// diskCheckInterval is how often the room on the disk is looked at.
	diskCheckInterval = time.Second
)

// Options are the settings of a coordinator.
type Options struct {
	Identity journaler.Identity
	Journal  *journaler.Journal
	Restored replicator.RestoredState
	Core     replicator.Config
	// SnapshotEvery is after how many entries at least a snapshot is taken; it
	// keeps KeepEntries.
	SnapshotEvery uint64
	KeepEntries   uint64
	// ReserveBytes is the room on the disk below which proposals are refused.
	ReserveBytes uint64
	// FreeBytes tells the room on the disk. Never nil.
	FreeBytes func() (uint64, error)
	// ProbeDisk reports whether the disk takes a write; nil ends a member at once
	// whose disk refused one.
	ProbeDisk func() error
	// SaveIdentity puts a newcomer's cell on the disk. Never nil.
	SaveIdentity func(journaler.Identity) error
	// Send delivers messages to the member; it may drop them and must not block. Never nil.
	Send func(to replicator.Member, cell string, messages []replicator.Message)
	// Voters is how many members vote where there are enough; zero for all.
	Voters int
	// Clock is a steady clock that goes on while the machine is suspended; nil
	// takes that of the runtime.
	Clock func() time.Duration
	Log   *zap.Logger
}

// Leadership is what is known of who leads.
type Leadership struct {
	Term uint64
	// ID and Address are empty where no leader is known.
	ID      string
	Address string
	// Leads says that this member leads and has applied all that came before its term.
	Leads bool
	// Since is when this member began to lead, by the coordinator's clock.
	Since time.Duration
}

// Coordinator is one member. Its methods are safe for concurrent use.
type Coordinator struct {
	options Options
	core    *replicator.Core
	started time.Time
	events  chan event
	// saved snapshots come back from the encoder.
	encoded chan replicator.Snapshot
	toSave  chan reducer.State

	state      atomic.Pointer[reducer.State]
	leadership atomic.Pointer[Leadership]
	// leaseUntil is the end of the leadership lease by the coordinator's clock.
	leaseUntil atomic.Int64
	diskFull   atomic.Bool
	members    atomic.Pointer[[]MemberStatus]
	// identity is written by the loop alone.
	identity atomic.Pointer[journaler.Identity]

	// ViewFeed names what entries follow, TaskFeed what placement follows.
	ViewFeed *watcher.Feed[reducer.Touch]
	TaskFeed *watcher.Feed[reducer.Touch]

	// What follows belongs to the loop.
	pending      map[uint64]pending
	snapshotting bool
	lastSnapshot uint64
	// snapshotBytes is the length of the last snapshot, logBytes that of the
	// entries applied since the state that it holds.
	snapshotBytes int
	logBytes      int
	nextTend      time.Duration
	nextDiskCheck time.Duration
}

// pending is a proposal whose entry is in the log.
type pending struct {
	term   uint64
	answer chan answer
}

type answer struct {
	result reducer.Result
	err    error
}

// event is one thing for the loop to do; exactly one field is set.
type event struct {
	proposal *proposal
	messages *delivery
	members  *memberProposal
	transfer *transfer
}

// transfer asks the leader to hand over.
type transfer struct{}

type proposal struct {
	data   json.RawMessage
	answer chan answer
}

type delivery struct {
	cell     string
	messages []replicator.Message
}

type memberProposal struct {
	change func([]replicator.Member) ([]replicator.Member, *modeler.RefusalError)
	answer chan answer
}

// New returns a coordinator of what the journal has restored.
func New(options Options) (*Coordinator, error) {
	state := reducer.NewState()
	if options.Restored.Snapshot.Index > 0 {
		var err error
		if state, err = reducer.DecodeState(options.Restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	c := &Coordinator{
		options:      options,
		started:      time.Now(),
		events:       make(chan event, ringSize),
		encoded:      make(chan replicator.Snapshot, 1),
		toSave:       make(chan reducer.State, 1),
		pending:      map[uint64]pending{},
		lastSnapshot: options.Restored.Snapshot.Index,

		snapshotBytes: len(options.Restored.Snapshot.Data),
		ViewFeed:      watcher.NewFeed[reducer.Touch](feedSize, state.Revision),
		TaskFeed:      watcher.NewFeed[reducer.Touch](feedSize, state.Revision),
	}
	c.core = replicator.New(options.Core, options.Restored, c.Now())
	c.identity.Store(&options.Identity)
	c.state.Store(&state)
	c.leadership.Store(&Leadership{})
	c.publishMembers()
	return c, nil
}

// Now is the coordinator's monotonic clock.
func (c *Coordinator) Now() time.Duration {
	if c.options.Clock != nil {
		return c.options.Clock()
	}
	return time.Since(c.started)
}

// State returns the latest state that was applied here. It may be old unless
// ConfirmLeadership returns true after it was read.
func (c *Coordinator) State() reducer.State { return *c.state.Load() }

// Leadership returns what is known of who leads.
func (c *Coordinator) Leadership() Leadership { return *c.leadership.Load() }

// Identity returns the member's identity. A newcomer's cell is empty until a
// leader has spoken to it.
func (c *Coordinator) Identity() journaler.Identity { return *c.identity.Load() }

// Run drives the member until the context ends. An error is fatal to the process.
func (c *Coordinator) Run(ctx context.Context) error {
	encoderDone := make(chan error, 1)
	encoderContext, stopEncoder := context.WithCancel(ctx)
	go func() { encoderDone <- c.encodeSnapshots(encoderContext) }()
	err := c.loop(ctx)
	stopEncoder()
	if encodeErr := <-encoderDone; err == nil {
		err = encodeErr
	}
	c.failPending(modeler.Refuse(modeler.CodeUnknownOutcome, "", "this member stops"))
	if isDiskError(err) && c.options.ProbeDisk != nil {
		c.standBy(ctx, err)
	}
	return err
}

func (c *Coordinator) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			c.takeBatch(e)
		case s := <-c.encoded:
			if err := c.takeSnapshot(s); err != nil {
				return err
			}
		case <-ticker.C:
			c.core.Tick(c.Now())
			c.tendMembers()
			c.checkDisk()
		}
		if err := c.carryOut(); err != nil {
			return err
		}
	}
}

// takeBatch takes what waits, so that all of it shares one sync.
func (c *Coordinator) takeBatch(first event) {
	c.take(first)
	for range min(len(c.events), maxBatch) {
		c.take(<-c.events)
	}
	c.core.Flush()
}

func (c *Coordinator) take(e event) {
	switch {
	case e.proposal != nil:
		index, err := c.core.Propose(e.proposal.data)
		c.await(index, err, e.proposal.answer)
	case e.messages != nil:
		c.takeMessages(*e.messages)
	case e.members != nil:
		c.takeMembers(*e.members)
	case e.transfer != nil:
		c.takeTransfer()
	}
}

func (c *Coordinator) await(index uint64, err error, reply chan answer) {
	if err != nil {
		reply <- answer{err: c.notLeader(err.Error())}
		return
	}
	c.pending[index] = pending{c.core.Term(), reply}
}

func (c *Coordinator) takeMessages(d delivery) {
	identity := c.Identity()
	if identity.Cell == "" && d.cell != "" {
		identity.Cell = d.cell
		if err := c.options.SaveIdentity(identity); err != nil {
			c.options.Log.Error("cell not saved", zap.Error(err))
			return
		}
		c.identity.Store(&identity)
	}
	if d.cell != identity.Cell {
		c.options.Log.Warn("messages of another cell refused", zap.String("cell", d.cell))
		return
	}
	now := c.Now()
	for _, m := range d.messages {
		if m.To == identity.Member {
			c.core.Step(now, m)
		}
	}
}

// carryOut does what the core asks for, in the order that it asks for.
func (c *Coordinator) carryOut() error {
	for c.core.HasReady() {
		r := c.core.Ready()
		c.send(r.MessagesBeforeSync)
		if err := c.options.Journal.Save(r); err != nil {
			return err
		}
		c.core.Advance()
		c.send(r.MessagesAfterSync)
		if err := c.apply(r); err != nil {
			return err
		}
	}
	c.publishLeadership()
	c.publishMembers()
	c.startSnapshot()
	return nil
}

func (c *Coordinator) send(messages []replicator.Message) {
	if len(messages) == 0 {
		return
	}
	for _, m := range c.core.Members() {
		var mine []replicator.Message
		for _, message := range messages {
			if message.To == m.ID {
				mine = append(mine, message)
			}
		}
		if len(mine) > 0 {
			c.options.Send(m, c.Identity().Cell, mine)
		}
	}
	c.sendStrangers(messages)
}

func (c *Coordinator) apply(r replicator.Ready) error {
	if r.Snapshot != nil {
		state, err := reducer.DecodeState(r.Snapshot.Data)
		if err != nil {
			return err
		}
		c.state.Store(&state)
		c.lastSnapshot = r.Snapshot.Index
		c.snapshotBytes, c.logBytes = len(r.Snapshot.Data), 0
		c.ViewFeed.Reset(state.Revision)
		c.TaskFeed.Reset(state.Revision)
	}
	for _, e := range r.Committed {
		if err := c.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Coordinator) applyEntry(e replicator.Entry) error {
	c.logBytes += len(e.Data)
	before := c.State()
	after := before
	after.Revision = e.Index
	var result reducer.Result
	var touched []reducer.Touch
	if len(e.Data) > 0 {
		command, err := reducer.DecodeCommand(e.Data)
		if err != nil {
			return err
		}
		after, result, touched = reducer.Apply(before, e.Index, command)
	}
	result.Revision = e.Index
	c.state.Store(&after)
	c.ViewFeed.Publish(e.Index, viewer.Relevant(before, after, touched))
	c.TaskFeed.Publish(e.Index, touched)
	waiting, ok := c.pending[e.Index]
	if !ok {
		return nil
	}
	delete(c.pending, e.Index)
	if waiting.term != e.Term {
		waiting.answer <- answer{err: c.notLeader("another leader took over")}
		return nil
	}
	waiting.answer <- answer{result: result}
	return nil
}

func (c *Coordinator) failPending(err error) {
	for index, waiting := range c.pending {
		waiting.answer <- answer{err: err}
		delete(c.pending, index)
	}
}

func (c *Coordinator) notLeader(reason string) *modeler.RefusalError {
	return modeler.Refuse(modeler.CodeNotLeader, c.Leadership().Address, "%s", reason)
}
