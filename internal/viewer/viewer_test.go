package viewer

import (
	"testing"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

func TestAnEntryIsToldOnlyOfWhatItsViewHolds(t *testing.T) {
	t.Parallel()
	before := reducer.NewState()
	after := reducer.NewState()
	after.Workers = after.Workers.Set("w", modeler.Worker{ID: "w", Service: "s"})
	tests := map[string]struct {
		kind reducer.TouchKind
		want bool
	}{
		"a backend server that has changed": {reducer.TouchWorker, true},
		"an entry":                          {reducer.TouchEntry, true},
		"a document":                        {reducer.TouchDocument, true},
		"a job":                             {reducer.TouchJob, false},
		"a workflow":                        {reducer.TouchWorkflow, false},
		"a session of a worker":             {reducer.TouchSession, false},
		"the table of queues":               {reducer.TouchTable, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relevant := RelevantChanges(before, after, []reducer.Touch{{Kind: tt.kind, Key: "w"}})
			if got := len(relevant) == 1; got != tt.want {
				t.Errorf("entries are told: %v, want %v", got, tt.want)
			}
		})
	}
}
