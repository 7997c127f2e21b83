package claimer_test

import (
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/claimer"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

func TestWaitForCapacity(t *testing.T) {
	t.Parallel()
	endings := []claimer.Ending{
		{Need: processors(3), Remaining: time.Second},
		{Need: processors(3), Remaining: 2 * time.Second},
		{Need: processors(9), Remaining: 6 * time.Second},
	}
	for name, tt := range map[string]struct {
		missing modeler.Resources
		want    time.Duration
		never   bool
	}{
		"none for capacity that is free":                  {missing: processors(-1)},
		"until the first task ends":                       {missing: processors(3), want: time.Second},
		"until enough tasks have ended":                   {missing: processors(5), want: 2 * time.Second},
		"as long as the last task, if all are in the way": {missing: processors(15), want: 6 * time.Second},
		"forever for more than the tasks hold":            {missing: processors(16), never: true},
		"forever for memory that none of them hold":       {missing: modeler.Resources{Memory: 1}, never: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ok := claimer.Wait(endings, tt.missing)
			if ok == tt.never || ok && got != tt.want {
				t.Errorf("capacity is expected in %v (%t), want %v", got, ok, tt.want)
			}
		})
	}
}

// TestSoonestSlotsAreChosen guards against a gang that waits for a worker full of long tasks
// while one that it may use as well is about to have capacity.
func TestSoonestSlotsAreChosen(t *testing.T) {
	t.Parallel()
	got := claimer.Soonest([]claimer.Slot{
		{Key: "long", Wait: 6 * time.Second},
		{Key: "soon", Wait: time.Second},
		{Key: "expired", Ticket: 2 * time.Second},
		{Key: "free"},
	}, 3)
	for i, want := range []string{"free", "soon", "expired"} {
		if got[i].Key != want {
			t.Errorf("slot %d is on %s, want %s", i, got[i].Key, want)
		}
	}
}
