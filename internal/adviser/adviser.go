// Package adviser requests permits from an external policy service, which decides
// on which workers a step may run. The service answers one call at a time for each
// calling machine, so the calls are spread over the entries.
package adviser

import (
	"context"
	"iter"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// MaxWorkersPerCall bounds the workers of one call; the service accepts no more.
	MaxWorkersPerCall = 100
	// maxCallsPerEntry is the maximum number of calls in flight at one entry,
	// including the one that the policy service is working on.
	maxCallsPerEntry = 3
	// longCall is the expected time from which on a call counts as long. Most shorter
	// calls are for urgent work, which cannot wait for a long call before it.
	longCall = 300 * time.Millisecond
	// mediumCall is the expected time from which on a call takes only an entry without any
	// other, so that shorter ones for urgent work wait for one such call at most.
	mediumCall = 60 * time.Millisecond
	// longCallShare is the share of the entries that take long calls. It applies from
	// minEntriesToShare entries on.
	longCallShare     = 0.6
	minEntriesToShare = 5
	// maxLongCallsPerEntry and maxUrgentLongCallsPerEntry are the maximum numbers of long
	// calls in flight at an entry that takes one more, that one included. Short calls are
	// not counted: where they were, the many calls of small steps kept all entries from
	// taking long ones.
	maxLongCallsPerEntry       = 1
	maxUrgentLongCallsPerEntry = 2
	// responseGrace is how long after its expected time an answer may still arrive.
	responseGrace = 1500 * time.Millisecond
	// entryBackoff is how long an entry gets no calls after a failed one.
	entryBackoff = time.Second
	// ticketMargin is how long before its expiry a ticket is no longer used, since a
	// start has to be committed and sent first.
	ticketMargin = 150 * time.Millisecond
	// initialGrantRate is the expected share of permitted workers before the first
	// decision for a queue.
	initialGrantRate = 0.5
	// grantWindow is the number of workers over which the grant rate is averaged, and
	// initialGrantWeight how many of them the initial rate counts for.
	grantWindow        = 200.0
	initialGrantWeight = 10.0
	// minGrantRate bounds the grant rate from below.
	minGrantRate = 0.1
)

// StepName names one occurrence of one step.
type StepName struct {
	Workflow   string
	Occurrence int
	Step       int
}

// Decision is the answer of the policy service for one step.
type Decision struct {
	// Tickets holds the ticket of each permitted worker, by worker id.
	Tickets map[string]string
	// Validity is how long the tickets are valid after the answer.
	Validity time.Duration
}

// Options configures an adviser.
type Options struct {
	// RequestPermits makes the entry at the address call the policy service. Never nil.
	RequestPermits func(ctx context.Context, address string, step StepName, workers []string) (Decision, error)
	// EntryAddresses returns the addresses of the entries that may be called. Never nil.
	EntryAddresses func() []string
	// OnDecision is called after each call, also after a failed one. Never nil.
	OnDecision func()
	Now        func() time.Duration
	Log        *zap.Logger
}

// sessionDecision is the decision for one worker session and one step.
type sessionDecision struct {
	permitted bool
	ticket    string
	// expires is when the ticket expires, by Now.
	expires time.Duration
}

// stepRecord holds the decisions for one step.
type stepRecord struct {
	// decisions are by session key. Whether a worker is permitted never changes. The
	// map is replaced and never written to, so that Permits can share it.
	decisions map[string]sessionDecision
	// granted are the keys of the permitted sessions, sorted. The slice is replaced and
	// never written to.
	granted []string
	// asked are the session keys that unanswered calls name. The map is replaced and never
	// written to. calls is the number of these calls.
	asked map[string]struct{}
	calls int
}

// entry is the load of one entry.
type entry struct {
	// freeAt is when all calls sent to the entry so far are expected to be answered.
	freeAt time.Duration
	// inFlight counts the unanswered calls, and long those of them that are long.
	inFlight, long int
	// avoidUntil is until when the entry gets no calls after a failed one.
	avoidUntil time.Duration
}

