package replicator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

func TestLeadershipIsHandedOverAtOnce(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 20) {
		c := newCell(t, seed, 3)
		c.loss = 0
		c.run(5 * time.Second)
		before := c.leader()
		c.propose()
		c.run(200 * time.Millisecond)
		if !before.core.Transfer() {
			t.Fatalf("seed %d: no member to hand over to", seed)
		}
		if before.core.LeaseUntil() != 0 {
			t.Fatalf("seed %d: the lease goes on", seed)
		}
		c.carryOut(before)
		c.run(electionTimeout * 8 / 10)
		after := c.leader()
		if after == nil || after == before {
			t.Fatalf("seed %d: no other member leads within an election timeout", seed)
		}
	}
}

func TestALeaderThatHandsOverInVainStepsDown(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, 3)
	c.loss = 0
	c.run(5 * time.Second)
	before := c.leader()
	term := before.core.Term()
	if !before.core.Transfer() {
		t.Fatal("no member to hand over to")
	}
	// The message to the other member is lost.
	before.core.Ready()
	if _, err := before.core.Propose(nil); !errors.Is(err, replicator.ErrNotLeader) {
		t.Errorf("a proposal led to %v", err)
	}
	c.run(electionTimeout)
	if before.core.Role() == replicator.RoleLeader && before.core.Term() == term {
		t.Error("it leads on in its term")
	}
	c.heal()
}

func TestNoLeaseIsHeldTwiceWhileLeadersHandOver(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 100) {
		c := newCell(t, seed, 3)
		for range 60 {
			c.run(time.Duration(50+c.random.IntN(300)) * time.Millisecond)
			c.propose()
			if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
				leader.core.Transfer()
				c.carryOut(leader)
			}
			if c.random.IntN(3) == 0 {
				c.disturb()
			}
		}
		c.heal()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
