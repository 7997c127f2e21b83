// Package coordinator runs one member of control: it connects the consensus
// core with the journal and the other members, and applies committed entries to
// the state.
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
	"github.com/samphirewick/samphirewick/internal/watcher"
)

const (
	// maxQueuedEvents is the capacity of the event queue. While it is full,
	// proposals are refused as overloaded, and messages are dropped, since
	// members send them again.
	maxQueuedEvents = 8192
	// maxEventBatch is the maximum number of queued events that are handled
	// after the first one with the same sync.
	maxEventBatch = 1024
	// maxFeedBacklog is the maximum number of changes that a watcher may be behind.
	maxFeedBacklog = 8192
	// tickInterval is how often the core is ticked.
	tickInterval = 20 * time.Millisecond
	// maxPromotionLag is the maximum number of entries that a learner may be behind what
	// was committed one membership check before, to become a voter. maxPromotionLagBytes is
	// the maximum size of these entries, which a member reads in a tenth of a second.
	maxPromotionLag      = 100
	maxPromotionLagBytes = 1 << 20
	// membershipCheckInterval is how often the leader checks the membership.
	membershipCheckInterval = 200 * time.Millisecond
	// replaceVoterAfter is the time without contact to a voter after which a
	// member that has caught up replaces it.
	replaceVoterAfter = 2500 * time.Millisecond
	// removeLearnerAfter is the time without contact to a learner after which it
	// is removed.
	removeLearnerAfter = 20 * time.Second
	// missingVoterLogInterval is the minimum interval of the log line on a missing voter.
	missingVoterLogInterval = 500 * time.Millisecond
	// diskCheckInterval is how often the free space on the disk is checked.
	diskCheckInterval = time.Second
)

// Options configures a Coordinator.
type Options struct {
	Identity journaler.Identity
	Journal  *journaler.Journal
	Restored replicator.RestoredState
	Core     replicator.Config
	// SnapshotEvery is the minimum number of entries between two snapshots. The
	// log then keeps KeepEntries entries before the snapshot.
	SnapshotEvery uint64
	KeepEntries   uint64
	// ReserveBytes is the free space on the disk below which proposals are refused.
	ReserveBytes uint64
	// FreeBytes returns the free space on the disk. It must not be nil.
	FreeBytes func() (uint64, error)
	// ProbeDisk returns an error if a write to the disk fails. If it is nil, Run
	// returns at once after a disk error, instead of waiting until writes succeed.
	ProbeDisk func() error
	// SaveIdentity saves the identity of a joining member once it knows its
	// cell. It must not be nil.
	SaveIdentity func(journaler.Identity) error
	// Send sends messages to a member. It may drop them and must not block. It
	// must not be nil.
	Send func(to replicator.Member, cell string, messages []replicator.Message)
	// Voters is the wanted number of voters; zero makes every member a voter.
	Voters int
	// Clock is a monotonic clock that advances while the machine is suspended.
	// If it is nil, the clock of the Go runtime is used.
	Clock func() time.Duration
	Log   *zap.Logger
}

// Leadership is what this member knows about the current leader.
type Leadership struct {
	Term uint64
	// ID and Address are empty if no leader is known.
	ID      string
	Address string
	// IsLeader is true if this member is the leader and has applied all entries
	// before its term.
	IsLeader bool
	// Since is when IsLeader became true, by the coordinator's clock; zero while it is false.
	Since time.Duration
}

