package responder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/tracker"
)

// runInCell runs a test with a cell in a synctest bubble, and stops everything that it started.
func runInCell(t *testing.T, test func(ctx context.Context, c *cell, group *runner.Group)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		ctx, cancel := context.WithCancel(context.Background())
		group := runner.NewGroup()
		defer func() {
			cancel()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		}()
		test(ctx, c, group)
	})
}

func ignoreTask(string, modeler.TaskReference, int, bool) {}

// checkThroughout runs the check every 5 ms for the duration.
func checkThroughout(duration time.Duration, check func()) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		check()
	}
}

// eventually waits until the condition holds, and returns how long that took. It
// fails the test after the limit.
func (c *cell) eventually(limit time.Duration, condition string, holds func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			c.t.Fatalf("condition not met: %s: not within %s", condition, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

func TestNewLeaderServesWithinThreeSeconds(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		for range 5 {
			old := c.leader()
			c.crash(old)
			if took := c.awaitLeader(); took > 3*time.Second {
				c.t.Errorf("the new leader served after %s, want at most 3 s", took)
			}
			c.restart(old)
			time.Sleep(2 * time.Second)
		}
	})
}

// owningEntries returns the entries that may send to the backend server w0 now.
func owningEntries(entries map[string]*tracker.Tracker) []string {
	const worker = "w0"
	var owning []string
	for name, e := range entries {
		table := e.Table()
		if b, ok := table.Backends[worker]; ok && e.Owns(worker, b.OwnerEpoch) {
			owning = append(owning, name)
		}
	}
	return owning
}

func TestBackendServerHasOneOwningEntryAtATime(t *testing.T) {
	failures := map[string]func(c *cell, owner string){
		"the owner is isolated": func(c *cell, owner string) { c.isolate(owner) },
		"the leader crashes":    func(c *cell, _ string) { c.crash(c.leader()) },
		"both at the same time": func(c *cell, owner string) { c.isolate(owner); c.crash(c.leader()) },
		"both are isolated":     func(c *cell, owner string) { c.isolate(owner); c.isolate(c.leader().id) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
				c.addWorker(ctx, group, "w0", ignoreTask)
				entries := map[string]*tracker.Tracker{}
				for _, id := range []string{"e0", "e1", "e2"} {
					entries[id] = c.addEntry(ctx, group, id)
				}
				check := func() {
					if sending := owningEntries(entries); len(sending) > 1 {
						c.t.Fatalf("entries %v own w0 at the same time, want at most one", sending)
					}
				}
				c.eventually(5*time.Second, "w0 has an owner", func() bool { return len(owningEntries(entries)) == 1 })
				first := owningEntries(entries)[0]
				fail(c, first)
				checkThroughout(8*time.Second, check)
				c.heal(first)
				checkThroughout(4*time.Second, check)
				c.eventually(5*time.Second, "w0 has an owner after the failure", func() bool { return len(owningEntries(entries)) == 1 })
				c.eventually(5*time.Second, "the former owner has a new lease", entries[first].Leased)
			})
		})
	}
}

func TestIsolatedEntryStopsWithinItsLease(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		e := c.addEntry(ctx, group, "e0")
		c.eventually(5*time.Second, "e0 has a lease", e.Leased)
		c.isolate("e0")
		if took := c.eventually(time.Minute, "the lease of e0 has ended", func() bool { return !e.Leased() }); took > entryLease {
			c.t.Errorf("an isolated entry held its lease for %s, longer than the lease time", took)
		}
	})
}

func queueLimit(e *tracker.Tracker) int { return e.Table().Policy("toll-desk").QueueLimit }

func TestAcceptedConfigurationIsInForceAtEveryEntryAndNeverReverts(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		c.configure()
		var entries []*tracker.Tracker
		for i := range 5 {
			entries = append(entries, c.addEntry(ctx, group, fmt.Sprintf("e%d", i)))
		}
		c.eventually(5*time.Second, "leases", func() bool { return entries[4].Leased() && entries[0].Leased() })
		latest := make([]int, len(entries))
		check := func() {
			for i, e := range entries {
				if got := queueLimit(e); e.Leased() && got < latest[i] {
					c.t.Fatalf("entry %d went back to limit %d after it had %d in force", i, got, latest[i])
				}
				if e.Leased() {
					latest[i] = queueLimit(e)
				}
			}
		}
		for version := 1; version <= 12; version++ {
			if version%4 == 0 {
				old := c.leader()
				c.crash(old)
				c.awaitLeader()
				c.restart(old)
			}
			if version == 6 {
				c.isolate("e3")
			}
			if version == 10 {
				c.heal("e3")
			}
			document := modeler.Document{
				Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Version: uint64(version),
				Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, version+1)),
			}
			var answer messenger.ApplyAnswer
			c.mustCall(messenger.MethodApply, messenger.ApplyCall{
				ChangeID: fmt.Sprint(version), Documents: []modeler.Document{document},
			}, &answer)
			accepted := time.Now()
			inForce := func() bool {
				for _, e := range entries {
					if e.Leased() && queueLimit(e) != version+1 {
						return false
					}
				}
				return true
			}
			for !inForce() {
				check()
				if time.Since(accepted) > 2*time.Second {
					c.t.Fatalf("version %d is not in force at every live entry 2 s after it was accepted", version)
				}
				time.Sleep(5 * time.Millisecond)
			}
			checkThroughout(200*time.Millisecond, check)
		}
	})
}

