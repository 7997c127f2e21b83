package delegator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// TestDelegatedWorkersKeepTheirLeases guards against leases that end, and against polls without
// news that cost an exchange each.
func TestDelegatedWorkersKeepTheirLeases(t *testing.T) {
	runCell(t, 100, 20, func(t *testing.T, c *cell) {
		before := c.leader.Stats()
		time.Sleep(20 * time.Second)
		c.check(100)
		after := c.leader.Stats()
		polls, exchanges := after.Calls-before.Calls, after.Exchanges-before.Exchanges
		if after.Workers != 80 || after.Entries != 2 {
			t.Errorf("%d workers are delegated to %d entries, want 80 to 2", after.Workers, after.Entries)
		}
		if polls < 80*20 || exchanges > 2*20*12 {
			t.Errorf("%d polls in %d exchanges", polls, exchanges)
		}
		t.Logf("%d polls in %d exchanges", polls, exchanges)
	})
}

// TestLossOfAnEntryEndsNoLease guards against workers whose lease ends because the leader
// goes on waiting for an entry that is lost.
func TestLossOfAnEntryEndsNoLease(t *testing.T) {
	losses := map[string]fault{
		"its machine is gone":  {isGone: true},
		"frozen":               {isFrozen: true},
		"its answers are lost": {losesAnswers: true},
	}
	// With that many workers, polls are held for 1 s, which leaves the least of a lease.
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			runCell(t, 640, 560, func(_ *testing.T, c *cell) {
				for i := range 8 {
					used := c.usedEntries()
					if len(used) == 0 {
						c.t.Fatal("no entry has workers")
					}
					lost := c.entries[used[i%len(used)]]
					lost.set(loss)
					time.Sleep(3*time.Second + time.Duration(i)*130*time.Millisecond)
					c.check(640)
					lost.set(fault{})
					time.Sleep(4 * time.Second)
					c.check(640)
				}
			})
		})
	}
}

// TestEntryThatReachesNoWorkerLosesItsWorkers guards against workers that stay with an entry that
// answers the leader but does not reach them, and against tasks that two entries start.
func TestEntryThatReachesNoWorkerLosesItsWorkers(t *testing.T) {
	runCell(t, 60, 10, func(t *testing.T, c *cell) {
		severed := c.usedEntries()[0]
		c.entries[severed].set(fault{isSevered: true})
		time.Sleep(4 * time.Second)
		for _, used := range c.usedEntries() {
			if used == severed {
				t.Errorf("entry %s still has workers", severed)
			}
		}
		c.entries[severed].set(fault{})
		time.Sleep(4 * time.Second)
		c.check(60)
	})
}

// TestHalfAnsweredBatchIsSettled guards against starts that are sent again, or given up, because their
// results were lost while others of the same batch arrived.
func TestHalfAnsweredBatchIsSettled(t *testing.T) {
	runCell(t, 60, 10, func(_ *testing.T, c *cell) {
		for _, e := range c.entries {
			e.set(fault{losesResults: true})
		}
		for i := range 60 {
			c.start(fmt.Sprintf("second-%d", i), fmt.Sprintf("w%03d", i))
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range c.entries {
			e.set(fault{})
		}
		time.Sleep(5 * time.Second)
		c.check(120)
	})
}

// TestNewLeaderTakesOverDelegatedWorkers guards against leases that end because an entry goes on with
// the calls of the former leader.
func TestNewLeaderTakesOverDelegatedWorkers(t *testing.T) {
	runCell(t, 60, 10, func(_ *testing.T, c *cell) {
		for epoch := uint64(2); epoch < 6; epoch++ {
			time.Sleep(time.Duration(epoch) * 100 * time.Millisecond)
			former := c.stop
			c.lead(epoch, 10)
			time.Sleep(time.Second)
			former()
			time.Sleep(4 * time.Second)
			c.check(60)
		}
	})
}

// TestSessionOfRebornWorkerEndsAtOnce guards against a worker that started again at its address and
// has to wait for the end of a poll that an entry holds.
func TestSessionOfRebornWorkerEndsAtOnce(t *testing.T) {
	runCell(t, 60, 10, func(t *testing.T, c *cell) {
		w := c.workers["w059"]
		w.visit(func(time.Duration) {
			w.born, w.began, w.fence, w.deadline = 2, time.Now(), 0, 0
			clear(w.running)
			clear(w.fenced)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		if err := c.manager.AwaitEnd(ctx, modeler.SessionKey("w059", 1)); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		c.check(59)
	})
}

// TestOrdersAtALostEntryEndEarlyAndUnanswered guards against calls at a lost entry that use up the time
// of a lease, and against a start that counts as not sent, and is given to another worker, while
// the entry may have sent it.
func TestOrdersAtALostEntryEndEarlyAndUnanswered(t *testing.T) {
	runCell(t, 60, 10, func(t *testing.T, c *cell) {
		session, _ := c.snapshot().Sessions.Get(modeler.SessionKey("w059", 1))
		entry := c.leader.lineOf(session).address
		c.entries[entry].set(fault{losesAnswers: true})
		ctx, cancel := context.WithTimeout(t.Context(), 1700*time.Millisecond)
		defer cancel()
		began := time.Now()
		order := supervisor.StartOrder{Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: "w059"}, Number: 1}, Fence: 1}
		_, err := c.leader.Calls().Start(ctx, session, order)
		if err == nil || errors.Is(err, supervisor.ErrNotSent) {
			t.Errorf("the start that an entry has got ended with %v", err)
		}
		if after := time.Since(began); after > hold+exchangeGrace+100*time.Millisecond {
			t.Errorf("the start ended after %v", after)
		}
	})
}

// TestNoOrderLeavesWithoutConfirmedLeadership guards against orders of a leader that has been replaced.
func TestNoOrderLeavesWithoutConfirmedLeadership(t *testing.T) {
	runCell(t, 60, 10, func(t *testing.T, c *cell) {
		session, _ := c.snapshot().Sessions.Get(modeler.SessionKey("w059", 1))
		c.mutex.Lock()
		c.epoch = 2
		c.mutex.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		order := supervisor.StopOrder{Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: "w059"}, Number: 1}, Fence: 1}
		if err := c.leader.Calls().Stop(ctx, session, order); !errors.Is(err, supervisor.ErrNotSent) {
			t.Errorf("the stop ended with %v", err)
		}
		c.check(60)
	})
}

// TestNoDelegatedOrderLeavesAfterItsTime guards against an order of a leader that stood still: the
// time-out of its call goes on while the time until which it may be sent has passed.
func TestNoDelegatedOrderLeavesAfterItsTime(t *testing.T) {
	runCell(t, 60, 10, func(t *testing.T, c *cell) {
		session, _ := c.snapshot().Sessions.Get(modeler.SessionKey("w059", 1))
		ctx, cancel := context.WithTimeout(supervisor.WithSendBy(t.Context(), c.now()-time.Millisecond), 300*time.Millisecond)
		defer cancel()
		order := supervisor.StopOrder{Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: "w059"}, Number: 1}, Fence: 1}
		if err := c.leader.Calls().Stop(ctx, session, order); !errors.Is(err, supervisor.ErrNotSent) {
			t.Errorf("the stop ended with %v", err)
		}
		c.check(60)
	})
}
