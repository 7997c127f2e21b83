package viewer

import (
	"testing"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

func TestRelevantChangesAreThoseInTheEntryView(t *testing.T) {
	t.Parallel()
	before := reducer.NewState()
	after := reducer.NewState()
	after.Workers = after.Workers.Set("w", modeler.Worker{ID: "w", Service: "s"})
	tests := map[string]struct {
		kind reducer.TouchKind
		want bool
	}{
		"changed backend server": {reducer.TouchWorker, true},
		"changed entry":          {reducer.TouchEntry, true},
		"changed document":       {reducer.TouchDocument, true},
		"changed job":            {reducer.TouchJob, false},
		"changed workflow":       {reducer.TouchWorkflow, false},
		"changed worker session": {reducer.TouchSession, false},
		"changed queue table":    {reducer.TouchTable, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relevant := RelevantChanges(before, after, []reducer.Touch{{Kind: tt.kind, Key: "w"}})
			if got := len(relevant) == 1; got != tt.want {
				t.Errorf("change is relevant to entries: %v, want %v", got, tt.want)
			}
		})
	}
}
