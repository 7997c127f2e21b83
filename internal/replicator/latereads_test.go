package replicator_test

import (
	"testing"
	"time"
)

// TestFollowersOfLateLeaderGoOnAnswering guards against followers that leave all reads to a
// leader because it is late, which makes it later.
func TestFollowersOfLateLeaderGoOnAnswering(t *testing.T) {
	t.Parallel()
	const (
		turn, turns, warmUpTurns = 3 * stepInterval, 20, 3
		// The answers to what the leader sends arrive while it is late.
		latencyToLeader = 6 * stepInterval
		roundTrip       = latencyToLeader + stepInterval
	)
	tests := map[string]struct {
		size  int
		delay time.Duration
	}{
		"three members, late by 0.3 s": {3, 300 * time.Millisecond},
		"three members, late by 0.4 s": {3, 400 * time.Millisecond},
		"three members, late by 0.5 s": {3, 500 * time.Millisecond},
		"five members, late by 0.4 s":  {5, 400 * time.Millisecond},
		"five members, late by 0.5 s":  {5, 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// What the leader hears in one turn, a follower goes by until after the next one.
			maxAge := 2*(turn+tt.delay) + roundTrip
			for _, seed := range seeds(t, 5) {
				c := newCell(t, seed, tt.size)
				c.lossPercent = 0
				c.ordered = true
				leader := c.awaitLeader()
				c.run(2 * electionTimeout)
				c.extraLatency = map[string]time.Duration{leader.id: latencyToLeader - stepInterval}
				r := startReaders(c)
				r.maxAge = maxAge
				for i := range turns {
					if i == warmUpTurns {
						c.onStep = func() {
							r.read()
							r.checkAges(leader)
						}
					}
					leader.core.RecordDelay(tt.delay)
					for range turn / stepInterval {
						c.run(stepInterval)
						c.propose()
					}
					leader.pausedUntil = c.now + tt.delay
					c.run(tt.delay)
				}
			}
		})
	}
}

// checkAges checks that the state of no follower of the leader is older than the readers accept.
func (r *readers) checkAges(leader *instance) {
	r.cell.t.Helper()
	for _, n := range r.cell.instances {
		if age := r.cell.now - n.simulatedTime(n.core.CurrentAsOf()); n != leader && age > r.maxAge {
			r.cell.t.Fatalf("at %s member %s takes its state for %s old, want at most %s", r.cell.now, n.id, age, r.maxAge)
		}
	}
}
