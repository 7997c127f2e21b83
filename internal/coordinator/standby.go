package coordinator

import (
	"context"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// diskProbeInterval is how often a disk that refused a write is probed.
const diskProbeInterval = 500 * time.Millisecond

func isDiskError(err error) bool {
	oopsError, ok := oops.AsOops(err)
	return ok && oopsError.Code() == journaler.CodeDisk
}

// waitForDisk waits until the disk accepts writes again, or until ctx is done.
// The state in memory may differ from the disk, so the member takes no part in
// the cell meanwhile, and has to restart afterwards. The parts of the process
// that need no disk continue to run while it waits.
func (c *Coordinator) waitForDisk(ctx context.Context, cause error) {
	c.leaseUntil.Store(0)
	c.leadership.Store(&Leadership{Term: c.core.Term()})
	c.options.Log.Error("disk refuses writes; member stops taking part until writes succeed", zap.Error(cause))
	ticker := time.NewTicker(diskProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.refuseEvent(e)
		case <-ticker.C:
			if c.options.ProbeDisk() == nil {
				c.options.Log.Info("disk accepts writes again; stopping the member for a restart")
				return
			}
		}
	}
}

// refuseEvent refuses a proposal of a member that waits for its disk, and drops any
// other event.
func (c *Coordinator) refuseEvent(e event) {
	refusal := proposalResult{err: modeler.Refuse(modeler.CodeNotLeader, "", "the disk of this member refuses writes")}
	switch {
	case e.proposal != nil:
		e.proposal.reply <- refusal
	case e.members != nil:
		e.members.reply <- refusal
	}
}
