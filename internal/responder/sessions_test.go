package responder_test

import (
	"context"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
)

func TestAnyMemberAnswersAHeartbeatThatSaysNothingNew(t *testing.T) {
	inCell(t, func(_ context.Context, c *cell, _ *runner.Crew) {
		c.settle()
		session := modeler.Session{Worker: "w", Born: 7, Address: "w:1", Service: "planner", Labels: []string{"a"}}
		for _, m := range c.members {
			if m.running().responder.KnowsSession(session) {
				t.Fatalf("%s knows a worker that never spoke", m.id)
			}
		}
		c.must(messenger.MethodAnnounceSession, messenger.AnnounceSessionCall{Session: session}, nil)
		time.Sleep(time.Second)
		draining, reborn := session, session
		draining.Draining = true
		reborn.Born++
		for _, m := range c.members {
			r := m.running().responder
			if !r.KnowsSession(session) || r.KnowsSession(draining) || r.KnowsSession(reborn) {
				t.Errorf("%s knows the session %v, its draining %v, its next life %v",
					m.id, r.KnowsSession(session), r.KnowsSession(draining), r.KnowsSession(reborn))
			}
		}
	})
}