// Adviser requests decisions of the policy service and keeps them. It is safe for
// concurrent use.
type Adviser struct {
	options Options

	mutex   sync.Mutex
	records map[StepName]*stepRecord
	// stepsByWorkflow holds the keys of records, by workflow.
	stepsByWorkflow map[string][]StepName
	entries         map[string]*entry
	// grantCounts count the decisions on workers, by queue.
	grantCounts map[string]grantCount
}

// grantCount counts first decisions on workers, the older ones with less weight.
type grantCount struct {
	granted, asked float64
}

func (g grantCount) rate() float64 { return g.granted / g.asked }

// withDecision returns g with the first decisions on a number of workers, some of them granted.
func (g grantCount) withDecision(granted, asked int) grantCount {
	weight := math.Exp(-float64(asked) / grantWindow)
	return grantCount{granted: weight*g.granted + float64(granted), asked: weight*g.asked + float64(asked)}
}

// New returns an adviser without any decisions.
func New(options Options) *Adviser {
	return &Adviser{
		options:         options,
		records:         map[StepName]*stepRecord{},
		stepsByWorkflow: map[string][]StepName{},
		entries:         map[string]*entry{},
		grantCounts:     map[string]grantCount{},
	}
}

// Permission tells whether a session may run a step.
type Permission int

// The permissions.
const (
	// PermissionUnknown means that there is no decision for the session yet.
	PermissionUnknown Permission = iota
	// PermissionGranted means that the session may run the step. Its ticket may have
	// expired.
	PermissionGranted
	// PermissionDenied means that the session must never run the step.
	PermissionDenied
)

// Permits is an immutable snapshot of the decisions for one step.
type Permits struct {
	decisions map[string]sessionDecision
	// granted are the keys of the permitted sessions, sorted.
	granted []string
	// at is the time of the snapshot, by the adviser's clock.
	at time.Duration
	// asked are the session keys that unanswered calls about the step name.
	asked map[string]struct{}
	// Pending is the number of unanswered calls about the step.
	Pending int
}

// IsAsked reports whether an unanswered call names the session.
func (p Permits) IsAsked(session string) bool {
	_, ok := p.asked[session]
	return ok
}

// ValidFor returns how long the session's ticket is still valid; zero if it has none.
func (p Permits) ValidFor(session string) time.Duration {
	d := p.decisions[session]
	if !d.permitted {
		return 0
	}
	return max(0, d.expires-p.at)
}

// Ticket returns the session's ticket for the step, and whether it is valid.
func (p Permits) Ticket(session string) (string, bool) {
	d := p.decisions[session]
	return d.ticket, d.permitted && d.expires > p.at
}

// Tickets returns the sessions with a valid ticket for the step, in the order of their
// keys, with their tickets.
func (p Permits) Tickets() iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, session := range p.granted {
			if d := p.decisions[session]; d.expires > p.at && !yield(session, d.ticket) {
				return
			}
		}
	}
}

// Granted returns the keys of the sessions that may run the step, sorted. Their
// tickets may have expired. Callers must not change the result.
func (p Permits) Granted() []string { return p.granted }

// Renewable returns the keys of the sessions that may run the step, but whose ticket
// will not be valid after the time from the snapshot, sorted.
func (p Permits) Renewable(after time.Duration) []string {
	var keys []string
	for _, session := range p.granted {
		if p.decisions[session].expires <= p.at+after {
			keys = append(keys, session)
		}
	}
	return keys
}

// Permission returns whether the session may run the step.
func (p Permits) Permission(session string) Permission {
	d, ok := p.decisions[session]
	switch {
	case !ok:
		return PermissionUnknown
	case d.permitted:
		return PermissionGranted
	default:
		return PermissionDenied
	}
}

// Permits returns a snapshot of the decisions for the step.
func (a *Adviser) Permits(step StepName) Permits {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	p := Permits{at: a.options.Now()}
	if r, ok := a.records[step]; ok {
		p.decisions, p.granted, p.asked, p.Pending = r.decisions, r.granted, r.asked, r.calls
	}
	return p
}

// RemoveWorkflow drops the decisions for the steps of a workflow.
func (a *Adviser) RemoveWorkflow(workflow string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, step := range a.stepsByWorkflow[workflow] {
		delete(a.records, step)
	}
	delete(a.stepsByWorkflow, workflow)
}

