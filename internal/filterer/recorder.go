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

// recorder commits a request that is not repeatable before it is sent, and its
// outcome before the caller gets the answer.
type recorder struct {
	deps Dependencies
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
	answer.KeyChecked = true
	if answer.Outcome == modeler.OutcomeUnknown {
		return answer
	}
	return c.settle(ctx, record, answer)
}

// record commits the request. It reports true if the request is new, and
// otherwise returns the answer to the caller.
func (c recorder) record(ctx context.Context, record modeler.RequestRecord) (Answer, bool) {
	recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := c.deps.Record(recordCtx, record)
	var refusal *modeler.RefusalError
	switch {
	case errors.As(err, &refusal):
		answer := NotRun(refusal)
		answer.KeyChecked = neverRanUnder[refusal.Code]
		return answer, false
	case err != nil:
		return NotRun(modeler.Refuse(modeler.CodeUnavailable, "", "%v", err)), false
	case recorded.New:
		return Answer{}, true
	}
	return firstAnswer(recorded.Earlier), false
}

// neverRanUnder holds the codes of refusals that prove that this request never ran
// under its key: no request is accepted with an invalid key, and a key in conflict
// belongs to another request. A stale key proves nothing, because its record may
// have been removed.
var neverRanUnder = map[modeler.RefusalCode]bool{
	modeler.CodeInvalid:  true,
	modeler.CodeConflict: true,
}

// firstAnswer answers a repeated request with the recorded outcome of the first one.
func firstAnswer(first modeler.RequestRecord) Answer {
	refusal := modeler.Refuse(modeler.CodeDuplicate, "idempotencyKey",
		"the request was received before; its outcome: %s", first.Outcome)
	return Answer{Outcome: first.Outcome, Refusal: refusal, KeyChecked: true}
}

// settle commits the outcome before the caller gets the answer, so that a caller
// that gets the outcome notRun may use the same key again. It returns the answer even
// if the commit fails, because the outcome is true either way. The reason of a
// refusal then says that the request needs a new key.
func (c recorder) settle(ctx context.Context, record modeler.RequestRecord, answer Answer) Answer {
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	err := c.deps.Settle(settleCtx, record.WithOutcome(answer.Outcome))
	if err != nil && answer.Outcome == modeler.OutcomeNotRun {
		answer.Refusal = modeler.Refuse(answer.Refusal.Code, answer.Refusal.Field,
			"%s; the outcome was not recorded (%v), so send the request with a new key", answer.Refusal.Reason, err)
	}
	return answer
}

// digest returns the SHA-256 digest of the service, method, path and body.
func digest(r Request) string {
	sum := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(r.Body)
	return hex.EncodeToString(sum.Sum(nil))
}
