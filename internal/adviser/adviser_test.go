package adviser

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// policyService is a policy service that answers one call at a time for each entry,
// and permits every other worker of a call.
type policyService struct {
	mutex   sync.Mutex
	perCall time.Duration
	entries map[string]chan struct{}
	failing map[string]bool
	calls   map[string]int
}

func (p *policyService) requestPermits(ctx context.Context, address string, _ StepName, workers []string) (Decision, error) {
	p.mutex.Lock()
	slot, ok := p.entries[address]
	if !ok {
		slot = make(chan struct{}, 1)
		p.entries[address] = slot
	}
	p.calls[address]++
	failing := p.failing[address]
	p.mutex.Unlock()
	if failing {
		return Decision{}, errors.New("no answer")
	}
	// A channel, since the clock of a synctest bubble stands still while a goroutine
	// waits for a mutex.
	slot <- struct{}{}
	defer func() { <-slot }()
	time.Sleep(p.perCall)
	tickets := map[string]string{}
	for i, w := range workers {
		if i%2 == 0 {
			tickets[w] = "t-" + w
		}
	}
	return Decision{Tickets: tickets, Validity: time.Second}, ctx.Err()
}

func (p *policyService) callCount(entry string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls[entry]
}

var (
	testQueue = modeler.Queue{Name: "q", Permit: &modeler.PermitPolicy{BaseDelay: 100 * time.Millisecond}}
	testStep  = StepName{Workflow: "job"}
)

func sessionsOf(names ...string) []modeler.Session {
	var list []modeler.Session
	for _, n := range names {
		list = append(list, modeler.Session{Worker: n, StartedAtMillis: 1})
	}
	return list
}

func newAdviser(entries ...string) (*Adviser, *policyService) {
	p := &policyService{
		perCall: 100 * time.Millisecond, entries: map[string]chan struct{}{}, failing: map[string]bool{}, calls: map[string]int{},
	}
	began := time.Now()
	a := New(Options{
		RequestPermits: p.requestPermits,
		EntryAddresses: func() []string { return entries },
		OnDecision:     func() {},
		Now:            func() time.Duration { return time.Since(began) + time.Hour },
		Log:            zap.NewNop(),
	})
	return a, p
}

func TestTicketExpiresAndPermissionStays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0")
		if !a.RequestPermits(t.Context(), testQueue, testStep, sessionsOf("w0", "w1"), CallShort) || a.Permits(testStep).Pending == 0 {
			t.Fatal("permit request was not sent")
		}
		time.Sleep(150 * time.Millisecond)
		if ticket, ok := a.Permits(testStep).Ticket("w0@1"); !ok || ticket != "t-w0" {
			t.Fatalf("ticket of w0 is %q, want a valid t-w0", ticket)
		}
		if _, ok := a.Permits(testStep).Ticket("w1@1"); ok {
			t.Error("worker without permission has a ticket")
		}
		time.Sleep(time.Second)
		if _, ok := a.Permits(testStep).Ticket("w0@1"); ok {
			t.Error("ticket is used after its expiry")
		}
		if a.Permits(testStep).Permission("w0@1") != PermissionGranted || a.Permits(testStep).Permission("w1@1") != PermissionDenied {
			t.Error("permission was dropped when the ticket expired")
		}
		if a.Permits(testStep).Permission("w2@1") != PermissionUnknown {
			t.Error("worker that no request named has a known permission")
		}
		a.RemoveWorkflow("job")
		if a.Permits(testStep).Permission("w0@1") != PermissionUnknown {
			t.Error("decisions for an ended workflow are still kept")
		}
	})
}

func TestCallsAreSpreadOverEntries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, p := newAdviser("e0", "e1", "e2")
		for i := range 6 {
			a.RequestPermits(t.Context(), testQueue, StepName{Workflow: string(rune('a' + i))}, sessionsOf("w0"), CallShort)
		}
		time.Sleep(250 * time.Millisecond)
		for _, entry := range []string{"e0", "e1", "e2"} {
			if p.callCount(entry) != 2 {
				t.Errorf("entry %s got %d calls, want 2", entry, p.callCount(entry))
			}
		}
	})
}

func TestEntryWithMaxCallsGetsNoMore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0")
		for i := range maxCallsPerEntry {
			if !a.RequestPermits(t.Context(), testQueue, StepName{Step: i}, sessionsOf("w0"), CallShort) {
				t.Fatalf("permit request %d was not sent", i)
			}
		}
		if a.RequestPermits(t.Context(), testQueue, StepName{Step: 99}, sessionsOf("w0"), CallShort) {
			t.Error("entry got more calls than maxCallsPerEntry")
		}
		time.Sleep(time.Second)
		if !a.RequestPermits(t.Context(), testQueue, StepName{Step: 99}, sessionsOf("w0"), CallShort) {
			t.Error("entry gets no calls after it has answered")
		}
		time.Sleep(time.Second)
	})
}

