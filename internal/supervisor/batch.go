package supervisor

import (
	"context"
	"sync"

	"github.com/samphirewick/samphirewick/internal/reducer"
)

// maxEndsPerCommit bounds the ends in one command, which is encoded and applied as a
// whole.
const maxEndsPerCommit = 500

// endBatcher commits the ends that many links report. While one command is being
// committed, it gathers the ends for the next one, so that the number of commands
// does not grow with the number of workers.
type endBatcher struct {
	// propose commits a command. Never nil.
	propose func(ctx context.Context, c reducer.Command) error
	// added holds a value if reports were added since run last took some.
	added chan struct{}

	mutex sync.Mutex
	// waiting are the reports for the next commands, oldest first.
	waiting []endReport
}

func newEndBatcher(propose func(ctx context.Context, c reducer.Command) error) *endBatcher {
	return &endBatcher{propose: propose, added: make(chan struct{}, 1)}
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

// run commits reports until the context ends, and passes the result of each commit to
// its links. It always returns nil.
func (b *endBatcher) run(ctx context.Context) error {
	for {
		batch := b.next()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-b.added:
			}
			continue
		}
		var ends []reducer.AttemptEnd
		for _, r := range batch {
			ends = append(ends, r.ends...)
		}
		err := b.propose(ctx, reducer.Command{Kind: reducer.KindEndAttempts, Ends: ends})
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
