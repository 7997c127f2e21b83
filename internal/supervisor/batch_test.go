package supervisor

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

var errCommit = errors.New("injected commit error")

func endOf(workflow string) []reducer.AttemptEnd {
	return []reducer.AttemptEnd{{Attempt: modeler.Attempt{Task: modeler.TaskName{Workflow: workflow}, Number: 1}}}
}

// runBatcher runs a batcher until the test ends.
func runBatcher(t *testing.T, propose func(context.Context, reducer.Command) error) *endBatcher {
	t.Helper()
	b := newEndBatcher(propose)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return b
}

// TestEndsOfManyWorkersShareCommands replays ends that 300 workers report within 0.3 s
// to a log that takes 50 ms for a command, whatever it holds.
func TestEndsOfManyWorkersShareCommands(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const workers, commitTime = 300, 50 * time.Millisecond
		seen, commands := map[string]int{}, 0
		b := runBatcher(t, func(_ context.Context, c reducer.Command) error {
			time.Sleep(commitTime)
			commands++
			for _, e := range c.Ends {
				seen[e.Attempt.Task.Workflow]++
			}
			return nil
		})
		results := make(chan time.Duration, workers)
		for i := range workers {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				began := time.Now()
				if err := b.commit(t.Context(), endOf(fmt.Sprint(i))); err != nil {
					t.Error(err)
				}
				results <- time.Since(began)
			}()
		}
		for range workers {
			if took := <-results; took > 2*commitTime {
				t.Errorf("an end was committed after %v, want at most %v", took, 2*commitTime)
			}
		}
		if limit := workers/int(commitTime/time.Millisecond) + 2; commands > limit {
			t.Errorf("%d commands were committed, want at most %d", commands, limit)
		}
		if len(seen) != workers {
			t.Errorf("the ends of %d workers were committed, want %d", len(seen), workers)
		}
		for workflow, count := range seen {
			if count != 1 {
				t.Errorf("the end of %s was committed %d times, want once", workflow, count)
			}
		}
	})
}

// TestBeginsAddFewCommands guards against a command for each start that a worker confirms.
func TestBeginsAddFewCommands(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		endInterval time.Duration
	}{
		"begins alone":     {},
		"begins with ends": {endInterval: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const begins, span = 1000, time.Second
				commands, ends, seen := 0, 0, map[string]int{}
				b := runBatcher(t, func(_ context.Context, c reducer.Command) error {
					time.Sleep(10 * time.Millisecond)
					commands++
					ends += len(c.Ends)
					for _, a := range c.Begins {
						seen[a.Task.Workflow]++
					}
					return nil
				})
				began := time.Now()
				for i := range begins {
					b.addBegin(modeler.Attempt{Task: modeler.TaskName{Workflow: fmt.Sprint(i)}, Number: 1})
					isDue := tt.endInterval > 0 && time.Since(began)%tt.endInterval == 0
					if isDue && b.commit(t.Context(), endOf("ended")) != nil {
						t.Fatal("the end was not committed")
					}
					time.Sleep(span / begins)
				}
				time.Sleep(2 * beginInterval)
				synctest.Wait()
				limit := ends + int(time.Since(began)/beginInterval)
				if commands > limit || len(seen) != begins {
					t.Errorf("%d commands hold %d begins, want %d in at most %d", commands, len(seen), begins, limit)
				}
				for workflow, count := range seen {
					if count != 1 {
						t.Errorf("the begin of %s was committed %d times, want once", workflow, count)
					}
				}
			})
		})
	}
}

func TestFailedCommitIsReportedToEachLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		err := errCommit
		b := runBatcher(t, func(context.Context, reducer.Command) error {
			time.Sleep(10 * time.Millisecond)
			return err
		})
		results := make(chan error, 3)
		for i := range 3 {
			go func() { results <- b.commit(t.Context(), endOf(fmt.Sprint(i))) }()
		}
		for range 3 {
			if got := <-results; !errors.Is(got, errCommit) {
				t.Errorf("got error %v, want %v", got, errCommit)
			}
		}
		err = nil
		if got := b.commit(t.Context(), endOf("again")); got != nil {
			t.Errorf("got error %v after a failed commit, want none", got)
		}
	})
}

// TestEndsOfStoppedLinkDoNotHoldUpOthers checks that a link that stops while its ends
// are being committed neither waits for them nor ends the commit of others.
func TestEndsOfStoppedLinkDoNotHoldUpOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := runBatcher(t, func(ctx context.Context, _ reducer.Command) error {
			time.Sleep(time.Second)
			return ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		stopped, other := make(chan error, 1), make(chan error, 1)
		go func() { stopped <- b.commit(ctx, endOf("stopped")) }()
		synctest.Wait()
		go func() { other <- b.commit(t.Context(), endOf("other")) }()
		cancel()
		synctest.Wait()
		select {
		case err := <-stopped:
			if !errors.Is(err, context.Canceled) {
				t.Errorf("got error %v, want %v", err, context.Canceled)
			}
		default:
			t.Error("the link that stops still waits")
		}
		if err := <-other; err != nil {
			t.Errorf("got error %v for the other link, want none", err)
		}
	})
}

func TestCommandHoldsBoundedNumberOfEnds(t *testing.T) {
	t.Parallel()
	b := newEndBatcher(nil)
	for range 3 {
		b.waiting = append(b.waiting, endReport{ends: make([]reducer.AttemptEnd, maxEndsPerCommit/2)})
	}
	b.waiting = append(b.waiting, endReport{ends: make([]reducer.AttemptEnd, 2*maxEndsPerCommit)})
	for _, want := range []int{2, 1, 1, 0} {
		if got := len(b.next()); got != want {
			t.Errorf("a command holds %d reports, want %d", got, want)
		}
	}
}
