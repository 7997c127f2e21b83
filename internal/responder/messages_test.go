package responder_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// TestMessageThatNoMemberCanHaveSentIsRefused guards against a member that fails on a
// message, or is left in a term that no other can follow.
func TestMessageThatNoMemberCanHaveSentIsRefused(t *testing.T) {
	entries := func(indexes ...uint64) []replicator.Entry {
		var list []replicator.Entry
		for _, index := range indexes {
			list = append(list, replicator.Entry{Index: index, Term: 1})
		}
		return list
	}
	tests := map[string]replicator.Message{
		"snapshot that is missing": {Kind: replicator.MessageSnapshot, Term: 1000},
		"term too large":           {Kind: replicator.MessageAppend, Term: math.MaxUint64},
		"entries with a gap":       {Kind: replicator.MessageAppend, Term: 1000, Entries: entries(1, 1<<40)},
		"entries before the index": {Kind: replicator.MessageAppend, Term: 1000, Index: 1, LogTerm: 1, Entries: entries(1)},
		"entry of a later term":    {Kind: replicator.MessageAppend, Entries: entries(1)},
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
				c.awaitLeader()
				for _, m := range c.members {
					message.From, message.To = "m0", m.id
					batch := messenger.RaftBatch{Cell: "cell", Messages: []replicator.Message{message}}
					var refusal *modeler.RefusalError
					err := c.callMember(m, "m0", messenger.MethodRaft, batch, nil)
					if !errors.As(err, &refusal) || refusal.Code != modeler.CodeInvalid {
						t.Errorf("%s answered with %v, want a refusal as invalid", m.id, err)
					}
				}
				time.Sleep(time.Second)
				c.awaitLeader()
			})
		})
	}
}
