package replicator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

func TestLeadershipTransferElectsAnotherMember(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 20) {
		c := newCell(t, seed, 3)
		c.lossPercent = 0
		c.run(5 * time.Second)
		before := c.leader()
		c.propose()
		c.run(200 * time.Millisecond)
		if !before.core.TransferLeadership() {
			t.Fatalf("seed %d: no member is eligible for the leadership transfer", seed)
		}
		if before.core.LeaseUntil() != 0 {
			t.Fatalf("seed %d: the leader still holds a lease after it began the transfer", seed)
		}
		c.handleReady(before)
		c.run(electionTimeout * 8 / 10)
		after := c.leader()
		if after == nil || after == before {
			t.Fatalf("seed %d: no other member leads within 0.8 election timeouts of the transfer", seed)
		}
	}
}

func TestLeaderStepsDownAfterFailedTransfer(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, 3)
	c.lossPercent = 0
	c.run(5 * time.Second)
	before := c.leader()
	term := before.core.Term()
	if !before.core.TransferLeadership() {
		t.Fatal("no member is eligible for the leadership transfer")
	}
	// The message of the transfer is dropped.
	before.core.Ready()
	if _, err := before.core.Propose(nil); !errors.Is(err, replicator.ErrNotLeader) {
		t.Errorf("proposal during the transfer: got error %v, want ErrNotLeader", err)
	}
	c.run(electionTimeout)
	if before.core.Role() == replicator.RoleLeader && before.core.Term() == term {
		t.Error("the leader did not step down after the failed transfer")
	}
	c.healAndVerify()
}

func TestAtMostOneLeaseDuringLeadershipTransfers(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 100) {
		c := newCell(t, seed, 3)
		for range 60 {
			c.run(time.Duration(50+c.random.IntN(300)) * time.Millisecond)
			c.propose()
			if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
				leader.core.TransferLeadership()
				c.handleReady(leader)
			}
			if c.random.IntN(3) == 0 {
				c.injectFailure()
			}
		}
		c.healAndVerify()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func TestBusyLeaderTransfersItsLeadership(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 20) {
		c := newCell(t, seed, 3)
		c.lossPercent = 0
		c.run(5 * time.Second)
		before := c.leader()
		c.propose()
		// No other member holds the last entry yet.
		if !before.core.TransferLeadership() {
			t.Fatalf("seed %d: the leader does not transfer its leadership", seed)
		}
		c.handleReady(before)
		if _, err := before.core.Propose(nil); !errors.Is(err, replicator.ErrNotLeader) {
			t.Errorf("seed %d: proposal during the transfer: got error %v, want ErrNotLeader", seed, err)
		}
		c.run(electionTimeout * 8 / 10)
		if after := c.leader(); after == nil || after == before {
			t.Fatalf("seed %d: no other member leads within 0.8 election timeouts of the transfer", seed)
		}
	}
}
