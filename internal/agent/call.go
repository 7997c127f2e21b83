package agent

import (
	"context"
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
		answer, err := a.options.Calls.Poll(ctx, session, o.PollOrder())
		result = result.WithError(err)
		if err == nil {
			isUrgent = o.Urgent || len(answer.Ended) > 0 || answer.Unread > 0 || answer.StartedAtMillis != o.Born
			result.Poll = messenger.NewPollAnswer(answer, a.baseOf(o))
		}
		a.endPoll(o, answer, err == nil)
	case o.Start != nil:
		started, err := a.options.Calls.Start(ctx, session, o.StartOrder())
		result = result.WithError(err)
		result.Start = started
	case o.Stop != nil:
		result = result.WithError(a.options.Calls.Stop(ctx, session, o.StopOrder()))
	default:
		result = result.WithError(a.options.Calls.Pace(ctx, session, o.PaceOrder()))
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.underWay--
	if epoch == a.epoch {
		a.addLocked(result, isUrgent)
	}
}

// baseOf returns the attempts in the result that the poll names as its base, if they are known.
func (a *Agent) baseOf(o messenger.CallOrder) []supervisor.Running {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w, ok := a.workers[o.Worker]; ok && o.Poll.Base != 0 && o.Poll.Base == w.base {
		return w.running
	}
	return nil
}

// endPoll records the answer to a poll, if there is one.
func (a *Agent) endPoll(o messenger.CallOrder, answer supervisor.PollResult, isAnswered bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, ok := a.workers[o.Worker]
	if !ok || w.lastPoll != o.ID {
		return
	}
	w.cancelPoll(nil)
	w.cancelPoll = nil
	if isAnswered {
		w.base, w.running = o.ID, answer.Running
	}
}

// addLocked adds a result, and wakes the exchange that is held if it can't wait or if no other
// result is expected. The caller holds the mutex.
func (a *Agent) addLocked(result messenger.CallResult, isUrgent bool) {
	if len(a.results) >= 2*maxCalls {
		// The leader takes none; to it, the call gets no answer.
		a.stats.Full++
		return
	}
	a.results = append(a.results, result)
	switch {
	case isUrgent || a.underWay == 0:
		a.isDue = true
		a.wakeLocked()
	case len(a.results) == 1:
		takes := a.takes
		time.AfterFunc(linger, func() { a.makeDue(takes) })
	}
}

// makeDue ends the waiting of results, unless they were taken since.
func (a *Agent) makeDue(takes uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.takes == takes {
		a.isDue = true
		a.wakeLocked()
	}
}

// takeLocked returns the results, and drops them. The caller holds the mutex.
func (a *Agent) takeLocked() []messenger.CallResult {
	results := a.results
	a.results, a.isDue = nil, false
	a.takes++
	return results
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
	return a.takeLocked()
}
