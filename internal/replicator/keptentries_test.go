package replicator_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// newFollower returns m1, whose log holds entries 1 to 5 of term 1 on its disk. It knows none
// of them to be committed.
func newFollower() *replicator.Core {
	core := replicator.New(replicator.Config{
		ID: "m1", ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5, LeaseDuration: electionTimeout / 2,
		MaxBatch: 16,
	}, replicator.RestoredState{
		HardState: replicator.HardState{Term: 1},
		Snapshot:  replicator.Snapshot{Members: threeVoters},
		Entries:   entriesOfFirstTerm(1, 5),
	}, 0)
	drainReady(core)
	return core
}

func entriesOfFirstTerm(first, last uint64) []replicator.Entry {
	var entries []replicator.Entry
	for i := first; i <= last; i++ {
		entries = append(entries, replicator.Entry{Index: i, Term: 1, Data: json.RawMessage("1")})
	}
	return entries
}

// appendFrom returns the append of the entries from first to 14.
func appendFrom(first uint64) replicator.Message {
	return replicator.Message{
		Kind: replicator.MessageAppend, From: "m0", To: "m1", Term: 1, Index: first - 1, LogTerm: 1,
		Entries: entriesOfFirstTerm(first, 14),
	}
}

func snapshotOf(term, index, logTerm uint64) replicator.Message {
	return replicator.Message{Kind: replicator.MessageSnapshot, From: "m0", To: "m1", Term: term, Snapshot: &replicator.Snapshot{
		Index: index, Term: logTerm, Members: threeVoters, Data: json.RawMessage("1"),
	}}
}

// TestFollowerKeepsWhatItAcknowledged guards against a snapshot that removes entries after
// it, which the member has acknowledged or is about to: a majority no longer held them.
func TestFollowerKeepsWhatItAcknowledged(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		messages []replicator.Message
		// savedAfter is the number of messages after which the follower saves; zero for all.
		savedAfter    int
		wantLast      uint64
		wantCommit    uint64
		wantApplied   []uint64
		wantInstalled uint64
	}{
		"entries that arrive in the same batch": {
			messages: []replicator.Message{appendFrom(6), snapshotOf(1, 8, 1)},
			wantLast: 14, wantCommit: 8, wantApplied: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
		},
		"entries that are on the disk": {
			messages: []replicator.Message{appendFrom(6), snapshotOf(1, 8, 1)}, savedAfter: 1,
			wantLast: 14, wantCommit: 8, wantApplied: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
		},
		"a snapshot that ends at the last entry": {
			messages: []replicator.Message{snapshotOf(1, 5, 1)},
			wantLast: 5, wantCommit: 5, wantApplied: []uint64{1, 2, 3, 4, 5},
		},
		"two snapshots in a batch": {
			messages: []replicator.Message{
				appendFrom(6), snapshotOf(1, 8, 1), snapshotOf(1, 12, 1),
			},
			wantLast: 14, wantCommit: 12, wantApplied: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
		},
		"entries between two snapshots in a batch": {
			messages: []replicator.Message{
				snapshotOf(1, 8, 1), appendFrom(9), snapshotOf(1, 10, 1),
			},
			wantLast: 14, wantCommit: 10, wantApplied: []uint64{9, 10}, wantInstalled: 8,
		},
		"a snapshot beyond the log": {
			messages: []replicator.Message{snapshotOf(1, 8, 1)},
			wantLast: 8, wantCommit: 8, wantInstalled: 8,
		},
		"entries of another term": {
			messages: []replicator.Message{snapshotOf(2, 3, 2)},
			wantLast: 3, wantCommit: 3, wantInstalled: 3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core, log := newFollower(), entriesOfFirstTerm(1, 5)
			base, acknowledged, installed := uint64(0), uint64(0), uint64(0)
			var applied []uint64
			for i, m := range tt.messages {
				core.Step(0, m)
				if tt.savedAfter != i+1 && i+1 < len(tt.messages) {
					continue
				}
				for core.HasReady() {
					r := core.Ready()
					if r.Snapshot != nil {
						base, installed, log = r.Snapshot.Index, r.Snapshot.Index, nil
					}
					if len(r.Entries) > 0 {
						log = append(log[:r.Entries[0].Index-base-1], r.Entries...)
					}
					core.Advance()
					for _, m := range r.MessagesAfterSync {
						if !m.Reject {
							acknowledged = max(acknowledged, m.Index)
						}
					}
					for _, e := range r.Committed {
						applied = append(applied, e.Index)
					}
				}
			}
			last := base + uint64(len(log))
			if last < acknowledged || last != tt.wantLast || core.LastIndex() != last {
				t.Errorf("acknowledged %d, the disk ends at %d, the log at %d, want %d", acknowledged, last, core.LastIndex(), tt.wantLast)
			}
			if core.Commit() != tt.wantCommit || installed != tt.wantInstalled || !slices.Equal(applied, tt.wantApplied) {
				t.Errorf("commit index %d, snapshot installed at %d, entries %v applied; want %d, %d and %v",
					core.Commit(), installed, applied, tt.wantCommit, tt.wantInstalled, tt.wantApplied)
			}
		})
	}
}

