package replicator_test

import (
	"fmt"
	"testing"
	"time"
)

// TestTimesOfFormerLifeMakeNoStateCurrent guards against a member whose clock has started
// anew, and which takes a time that its leader repeats from its former life for one of this.
func TestTimesOfFormerLifeMakeNoStateCurrent(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, seed, 5)
			c.lossPercent = 0
			c.ordered = true
			leader := c.awaitLeader()
			c.run(time.Second)
			follower := c.instances[0]
			if follower == leader {
				follower = c.instances[1]
			}
			for _, n := range c.instances {
				if n == leader || n == follower {
					continue
				}
				for _, cut := range []*instance{leader, follower} {
					c.blocked[[2]string{n.id, cut.id}] = true
					c.blocked[[2]string{cut.id, n.id}] = true
				}
			}
			startReaders(c)
			c.run(electionTimeout)
			c.reboot(follower, c.clock(follower)-4*electionTimeout/5)
			for range 300 {
				c.run(stepInterval)
				c.propose()
			}
		})
	}
}

// TestReadsNeverGoBackWhileClocksStartAnew guards against the same under drawn failures.
func TestReadsNeverGoBackWhileClocksStartAnew(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, seed, 5)
			r := startReaders(c)
			for range 60 {
				for range 1 + c.random.IntN(30) {
					c.run(stepInterval)
					c.propose()
				}
				c.injectFailure()
				if n := c.instances[c.random.IntN(len(c.instances))]; c.random.IntN(2) == 0 {
					c.reboot(n, time.Duration(c.random.Int64N(int64(time.Second))))
				}
			}
			c.healAndVerify()
			if r.byFollowers == 0 {
				t.Error("no follower has answered a read")
			}
		})
	}
}