func TestDeposedLeaderReturnsNoStaleAnswer(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.configure()
		// The patience that a new leader asks for has ended by then, so that another one is
		// elected before this one steps down.
		time.Sleep(2 * time.Second)
		old := c.leader()
		c.setPartitioned(old.id, true)
		accepted := make(chan struct{})
		go func() {
			defer close(accepted)
			for c.leader() == nil || c.leader() == old {
				time.Sleep(time.Millisecond)
			}
			c.mustCall(messenger.MethodApply, messenger.ApplyCall{ChangeID: "next", Documents: []modeler.Document{{
				Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Version: 1, Spec: json.RawMessage(`{"queueLimit":2}`),
			}}}, nil)
		}()
		for {
			began := time.Now()
			var answer messenger.DocumentsAnswer
			call := messenger.DocumentsCall{Kind: modeler.DocumentPolicy, Schema: 2}
			err := c.callMember(old, "operator", messenger.MethodGetDocuments, call, &answer)
			select {
			case <-accepted:
				// The change was accepted before or during this call.
				if err == nil && answer.Documents[0].Version == 1 && time.Since(began) < time.Second {
					c.t.Fatal("a deposed leader answered with a configuration that has been replaced")
				}
				c.setPartitioned(old.id, false)
				return
			default:
				time.Sleep(time.Millisecond)
			}
		}
	})
}

func TestConcurrentChangesAcceptOneAndRetryIsIdempotent(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.configure()
		change := func(operator string, limit int) messenger.ApplyCall {
			return messenger.ApplyCall{Actor: operator, ChangeID: operator, Documents: []modeler.Document{{
				Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Version: 1,
				Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, limit)),
			}}}
		}
		results := make(chan error, 2)
		for i, operator := range []string{"aroha", "siti"} {
			go func() { results <- c.call(operator, messenger.MethodApply, change(operator, 10+i), nil) }()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			c.t.Fatalf("two changes with equal versions returned %v and %v, want one success", first, second)
		}
		loser := errors.Join(first, second)
		var refusal *modeler.RefusalError
		if !errors.As(loser, &refusal) || refusal.Code != modeler.CodeConflict {
			c.t.Fatalf("the losing change returned %v, want a conflict", loser)
		}
		// The winner repeats its change, as if the answer was lost, under a new leader.
		winner := "aroha"
		if first != nil && second == nil || c.limitInForce() == 11 {
			winner = map[int]string{10: "aroha", 11: "siti"}[c.limitInForce()]
		}
		c.crash(c.leader())
		c.awaitLeader()
		var again messenger.ApplyAnswer
		c.mustCall(messenger.MethodApply, change(winner, c.limitInForce()), &again)
		if again.Versions[0] != 2 {
			c.t.Errorf("the repeated change returned version %d, want 2", again.Versions[0])
		}
		if err := c.call("test", messenger.MethodApply, change(winner, 99), nil); err == nil {
			c.t.Error("another change with the same change id was accepted")
		}
	})
}

func (c *cell) limitInForce() int {
	c.t.Helper()
	var answer messenger.DocumentsAnswer
	c.mustCall(messenger.MethodGetDocuments, messenger.DocumentsCall{Kind: modeler.DocumentPolicy, Schema: 2}, &answer)
	var spec modeler.PolicySpec
	if err := json.Unmarshal(answer.Documents[0].Spec, &spec); err != nil {
		c.t.Fatal(err)
	}
	return spec.QueueLimit
}

func TestNoEntrySendsToBackendServerTwoSecondsAfterItLeft(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		w := c.addWorker(ctx, group, "w0", ignoreTask)
		entries := map[string]*tracker.Tracker{}
		for i := range 4 {
			entries[fmt.Sprint("e", i)] = c.addEntry(ctx, group, fmt.Sprint("e", i))
		}
		serves := func() bool {
			for _, e := range entries {
				if e.Leased() && e.Table().Backends["w0"].Serving {
					return true
				}
			}
			return false
		}
		c.eventually(5*time.Second, "an entry sees w0 serving", serves)
		// The entry e2 misses the change, because it is isolated just before.
		c.isolate("e2")
		c.mustCall(messenger.MethodLeaveWorker, struct {
			Worker  string `json:"worker"`
			Session uint64 `json:"session"`
		}{"w0", w.currentSession()}, nil)
		if took := c.eventually(time.Minute, "no entry sends to w0", func() bool { return !serves() }); took > 2*time.Second {
			c.t.Errorf("an entry could send to the backend server for %s after it left, want at most 2 s", took)
		}
	})
}