// TestFollowerKeepsMembershipOfKeptEntry guards against a snapshot that takes a member back to
// the membership before an entry that follows it in the log.
func TestFollowerKeepsMembershipOfKeptEntry(t *testing.T) {
	t.Parallel()
	core := newFollower()
	four := append(slices.Clone(threeVoters), replicator.Member{ID: "m3"})
	m := appendFrom(6)
	m.Entries[2].Data, m.Entries[2].Members = nil, four
	core.Step(0, m)
	core.Step(0, snapshotOf(1, 7, 1))
	drainReady(core)
	if got := core.Members(); !slices.Equal(got, four) {
		t.Errorf("members %v, want %v", got, four)
	}
}

// TestBatchesOfMessagesLoseNoEntries guards against the same in random order: members that
// handle several messages between two saves, as they do after a freeze.
func TestBatchesOfMessagesLoseNoEntries(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 100) {
				c := newCell(t, seed, size)
				c.batches, c.ordered = true, seed%2 == 0
				for range 30 {
					n := c.instances[c.random.IntN(size)]
					n.pausedUntil = c.now + time.Duration(c.random.IntN(1500))*time.Millisecond
					c.proposeSome()
					c.snapshot(c.instances[c.random.IntN(size)])
					c.proposeSome()
					c.run(time.Duration(50+c.random.IntN(1000)) * time.Millisecond)
					c.injectFailure()
				}
				c.healAndVerify()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func (c *cell) proposeSome() {
	for range c.random.IntN(12) {
		c.propose()
		c.run(stepInterval)
	}
}

// TestLeaderSendsLostEntriesAgain guards against a leader that never again sends a member the
// entries that the member acknowledged and lacks, so that no quorum is left without others.
func TestLeaderSendsLostEntriesAgain(t *testing.T) {
	t.Parallel()
	const sentAt = 4 * electionTimeout
	tests := map[string]struct {
		rejectedSentAt time.Duration
		rejected, last uint64
		// wantFrom is the index of the first entry that m1 is sent again; zero if it is sent none.
		wantFrom uint64
		wantLost uint64
	}{
		"a log that ends below what was acknowledged": {
			rejectedSentAt: sentAt + 1, rejected: 4, last: 2, wantFrom: 3, wantLost: 1,
		},
		"a rejection that was overtaken by the acknowledgement": {rejectedSentAt: sentAt - 1, rejected: 4, last: 2},
		"the rejection of a message sent along with it":         {rejectedSentAt: sentAt, rejected: 4, last: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core := elect(t, replicator.RestoredState{
				HardState: replicator.HardState{Term: 1},
				Snapshot:  replicator.Snapshot{Members: threeVoters},
				Entries:   entriesOfFirstTerm(1, 3),
			})
			core.Step(sentAt, replicator.Message{
				Kind: replicator.MessageAppendReply, From: "m1", To: "m0", Term: core.Term(), SentAt: sentAt, Index: 4,
			})
			drainReady(core)
			core.Step(sentAt+2, replicator.Message{
				Kind: replicator.MessageAppendReply, From: "m1", To: "m0", Term: core.Term(), SentAt: tt.rejectedSentAt,
				Reject: true, Rejected: tt.rejected, Index: tt.last,
			})
			drainReady(core)
			// m1 accepts what it is probed with.
			core.Step(sentAt+3, replicator.Message{
				Kind: replicator.MessageAppendReply, From: "m1", To: "m0", Term: core.Term(), SentAt: sentAt + 3, Index: tt.last,
			})
			var from uint64
			for core.HasReady() {
				for _, m := range core.Ready().MessagesBeforeSync {
					if m.To == "m1" && len(m.Entries) > 0 {
						from = m.Entries[0].Index
					}
				}
				core.Advance()
			}
			if lost := core.Stats().LostAcknowledged; from != tt.wantFrom || lost != tt.wantLost {
				t.Errorf("sent entries again from %d on after %d such rejections, want %d and %d", from, lost, tt.wantFrom, tt.wantLost)
			}
			if core.Commit() != 4 {
				t.Errorf("commit index is %d, want 4 still", core.Commit())
			}
		})
	}
}
