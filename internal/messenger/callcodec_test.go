package messenger

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

var (
	testTask   = modeler.TaskName{Workflow: "job.with/odd-name", Occurrence: 2, Step: 3, Index: 4}
	testOrders = CallOrders{
		{ID: 1, Worker: "w", Born: -5, Address: "w:1", SendBy: 1e12, Fence: 1<<53 - 1, Poll: &PollCall{
			Deadline: 7, Acked: 1 << 63, Wait: 1000, Base: 9,
		}},
		{ID: 2, Worker: "w", Address: "w:1", Urgent: true, Start: &StartCall{
			Task: testTask, Number: 2, Payload: "image", Deadline: 3, Checkpoint: "c", Ticket: "t",
		}},
		{ID: 3, Worker: "w", Address: "w:1", Fence: 5, Stop: &AttemptCall{Task: testTask, Number: 1}},
		{ID: 4, Worker: "w", Address: "w:1", Pace: &AttemptCall{Task: testTask, Number: 1, Percent: 50}},
	}
	testResults = CallResultList{
		{ID: 1, NotSent: true, Error: "late"},
		{ID: 2, OtherLife: true, Error: "other"},
		{ID: 3, Start: supervisor.ResultStarted},
		{ID: 4, Poll: &PollAnswer{
			Clock: 5, Born: 6, Full: true, Unread: 2,
			Running: []RunningRow{{Task: testTask, Number: 1, Checkpoint: "c", Percent: 3, Measurement: 4}, {Base: 2, Percent: 5}},
			Ended:   []EndedRow{{Position: 8, Task: testTask, Number: 1, Outcome: reducer.AttemptFinished, Checkpoint: "d"}},
		}},
	}
)

// TestCallsAreDecodedAsTheyWere guards against fields that are lost on the way to an entry and back.
func TestCallsAreDecodedAsTheyWere(t *testing.T) {
	t.Parallel()
	x := CallExchange{Epoch: 3, Life: "l", HoldMillis: 400, Orders: testOrders}
	r := CallResults{Life: "l", Clock: 1, Refused: "r", Results: testResults}
	for _, v := range []any{&x, &r, &CallExchange{Epoch: 1}, &CallResults{Life: "l"}} {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		decoded := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if err := json.Unmarshal(data, decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, v) {
			t.Errorf("%+v was decoded as %+v", v, decoded)
		}
	}
}

// TestRunningAttemptsAreSentOnce guards against names of attempts in each answer to a poll, and
// against an answer that is read by another base than it was written by.
func TestRunningAttemptsAreSentOnce(t *testing.T) {
	t.Parallel()
	row := func(index, percent int) supervisor.Running {
		return supervisor.Running{Task: modeler.TaskName{Workflow: "w", Index: index}, Number: 1, Checkpoint: "c", Percent: percent}
	}
	base := []supervisor.Running{row(0, 1), row(1, 1), row(2, 1)}
	now := supervisor.PollResult{Running: []supervisor.Running{row(0, 2), row(2, 2), row(3, 0)}}
	answer := NewPollAnswer(now, base)
	if answer.Running[0].Base != 1 || answer.Running[1].Base != 3 || answer.Running[2].Base != 0 {
		t.Errorf("the rows refer to %+v", answer.Running)
	}
	if got, err := answer.Result(base); err != nil || !reflect.DeepEqual(got, now) {
		t.Errorf("the answer was read as %+v, %v", got, err)
	}
	if _, err := answer.Result(base[:2]); err == nil {
		t.Error("an answer was read by a shorter base")
	}
}

// TestOnlyAnEntryThatSaysSoHasNotSentACall guards against an attempt that is started a second time
// because a start of unknown outcome was taken for not sent or not run.
func TestOnlyAnEntryThatSaysSoHasNotSentACall(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		result  CallResult
		notSent bool
	}{
		"not sent":              {CallResult{NotSent: true}, true},
		"failed":                {CallResult{Error: "no answer"}, false},
		"without a result":      {CallResult{}, false},
		"with an odd result":    {CallResult{Start: "maybe"}, false},
		"with another's result": {CallResult{Poll: &PollAnswer{}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := tt.result.StartResult()
			if err == nil || errors.Is(err, supervisor.ErrNotSent) != tt.notSent || errors.Is(err, supervisor.ErrOtherIncarnation) {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

func fuzzCodec[L any](f *testing.F, seed L) {
	f.Helper()
	data, err := json.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	var raw []byte
	if err := json.Unmarshal(data, &raw); err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{callCodecVersion, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, raw []byte) {
		encoded, err := json.Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		var list, again L
		if json.Unmarshal(encoded, &list) != nil {
			return
		}
		encoded, err = json.Marshal(list)
		if err != nil {
			return
		}
		if err := json.Unmarshal(encoded, &again); err != nil || !reflect.DeepEqual(list, again) {
			t.Errorf("%+v was encoded and decoded as %+v, %v", list, again, err)
		}
	})
}

func FuzzCallOrders(f *testing.F) { fuzzCodec(f, testOrders) }

func FuzzCallResults(f *testing.F) { fuzzCodec(f, testResults) }
