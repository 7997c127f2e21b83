package replicator_test

import (
	"testing"
	"time"
)

// TestSlowMemberIsNotSentTheSameEntriesAgain checks that a member whose answers are late
// is not sent what is on its way to it: it would have to read that too, and answer later.
func TestSlowMemberIsNotSentTheSameEntriesAgain(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// latency of all messages to the member, and for how long it is suspended once.
		latency, pause time.Duration
	}{
		"answers later than after the time-out of a heartbeat": {latency: 7 * electionTimeout / 10},
		"answers within the time-out":                          {latency: electionTimeout / 10},
		"is suspended, and reads on where it was":              {pause: 2 * electionTimeout},
		"is suspended and slow":                                {latency: electionTimeout / 2, pause: electionTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, 5, 3)
			c.lossPercent, c.ordered = 0, true
			leader := c.awaitLeader()
			slow := c.instances[0]
			if slow == leader {
				slow = c.instances[1]
			}
			c.run(time.Second)
			before := leader.core.Stats()
			c.extraLatency = map[string]time.Duration{slow.id: tt.latency}
			slow.pausedUntil = c.now + tt.pause
			for range 500 {
				c.propose()
				c.run(stepInterval)
			}
			c.run(2*tt.latency + time.Second)
			if stats := leader.core.Stats().Since(before); stats.RepeatedEntries > 0 || stats.Rejections > 0 {
				t.Errorf("on a network that loses nothing: %+v, want no repeated entries and no rejections", stats)
			}
			if slow.core.Commit() != leader.core.Commit() {
				t.Errorf("the commit index of the slow member is %d, want %d", slow.core.Commit(), leader.core.Commit())
			}
		})
	}
}
