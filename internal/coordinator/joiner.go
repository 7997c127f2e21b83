package coordinator

import (
	"context"
	"time"
)

const (
	// joinInterval is the interval at which a process that may not be a member of the
	// cell asks to be added.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one call to join.
	joinTimeout = 2 * time.Second
	// askAfterSilence is the time without contact to a leader after which a member may
	// have been removed. A leader is replaced within it.
	askAfterSilence = 2 * time.Second
)

// Joiner asks control to add this process to the cell.
type Joiner struct {
	// IsMember reports whether the process is in the membership that it knows.
	IsMember func() bool
	// SinceContact returns the time since the process last had contact to a leader.
	SinceContact func() time.Duration
	// Ask asks the leader to add the process, and logs the answer. The leader does nothing
	// if it is a member.
	Ask func(ctx context.Context)
}

// Run asks whenever the process is not a member, or may have been removed: a removed
// member is sent nothing any more, so that it does not learn of its removal.
func (j Joiner) Run(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if j.IsMember() && j.SinceContact() < askAfterSilence {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		j.Ask(joinCtx)
		cancel()
	}
}
