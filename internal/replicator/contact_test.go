package replicator

import (
	"testing"
	"time"
)

func TestLastContactOfNewMemberCountsFromAddition(t *testing.T) {
	t.Parallel()
	c := &Core{
		config:      Config{ID: "leader"},
		now:         time.Minute,
		electedAt:   time.Second,
		memberships: []membershipAt{{members: []Member{{ID: "leader", Voter: true}, {ID: "newcomer"}}}},
		peers:       map[string]*progress{},
	}
	c.updatePeers()
	if sinceContact := c.SinceLastContact("newcomer"); sinceContact != 0 {
		t.Errorf("time since last contact is %v when the member is added, want 0", sinceContact)
	}
	c.now += time.Second
	if sinceContact := c.SinceLastContact("newcomer"); sinceContact != time.Second {
		t.Errorf("time since last contact is %v one second after the member was added, want 1s", sinceContact)
	}
}

func TestMemberThatLedHasHadContactUntilThen(t *testing.T) {
	t.Parallel()
	c := New(Config{ID: "a", ElectionTimeout: time.Second, HeartbeatInterval: time.Second / 10},
		RestoredState{Snapshot: Snapshot{Members: []Member{{ID: "a", Voter: true}}}}, 0)
	c.Tick(time.Minute)
	if c.Role() != RoleLeader {
		t.Fatal("the only voter does not lead")
	}
	c.Tick(2 * time.Minute)
	c.becomeFollower(c.Term(), "")
	c.Tick(2*time.Minute + time.Second/2)
	if since := c.SinceLeaderContact(); since != time.Second/2 {
		t.Errorf("a member that led until 0.5 s ago had contact to a leader %v ago", since)
	}
}
