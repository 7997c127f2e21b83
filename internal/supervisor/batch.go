package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// maxEndsPerCommit bounds the ends in one command, which is encoded and applied as a
// whole.
const maxEndsPerCommit = 500

// beginInterval is the interval of commands that hold begins alone. Callers accept that a
// begin shows 2 s late.
const beginInterval = 250 * time.Millisecond

// endBatcher commits the ends that many links report. While one command is being
// committed, it gathers the ends for the next one, so that the number of commands
// does not grow with the number of workers. Begins and listed attempts go along with the next ends,
// or are committed at the next beginInterval.
type endBatcher struct {
	// propose commits a command. Never nil.
	propose func(ctx context.Context, c reducer.Command) error
	// added holds a value if reports were added since run last took some.
	added chan struct{}

	mutex sync.Mutex
	// waiting are the reports for the next commands, oldest first.
	waiting []endReport
	// begins holds a begun attempt for each workflow that the state does not show as begun.
	begins map[string]modeler.Attempt
	// listed are the listed attempts for the next commands, oldest first.
	listed []modeler.Attempt
}

func newEndBatcher(propose func(ctx context.Context, c reducer.Command) error) *endBatcher {
	return &endBatcher{propose: propose, added: make(chan struct{}, 1), begins: map[string]modeler.Attempt{}}
}

// endReport holds the ends that one link reports.
type endReport struct {
	ends []reducer.AttemptEnd
	// committed receives the result of the commit. It has room for one value.
	committed chan error
}

// commit blocks until a command with the ends is committed, has failed, or the context
// ends. In the last case the ends may still be committed.
func (b *endBatcher) commit(ctx context.Context, ends []reducer.AttemptEnd) error {
	report := endReport{ends: ends, committed: make(chan error, 1)}
	b.mutex.Lock()
	b.waiting = append(b.waiting, report)
	b.mutex.Unlock()
	select {
	case b.added <- struct{}{}:
	default:
	}
	select {
	case err := <-report.committed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addBegin adds a begun attempt to one of the next commands. A begin whose commit fails is
// added again when the worker lists the attempt next.
func (b *endBatcher) addBegin(a modeler.Attempt) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.begins[a.Task.Workflow] = a
}

// addListed adds a listed attempt to one of the next commands. If that is not committed, the next
// leader does not know of it, and waits longer.
func (b *endBatcher) addListed(a modeler.Attempt) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.listed = append(b.listed, a)
}

// run commits reports until the context ends, and passes the result of each commit to
// its links. It always returns nil.
func (b *endBatcher) run(ctx context.Context) error {
	ticker := time.NewTicker(beginInterval)
	defer ticker.Stop()
	for beginsDue := false; ; {
		batch := b.next()
		var begins, listed []modeler.Attempt
		if len(batch) > 0 || beginsDue {
			begins, listed = b.nextBegins(), b.nextListed()
		}
		beginsDue = false
		if len(batch) == 0 && len(begins) == 0 && len(listed) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-b.added:
			case <-ticker.C:
				beginsDue = true
			}
			continue
		}
		var ends []reducer.AttemptEnd
		for _, r := range batch {
			ends = append(ends, r.ends...)
		}
		err := b.propose(ctx, reducer.Command{Kind: reducer.KindEndAttempts, Begins: begins, Listed: listed, Ends: ends})
		for _, r := range batch {
			r.committed <- err
		}
	}
}

// next removes the reports for the next command, with at most maxEndsPerCommit ends
// unless a single report has more.
func (b *endBatcher) next() []endReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count, ends := 0, 0
	for count < len(b.waiting) && (count == 0 || ends+len(b.waiting[count].ends) <= maxEndsPerCommit) {
		ends += len(b.waiting[count].ends)
		count++
	}
	batch := b.waiting[:count:count]
	b.waiting = b.waiting[count:]
	return batch
}

// nextBegins removes the begins for the next command, at most maxEndsPerCommit.
func (b *endBatcher) nextBegins() []modeler.Attempt {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var begins []modeler.Attempt
	for workflow, a := range b.begins {
		if len(begins) == maxEndsPerCommit {
			break
		}
		begins = append(begins, a)
		delete(b.begins, workflow)
	}
	return begins
}

// nextListed removes the listed attempts for the next command, at most maxEndsPerCommit.
func (b *endBatcher) nextListed() []modeler.Attempt {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := min(len(b.listed), maxEndsPerCommit)
	listed := b.listed[:count:count]
	b.listed = b.listed[count:]
	return listed
}
