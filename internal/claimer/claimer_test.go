package claimer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/claimer"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

func processors(n int64) modeler.Resources { return modeler.Resources{Processors: n} }

// workersOf returns workers named w00, w01 and so on, with the free processors. Each
// has 32 in all.
func workersOf(free ...int64) []claimer.Worker {
	workers := make([]claimer.Worker, len(free))
	for i, n := range free {
		workers[i] = claimer.Worker{Key: fmt.Sprintf("w%02d", i), Free: processors(n), Used: processors(32 - n)}
	}
	return workers
}

func same(free int64, count int) []int64 { return slices.Repeat([]int64{free}, count) }

func demandOf(tasks int, need int64) claimer.Demand {
	return claimer.Demand{
		Tasks: tasks, Need: processors(need), GrantRate: 1, MaxSessions: 100, IsUndecided: func(string) bool { return true },
	}
}

func TestSessionsOfRequest(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		workers []claimer.Worker
		claims  []claimer.Claim
		change  func(d *claimer.Demand)
		want    []string
	}{
		"those with most free capacity, as many as the tasks need": {
			workers: workersOf(8, 32, 16), want: []string{"w01"},
		},
		"none without free capacity": {workers: workersOf(7, 0, 3)},
		"one that is expected to have capacity in time": {
			workers: workersOf(0, 4), want: []string{"w01", "w00"},
			change: func(d *claimer.Demand) { d.Released = 0.25 },
		},
		"none whose capacity is claimed": {
			workers: workersOf(32, 16), want: []string{"w01"},
			claims: []claimer.Claim{{Sessions: []string{"w00"}, Tasks: 4, Need: processors(8)}},
		},
		"none whose capacity is kept for a gang": {
			workers: []claimer.Worker{{Key: "w00", Free: processors(32), Kept: processors(30)}, {Key: "w01", Free: processors(16)}},
			want:    []string{"w01"},
		},
		"permitted ones before others": {
			workers: workersOf(32, 8, 8), want: []string{"w01", "w02"},
			change: func(d *claimer.Demand) { d.Renewable = []string{"w01", "w02"} },
		},
		"none that were decided on": {
			workers: workersOf(32, 16), want: []string{"w01"},
			change: func(d *claimer.Demand) { d.IsUndecided = func(key string) bool { return key != "w00" } },
		},
		"more where fewer are permitted": {
			workers: workersOf(same(32, 8)...), want: []string{"w00", "w01"},
			change: func(d *claimer.Demand) { d.GrantRate = 0.5 },
		},
		"no more than one request may name": {
			workers: workersOf(same(8, 8)...), want: []string{"w00"},
			change: func(d *claimer.Demand) { d.MaxSessions = 1 },
		},
		"more where a worker may hold one task only": {
			workers: workersOf(32, 32, 32), want: []string{"w00", "w01"},
			change: func(d *claimer.Demand) { d.MaxPerWorker = 1 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := demandOf(2, 8)
			if tt.change != nil {
				tt.change(&d)
			}
			claim, ok := claimer.NewLedger(tt.workers, tt.claims).Choose(d)
			if !slices.Equal(claim.Sessions, tt.want) || ok != (len(tt.want) > 0) {
				t.Errorf("request names %v (%t), want %v", claim.Sessions, ok, tt.want)
			}
		})
	}
}

// TestRequestsDoNotCountOnTheSameCapacity checks that the claims of successive
// requests add up to no more than the free capacity.
func TestRequestsDoNotCountOnTheSameCapacity(t *testing.T) {
	t.Parallel()
	l := claimer.NewLedger(workersOf(same(32, 10)...), nil)
	claimed := 0.0
	for range 100 {
		d := demandOf(3, 8)
		d.GrantRate = 0.5
		claim, ok := l.Choose(d)
		if !ok {
			break
		}
		l.Add(claim)
		claimed += claim.Tasks * 8
	}
	const free = 320
	if claimed > free || claimed < free/2 {
		t.Errorf("requests claim %.0f processors of %d free ones, want at least half and no more than all", claimed, free)
	}
}

