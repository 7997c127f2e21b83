package assigner

import (
	"fmt"
	"maps"
	"testing"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%04d", prefix, i)
	}
	return list
}

// loads returns the number of workers by entry, and fails the test if it disagrees with the assigner's.
func loads(t *testing.T, a *Assigner, workers []string) map[string]int {
	t.Helper()
	counted := map[string]int{}
	for _, w := range workers {
		counted[a.Entry(w)]++
	}
	if !maps.Equal(counted, a.loads) {
		t.Fatalf("the assigner counts %v, its assignments are %v", a.loads, counted)
	}
	return counted
}

// TestOnlyWorkersBeyondTheDescriptorsAreDelegated guards against a leader that runs out of
// descriptors, and against one that delegates calls without need.
func TestOnlyWorkersBeyondTheDescriptorsAreDelegated(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		descriptors, workers, entries int
		delegated, entriesInUse       int
	}{
		"few workers":                       {4100, 600, 300, 0, 0},
		"as many as the leader can call":    {4100, 615, 300, 0, 0},
		"one more":                          {4100, 616, 300, 1, 1},
		"a large cell":                      {4100, 3000, 300, 2385, 60},
		"few descriptors":                   {3075, 3000, 300, 2539, 64},
		"few entries":                       {4100, 1600, 4, 985, 4},
		"no entry":                          {4100, 3000, 0, 0, 0},
		"more than the entries should have": {4100, 3000, 2, 800, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, workers := New(Capacity(tt.descriptors)), names("w", tt.workers)
			a.Update(workers, names("e", tt.entries))
			counted := loads(t, a, workers)
			if a.Delegated() != tt.delegated || a.EntriesInUse() != tt.entriesInUse {
				t.Errorf("%d workers are delegated to %d entries, want %d to %d",
					a.Delegated(), a.EntriesInUse(), tt.delegated, tt.entriesInUse)
			}
			for entry, load := range counted {
				if entry != Direct && load > max(workersPerEntry, tt.delegated/tt.entriesInUse+1) {
					t.Errorf("entry %s has %d workers", entry, load)
				}
			}
		})
	}
}

// TestLossOfAnEntryMovesItsWorkersOnly guards against workers that are moved without need, since
// each move costs a connection, and against workers that stay with a lost entry.
func TestLossOfAnEntryMovesItsWorkersOnly(t *testing.T) {
	t.Parallel()
	losses := map[string]func(a *Assigner, workers, entries []string){
		"a failed exchange": func(a *Assigner, _, entries []string) { a.RemoveEntry(entries[0]) },
		"the end of its lease": func(a *Assigner, workers, entries []string) {
			a.Update(workers, entries[1:])
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, workers, entries := New(100), names("w", 1100), names("e", 30)
			a.Update(workers, entries)
			before := maps.Clone(a.assignments)
			lose(a, workers, entries)
			a.Update(workers, entries[1:])
			for _, w := range workers {
				now := a.Entry(w)
				if now == entries[0] {
					t.Fatalf("worker %s stays with the lost entry", w)
				}
				if before[w] != entries[0] && before[w] != now {
					t.Fatalf("worker %s moved from %s to %s", w, before[w], now)
				}
			}
			loads(t, a, workers)
		})
	}
}

// TestWorkerMovesAwayFromTheEntryThatDoesNotReachIt guards against a worker whose polls fail again
// and again at one entry.
func TestWorkerMovesAwayFromTheEntryThatDoesNotReachIt(t *testing.T) {
	t.Parallel()
	a, workers := New(1), names("w", 60)
	a.Update(workers, names("e", 3))
	worker := workers[len(workers)-1]
	first := a.Entry(worker)
	a.MoveWorker(worker, first)
	second := a.Entry(worker)
	if second == first || second == Direct {
		t.Errorf("the worker moved from %q to %q", first, second)
	}
	a.MoveWorker(worker, first)
	if got := a.Entry(worker); got != second {
		t.Errorf("a late failure at %q moved the worker from %q to %q", first, second, got)
	}
	loads(t, a, workers)
}

// TestWorkersReturnToTheLeaderWhenItHasRoom guards against a worker that stays delegated while the
// leader has room, and against a leader that keeps more than its capacity.
func TestWorkersReturnToTheLeaderWhenItHasRoom(t *testing.T) {
	t.Parallel()
	a, workers := New(50), names("w", 200)
	a.Update(workers, nil)
	if got := loads(t, a, workers)[Direct]; got != 200 {
		t.Fatalf("without entries the leader calls %d workers", got)
	}
	a.Update(workers, names("e", 8))
	if got := loads(t, a, workers)[Direct]; got != 50 {
		t.Fatalf("the leader calls %d workers, want 50", got)
	}
	a.Update(workers[150:], names("e", 8))
	if got := loads(t, a, workers[150:])[Direct]; got != 50 {
		t.Errorf("the leader calls %d of the last 50 workers", got)
	}
}