// Coordinator runs one member. Its methods are safe for concurrent use.
type Coordinator struct {
	options   Options
	core      *replicator.Core
	startedAt time.Time
	events    chan event
	// encodedSnapshots receives the snapshots that the encoder goroutine makes of
	// the states in statesToEncode.
	encodedSnapshots chan replicator.Snapshot
	statesToEncode   chan reducer.State

	state      atomic.Pointer[reducer.State]
	leadership atomic.Pointer[Leadership]
	// leaseUntil is the end of the leadership lease, in nanoseconds of the
	// coordinator's clock.
	leaseUntil atomic.Int64
	// leaseChanged is closed, and replaced, when the lease or the leadership changes.
	leaseChanged atomic.Pointer[chan struct{}]
	// currentAsOf is the core's CurrentAsOf, in nanoseconds.
	currentAsOf atomic.Int64
	// sinceLeaderContact is the core's SinceLeaderContact, in nanoseconds.
	sinceLeaderContact atomic.Int64
	diskFull           atomic.Bool
	// loopDelay is the longest delay of a tick since TakeLoopDelay was last called, in
	// nanoseconds.
	loopDelay atomic.Int64
	// commitStalledFor is what CommitStalledFor returns, in nanoseconds.
	commitStalledFor atomic.Int64
	members          atomic.Pointer[[]MemberStatus]
	// replicationStats are those of the core at the end of the last turn of the event loop.
	replicationStats atomic.Pointer[replicator.Stats]
	// identity is written by the event loop only.
	identity atomic.Pointer[journaler.Identity]

	// ViewFeed publishes the changes that are relevant to entry processes,
	// TaskFeed all changes, which placement watches.
	ViewFeed *watcher.Feed[reducer.ChangedRecord]
	TaskFeed *watcher.Feed[reducer.ChangedRecord]
	starts   startTimes

	// The following fields are used by the event loop only.
	pending            map[uint64]pendingProposal
	snapshotInProgress bool
	lastSnapshotIndex  uint64
	// snapshotBytes is the size of the last snapshot. logBytesSinceSnapshot is the
	// total size of the entries applied since the state that it holds.
	snapshotBytes         int
	logBytesSinceSnapshot int
	nextMembershipCheck   time.Duration
	// membershipChanged is set once a change of the membership is committed, until the
	// next check.
	membershipChanged bool
	// commitAtLastCheck is the commit index at the last membership check.
	commitAtLastCheck   uint64
	nextMissingVoterLog time.Duration
	// proposedChange is the last change of the membership that this member has proposed.
	proposedChange       proposedChange
	nextMissingQuorumLog time.Duration
	// lastCommit is the commit index at the last tick, lastCommitAt the last tick at which it
	// had risen, no entry waited, or this member held no lease.
	lastCommit           uint64
	lastCommitAt         time.Duration
	nextStalledCommitLog time.Duration

	nextLostAcknowledgedLog time.Duration
	nextDiskCheck           time.Duration
}

// pendingProposal is a proposal whose entry is in the log and not yet applied.
type pendingProposal struct {
	term  uint64
	reply chan proposalResult
}

type proposalResult struct {
	result reducer.Result
	err    error
}

// event is an input of the event loop; exactly one field is set.
type event struct {
	proposal *proposal
	messages *messageBatch
	members  *membershipProposal
	transfer *transferRequest
	leave    *leaveRequest
}

// transferRequest requests that the leader transfers its leadership.
type transferRequest struct{}

// leaveRequest requests that this member asks the leader to move its vote to a learner.
type leaveRequest struct{}

type proposal struct {
	data  json.RawMessage
	reply chan proposalResult
}

type messageBatch struct {
	cell     string
	messages []replicator.Message
	// arrivedAt is when they had arrived.
	arrivedAt time.Duration
}

type membershipProposal struct {
	change func([]replicator.Member) ([]replicator.Member, *modeler.RefusalError)
	reply  chan proposalResult
}