// GrantRate returns the expected share of permitted workers among those without a
// decision that a request for the queue names, at least minGrantRate.
func (a *Adviser) GrantRate(queue string) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return max(minGrantRate, a.grantCount(queue).rate())
}

// grantCount returns the count of the queue. The caller holds the mutex.
func (a *Adviser) grantCount(queue string) grantCount {
	if count, ok := a.grantCounts[queue]; ok {
		return count
	}
	return grantCount{granted: initialGrantRate * initialGrantWeight, asked: initialGrantWeight}
}

// CallClass decides which entries may take a call.
type CallClass int

// The classes of calls.
const (
	// CallShort may use every entry.
	CallShort CallClass = iota
	// CallMedium may use every entry that has no other call.
	CallMedium
	// CallLong may use a part of the entries, while they have no other long call.
	CallLong
	// CallLongUrgent may use the same entries as CallLong, but waits there for one
	// long call at most.
	CallLongUrgent
)

func (c CallClass) isLong() bool { return c == CallLong || c == CallLongUrgent }

// ClassOf returns the class of a request for the queue that names a number of
// sessions. An urgent request is one that capacity is kept for.
func ClassOf(queue modeler.Queue, sessions int, isUrgent bool) CallClass {
	switch {
	case expectedTime(queue, sessions) < mediumCall:
		return CallShort
	case expectedTime(queue, sessions) < longCall:
		return CallMedium
	case isUrgent:
		return CallLongUrgent
	default:
		return CallLong
	}
}

// IsLong reports whether each call for the queue is long.
func IsLong(queue modeler.Queue) bool { return expectedTime(queue, 1) >= longCall }

func expectedTime(queue modeler.Queue, sessions int) time.Duration {
	return queue.Permit.BaseDelay + time.Duration(sessions)*queue.Permit.DelayPerWorker
}

// RequestPermits requests permits for a step on the sessions in the background, for
// the first MaxWorkersPerCall of them at most. It returns false and does nothing if
// no entry can take another call of that length.
func (a *Adviser) RequestPermits(
	ctx context.Context, queue modeler.Queue, step StepName, sessions []modeler.Session, class CallClass,
) bool {
	sessions = sessions[:min(len(sessions), MaxWorkersPerCall)]
	expected := expectedTime(queue, len(sessions))
	addresses := a.options.EntryAddresses()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	address, ok := a.chooseEntry(addresses, class)
	if !ok {
		return false
	}
	r, ok := a.records[step]
	if !ok {
		r = &stepRecord{}
		a.records[step] = r
		a.stepsByWorkflow[step.Workflow] = append(a.stepsByWorkflow[step.Workflow], step)
	}
	r.calls++
	r.asked = withAsked(r.asked, sessions, true)
	e := a.entries[address]
	e.freeAt = max(e.freeAt, a.options.Now()) + expected
	e.inFlight++
	if class.isLong() {
		e.long++
	}
	timeout := e.freeAt - a.options.Now() + responseGrace
	go a.call(ctx, queue, step, address, slices.Clone(sessions), class, timeout)
	return true
}

// entryLimits are the maximum numbers of calls in flight at an entry that takes one more
// call, that one included.
type entryLimits struct{ calls, long int }

// entriesFor returns the entries that may take a call of the class, the preferred ones
// first.
func entriesFor(addresses []string, class CallClass) ([]string, entryLimits) {
	limits := entryLimits{calls: maxCallsPerEntry, long: maxCallsPerEntry}
	if len(addresses) < minEntriesToShare {
		return addresses, limits
	}
	addresses = slices.Sorted(slices.Values(addresses))
	switch class {
	case CallLong, CallLongUrgent:
		limits.long = maxLongCallsPerEntry
		if class == CallLongUrgent {
			limits.long = maxUrgentLongCallsPerEntry
		}
		return addresses[:int(longCallShare*float64(len(addresses)))], limits
	case CallMedium:
		limits.calls = 1
	default:
	}
	// Those that take no long calls come first.
	slices.Reverse(addresses)
	return addresses, limits
}

