package caller

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// TestSearchesWithoutResultAreLogged checks that a missing quorum can be told from a
// process that knows no member.
func TestSearchesWithoutResultAreLogged(t *testing.T) {
	t.Parallel()
	member := messenger.LocateAnswer{Members: []replicator.Member{{ID: "m", Address: "a", Voter: true}}}
	gateway := messenger.LocateAnswer{Members: []replicator.Member{{Address: "a"}}}
	tests := map[string]struct {
		since      time.Duration
		reply      reply
		wantLogged bool
		wantResult string
		wantMember bool
	}{
		"during an election":  {since: reportAfter / 2, reply: reply{answer: member}},
		"no quorum":           {reportAfter, reply{answer: member}, true, resultDoesNotLead, true},
		"a joining member":    {reportAfter, reply{}, true, resultIsNoMember, false},
		"a gateway":           {reportAfter, reply{answer: gateway}, true, resultIsNoMember, false},
		"a refusal":           {reportAfter, reply{err: modeler.Refuse(modeler.CodeOverloaded, "", "")}, true, resultRefused, false},
		"an address is gone":  {reportAfter, reply{err: transporter.ErrNotSent}, true, resultNotConnected, false},
		"no answer":           {reportAfter, reply{err: transporter.ErrOutcomeUnknown}, true, resultNoAnswer, false},
		"the leader is found": {since: reportAfter, reply: reply{answer: messenger.LocateAnswer{IsLeader: true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zapcore.WarnLevel)
			c := New(nil, nil, zap.New(core))
			c.lastFound = time.Now().Add(-tt.since)
			leader := ""
			if tt.reply.answer.IsLeader {
				leader = "seed"
			}
			tt.reply.address = "seed"
			// The second search is over too soon for another line.
			c.reportSearch(leader, []reply{tt.reply})
			c.reportSearch(leader, []reply{tt.reply})
			if !tt.wantLogged {
				if logs.Len() > 0 {
					t.Errorf("logged %v, want nothing", logs.All())
				}
				return
			}
			if logs.Len() != 1 {
				t.Fatalf("logged %d lines, want 1", logs.Len())
			}
			fields := logs.All()[0].ContextMap()
			results, _ := fields["addresses"].(map[string]string)
			if results["seed"] != tt.wantResult || fields["memberAnswered"] != tt.wantMember {
				t.Errorf("logged %v, want the result %q, and %t for a member", fields, tt.wantResult, tt.wantMember)
			}
		})
	}
}
