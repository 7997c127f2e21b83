// Package relayer collects lease renewals of workers and sends them to control in
// batches, so that the number of calls depends on time and not on the number of workers.
package relayer

import (
	"context"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const (
	// batchDelay is the longest time that the first renewal of a batch waits for others.
	batchDelay = 20 * time.Millisecond
	// maxBatch is the maximum number of renewals in one call.
	maxBatch = 512
	// queueSize is the maximum number of waiting renewals; more are refused.
	queueSize = 4096
	// callTimeout bounds one call to control, including all its retries.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls is the number of calls that run concurrently.
	maxConcurrentCalls = 4
)

// pending is a renewal that waits for its answer.
type pending struct {
	renewal messenger.Renewal
	reply   chan result
}

type result struct {
	answer messenger.RenewalAnswer
	err    error
}

// Relayer relays renewals. It is safe for concurrent use.
type Relayer struct {
	queue chan pending
	// renew sends a batch to control. Never nil.
	renew func(context.Context, messenger.RenewCall) (messenger.RenewAnswer, error)
}

// New returns a relayer that sends batches with renew.
func New(renew func(context.Context, messenger.RenewCall) (messenger.RenewAnswer, error)) *Relayer {
	return &Relayer{queue: make(chan pending, queueSize), renew: renew}
}

// Renew adds the renewal to the next batch and waits for its answer. It refuses
// with CodeOverloaded if the queue is full, and with CodeUnknownOutcome if the
// context ends first.
func (r *Relayer) Renew(ctx context.Context, renewal messenger.Renewal) (messenger.RenewalAnswer, error) {
	i := pending{renewal, make(chan result, 1)}
	select {
	case r.queue <- i:
	default:
		return messenger.RenewalAnswer{}, modeler.Refuse(modeler.CodeOverloaded, "", "too many renewals wait")
	}
	select {
	case got := <-i.reply:
		return got.answer, got.err
	case <-ctx.Done():
		return messenger.RenewalAnswer{}, modeler.Refuse(modeler.CodeUnknownOutcome, "", "control did not answer in time")
	}
}

// Run sends batches until the context ends.
func (r *Relayer) Run(ctx context.Context) error {
	return runner.StartGroup(ctx, maxConcurrentCalls, r.sendBatches).Wait()
}

func (r *Relayer) sendBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.queue:
			r.sendBatch(ctx, r.collectBatch(ctx, first))
		}
	}
}

// collectBatch returns the first renewal and those that follow it within
// batchDelay, up to maxBatch.
func (r *Relayer) collectBatch(ctx context.Context, first pending) []pending {
	batch := []pending{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case next := <-r.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// sendBatch sends the batch to control and distributes the answers, which are in
// the order of the renewals.
func (r *Relayer) sendBatch(ctx context.Context, batch []pending) {
	call := messenger.RenewCall{}
	for _, i := range batch {
		call.Renewals = append(call.Renewals, i.renewal)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := r.renew(callCtx, call)
	if err == nil && len(answer.Answers) != len(batch) {
		err = modeler.Refuse(modeler.CodeUnavailable, "", "control answered another batch")
	}
	for n, i := range batch {
		if err != nil {
			i.reply <- result{err: err}
			continue
		}
		i.reply <- result{answer: answer.Answers[n]}
	}
}
