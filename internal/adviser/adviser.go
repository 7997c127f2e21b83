// Package adviser learns from an outside policy service which workers may run
// a step. The service answers one call at a time for each calling machine, so
// the calls are spread over the entries.
package adviser

import (
	"context"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// maxWorkersAsked bounds the workers of one call; the service takes no more.
	maxWorkersAsked = 100
	// maxBacklog is how many calls may wait for one entry, the one in work among them.
	maxBacklog = 3
	// answerGrace is how long after its expected time an answer may still come.
	answerGrace = 1500 * time.Millisecond
	// avoidTime is how long an entry that did not answer is not asked again.
	avoidTime = time.Second
	// ticketMargin is the age before its end at which a ticket is not used any
	// more: a start has to be committed and sent first.
	ticketMargin = 150 * time.Millisecond
	// firstShare is the share of workers expected to be permitted while nothing is learnt.
	firstShare = 0.5
	// learningRate is the weight of one answer in the learnt share.
	learningRate = 0.1
	// leastShare bounds the learnt share from below, and with it how many are asked.
	leastShare = 0.1
	// spareAsked is how many workers are asked beyond those expected to be needed.
	spareAsked = 3
)

// StepName names one occurrence of one step.
type StepName struct {
	Workflow   string
	Occurrence int
	Step       int
}

// Decision is what the policy service says of a step.
type Decision struct {
	// Tickets holds the ticket of each worker that may run the step, by worker id.
	Tickets map[string]string
	// Validity is how long the tickets may be used from the answer on.
	Validity time.Duration
}

// Options are the seams of an adviser.
type Options struct {
	// Ask lets the entry at the address ask the service. Never nil.
	RequestPermits func(ctx context.Context, address string, step StepName, workers []string) (Decision, error)
	// Entries returns the addresses of the entries. Never nil.
	EntryAddresses func() []string
	// OnDecision is called after each answer. Never nil.
	OnDecision func()
	Now        func() time.Duration
	Log        *zap.Logger
}

// verdict is what is known of one worker session and one step.
type verdict struct {
	permitted bool
	ticket    string
	// until is when the ticket ends, by Now.
	until time.Duration
}

// record is what is known of one step.
type record struct {
	// verdicts are by session key; whether a worker is permitted never changes.
	// The map is replaced and never written to.
	verdicts map[string]verdict
	asking   bool
}

// entry is what is known of one entry.
type entry struct {
	// free is when the calls given to the entry so far should be answered.
	free time.Duration
	// waiting counts the calls that are not answered.
	waiting int
	// avoided is until when the entry is not asked.
	avoided time.Duration
}

// Adviser knows what the service has said. It is safe for concurrent use.
type Adviser struct {
	options Options

	mutex   sync.Mutex
	records map[StepName]*record
	entries map[string]*entry
	// shares are the learnt shares of permitted workers by queue.
	shares map[string]float64
}

// New returns an adviser that knows nothing.
func New(options Options) *Adviser {
	return &Adviser{
		options: options,
		records: map[StepName]*record{},
		entries: map[string]*entry{},
		shares:  map[string]float64{},
	}
}

// Permission is what is known of a session and a step.
type Permission int

// The standings.
const (
	// PermissionUnknown sessions have not been asked about.
	PermissionUnknown Permission = iota
	// PermissionGranted sessions may run the step; their ticket may have ended.
	PermissionGranted
	// PermissionDenied sessions never run the step.
	PermissionDenied
)

// Permits is what was known of one step at one moment. It is immutable.
type Permits struct {
	verdicts map[string]verdict
	// at is the moment, by the adviser's clock.
	at time.Duration
	// Pending reports whether a call about the step is not answered yet.
	Pending bool
}

// Ticket returns the ticket with which the session may run the step.
func (p Permits) Ticket(session string) (string, bool) {
	v := p.verdicts[session]
	return v.ticket, v.permitted && v.until > p.at
}

// Tickets returns the sessions that may run the step, with their tickets.
func (p Permits) Tickets() iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for session, v := range p.verdicts {
			if v.permitted && v.until > p.at && !yield(session, v.ticket) {
				return
			}
		}
	}
}

// Permission returns what is known of the session and the step.
func (p Permits) Permission(session string) Permission {
	v, ok := p.verdicts[session]
	switch {
	case !ok:
		return PermissionUnknown
	case v.permitted:
		return PermissionGranted
	default:
		return PermissionDenied
	}
}

