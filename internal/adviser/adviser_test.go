package adviser

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// policy answers as the policy service does: one call at a time for each entry.
type policy struct {
	mutex   sync.Mutex
	perCall time.Duration
	entries map[string]chan struct{}
	broken  map[string]bool
	asked   map[string]int
}

func (p *policy) ask(ctx context.Context, address string, _ StepName, workers []string) (Decision, error) {
	p.mutex.Lock()
	lane, ok := p.entries[address]
	if !ok {
		lane = make(chan struct{}, 1)
		p.entries[address] = lane
	}
	p.asked[address]++
	broken := p.broken[address]
	p.mutex.Unlock()
	if broken {
		return Decision{}, errors.New("no answer")
	}
	// A mutex would keep the bubble's clock from going on.
	lane <- struct{}{}
	defer func() { <-lane }()
	time.Sleep(p.perCall)
	tickets := map[string]string{}
	for i, w := range workers {
		if i%2 == 0 {
			tickets[w] = "t-" + w
		}
	}
	return Decision{Tickets: tickets, Validity: time.Second}, ctx.Err()
}

func (p *policy) count(entry string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.asked[entry]
}

var (
	aQueue = modeler.Queue{Name: "q", Permit: &modeler.PermitPolicy{BaseDelay: 100 * time.Millisecond}}
	aStep  = StepName{Workflow: "job"}
)

func sessions(names ...string) []modeler.Session {
	var list []modeler.Session
	for _, n := range names {
		list = append(list, modeler.Session{Worker: n, Born: 1})
	}
	return list
}

func newAdviser(entries ...string) (*Adviser, *policy) {
	p := &policy{
		perCall: 100 * time.Millisecond, entries: map[string]chan struct{}{}, broken: map[string]bool{}, asked: map[string]int{},
	}
	began := time.Now()
	a := New(Options{
		RequestPermits: p.ask,
		EntryAddresses: func() []string { return entries },
		OnDecision:     func() {},
		Now:            func() time.Duration { return time.Since(began) + time.Hour },
		Log:            zap.NewNop(),
	})
	return a, p
}

func TestATicketEndsAndTheStandingStays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0")
		if !a.RequestPermits(t.Context(), aQueue, aStep, sessions("w0", "w1")) || !a.Permits(aStep).Pending {
			t.Fatal("the question was not asked")
		}
		time.Sleep(150 * time.Millisecond)
		if ticket, ok := a.Permits(aStep).Ticket("w0@1"); !ok || ticket != "t-w0" {
			t.Fatalf("the ticket is %q", ticket)
		}
		if _, ok := a.Permits(aStep).Ticket("w1@1"); ok {
			t.Error("a worker that may not run the step has a ticket")
		}
		time.Sleep(time.Second)
		if _, ok := a.Permits(aStep).Ticket("w0@1"); ok {
			t.Error("the ticket is used after its end")
		}
		if a.Permits(aStep).Permission("w0@1") != PermissionGranted || a.Permits(aStep).Permission("w1@1") != PermissionDenied {
			t.Error("the standing was forgotten with the ticket")
		}
		if a.Permits(aStep).Permission("w2@1") != PermissionUnknown {
			t.Error("a worker that nobody asked about has a standing")
		}
		a.ForgetWorkflow("job", 0, 1)
		if a.Permits(aStep).Permission("w0@1") != PermissionUnknown {
			t.Error("an ended workflow is remembered")
		}
	})
}

func TestQuestionsAreSpreadOverTheEntries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, p := newAdviser("e0", "e1", "e2")
		for i := range 6 {
			a.RequestPermits(t.Context(), aQueue, StepName{Workflow: string(rune('a' + i))}, sessions("w0"))
		}
		time.Sleep(250 * time.Millisecond)
		for _, entry := range []string{"e0", "e1", "e2"} {
			if p.count(entry) != 2 {
				t.Errorf("%s was asked %d times, want 2", entry, p.count(entry))
			}
		}
	})
}

func TestFullEntriesAreNotAsked(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0")
		for i := range maxBacklog {
			if !a.RequestPermits(t.Context(), aQueue, StepName{Step: i}, sessions("w0")) {
				t.Fatalf("question %d was not asked", i)
			}
		}
		if a.RequestPermits(t.Context(), aQueue, StepName{Step: 99}, sessions("w0")) {
			t.Error("an entry was given more than it may hold")
		}
		time.Sleep(time.Second)
		if !a.RequestPermits(t.Context(), aQueue, StepName{Step: 99}, sessions("w0")) {
			t.Error("an entry is not asked again once it has answered")
		}
		time.Sleep(time.Second)
	})
}

func TestAnEntryThatDoesNotAnswerIsAvoided(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, p := newAdviser("e0", "e1")
		p.broken["e0"] = true
		for range 6 {
			a.RequestPermits(t.Context(), aQueue, aStep, sessions("w0"))
			time.Sleep(120 * time.Millisecond)
		}
		if p.count("e0") > 1 {
			t.Errorf("the entry was asked %d times within its pause", p.count("e0"))
		}
		if _, ok := a.Permits(aStep).Ticket("w0@1"); !ok {
			t.Error("no ticket came by way of the other entry")
		}
	})
}

func TestMoreIsAskedWhereFewArePermitted(t *testing.T) {
	t.Parallel()
	a, _ := newAdviser("e0")
	before := a.CandidateCount("q", 8)
	for range 50 {
		a.learn("q", 2, 10)
	}
	if after := a.CandidateCount("q", 8); after <= before {
		t.Errorf("%d are asked at a share of a fifth, %d before", after, before)
	}
	if a.CandidateCount("q", 1000) > maxWorkersAsked {
		t.Error("more are asked than one call may name")
	}
}
