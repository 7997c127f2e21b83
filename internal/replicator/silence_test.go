package replicator

import (
	"testing"
	"time"
)

func TestANewMemberIsNotSilentSinceTheElection(t *testing.T) {
	t.Parallel()
	c := &Core{
		config:      Config{ID: "leader"},
		now:         time.Minute,
		elected:     time.Second,
		memberships: []membershipAt{{members: []Member{{ID: "leader", Voter: true}, {ID: "newcomer"}}}},
		peers:       map[string]*progress{},
	}
	c.syncPeers()
	if silence := c.Silence("newcomer"); silence != 0 {
		t.Errorf("silent for %v when it was added", silence)
	}
	c.now += time.Second
	if silence := c.Silence("newcomer"); silence != time.Second {
		t.Errorf("silent for %v a second after it was added", silence)
	}
}
