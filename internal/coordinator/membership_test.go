package coordinator

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

func voter(id string) memberHealth {
	return memberHealth{Member: replicator.Member{ID: id, Address: id, Voter: true}, ready: true}
}

func learner(id string) memberHealth {
	return memberHealth{Member: replicator.Member{ID: id, Address: id}, ready: true}
}

func (s memberHealth) withoutContact(length time.Duration) memberHealth {
	s.ready, s.sinceLastContact = false, length
	return s
}

func (s memberHealth) withLostDisk() memberHealth {
	s.ready, s.superseded = false, true
	return s
}

func (s memberHealth) thatStops() memberHealth {
	s.leaving = true
	return s
}

func TestMembershipRepairChangesOneMemberAtATime(t *testing.T) {
	t.Parallel()
	long := replaceVoterAfter + time.Second
	tests := map[string]struct {
		before       []memberHealth
		wantedVoters int
		// voters and members are the IDs after the change; nil for no change.
		voters, members []string
	}{
		"all voters answer": {
			before: []memberHealth{voter("a"), voter("b"), voter("c")}, wantedVoters: 3,
		},
		"a voter does not answer and there is no learner": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(long)}, wantedVoters: 3,
		},
		"a voter does not answer and the learner has not caught up": {
			before:       []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(long), learner("d").withoutContact(0)},
			wantedVoters: 3,
		},
		"a learner becomes a voter before the lost voter is removed": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(long), learner("d")}, wantedVoters: 3,
			voters: []string{"a", "b", "c", "d"}, members: []string{"a", "b", "c", "d"},
		},
		"the lost voter is removed after its replacement became a voter": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(long), voter("d")}, wantedVoters: 3,
			voters: []string{"a", "b", "d"}, members: []string{"a", "b", "d"},
		},
		"a voter that does not answer for a short time stays": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(time.Second), learner("d")}, wantedVoters: 3,
		},
		"a voter that lost its disk is removed without delay before its replacement becomes a voter": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withLostDisk(), learner("c2")}, wantedVoters: 3,
			voters: []string{"a", "b"}, members: []string{"a", "b", "c2"},
		},
		"a voter that lost its disk stays while its replacement has not caught up": {
			before:       []memberHealth{voter("a"), voter("b"), voter("c").withLostDisk(), learner("c2").withoutContact(0)},
			wantedVoters: 3,
		},
		"a learner becomes a voter after one that lost its disk was removed": {
			before: []memberHealth{voter("a"), voter("b"), learner("c2")}, wantedVoters: 3,
			voters: []string{"a", "b", "c2"}, members: []string{"a", "b", "c2"},
		},
		"a voter that lost its disk is removed before one that does not answer": {
			before: []memberHealth{
				voter("a"), voter("b").withLostDisk(), voter("c").withoutContact(long), voter("b2"),
			},
			wantedVoters: 3,
			voters:       []string{"a", "c", "b2"}, members: []string{"a", "c", "b2"},
		},
		"the voter that has not answered for longest is removed": {
			before: []memberHealth{
				voter("a"), voter("b").withoutContact(2 * long), voter("c").withoutContact(long), voter("d"),
			},
			wantedVoters: 3,
			voters:       []string{"a", "c", "d"}, members: []string{"a", "c", "d"},
		},
		"a voter that does not answer is removed before one that stops": {
			before: []memberHealth{
				voter("a"), voter("b").withoutContact(long), voter("c").thatStops(), voter("d"),
			},
			wantedVoters: 3,
			voters:       []string{"a", "c", "d"}, members: []string{"a", "c", "d"},
		},
		"a learner becomes a voter before a voter stops": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").thatStops(), learner("d")}, wantedVoters: 3,
			voters: []string{"a", "b", "c", "d"}, members: []string{"a", "b", "c", "d"},
		},
		"a voter that stops becomes a learner after its replacement became a voter": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").thatStops(), voter("d")}, wantedVoters: 3,
			voters: []string{"a", "b", "d"}, members: []string{"a", "b", "c", "d"},
		},
		"a voter that stops stays without a learner": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").thatStops()}, wantedVoters: 3,
		},
		"a learner that stops does not become a voter": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").thatStops(), learner("d").thatStops()}, wantedVoters: 3,
		},
		"a voter that stops and lost its disk is removed": {
			before:       []memberHealth{voter("a"), voter("b"), voter("c").thatStops().withLostDisk(), voter("d")},
			wantedVoters: 3,
			voters:       []string{"a", "b", "d"}, members: []string{"a", "b", "d"},
		},
		"a learner stays a learner while all voters answer": {
			before: []memberHealth{voter("a"), voter("b"), voter("c"), learner("d")}, wantedVoters: 3,
		},
		"a learner becomes a voter if there are too few": {
			before: []memberHealth{voter("a"), voter("b"), learner("c")}, wantedVoters: 3,
			voters: []string{"a", "b", "c"}, members: []string{"a", "b", "c"},
		},
		"a learner that does not answer for long is removed": {
			before: []memberHealth{
				voter("a"), voter("b"), voter("c"),
				learner("d").withoutContact(removeLearnerAfter + time.Second),
			},
			wantedVoters: 3,
			voters:       []string{"a", "b", "c"}, members: []string{"a", "b", "c"},
		},
		"a learner that lost its disk is removed": {
			before: []memberHealth{voter("a"), voter("b"), voter("c"), learner("d").withLostDisk(), learner("d2")}, wantedVoters: 3,
			voters: []string{"a", "b", "c"}, members: []string{"a", "b", "c", "d2"},
		},
		"without a wanted number every learner becomes a voter": {
			before: []memberHealth{voter("a"), learner("b")}, wantedVoters: 0,
			voters: []string{"a", "b"}, members: []string{"a", "b"},
		},
		"without a wanted number no voter is removed": {
			before: []memberHealth{voter("a"), voter("b"), voter("c").withoutContact(long)}, wantedVoters: 0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next, reason := repairMembership(tt.before, tt.wantedVoters)
			if (reason == "") != (tt.members == nil) {
				t.Fatalf("change has reason %q and members %v", reason, next)
			}
			var voters, members []string
			for _, m := range next {
				members = append(members, m.ID)
				if m.Voter {
					voters = append(voters, m.ID)
				}
			}
			if reason != "" && (!equal(voters, tt.voters) || !equal(members, tt.members)) {
				t.Errorf("got voters %v of members %v, want voters %v of members %v", voters, members, tt.voters, tt.members)
			}
		})
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// TestVoterThatAnswersIsNotSuperseded checks that a member which names the address of
// another one takes no vote from it while it answers.
func TestVoterThatAnswersIsNotSuperseded(t *testing.T) {
	t.Parallel()
	const timeout = 300 * time.Millisecond
	tests := map[string]struct {
		laterAddress string
		silence      time.Duration
		want         bool
	}{
		"another address":                       {laterAddress: "b", silence: time.Second},
		"its address, while it answers":         {laterAddress: "a", silence: timeout},
		"its address, and it does not answer":   {laterAddress: "a", silence: timeout + 1, want: true},
		"its address, and it leads the members": {laterAddress: "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			later := []replicator.Member{{ID: "later", Address: tt.laterAddress}}
			if got := isSuperseded(replicator.Member{ID: "m", Address: "a", Voter: true}, later, tt.silence, timeout); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestLearnerThatLacksLargeEntriesGetsNoVote checks that a cell that has lost a voter does
// not come to depend on a member that has much to read.
func TestLearnerThatLacksLargeEntriesGetsNoVote(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		missing uint64
		size    int
		want    bool
	}{
		"it has all entries":         {want: true},
		"it lacks few entries":       {missing: 100, size: 20_000, want: true},
		"it lacks many entries":      {missing: 101, size: 20_000},
		"it lacks few large entries": {missing: 99, size: 36 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := hasCaughtUp(tt.missing, tt.size); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