func TestRequestOfGang(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		workers  []claimer.Worker
		gathered claimer.Gathered
		// wantCount is the number of sessions of the request; wantSessions are those of
		// a renewal.
		wantCount    int
		wantSessions []string
	}{
		"names enough workers to start at once":              {workers: workersOf(same(32, 30)...), wantCount: 15},
		"names full workers too, as they are emptied for it": {workers: workersOf(same(0, 90)...), wantCount: 44},
		"makes none while it gathers on enough workers and others are full": {
			workers: workersOf(same(4, 30)...), gathered: claimer.Gathered{Slots: 3, Known: 8},
		},
		"makes none while others have too little for the rest of its tasks": {
			workers:  append(workersOf(same(8, 2)...), workersOf(same(4, 30)...)...),
			gathered: claimer.Gathered{Slots: 3, Known: 8},
		},
		"names free workers while it gathers on ones that stay full": {
			workers: workersOf(same(32, 30)...), wantCount: 11, gathered: claimer.Gathered{Slots: 3, Known: 8, Overdue: true},
		},
		"renews its tickets once most of its capacity is gathered": {
			workers: workersOf(same(4, 30)...), wantCount: 2, wantSessions: []string{"w01", "w02"},
			gathered: claimer.Gathered{Slots: 7, Partial: 1, Known: 8, Expired: []string{"w01", "w02"}},
		},
		"renews only, if others have too little for the rest of its tasks": {
			workers: append(workersOf(8), workersOf(same(4, 30)...)...), wantCount: 2, wantSessions: []string{"w01", "w02"},
			gathered: claimer.Gathered{Slots: 6, Partial: 2, Known: 8, Expired: []string{"w01", "w02"}},
		},
		"renews, and names free workers for tasks that wait for capacity": {
			workers: workersOf(same(32, 30)...), wantCount: 7,
			gathered: claimer.Gathered{Slots: 7, Partial: 1, Known: 8, Expired: []string{"x01", "x02"}},
		},
		"names free workers for tasks that wait for capacity while its tickets are valid": {
			workers: workersOf(same(32, 30)...), wantCount: 5,
			gathered: claimer.Gathered{Slots: 7, Partial: 1, Known: 8},
		},
		"renews once all of its capacity is gathered": {
			workers: workersOf(same(32, 30)...), wantCount: 2, wantSessions: []string{"w01", "w02"},
			gathered: claimer.Gathered{Slots: 8, Known: 8, Expired: []string{"w01", "w02"}},
		},
		"names more workers if those that it may run on are too few": {
			workers: workersOf(same(32, 30)...), wantCount: 5,
			gathered: claimer.Gathered{Slots: 7, Known: 2, Expired: []string{"w01", "w02"}},
		},
		"names more workers if all its tickets are valid on too few": {
			workers: workersOf(same(32, 30)...), wantCount: 5, gathered: claimer.Gathered{Slots: 7, Known: 2},
		},
		"makes none while it gathers in time, though others are free": {
			workers: workersOf(same(32, 30)...), gathered: claimer.Gathered{Slots: 3, Known: 8},
		},
		"counts the workers that pending requests ask about": {
			workers: workersOf(same(32, 30)...), gathered: claimer.Gathered{Known: 8},
		},
		"makes none long before all of its capacity is gathered": {
			workers:  workersOf(same(4, 30)...),
			gathered: claimer.Gathered{Slots: 7, Partial: 1, Known: 8, Expired: []string{"w01", "w02"}, Ready: time.Second},
		},
		"makes none when all its tickets are valid": {
			workers: workersOf(same(32, 30)...), gathered: claimer.Gathered{Slots: 8, Known: 8},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := demandOf(8, 8)
			d.GrantRate = 0.25
			claim, ok := claimer.NewLedger(tt.workers, nil).ChooseForGang(d, tt.gathered)
			if len(claim.Sessions) != tt.wantCount || ok != (tt.wantCount > 0) {
				t.Errorf("request names %d sessions (%t), want %d", len(claim.Sessions), ok, tt.wantCount)
			}
			if tt.wantSessions != nil && (!slices.Equal(claim.Sessions, tt.wantSessions) || !claim.Renews) {
				t.Errorf("request names %v (renews: %t), want a renewal for %v", claim.Sessions, claim.Renews, tt.wantSessions)
			}
		})
	}
}

func TestReserveForGangsIsBounded(t *testing.T) {
	t.Parallel()
	reserve := claimer.NewGangReserve(100)
	taken := 0
	for range 10 {
		if reserve.Take(8) {
			taken++
		}
	}
	if taken != 2 {
		t.Errorf("%d gangs of 8 processors have a reserve in a pool of 100, want 2", taken)
	}
	if !claimer.NewGangReserve(100).Take(90) {
		t.Error("the first gang got no reserve, because it is larger than the limit")
	}
}

func TestTurnoverFollowsStarts(t *testing.T) {
	t.Parallel()
	turnover := claimer.Turnover{}
	for i := range 500 {
		// 100 tasks run, 2 of which are replaced each 50 ms: 0.4 of them a second.
		turnover.Observe(time.Duration(i+1)*50*time.Millisecond, 2, 100)
	}
	if got := turnover.Released(500 * time.Millisecond); got < 0.18 || got > 0.22 {
		t.Errorf("%.2f of the capacity is expected to be released in half a second, want 0.2", got)
	}
	if got := turnover.Released(time.Minute); got != 1 {
		t.Errorf("%.2f of the capacity is expected to be released in a minute, want 1", got)
	}
}
