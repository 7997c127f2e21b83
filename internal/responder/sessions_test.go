package responder_test

import (
	"context"
	"errors"
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

// TestFollowerConfirmsHeartbeatWithoutChanges checks that a call with a heartbeat is
// carried out by a follower if it announces nothing new, and refused there otherwise.
func TestFollowerConfirmsHeartbeatWithoutChanges(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.awaitLeader()
		session := modeler.Session{Worker: "w", StartedAtMillis: 7, Address: "w:1", Service: "planner"}
		c.mustCall(messenger.MethodAnnounceSession, messenger.AnnounceSessionCall{Session: session}, nil)
		time.Sleep(time.Second)
		draining := session
		draining.Draining = true
		leader := c.leader()
		for _, m := range c.members {
			if m == leader {
				continue
			}
			call := messenger.AnnounceSessionCall{Session: session}
			if err := c.callMember(m, "gateway", messenger.MethodAnnounceSession, call, nil); err != nil {
				t.Errorf("%s refused a heartbeat without changes: %v", m.id, err)
			}
			call.Session = draining
			var refusal *modeler.RefusalError
			err := c.callMember(m, "gateway", messenger.MethodAnnounceSession, call, nil)
			if !errors.As(err, &refusal) || refusal.Code != modeler.CodeNotLeader {
				t.Errorf("%s answered a heartbeat of a worker that drains with %v, want a refusal as it does not lead", m.id, err)
			}
		}
	})
}

// TestMemberMayAskToJoinTwiceAtOnce checks that neither call is refused: a member
// repeats its call while the answer to the first one is on its way.
func TestMemberMayAskToJoinTwiceAtOnce(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.awaitLeader()
		// The new member does not run in this cell.
		c.isolate("m3")
		results := make(chan error, 2)
		for range 2 {
			go func() {
				results <- c.call("new member", messenger.MethodJoin, messenger.JoinCall{ID: "m3", Address: "m3:1"}, nil)
			}()
		}
		for range 2 {
			if err := <-results; err != nil {
				t.Errorf("a call to join was refused: %v", err)
			}
		}
	})
}

// TestMemberWithoutAddressDoesNotJoin checks that no member is replicated that no other
// could ever reach.
func TestMemberWithoutAddressDoesNotJoin(t *testing.T) {
	tests := map[string]messenger.JoinCall{
		"no address":             {ID: "m3"},
		"no port":                {ID: "m3", Address: "10.0.0.4"},
		"port out of range":      {ID: "m3", Address: "10.0.0.4:99999999"},
		"address with spaces":    {ID: "m3", Address: "nowhere at all:80"},
		"ID with a line break":   {ID: "m3\n", Address: "10.0.0.4:80"},
		"address without a host": {ID: "m3", Address: ":80"},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
				c.awaitLeader()
				// The new member does not run in this cell.
				c.isolate("m3")
				c.isolate("m3\n")
				for _, method := range []string{messenger.MethodJoin, messenger.MethodAddMember} {
					var refusal *modeler.RefusalError
					if err := c.call("new member", method, call, nil); !errors.As(err, &refusal) || refusal.Code != modeler.CodeInvalid {
						t.Errorf("%s: call is answered with %v, want a refusal as invalid", method, err)
					}
				}
			})
		})
	}
}
