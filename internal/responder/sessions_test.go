package responder_test

import (
	"context"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
)

func TestAnyMemberAnswersHeartbeatWithoutChanges(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.awaitLeader()
		session := modeler.Session{Worker: "w", StartedAtMillis: 7, Address: "w:1", Service: "planner", Labels: []string{"a"}}
		for _, m := range c.members {
			if m.running().responder.KnowsSession(session) {
				t.Fatalf("%s knows a session that was never announced", m.id)
			}
		}
		c.mustCall(messenger.MethodAnnounceSession, messenger.AnnounceSessionCall{Session: session}, nil)
		time.Sleep(time.Second)
		draining, restarted := session, session
		draining.Draining = true
		restarted.StartedAtMillis++
		for _, m := range c.members {
			r := m.running().responder
			if !r.KnowsSession(session) || r.KnowsSession(draining) || r.KnowsSession(restarted) {
				t.Errorf("%s: session known %v, its draining known %v, its restart known %v; want only the first",
					m.id, r.KnowsSession(session), r.KnowsSession(draining), r.KnowsSession(restarted))
			}
		}
	})
}
