package responder_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// submitOnce submits a workflow, and returns how long the answer took and its refusal code.
func (c *cell) submitOnce(id, payload string) (time.Duration, modeler.RefusalCode) {
	began := time.Now()
	submission := submissionOf("/q/"+id, "kRed")
	submission.Spec.Payload = payload
	code := codeOf(c.call("client", messenger.MethodSubmitWorkflow, submission, nil))
	return time.Since(began), code
}

// Guards against accepted work that fills the memory of the members: work for which there is
// no memory is refused at once with nothing committed, and accepted again once there is.
func TestWorkBeyondTheMemoryIsRefused(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		const most = workBytes / 512
		accepted, refused := 0, false
		for ; !refused; accepted++ {
			if accepted > most {
				t.Fatalf("%d workflows were accepted", accepted)
			}
			took, code := c.submitOnce(fmt.Sprint("w", accepted), "")
			refused = code == modeler.CodeExhausted && took <= 2*networkDelay
			if code != "" && !refused {
				t.Fatalf("workflow %d was answered %q after %s", accepted, code, took)
			}
		}
		state := c.leader().running().coordinator.State()
		if accepted == 1 || state.WorkBytes > workBytes {
			t.Fatalf("%d workflows were accepted and take %d bytes of %d", accepted, state.WorkBytes, workBytes)
		}
		if _, code := c.submitOnce("w0", ""); code != "" {
			t.Errorf("an accepted workflow that was submitted again was answered %q", code)
		}
		unknown := messenger.WorkflowCall{Target: target("/q/unknown", "kRed")}
		if err := c.call("client", messenger.MethodCancelWorkflow, unknown, nil); err != nil && codeOf(err) != modeler.CodeNotFound {
			t.Errorf("the cancellation of an unknown workflow was answered %v while there was room for its record", err)
		}
		known := messenger.WorkflowCall{Target: target("/q/w0", "kRed")}
		if err := c.call("client", messenger.MethodCancelWorkflow, known, nil); err != nil {
			t.Fatalf("the cancellation of an accepted workflow was refused: %v", err)
		}
		if _, code := c.submitOnce("later", ""); code != "" {
			t.Errorf("a workflow was answered %q after another one had ended", code)
		}
	})
}

// Guards against submissions at the same time that each find room for one.
func TestSubmissionsAtTheSameTimeShareTheMemory(t *testing.T) {
	// Each of its characters takes six in snapshots.
	payload := strings.Repeat("<", modeler.MaxPayloadBytes)
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		var clients sync.WaitGroup
		for i := range 200 {
			clients.Go(func() { c.submitOnce(fmt.Sprint("w", i), payload) })
		}
		clients.Wait()
		state := c.leader().running().coordinator.State()
		if state.WorkBytes > workBytes || state.Workflows.Len() < 2 {
			t.Errorf("%d workflows take %d bytes of %d", state.Workflows.Len(), state.WorkBytes, workBytes)
		}
	})
}

// Guards against work that is refused for the records of ended work, and against records that
// are forgotten sooner than promised.
func TestEndedWorkIsForgottenSoonerWhileMemoryIsShort(t *testing.T) {
	runInCell(t, func(_ context.Context, c *cell, _ *runner.Group) {
		c.useKeys()
		state := func() reducer.State { return c.leader().running().coordinator.State() }
		for i := 0; state().WorkBytes <= workBytes/2; i++ {
			name := fmt.Sprint("w", i)
			if _, code := c.submitOnce(name, ""); code != "" {
				t.Fatalf("a workflow was answered %q", code)
			}
			c.mustCall(messenger.MethodCancelWorkflow, messenger.WorkflowCall{Target: target("/q/"+name, "kRed")}, nil)
		}
		first, _ := state().Workflows.Get("w0")
		lasts := time.Until(first.Ended.Add(2 * time.Minute))
		checkThroughout(lasts, func() {
			if _, ok := state().Workflows.Get("w0"); !ok {
				t.Fatalf("the workflow was forgotten %s after its end", time.Since(first.Ended))
			}
		})
		c.eventually(12*time.Second, "the workflow is forgotten", func() bool {
			_, ok := state().Workflows.Get("w0")
			return !ok
		})
	})
}
