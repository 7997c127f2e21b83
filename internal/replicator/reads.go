package replicator

import "time"

// replyTime is when a member made a reply, by its clock in one of its lives.
type replyTime struct {
	sentAt time.Duration
	life   uint64
}

// recordReplyTime records when the member made the reply, if it arrived within this leader's
// lease. A leader that is late may find that out after the lease.
func (c *Core) recordReplyTime(m Message, p *progress) {
	arrivedAt := m.ArrivedAt
	if arrivedAt == 0 {
		arrivedAt = c.now
	}
	if m.ReplySentAt > 0 && c.LeaseUntil() > arrivedAt {
		p.reply = replyTime{m.ReplySentAt, m.ReplyLife}
	}
}

// replyCoveredByCommit returns the time of the member's clock up to which nothing was
// committed beyond the commit index; zero if none is known. Within the lease of this
// leader no other leads, but what earlier leaders committed is known only after a commit in this term.
func (c *Core) replyCoveredByCommit(p *progress) replyTime {
	if c.termAt(c.commitIndex) != c.hardState.Term {
		return replyTime{}
	}
	return p.reply
}

// recordCurrent records as of when this member surely knows all that was committed. It
// ignores a time of a former life, which its clock may have reached again.
func (c *Core) recordCurrent(m Message) {
	if c.commitIndex >= m.Commit && m.ReplyLife == c.config.Life {
		c.currentAsOf = max(c.currentAsOf, m.ReplySentAt)
	}
}

// CurrentAsOf returns a time of this member's clock such that, once it has applied what Ready
// has returned, it has applied all that any member knew to be committed by that time. It
// returns zero if no such time is known. It never goes back.
func (c *Core) CurrentAsOf() time.Duration { return c.currentAsOf }