// New returns a coordinator that starts from the restored state. It returns an
// error if the restored snapshot cannot be decoded.
func New(options Options) (*Coordinator, error) {
	state := reducer.NewState()
	if options.Restored.Snapshot.Index > 0 {
		var err error
		if state, err = reducer.DecodeState(options.Restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	c := &Coordinator{
		options:           options,
		startedAt:         time.Now(),
		events:            make(chan event, maxQueuedEvents),
		encodedSnapshots:  make(chan replicator.Snapshot, 1),
		statesToEncode:    make(chan reducer.State, 1),
		pending:           map[uint64]pendingProposal{},
		lastSnapshotIndex: options.Restored.Snapshot.Index,

		snapshotBytes: len(options.Restored.Snapshot.Data),
		ViewFeed:      watcher.NewFeed[reducer.ChangedRecord](maxFeedBacklog, state.Revision),
		TaskFeed:      watcher.NewFeed[reducer.ChangedRecord](maxFeedBacklog, state.Revision),
	}
	c.starts.reset(c.Now())
	c.core = replicator.New(options.Core, options.Restored, c.Now())
	c.identity.Store(&options.Identity)
	c.state.Store(&state)
	c.leadership.Store(&Leadership{})
	leaseChanged := make(chan struct{})
	c.leaseChanged.Store(&leaseChanged)
	c.publishMembers()
	c.replicationStats.Store(&replicator.Stats{})
	options.Log.Info("member restored", zap.Uint64("term", c.core.Term()), zap.Uint64("lastIndex", c.core.LastIndex()),
		zap.Uint64("commit", c.core.Commit()), zap.Any("members", c.core.Members()))
	return c, nil
}

// Now returns the time of the coordinator's monotonic clock.
func (c *Coordinator) Now() time.Duration {
	if c.options.Clock != nil {
		return c.options.Clock()
	}
	return time.Since(c.startedAt)
}

// State returns the latest state that this member has applied. It may be out of
// date unless a call of ConfirmLeadership after it returns true.
func (c *Coordinator) State() reducer.State { return *c.state.Load() }

// Leadership returns what this member knows about the current leader.
func (c *Coordinator) Leadership() Leadership { return *c.leadership.Load() }

// Identity returns the member's identity. The cell of a joining member is empty
// until it has received messages from a member of the cell.
func (c *Coordinator) Identity() journaler.Identity { return *c.identity.Load() }

// Run runs the member until ctx is done. An error is fatal to the process, since
// the state in memory may differ from the disk.
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
		c.waitForDisk(ctx, err)
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
			c.handleEvents(e)
		case s := <-c.encodedSnapshots:
			if err := c.handleEncodedSnapshot(s); err != nil {
				return err
			}
		case due := <-ticker.C:
			delay := time.Since(due)
			c.recordLoopDelay(delay)
			c.core.RecordDelay(delay)
			// After a delay of this loop, messages that wait here must count before their
			// senders are taken for silent.
			c.handleQueuedEvents()
			c.core.Tick(c.Now())
			c.checkMembership()
			c.logMissingQuorum()
			c.checkCommit()
			c.checkDisk()
		}
		if err := c.processReady(); err != nil {
			return err
		}
	}
}

// handleEvents handles the first event and the queued ones after it, so that
// they share one sync.
func (c *Coordinator) handleEvents(first event) {
	c.handleEvent(first)
	c.handleQueuedEvents()
}

func (c *Coordinator) handleQueuedEvents() {
	for range min(len(c.events), maxEventBatch) {
		c.handleEvent(<-c.events)
	}
	c.core.Flush()
}

func (c *Coordinator) handleEvent(e event) {
	switch {
	case e.proposal != nil:
		index, err := c.core.Propose(e.proposal.data)
		c.awaitCommit(index, err, e.proposal.reply)
	case e.messages != nil:
		c.handleMessages(*e.messages)
	case e.members != nil:
		c.handleMembershipProposal(*e.members)
	case e.transfer != nil:
		c.handleTransfer()
	case e.leave != nil:
		c.core.Leave()
	}
}

func (c *Coordinator) awaitCommit(index uint64, err error, reply chan proposalResult) {
	if err != nil {
		reply <- proposalResult{err: c.notLeaderRefusal(err.Error())}
		return
	}
	c.pending[index] = pendingProposal{c.core.Term(), reply}
}

func (c *Coordinator) handleMessages(batch messageBatch) {
	identity := c.Identity()
	if identity.Cell == "" && batch.cell != "" {
		identity.Cell = batch.cell
		if err := c.options.SaveIdentity(identity); err != nil {
			c.options.Log.Error("identity not saved; messages of the cell ignored", zap.Error(err))
			return
		}
		c.identity.Store(&identity)
	}
	if batch.cell != identity.Cell {
		c.options.Log.Warn("ignored messages of another cell", zap.String("cell", batch.cell))
		return
	}
	now := c.Now()
	for _, m := range batch.messages {
		if m.To == identity.Member {
			m.ArrivedAt = batch.arrivedAt
			c.core.Step(now, m)
		}
	}
}

// processReady performs the outstanding work of the core, in the order that
// replicator.Ready requires, and publishes the results.
func (c *Coordinator) processReady() error {
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
	c.publishReplicationStats()
	c.startSnapshot()
	return nil
}

// send sends each message by itself, so that a member answers one before it has read the next.
func (c *Coordinator) send(messages []replicator.Message) {
	members := c.core.Members()
	for _, message := range messages {
		// A member that is not in the membership may be the leader that has just added this one.
		recipient := replicator.Member{ID: message.To}
		for _, m := range members {
			if m.ID == message.To {
				recipient = m
			}
		}
		c.options.Send(recipient, c.Identity().Cell, []replicator.Message{message})
	}
}
