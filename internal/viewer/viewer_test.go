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
		kind reducer.RecordKind
		want bool
	}{
		"changed backend server": {reducer.RecordWorker, true},
		"changed entry":          {reducer.RecordEntry, true},
		"changed document":       {reducer.RecordDocument, true},
		"changed job":            {reducer.RecordJob, false},
		"changed workflow":       {reducer.RecordWorkflow, false},
		"changed worker session": {reducer.RecordSession, false},
		"changed queue table":    {reducer.RecordQueueTable, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relevant := RelevantChanges(before, after, []reducer.ChangedRecord{{Kind: tt.kind, Key: "w"}})
			if got := len(relevant) == 1; got != tt.want {
				t.Errorf("change is relevant to entries: %v, want %v", got, tt.want)
			}
		})
	}
}
