package controller

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/scheduler"
)

func TestLoadReportCoversTheTimeSinceTheLastOne(t *testing.T) {
	t.Parallel()
	var l leaderLoad
	l.addRound(scheduler.RoundStats{PlanTime: time.Millisecond, CommitTime: 2 * time.Millisecond, WaitingSteps: 5, Starts: 3})
	l.addRound(scheduler.RoundStats{PlanTime: 2 * time.Millisecond, WaitingSteps: 4})
	l.addPoll(nil)
	l.addPoll(errors.New("no answer"))
	l.addCall("getWorkflow")
	l.addRefusal(modeler.CodeUnknownOutcome)
	l.addWithheldOrder()
	want := loadSum{
		rounds: 2, starts: 3, waitingSteps: 4, planTime: 3 * time.Millisecond, commitTime: 2 * time.Millisecond,
		polls: 2, lostPolls: 1, calls: map[string]int{"getWorkflow": 1},
		refusals: map[string]int{"unknownOutcome": 1}, withheldOrders: 1,
	}
	if got := l.take(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := l.take(), (loadSum{waitingSteps: 4}); !reflect.DeepEqual(got, want) {
		t.Errorf("the second report holds %+v, want %+v", got, want)
	}
}
