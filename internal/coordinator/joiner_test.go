package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRemovedMemberAsksToJoinAgain checks that a process that was taken for lost comes
// back as a spare member, although its own log still lists it.
func TestRemovedMemberAsksToJoinAgain(t *testing.T) {
	t.Parallel()
	const watched = 10 * time.Second
	tests := map[string]struct {
		isMember bool
		// contact is how long after the start the last contact to a leader was.
		contact time.Duration
		asks    bool
	}{
		"new process":                    {asks: true},
		"member that follows a leader":   {isMember: true, contact: watched},
		"member that was removed":        {isMember: true, contact: watched / 2, asks: true},
		"member during one election":     {isMember: true, contact: watched - askAfterSilence/2},
		"process that was added already": {contact: watched, asks: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), watched)
				defer cancel()
				asked, start := 0, time.Now()
				j := Joiner{
					IsMember:     func() bool { return tt.isMember },
					SinceContact: func() time.Duration { return max(0, time.Since(start)-tt.contact) },
					Ask:          func(context.Context) { asked++ },
				}
				if err := j.Run(ctx); err != nil || (asked > 0) != tt.asks {
					t.Errorf("asked %d times with error %v, want any: %t", asked, err, tt.asks)
				}
			})
		})
	}
}