// Permits returns what is known of the step now.
func (a *Adviser) Permits(step StepName) Permits {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	p := Permits{at: a.options.Now()}
	if r, ok := a.records[step]; ok {
		p.verdicts, p.Pending = r.verdicts, r.asking
	}
	return p
}

// ForgetWorkflow drops what is known of the steps of a workflow.
func (a *Adviser) ForgetWorkflow(workflow string, occurrences, steps int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for o := range max(1, occurrences) {
		for s := range steps {
			delete(a.records, StepName{workflow, o, s})
		}
	}
}

// CandidateCount is how many sessions to ask about so that the needed number is expected
// to be permitted.
func (a *Adviser) CandidateCount(queue string, needed int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	share, ok := a.shares[queue]
	if !ok {
		share = firstShare
	}
	return min(maxWorkersAsked, int(float64(needed)/max(leastShare, share))+spareAsked)
}

// RequestPermits asks about sessions for a step in the background. It reports false where
// every entry has enough to ask.
func (a *Adviser) RequestPermits(ctx context.Context, queue modeler.Queue, step StepName, sessions []modeler.Session) bool {
	sessions = sessions[:min(len(sessions), maxWorkersAsked)]
	expected := queue.Permit.BaseDelay + time.Duration(len(sessions))*queue.Permit.DelayPerWorker
	addresses := a.options.EntryAddresses()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	address, ok := a.choose(addresses)
	if !ok {
		return false
	}
	r, ok := a.records[step]
	if !ok {
		r = &record{}
		a.records[step] = r
	}
	r.asking = true
	e := a.entries[address]
	e.free = max(e.free, a.options.Now()) + expected
	e.waiting++
	timeout := e.free - a.options.Now() + answerGrace
	go a.call(ctx, queue, step, address, slices.Clone(sessions), timeout)
	return true
}

// choose returns the entry that is free first.
func (a *Adviser) choose(addresses []string) (string, bool) {
	now := a.options.Now()
	best, found := "", false
	for _, address := range addresses {
		e, ok := a.entries[address]
		if !ok {
			e = &entry{}
			a.entries[address] = e
		}
		if e.avoided > now || e.waiting >= maxBacklog {
			continue
		}
		if !found || max(now, e.free) < max(now, a.entries[best].free) {
			best, found = address, true
		}
	}
	return best, found
}

func (a *Adviser) call(
	ctx context.Context, queue modeler.Queue, step StepName, address string, sessions []modeler.Session, timeout time.Duration,
) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	workers := make([]string, len(sessions))
	for i, s := range sessions {
		workers[i] = s.Worker
	}
	asked := a.options.Now()
	answer, err := a.options.RequestPermits(bounded, address, step, workers)
	a.take(queue, step, address, sessions, answer, err)
	if ctx.Err() == nil {
		a.options.Log.Info("advice", zap.String("workflow", step.Workflow), zap.Int("occurrence", step.Occurrence),
			zap.Int("step", step.Step), zap.String("entry", address), zap.Duration("after", a.options.Now()-asked),
			zap.Int("asked", len(workers)), zap.Int("permitted", len(answer.Tickets)), zap.Error(err))
	}
	a.options.OnDecision()
}

func (a *Adviser) take(
	queue modeler.Queue, step StepName, address string, sessions []modeler.Session, answer Decision, err error,
) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.options.Now()
	e := a.entries[address]
	e.waiting--
	if e.waiting == 0 {
		e.free = now
	}
	r, ok := a.records[step]
	if ok {
		r.asking = false
	}
	if err != nil {
		e.avoided = now + avoidTime
		return
	}
	if ok {
		r.verdicts = withAnswer(r.verdicts, sessions, answer, now+answer.Validity-ticketMargin)
	}
	a.learn(queue.Name, len(answer.Tickets), len(sessions))
}

// withAnswer returns a copy of the verdicts with what was answered about the
// sessions; tickets end at until.
func withAnswer(
	verdicts map[string]verdict, sessions []modeler.Session, answer Decision, until time.Duration,
) map[string]verdict {
	next := make(map[string]verdict, len(verdicts)+len(sessions))
	maps.Copy(next, verdicts)
	for _, s := range sessions {
		ticket, permitted := answer.Tickets[s.Worker]
		next[s.Key()] = verdict{permitted: permitted, ticket: ticket, until: until}
	}
	return next
}

func (a *Adviser) learn(queue string, permitted, asked int) {
	if asked == 0 {
		return
	}
	share, ok := a.shares[queue]
	if !ok {
		share = firstShare
	}
	a.shares[queue] = share + learningRate*(float64(permitted)/float64(asked)-share)
}
