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
