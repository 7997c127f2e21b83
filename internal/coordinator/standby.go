package coordinator

import (
	"context"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// probeInterval is how often a disk that refused a write is tried again.
const probeInterval = 500 * time.Millisecond

func isDiskError(err error) bool {
	fault, ok := oops.AsOops(err)
	return ok && fault.Code() == journaler.CodeDisk
}

// standBy waits until the disk takes writes again. What the member holds in
// memory may differ from its disk, so it takes no part in the cell meanwhile
// and starts anew afterwards; what needs no disk goes on in the process.
func (c *Coordinator) standBy(ctx context.Context, cause error) {
	c.leaseUntil.Store(0)
	c.leadership.Store(&Leadership{Term: c.core.Term()})
	c.options.Log.Error("disk refuses writes; this member stands by", zap.Error(cause))
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.refuse(e)
		case <-ticker.C:
			if c.options.ProbeDisk() == nil {
				c.options.Log.Info("disk takes writes again; this member starts anew")
				return
			}
		}
	}
}

// refuse answers what is asked of a member that stands by.
func (c *Coordinator) refuse(e event) {
	refused := answer{err: modeler.Refuse(modeler.CodeNotLeader, "", "the disk of this member refuses writes")}
	switch {
	case e.proposal != nil:
		e.proposal.answer <- refused
	case e.members != nil:
		e.members.answer <- refused
	}
}
