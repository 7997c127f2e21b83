package filterer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	recordTimeout = 3 * time.Second
	settleTimeout = time.Second
)

// recorder commits a request that is not repeatable before anything is sent,
// and its outcome before the caller hears of it.
type recorder struct {
	steps Dependencies
}

func (c recorder) serve(ctx context.Context, r Request, next Handler) Answer {
	if r.Repeatable {
		return next(ctx, r)
	}
	record := modeler.RequestRecord{
		Key:        r.Key,
		Department: r.Department,
		Service:    r.Service,
		Digest:     digest(r),
		Attempt:    r.ID,
	}
	if answer, ok := c.record(ctx, record); !ok {
		return answer
	}
	answer := next(ctx, r)
	if answer.Outcome == modeler.OutcomeUnknown {
		return answer
	}
	return c.settle(ctx, record, answer)
}

// record reports whether the request is new, and otherwise how to answer it.
func (c recorder) record(ctx context.Context, record modeler.RequestRecord) (Answer, bool) {
	bounded, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := c.steps.Record(bounded, record)
	var refusal *modeler.RefusalError
	switch {
	case errors.As(err, &refusal):
		// Nothing was sent under this attempt, and nothing will be.
		return NotRun(refusal), false
	case err != nil:
		return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "%v", err)), false
	case recorded.New:
		return Answer{}, true
	}
	return firstAnswer(recorded.First), false
}

// firstAnswer answers a request that was sent again by what became of the first.
func firstAnswer(first modeler.RequestRecord) Answer {
	refusal := modeler.Refuse(modeler.CodeDuplicate, "idempotencyKey",
		"the request was received before; its outcome: %s", first.Outcome)
	return Answer{Outcome: first.Outcome, Refusal: refusal}
}

// settle commits the outcome. A request is said not to have run only once that
// is committed, so that the same key may be sent again.
func (c recorder) settle(ctx context.Context, record modeler.RequestRecord, answer Answer) Answer {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	// A request that ran is known to have run, whether or not that was committed.
	_ = c.steps.Settle(bounded, record.WithOutcome(answer.Outcome))
	return answer
}

// digest is equal for equal requests.
func digest(r Request) string {
	sum := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(r.Body)
	return hex.EncodeToString(sum.Sum(nil))
}
