package modeler

import "strings"

// What records take in the memory of a member that leads: in the state, and in the tables of
// the parts that place and watch their tasks. They are estimates from the sizes of the types,
// with the nodes of the maps and the texts that each record usually has.
const (
	// endedBytes is for a workflow that has ended, of which little is kept.
	endedBytes = 512
	// activeBytes is for a workflow that has not ended, without its steps.
	activeBytes = 2048
	// stepBytes is for the specification of a step, and readyBytes for a step whose tasks may
	// start.
	stepBytes, readyBytes = 256, 256
	// runBytes is for a run whose tasks are alike, and taskBytes for each task of another run.
	runBytes, taskBytes = 64, 512
	// jobBytes is for a job, and jobTaskBytes for each of its tasks.
	jobBytes, jobTaskBytes = 2048, 256
	// dependencyBytes is for the index of a step.
	dependencyBytes = 8
	// escapedBytes is the encoded length of the characters that the encoder escapes.
	escapedBytes = 6
	// maxReadySteps is about how many ready steps of occurrences that have not begun are held.
	maxReadySteps = 2 * MaxStepsPerWorkflow
)

// MemoryBytes returns about how many bytes of memory the workflow takes.
func (w Workflow) MemoryBytes() int64 {
	if len(w.Spec.Steps) == 0 {
		return endedBytes
	}
	bytes := activeBytes + w.payloadBytes + readyBytes*min(maxReadySteps, w.OccurrenceCount()*len(w.Spec.Steps))
	for _, s := range w.Spec.Steps {
		bytes += stepBytes + dependencyBytes*len(s.DependsOn) + escapedBytes*(len(s.Label)+len(s.Rack)+len(s.Image))
	}
	for _, r := range w.Runs {
		bytes += runBytes
		if _, ok := r.Tasks.uniformPhase(); !ok {
			bytes += taskBytes * len(r.Tasks)
		}
	}
	return int64(bytes)
}

// encodedLength returns the length of the text in commands and snapshots.
func encodedLength(text string) int {
	length := len(text)
	for i := range len(text) {
		if c := text[i]; c < ' ' || strings.IndexByte("\"\\<>&", c) >= 0 {
			length += escapedBytes - 1
		}
	}
	return length
}

// MemoryBytes returns about how many bytes of memory the job takes.
func (j Job) MemoryBytes() int64 {
	return int64(jobBytes + len(j.Raw) + len(j.Spec.Payload) + jobTaskBytes*len(j.Tasks))
}
