package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// answeredWithin returns how many changes are answered within the time.
func (s *site) answeredWithin(duration time.Duration) int64 {
	before := s.answered.Load()
	time.Sleep(duration)
	return s.answered.Load() - before
}

// TestCellServesWhileOneDiskIsSlow checks that a cell does not depend on the disk of one
// member, be it the leader: whoever leads with a slow disk loses its lease with each sync.
func TestCellServesWhileOneDiskIsSlow(t *testing.T) {
	t.Parallel()
	tests := map[string]time.Duration{
		"0.3 s a sync": 300 * time.Millisecond, "0.45 s a sync": 450 * time.Millisecond, "0.6 s a sync": 600 * time.Millisecond,
		"0.8 s a sync": 800 * time.Millisecond, "1 s a sync": time.Second, "1.4 s a sync": 1400 * time.Millisecond,
		"3 s a sync": 3 * time.Second,
	}
	for name, syncTime := range tests {
		for _, ofLeader := range []bool{true, false} {
			for seed := range uint64(4) {
				t.Run(step{disruption: name, ofLeader: ofLeader, number: int(seed)}.String(), func(t *testing.T) {
					t.Parallel()
					playSlowDisk(t, seed, syncTime, ofLeader)
				})
			}
		}
	}
}

// playSlowDisk checks that a cell whose clients write all the time goes on with at least
// half of what it did before a disk turned slow.
func playSlowDisk(t *testing.T, seed uint64, syncTime time.Duration, ofLeader bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const settled, usualSyncTime, adapted = 5 * time.Second, 6 * time.Millisecond, 5 * time.Second
		const watched, clients = 10 * time.Second, 8
		s := newSite(t, seed, 1, 3)
		defer s.close()
		for range clients - 1 {
			s.addClient()
		}
		for _, m := range s.machines {
			m.syncTime.Store(int64(usualSyncTime))
		}
		time.Sleep(settled)
		before := s.answeredWithin(watched)
		slow := step{ofLeader: ofLeader, number: int(seed)}.target(s)
		slow.syncTime.Store(int64(syncTime))
		time.Sleep(adapted)
		if after := s.answeredWithin(watched); after < before/2 {
			t.Errorf("%d changes are answered in %v while one disk is slow, want at least half of the %d before", after, watched, before)
		}
		slow.syncTime.Store(int64(usualSyncTime))
		if !s.await(s.recoveryTime(), func() bool { return s.leader() != nil }) {
			t.Fatalf("no leader %v after all disks were as usual\n%s", s.recoveryTime(), s.memberships())
		}
		if lost := s.lostChanges(); len(lost) > 0 {
			t.Errorf("%d acknowledged changes are lost, the first is %s", len(lost), lost[0])
		}
	})
}
