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

// TestLateAppendMakesNoMemberCurrent guards against a member that lags behind and takes itself for
// current, and answers reads, after an append that later ones have overtaken.
func TestLateAppendMakesNoMemberCurrent(t *testing.T) {
	t.Parallel()
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	c := New(Config{ID: "a", ElectionTimeout: time.Second, HeartbeatInterval: time.Second / 10},
		RestoredState{Snapshot: Snapshot{Members: members}}, 0)
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}
	first := Message{Kind: MessageAppend, From: "b", Term: 1, Entries: entries[:1], Commit: 1, ReplySentAt: time.Second}
	c.Step(2*time.Second, first)
	c.Ready()
	c.Advance()
	caughtUp := c.CurrentAsOf()
	if caughtUp != time.Second {
		t.Fatalf("a member that has applied all is current as of %v, want 1s", caughtUp)
	}
	c.Step(3*time.Second, Message{
		Kind: MessageAppend, From: "b", Term: 1, Index: 1, LogTerm: 1, Commit: 2, ReplySentAt: 2 * time.Second,
	})
	c.Step(4*time.Second, first)
	if got := c.CurrentAsOf(); got != caughtUp {
		t.Errorf("a member that lacks a committed entry is current as of %v, want %v", got, caughtUp)
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

func TestLastContactOfFormerLeaderCountsFromItsLastMessage(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	c := New(Config{ID: "a", ElectionTimeout: timeout, HeartbeatInterval: timeout / 10},
		RestoredState{Snapshot: Snapshot{Members: members}}, 0)
	c.Step(time.Minute, Message{Kind: MessageAppend, From: "b", Term: 1})
	elected := time.Minute + 3*timeout
	c.Tick(elected)
	c.Step(elected, Message{Kind: MessagePreVoteReply, From: "c", Term: 2})
	c.Step(elected, Message{Kind: MessageVoteReply, From: "c", Term: 2})
	if c.Role() != RoleLeader {
		t.Fatal("the member was not elected")
	}
	if since := c.SinceLastContact("b"); since != 0 {
		t.Errorf("time since last contact to the former leader is %v at the election, want 0", since)
	}
	c.Tick(elected + timeout)
	if since := c.SinceLastContact("b"); since != 4*timeout {
		t.Errorf("time since last contact to the former leader is %v, want %v", since, 4*timeout)
	}
	if since := c.SinceLastContact("c"); since != timeout {
		t.Errorf("time since last contact to the voter is %v, want %v", since, timeout)
	}
}
