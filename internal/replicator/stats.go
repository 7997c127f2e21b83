package replicator

// Stats counts the messages by which a member has replicated its log to the others as
// a leader, over all its terms.
type Stats struct {
	// SentEntries counts each entry once for each message to a member that holds it.
	SentEntries uint64 `json:"sentEntries"`
	// RepeatedEntries are the sent entries that the member had been sent before.
	RepeatedEntries uint64 `json:"repeatedEntries"`
	SentSnapshots   uint64 `json:"sentSnapshots"`
	// Rejections are the answers of members whose log did not match.
	Rejections uint64 `json:"rejections"`
	// LostAcknowledged are the rejections of members that lack entries which they had
	// acknowledged to this leader. It stays zero while disks keep what they have synced.
	LostAcknowledged uint64 `json:"lostAcknowledged"`
	// Probes counts how often a member was probed anew, since it was silent or its log did
	// not match.
	Probes uint64 `json:"probes"`
}

// Since returns what was counted after earlier.
func (s Stats) Since(earlier Stats) Stats {
	return Stats{
		SentEntries:      s.SentEntries - earlier.SentEntries,
		RepeatedEntries:  s.RepeatedEntries - earlier.RepeatedEntries,
		SentSnapshots:    s.SentSnapshots - earlier.SentSnapshots,
		Rejections:       s.Rejections - earlier.Rejections,
		LostAcknowledged: s.LostAcknowledged - earlier.LostAcknowledged,
		Probes:           s.Probes - earlier.Probes,
	}
}

// Stats returns the counts since the core was created.
func (c *Core) Stats() Stats { return c.stats }

// countEntries counts the entries after previousIndex, up to lastSent, as sent to the
// member.
func (c *Core) countEntries(p *progress, previousIndex, lastSent uint64) {
	c.stats.SentEntries += lastSent - previousIndex
	if p.highestSent > previousIndex {
		c.stats.RepeatedEntries += min(p.highestSent, lastSent) - previousIndex
	}
	p.highestSent = max(p.highestSent, lastSent)
}
