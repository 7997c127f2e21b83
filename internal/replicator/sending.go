package replicator

// replyToOldTerm tells a leader or a pre-candidate of an older term the current one.
func (c *Core) replyToOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: c.commitIndex})
	case MessagePreVote:
		c.sendAfterSync(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) sendAfterSync(m Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.afterSync = append(c.afterSync, m)
}

func (c *Core) sendBeforeSync(m Message) {
	m.From = c.config.ID
	m.Term = c.hardState.Term
	c.beforeSync = append(c.beforeSync, m)
}
