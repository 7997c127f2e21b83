package coordinator

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

func (c *Coordinator) apply(r replicator.Ready) error {
	if r.Snapshot != nil {
		state, err := reducer.DecodeState(r.Snapshot.Data)
		if err != nil {
			return err
		}
		c.state.Store(&state)
		c.lastSnapshotIndex = r.Snapshot.Index
		c.snapshotBytes, c.logBytesSinceSnapshot = len(r.Snapshot.Data), 0
		c.ViewFeed.Reset(state.Revision)
		c.TaskFeed.Reset(state.Revision)
		c.starts.reset(c.Now())
	}
	for _, e := range r.Committed {
		if err := c.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Coordinator) applyEntry(e replicator.Entry) error {
	c.logBytesSinceSnapshot += len(e.Data)
	c.logCommittedChange(e)
	c.membershipChanged = c.membershipChanged || e.Members != nil
	before := c.State()
	after := before
	after.Revision = e.Index
	var result reducer.Result
	var changes []reducer.ChangedRecord
	if len(e.Data) > 0 {
		command, err := reducer.DecodeCommand(e.Data)
		if err != nil {
			return err
		}
		after, result, changes = reducer.Apply(before, e.Index, command)
		switch {
		case command.Kind == reducer.KindStartAttempts:
			c.starts.add(c.Now(), command.Attempts)
		case len(command.Listed) > 0:
			c.starts.addListed(c.Now(), command.Listed)
		}
	}
	result.Revision = e.Index
	c.state.Store(&after)
	c.ViewFeed.Publish(e.Index, viewer.RelevantChanges(before, after, changes))
	c.TaskFeed.Publish(e.Index, changes)
	proposed, ok := c.pending[e.Index]
	if !ok {
		return nil
	}
	delete(c.pending, e.Index)
	if proposed.term != e.Term {
		proposed.reply <- proposalResult{err: c.notLeaderRefusal("another leader took over")}
		return nil
	}
	proposed.reply <- proposalResult{result: result}
	return nil
}

func (c *Coordinator) failPending(err error) {
	for index, waiting := range c.pending {
		waiting.reply <- proposalResult{err: err}
		delete(c.pending, index)
	}
}

func (c *Coordinator) notLeaderRefusal(reason string) *modeler.RefusalError {
	return modeler.Refuse(modeler.CodeNotLeader, c.Leadership().Address, "%s", reason)
}