func TestFullDiskRefusesChangesAndKeepsLeases(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		c.configure()
		c.addWorker(ctx, group, "w0", ignoreTask)
		e := c.addEntry(ctx, group, "e0")
		c.eventually(5*time.Second, "e0 has a lease", e.Leased)
		for _, m := range c.members {
			m.disk.SetFree(100)
		}
		time.Sleep(2 * time.Second)
		err := c.call("test", messenger.MethodApply, messenger.ApplyCall{ChangeID: "full", Documents: []modeler.Document{
			{Schema: 2, Kind: modeler.DocumentPool, Name: "other", Spec: json.RawMessage(`{}`)},
		}}, nil)
		var refusal *modeler.RefusalError
		if !errors.As(err, &refusal) || refusal.Code != modeler.CodeUnavailable {
			c.t.Errorf("a change on a full disk returned %v, want %s", err, modeler.CodeUnavailable)
		}
		checkThroughout(4*time.Second, func() {
			if !e.Leased() {
				c.t.Fatal("the entry lost its lease while the disks were full")
			}
		})
		for _, m := range c.members {
			m.disk.SetFree(1 << 40)
		}
		time.Sleep(2 * time.Second)
		c.submit("job", 1, 1, false)
	})
}

func TestProcessesCatchUpAfterMissingHundredsOfChanges(t *testing.T) {
	runInCell(t, func(ctx context.Context, c *cell, group *runner.Group) {
		c.configure()
		e := c.addEntry(ctx, group, "e0")
		c.eventually(5*time.Second, "e0 has a lease", e.Leased)
		var lagging *member
		for _, m := range c.members {
			if m != c.leader() {
				lagging = m
			}
		}
		c.crash(lagging)
		c.isolate("e0")
		for version := range 400 {
			c.mustCall(messenger.MethodApply, messenger.ApplyCall{ChangeID: fmt.Sprint("c", version), Documents: []modeler.Document{{
				Schema: 2, Kind: modeler.DocumentPolicy, Name: "toll-desk", Version: uint64(version + 1),
				Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, version+2)),
			}}}, nil)
		}
		c.heal("e0")
		c.eventually(5*time.Second, "the entry has the last change", func() bool { return e.Leased() && queueLimit(e) == 401 })
		c.restart(lagging)
		revision := func(m *member) uint64 { return m.running().coordinator.State().Revision }
		c.eventually(10*time.Second, "the member has the last change", func() bool { return revision(lagging) >= revision(c.leader()) })
	})
}

func TestRequestThatIsNotRepeatableIsRecordedOnceAcrossLeaderChange(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		record := func(attempt string) messenger.RecordAnswer {
			var answer messenger.RecordAnswer
			c.mustCall(messenger.MethodRecordRequest, messenger.RecordCall{Request: modeler.RequestRecord{
				Key: fmt.Sprintf("%d-abcdefgh", time.Now().Truncate(time.Hour).Unix()), Department: "seri-loceng",
				Service: "toll-desk", Digest: "d", Attempt: attempt,
			}}, &answer)
			return answer
		}
		if !record("first").New {
			c.t.Fatal("the first record of a request is not reported as new")
		}
		// The entry repeats the call under the same attempt, as if the answer was lost.
		if !record("first").New {
			c.t.Error("the repeated call of the entry that recorded the request is not reported as new")
		}
		c.crash(c.leader())
		c.awaitLeader()
		if record("second").New {
			c.t.Error("under a new leader, the request of a second entry is reported as new")
		}
	})
}

// TestLeaderWhoseLeaseLapsesForAMomentAnswers guards against a leader that answers its
// callers with an unknown outcome while it is late, so that they call again at once.
func TestLeaderWhoseLeaseLapsesForAMomentAnswers(t *testing.T) {
	tests := map[string]struct {
		method string
		// answer has to be in the answer.
		answer string
	}{
		"to a read":                   {method: messenger.MethodMembers, answer: `"id":"m0"`},
		"to the question if it leads": {method: messenger.MethodLocate, answer: `"leads":true`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
				c.awaitLeader()
				leader := c.leader()
				c.setPartitioned(leader.id, true)
				for leader.running().coordinator.ConfirmLeadership() {
					time.Sleep(time.Millisecond)
				}
				time.AfterFunc(50*time.Millisecond, func() { c.setPartitioned(leader.id, false) })
				var answer json.RawMessage
				err := c.callMember(leader, "entry", tt.method, struct{}{}, &answer)
				if err != nil || !strings.Contains(string(answer), tt.answer) {
					t.Errorf("got %s (%v), want an answer with %s", answer, err, tt.answer)
				}
			})
		})
	}
}

func TestLeaderThatIsReplacedWhileItsAnswerWaitsRefuses(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.awaitLeader()
		leader := c.leader()
		c.setPartitioned(leader.id, true)
		for leader.running().coordinator.ConfirmLeadership() {
			time.Sleep(time.Millisecond)
		}
		err := c.callMember(leader, "entry", messenger.MethodMembers, struct{}{}, nil)
		var refusal *modeler.RefusalError
		if !errors.As(err, &refusal) || refusal.Code != modeler.CodeUnknownOutcome {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	})
}
