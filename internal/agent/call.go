package agent

import (
	"context"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// call makes the call of an order, and adds its result.
func (a *Agent) call(ctx context.Context, epoch uint64, o messenger.CallOrder) {
	result := messenger.CallResult{ID: o.ID}
	isUrgent := true
	switch session := o.Session(); {
	case o.Poll != nil:
		answer, err := a.options.Calls.Poll(ctx, session, o.Poll.Order(epoch))
		result = result.WithError(err)
		if err == nil {
			result.Poll = messenger.NewPollAnswer(answer)
			isUrgent = o.Urgent || len(answer.Ended) > 0 || answer.Unread > 0 || answer.StartedAtMillis != o.Born
		}
		a.endPoll(o, answer, &result)
	case o.Start != nil:
		started, err := a.options.Calls.Start(ctx, session, o.StartOrder(epoch))
		result = result.WithError(err)
		result.Start = started
	case o.Stop != nil:
		result = result.WithError(a.options.Calls.Stop(ctx, session, o.StopOrder(epoch)))
	default:
		result = result.WithError(a.options.Calls.Pace(ctx, session, o.PaceOrder(epoch)))
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.underWay--
	if epoch == a.epoch {
		a.addLocked(result, isUrgent)
	}
}

// endPoll records the result of a poll, and leaves the attempts that run out of it if the leader
// has them.
func (a *Agent) endPoll(o messenger.CallOrder, answer supervisor.PollResult, result *messenger.CallResult) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, ok := a.workers[o.Worker]
	if !ok || w.lastPoll != o.ID {
		return
	}
	w.cancelPoll(nil)
	w.cancelPoll = nil
	if result.Poll == nil {
		return
	}
	if o.Poll.Base != 0 && o.Poll.Base == w.base && slices.Equal(w.running, answer.Running) {
		result.Poll.Same, result.Poll.Running = true, nil
	}
	w.base, w.running = o.ID, answer.Running
}

// addLocked adds a result, and wakes the exchange that is held if it can't wait or if no other
// result is expected. The caller holds the mutex.
func (a *Agent) addLocked(result messenger.CallResult, isUrgent bool) {
	a.results = append(a.results, result)
	if isUrgent || a.underWay == 0 {
		a.isDue = true
		a.wakeLocked()
	}
}

func (a *Agent) wakeLocked() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// hold waits for a result that can't wait, and returns all results. It returns none if another
// exchange is held meanwhile: the leader has given this one up.
func (a *Agent) hold(ctx context.Context, limit time.Duration) []messenger.CallResult {
	a.mutex.Lock()
	a.wakeLocked()
	a.holders++
	holder, wake := a.holders, a.wake
	isDue := a.isDue
	a.mutex.Unlock()
	if !isDue {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-wake:
			time.Sleep(gatherDelay)
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if holder != a.holders || ctx.Err() != nil {
		return nil
	}
	results := a.results
	a.results, a.isDue = nil, false
	return results
}
