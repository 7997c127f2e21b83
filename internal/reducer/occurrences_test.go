package reducer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// memberBytes is the memory of a member of control in the smallest deployments.
const memberBytes = 284 << 20

// heapGrowth returns by how many bytes the live heap grows while the result of build is kept.
func heapGrowth[T any](build func() T) (T, int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// submitRepeating submits workflows whose steps run at intervals of a minute.
func (f *workflowFixture) submitRepeating(workflows, occurrences int, steps ...modeler.StepSpec) {
	f.t.Helper()
	for i := range workflows {
		spec := modeler.WorkflowSpec{
			ID: fmt.Sprint("r", i), Queue: "quotes", Steps: steps, Occurrences: occurrences,
			FirstAt: time.Date(2026, 1, 5, 3, 0, 0, 0, time.UTC), Interval: time.Minute,
		}
		if result := f.apply(Command{Kind: KindSubmitWorkflow, Workflow: &spec}); result.Refusal != nil {
			f.t.Fatal(result.Refusal)
		}
	}
}

// Guards against members that run out of memory by tasks of accepted workflows that are not
// due yet, in the state, in its snapshot, and while a snapshot is read.
func TestWaitingTasksTakeLittleMemory(t *testing.T) {
	const part = memberBytes / 16
	wideSteps := slices.Repeat([]modeler.StepSpec{step(modeler.MaxTasksPerJob, 1)}, modeler.MaxStepsPerWorkflow)
	narrowSteps := slices.Repeat([]modeler.StepSpec{step(3, 1)}, modeler.MaxStepsPerWorkflow)
	tests := map[string]struct {
		occurrences int
		steps       []modeler.StepSpec
	}{
		"of many occurrences": {1000, []modeler.StepSpec{step(60, 2)}},
		"of many wide steps":  {3, wideSteps},
		"of both":             {1000, narrowSteps},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f, grown := heapGrowth(func() *workflowFixture {
				f := newWorkflowFixture(t)
				f.submitRepeating(80, tt.occurrences, tt.steps...)
				return f
			})
			data, err := f.state.Encode()
			if err != nil {
				t.Fatal(err)
			}
			restored, restoredGrown := heapGrowth(func() State {
				restored, err := DecodeState(data)
				if err != nil {
					t.Fatal(err)
				}
				return restored
			})
			if max(grown, restoredGrown, int64(len(data))) > part {
				t.Errorf("80 workflows take %d bytes, %d after a restart and %d in a snapshot, want at most %d",
					grown, restoredGrown, len(data), part)
			}
			if !reflect.DeepEqual(Values(restored.Workflows), Values(f.state.Workflows)) {
				t.Error("the restored workflows differ")
			}
		})
	}
}

// Guards against a member that doesn't start, or has lost work, after an update from a release
// that listed each task of each occurrence.
func TestSnapshotThatListsEachTaskIsRead(t *testing.T) {
	t.Parallel()
	f := newWorkflowFixture(t)
	worker := f.announce("w0", 1)
	f.submitRepeating(1, 1000, step(60, 2))
	first := modeler.TaskName{Workflow: "r0", Occurrence: 1, Index: 2}
	if f.start(worker, first) != 1 {
		t.Fatal("the task did not start")
	}
	data, err := f.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	uniform := []byte(`{"tasks":{"count":60,"phase":"waiting"}}`)
	listed := []byte(`{"tasks":[` + string(bytes.Repeat([]byte(`{"phase":"waiting"},`), 59)) + `{"phase":"waiting"}]}`)
	missing := 1000 - 3
	earlier := bytes.ReplaceAll(data, uniform, listed)
	last := append([]byte{}, listed...)
	last = append(last, "]"...)
	all := append(bytes.Repeat(append([]byte(","), listed...), missing), "]"...)
	earlier = bytes.Replace(earlier, last, append(append([]byte{}, listed...), all...), 1)
	if !json.Valid(earlier) || bytes.Count(earlier, []byte(`"phase":"waiting"}`)) != 60*1000-1 {
		t.Fatal("the snapshot doesn't have the form of an earlier release")
	}
	restored, err := DecodeState(earlier)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(Values(restored.Workflows), Values(f.state.Workflows)) {
		t.Error("the restored workflows differ")
	}
	if restored.WorkBytes != f.state.WorkBytes {
		t.Errorf("the restored work takes %d bytes, want %d", restored.WorkBytes, f.state.WorkBytes)
	}
}

// Guards against a workflow that is taken for finished while occurrences have not begun, and
// against occurrences that are lost at a restart.
func TestOccurrencesEndInAnyOrder(t *testing.T) {
	t.Parallel()
	tests := map[string][]int{
		"in order":     {0, 1, 2, 3},
		"out of order": {2, 0, 3, 1},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWorkflowFixture(t)
			worker := f.announce("w0", 1)
			second := step(2, 2)
			second.DependsOn = []int{0}
			f.submitRepeating(1, len(order), step(1, 2), second)
			for _, occurrence := range order {
				if w, _ := f.state.Workflows.Get("r0"); w.IsEnded() {
					t.Fatalf("the workflow is %s before occurrence %d has run", w.Phase, occurrence)
				}
				f.runOccurrence(worker, occurrence)
			}
			if f.start(worker, modeler.TaskName{Workflow: "r0", Occurrence: len(order)}) != 0 {
				t.Error("an occurrence that does not exist started")
			}
			if w, _ := f.state.Workflows.Get("r0"); w.Phase != modeler.WorkflowFinished {
				t.Errorf("the workflow is %s after all occurrences have run", w.Phase)
			}
		})
	}
}

// runOccurrence runs the tasks of an occurrence of workflow "r0" one after another, with a
// restart before each.
func (f *workflowFixture) runOccurrence(worker string, occurrence int) {
	f.t.Helper()
	if f.start(worker, modeler.TaskName{Workflow: "r0", Occurrence: occurrence, Step: 1}) != 0 {
		f.t.Fatalf("the second step of occurrence %d started before the first", occurrence)
	}
	for _, name := range []modeler.TaskName{{Step: 0}, {Step: 1, Index: 1}, {Step: 1}} {
		name.Workflow, name.Occurrence = "r0", occurrence
		data, err := f.state.Encode()
		if err != nil {
			f.t.Fatal(err)
		}
		if f.state, err = DecodeState(data); err != nil {
			f.t.Fatal(err)
		}
		if f.start(worker, name) != 1 || f.end(worker, name, 1, AttemptFinished) != 1 {
			f.t.Fatalf("%s did not run", name)
		}
		if f.start(worker, name) != 0 {
			f.t.Fatalf("%s ran twice", name)
		}
	}
}
