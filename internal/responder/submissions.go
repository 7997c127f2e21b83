package responder

import (
	"context"
	"sync"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// submissions holds the submissions of workflows that are being committed. Callers
// send a submission again while its answer is late; only the first one is committed.
type submissions struct {
	mutex   sync.Mutex
	pending map[submissionKey]*submission
	// bytes is the memory that the pending submissions will take.
	bytes int64
}

// submissionKey identifies a submission. Departments that submit the same ID don't share
// an outcome: only one of them gets the workflow.
type submissionKey struct{ workflow, department string }

// submission is one commit. Its result is set before done is closed.
type submission struct {
	done   chan struct{}
	result reducer.Result
	err    error
}

// commit runs propose, or waits for the result of the same submission
// that runs already, until the context ends. It runs propose only if the room, in bytes, is
// enough for the submission and for all that run.
func (s *submissions) commit(
	ctx context.Context, key submissionKey, bytes, room int64, propose func() (reducer.Result, error),
) (reducer.Result, error) {
	s.mutex.Lock()
	running, ok := s.pending[key]
	if ok {
		s.mutex.Unlock()
		select {
		case <-running.done:
			return running.result, running.err
		case <-ctx.Done():
			return reducer.Result{}, modeler.Refuse(modeler.CodeUnknownOutcome, "", "the submission was not committed in time")
		}
	}
	if s.bytes+bytes > room {
		s.mutex.Unlock()
		return reducer.Result{}, exhausted()
	}
	s.bytes += bytes
	if s.pending == nil {
		s.pending = map[submissionKey]*submission{}
	}
	started := &submission{done: make(chan struct{})}
	s.pending[key] = started
	s.mutex.Unlock()
	started.result, started.err = propose()
	s.mutex.Lock()
	delete(s.pending, key)
	s.bytes -= bytes
	s.mutex.Unlock()
	close(started.done)
	return started.result, started.err
}