// chooseEntry returns the address of the entry that is expected to be free first,
// or false if none can take a call.
func (a *Adviser) chooseEntry(addresses []string, class CallClass) (string, bool) {
	addresses, limits := entriesFor(addresses, class)
	now := a.options.Now()
	best, found := "", false
	for _, address := range addresses {
		e, ok := a.entries[address]
		if !ok {
			e = &entry{}
			a.entries[address] = e
		}
		if e.avoidUntil > now || e.inFlight >= limits.calls || class.isLong() && e.long >= limits.long {
			continue
		}
		if !found || max(now, e.freeAt) < max(now, a.entries[best].freeAt) {
			best, found = address, true
		}
	}
	return best, found
}

func (a *Adviser) call(
	ctx context.Context, queue modeler.Queue, step StepName, address string, sessions []modeler.Session,
	class CallClass, timeout time.Duration,
) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	workers := make([]string, len(sessions))
	for i, s := range sessions {
		workers[i] = s.Worker
	}
	sentAt := a.options.Now()
	decision, err := a.options.RequestPermits(bounded, address, step, workers)
	a.recordDecision(queue, step, address, sessions, class, decision, err)
	if ctx.Err() == nil {
		a.options.Log.Info("permit request finished", zap.String("workflow", step.Workflow), zap.Int("occurrence", step.Occurrence),
			zap.Int("step", step.Step), zap.String("entry", address), zap.Duration("after", a.options.Now()-sentAt),
			zap.Int("asked", len(workers)), zap.Int("permitted", len(decision.Tickets)), zap.Error(err))
	}
	a.options.OnDecision()
}

func (a *Adviser) recordDecision(
	queue modeler.Queue, step StepName, address string, sessions []modeler.Session, class CallClass, decision Decision, err error,
) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.options.Now()
	e := a.entries[address]
	e.inFlight--
	if class.isLong() {
		e.long--
	}
	if e.inFlight == 0 {
		e.freeAt = now
	}
	r, ok := a.records[step]
	if ok {
		r.calls--
		r.asked = withAsked(r.asked, sessions, false)
	}
	if err != nil {
		e.avoidUntil = now + entryBackoff
		return
	}
	if !ok {
		return
	}
	a.updateGrantRate(queue.Name, r.decisions, sessions, decision)
	r.decisions = withDecisions(r.decisions, sessions, decision, now+decision.Validity-ticketMargin)
	r.granted = grantedKeys(r.decisions)
}

// withAsked returns a copy of the session keys with those of the sessions added or removed.
func withAsked(asked map[string]struct{}, sessions []modeler.Session, isAsked bool) map[string]struct{} {
	next := make(map[string]struct{}, len(asked)+len(sessions))
	maps.Copy(next, asked)
	for _, s := range sessions {
		if isAsked {
			next[s.Key()] = struct{}{}
		} else {
			delete(next, s.Key())
		}
	}
	return next
}

// withDecisions returns a copy of the decisions, extended by the new decision on the
// sessions. The new tickets expire at expires.
func withDecisions(
	decisions map[string]sessionDecision, sessions []modeler.Session, decision Decision, expires time.Duration,
) map[string]sessionDecision {
	next := make(map[string]sessionDecision, len(decisions)+len(sessions))
	maps.Copy(next, decisions)
	for _, s := range sessions {
		ticket, permitted := decision.Tickets[s.Worker]
		next[s.Key()] = sessionDecision{permitted: permitted, ticket: ticket, expires: expires}
	}
	return next
}

// grantedKeys returns the keys of the permitted sessions, sorted.
func grantedKeys(decisions map[string]sessionDecision) []string {
	var keys []string
	for session, d := range decisions {
		if d.permitted {
			keys = append(keys, session)
		}
	}
	slices.Sort(keys)
	return keys
}

// updateGrantRate counts the decision on the sessions that earlier decisions do not cover.
// The others only renew tickets, and are permitted by then. The caller holds the mutex.
func (a *Adviser) updateGrantRate(
	queue string, earlier map[string]sessionDecision, sessions []modeler.Session, decision Decision,
) {
	granted, asked := 0, 0
	for _, s := range sessions {
		if _, ok := earlier[s.Key()]; ok {
			continue
		}
		asked++
		if _, ok := decision.Tickets[s.Worker]; ok {
			granted++
		}
	}
	if asked > 0 {
		a.grantCounts[queue] = a.grantCount(queue).withDecision(granted, asked)
	}
}
