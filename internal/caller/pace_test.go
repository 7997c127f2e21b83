package caller

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// TestWaitingCallsShareFewSearches checks that the number of searches does not grow with
// the number of calls that wait for a leader: each search asks all members.
func TestWaitingCallsShareFewSearches(t *testing.T) {
	t.Parallel()
	const calls, searches = 200, 20
	member := newRestartedMember(t)
	c := New([]string{member.address}, nil, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waiting sync.WaitGroup
	began := time.Now()
	for range calls {
		waiting.Go(func() { _ = c.Call(ctx, messenger.MethodWatch, struct{}{}, nil) })
	}
	for range searches {
		<-member.located
	}
	if took := time.Since(began); took < (searches-1)*searchInterval {
		t.Errorf("%d searches took %v, want one per %v", searches, took, searchInterval)
	}
	cancel()
	waiting.Wait()
}
