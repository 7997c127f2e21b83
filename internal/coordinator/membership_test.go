package coordinator

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

func voter(id string) standing {
	return standing{Member: replicator.Member{ID: id, Address: id, Voter: true}, ready: true}
}

func learner(id string) standing {
	return standing{Member: replicator.Member{ID: id, Address: id}, ready: true}
}

func (s standing) silent(length time.Duration) standing {
	s.ready, s.silence = false, length
	return s
}

func (s standing) lostItsDisk() standing {
	s.ready, s.superseded = false, true
	return s
}

func TestTheMembershipIsRepairedOneByOne(t *testing.T) {
	t.Parallel()
	long := replaceAfter + time.Second
	tests := map[string]struct {
		before []standing
		wanted int
		// voters and members are those after the change; nil for no change.
		voters, members []string
	}{
		"nothing is wrong": {
			before: []standing{voter("a"), voter("b"), voter("c")}, wanted: 3,
		},
		"a voter is silent and none can take its place": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(long)}, wanted: 3,
		},
		"a newcomer has not caught up": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(long), learner("d").silent(0)}, wanted: 3,
		},
		"a newcomer takes the place of a silent voter before that one goes": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(long), learner("d")}, wanted: 3,
			voters: []string{"a", "b", "c", "d"}, members: []string{"a", "b", "c", "d"},
		},
		"the silent voter goes after that": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(long), voter("d")}, wanted: 3,
			voters: []string{"a", "b", "d"}, members: []string{"a", "b", "d"},
		},
		"a voter that is silent for a moment stays": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(time.Second), learner("d")}, wanted: 3,
		},
		"a voter that lost its disk is replaced at once": {
			before: []standing{voter("a"), voter("b"), voter("c").lostItsDisk(), learner("c2")}, wanted: 3,
			voters: []string{"a", "b", "c", "c2"}, members: []string{"a", "b", "c", "c2"},
		},
		"a learner stands by while the voters answer": {
			before: []standing{voter("a"), voter("b"), voter("c"), learner("d")}, wanted: 3,
		},
		"too few voters": {
			before: []standing{voter("a"), voter("b"), learner("c")}, wanted: 3,
			voters: []string{"a", "b", "c"}, members: []string{"a", "b", "c"},
		},
		"a learner that is gone for good": {
			before: []standing{voter("a"), voter("b"), voter("c"), learner("d").silent(forgetAfter + time.Second)}, wanted: 3,
			voters: []string{"a", "b", "c"}, members: []string{"a", "b", "c"},
		},
		"a learner that lost its disk": {
			before: []standing{voter("a"), voter("b"), voter("c"), learner("d").lostItsDisk(), learner("d2")}, wanted: 3,
			voters: []string{"a", "b", "c"}, members: []string{"a", "b", "c", "d2"},
		},
		"an operator's cell gives every newcomer a vote": {
			before: []standing{voter("a"), learner("b")}, wanted: 0,
			voters: []string{"a", "b"}, members: []string{"a", "b"},
		},
		"an operator's cell never removes a voter": {
			before: []standing{voter("a"), voter("b"), voter("c").silent(long)}, wanted: 0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next, reason := repaired(tt.before, tt.wanted)
			if (reason == "") != (tt.members == nil) {
				t.Fatalf("the change is %q to %v", reason, next)
			}
			var voters, members []string
			for _, m := range next {
				members = append(members, m.ID)
				if m.Voter {
					voters = append(voters, m.ID)
				}
			}
			if reason != "" && (!equal(voters, tt.voters) || !equal(members, tt.members)) {
				t.Errorf("voters %v of %v, want %v of %v", voters, members, tt.voters, tt.members)
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