func TestFailingEntryIsAvoided(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, p := newAdviser("e0", "e1")
		p.failing["e0"] = true
		for range 6 {
			a.RequestPermits(t.Context(), testQueue, testStep, sessionsOf("w0"), CallShort)
			time.Sleep(120 * time.Millisecond)
		}
		if p.callCount("e0") > 1 {
			t.Errorf("failing entry got %d calls within its back-off", p.callCount("e0"))
		}
		if _, ok := a.Permits(testStep).Ticket("w0@1"); !ok {
			t.Error("got no ticket through the other entry")
		}
	})
}

// decide makes the adviser record a decision on the workers, of which those named p are
// permitted, for the step of a workflow.
func decide(a *Adviser, workflow string, workers ...string) {
	step, tickets := StepName{Workflow: workflow}, map[string]string{}
	for _, w := range workers {
		if w[0] == 'p' {
			tickets[w] = "t-" + w
		}
	}
	if _, ok := a.records[step]; !ok {
		a.records[step] = &stepRecord{}
	}
	a.entries["e0"] = &entry{inFlight: 1}
	decision := Decision{Tickets: tickets, Validity: time.Second}
	a.recordDecision(testQueue, step, "e0", sessionsOf(workers...), CallShort, decision, nil)
}

func workersOf(permitted, denied int) []string {
	var workers []string
	for i := range permitted {
		workers = append(workers, fmt.Sprint("p", i))
	}
	for i := range denied {
		workers = append(workers, fmt.Sprint("d", i))
	}
	return workers
}

func TestGrantRateFollowsDecisions(t *testing.T) {
	t.Parallel()
	a, _ := newAdviser("e0")
	before := a.GrantRate("q")
	for i := range 50 {
		decide(a, fmt.Sprint("fifth", i), workersOf(2, 8)...)
	}
	if after := a.GrantRate("q"); after >= before || after < 0.2 {
		t.Errorf("grant rate is %.2f after decisions at a fifth, and was %.2f before", after, before)
	}
	for i := range 100 {
		decide(a, fmt.Sprint("none", i), workersOf(0, 10)...)
	}
	if rate := a.GrantRate("q"); rate != minGrantRate {
		t.Errorf("grant rate is %.2f after denials only, want %.2f", rate, minGrantRate)
	}
}

// TestRenewedTicketsDoNotRaiseTheGrantRate checks that requests for gangs name as many
// workers as they need: with a rate that is too high they are asked for again and again.
func TestRenewedTicketsDoNotRaiseTheGrantRate(t *testing.T) {
	t.Parallel()
	const share = 0.25
	tests := map[string]func(a *Adviser, workflow string){
		"first decisions only": func(a *Adviser, workflow string) { decide(a, workflow, workersOf(10, 30)...) },
		"and renewals": func(a *Adviser, workflow string) {
			decide(a, workflow, workersOf(10, 30)...)
			for range 5 {
				decide(a, workflow, workersOf(10, 0)...)
			}
		},
		"and renewals with a few more workers": func(a *Adviser, workflow string) {
			decide(a, workflow, workersOf(9, 29)...)
			decide(a, workflow, append(workersOf(10, 0), "d29")...)
		},
		"and small requests that are all permitted": func(a *Adviser, workflow string) {
			decide(a, workflow, workersOf(9, 30)...)
			decide(a, workflow, "p9")
		},
	}
	for name, decideAll := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, _ := newAdviser("e0")
			for i := range 40 {
				decideAll(a, fmt.Sprint("gang", i))
			}
			const margin = 0.05
			if rate := a.GrantRate("q"); rate < share-margin || rate > share+margin {
				t.Errorf("grant rate is %.2f, want %.2f within %.2f", rate, share, margin)
			}
		})
	}
}

func TestTicketThatExpiresSoonIsRenewable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0")
		a.RequestPermits(t.Context(), testQueue, testStep, sessionsOf("w0", "w1", "w2"), CallShort)
		time.Sleep(150 * time.Millisecond)
		permits := a.Permits(testStep)
		if got := permits.Renewable(100 * time.Millisecond); len(got) != 0 {
			t.Errorf("tickets of %v count as expired 0.1 s from now, want none", got)
		}
		if got := permits.Renewable(time.Second); !slices.Equal(got, []string{"w0@1", "w2@1"}) {
			t.Errorf("tickets of %v expire within 1 s, want those of w0@1 and w2@1", got)
		}
	})
}

// TestSmallCallsLeaveEntriesToLongOnes guards against wide steps that cannot ask for permits
// for as long as smaller ones do, and against urgent calls that wait for several others.
func TestSmallCallsLeaveEntriesToLongOnes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdviser("e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
		send := func(class CallClass) int {
			sent := 0
			for a.RequestPermits(t.Context(), testQueue, StepName{Workflow: fmt.Sprint(class, sent)}, sessionsOf("w"), class) {
				sent++
			}
			return sent
		}
		if sent := send(CallMedium); sent != 10 {
			t.Errorf("%d medium calls are in flight at 10 entries, want one at each", sent)
		}
		if sent := send(CallLong); sent != 6 {
			t.Errorf("%d long calls are in flight beside the medium ones, want one at each of 6 entries", sent)
		}
		if sent := send(CallShort); sent == 0 {
			t.Error("no short call is in flight beside the others")
		}
		time.Sleep(time.Minute)
	})
}
