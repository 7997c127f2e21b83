package delegator

import (
	"testing"
	"time"
)

// TestDelegatedWorkersKeepTheirLeases guards against leases that end, and against polls without
// news that cost an exchange each.
func TestDelegatedWorkersKeepTheirLeases(t *testing.T) {
	runCell(t, 100, 4, 20, func(t *testing.T, c *cell) {
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
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			runCell(t, 60, 4, 10, func(_ *testing.T, c *cell) {
				for i := range 5 {
					used := c.usedEntries()
					lost := c.entries[used[i%len(used)]]
					lost.set(loss)
					time.Sleep(3*time.Second + time.Duration(i)*130*time.Millisecond)
					c.check(60)
					lost.set(fault{})
					time.Sleep(4 * time.Second)
					c.check(60)
				}
			})
		})
	}
}
