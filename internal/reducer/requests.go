package reducer

import (
	"strconv"
	"strings"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// maxKeyLead is how far the clock of a key may run ahead of the leader's.
const maxKeyLead = time.Minute

// KeyTime returns the instant at which an idempotency key was made. A key is
// the Unix time in seconds, a dash, and at least eight more characters.
func KeyTime(key string) (time.Time, *modeler.RefusalError) {
	const minRandom = 8
	if refusal := modeler.CheckName("idempotencyKey", key); refusal != nil {
		return time.Time{}, refusal
	}
	head, tail, ok := strings.Cut(key, "-")
	seconds, err := strconv.ParseInt(head, 10, 64)
	if !ok || err != nil || len(tail) < minRandom {
		return time.Time{}, modeler.Refuse(modeler.CodeInvalid, "idempotencyKey",
			"is not Unix seconds, a dash and at least %d characters", minRandom)
	}
	return time.Unix(seconds, 0), nil
}

// recordRequests records one request before its first byte is sent. A key that
// is on record gives its record back and must not be sent.
func (t *transition) recordRequests() *modeler.RefusalError {
	for _, r := range t.command.Requests {
		made, refusal := KeyTime(r.Key)
		if refusal != nil {
			return refusal
		}
		id := requestID(r.Department, r.Key)
		known, ok := t.Requests.Get(id)
		if ok && known.Attempt == r.Attempt {
			t.result.Accepted++
			continue
		}
		if ok && known.Outcome != modeler.OutcomeNotRun {
			t.result.Request = &known
			return t.duplicate(known, r)
		}
		if made.Before(t.at.Add(-RequestWindow)) || made.After(t.at.Add(maxKeyLead)) {
			return modeler.Refuse(modeler.CodeStale, "idempotencyKey",
				"was not made within the last %s", RequestWindow)
		}
		r.Recorded = t.at
		r.Outcome = modeler.OutcomeUnknown
		t.Requests = t.Requests.Set(id, r)
		t.result.Accepted++
	}
	return nil
}

func (t *transition) duplicate(known, again modeler.RequestRecord) *modeler.RefusalError {
	if known.Digest != again.Digest || known.Service != again.Service {
		return modeler.Refuse(modeler.CodeConflict, "idempotencyKey", "was used for another request")
	}
	return nil
}

// settleRequests notes what became of requests. An outcome other than unknown
// is never changed again.
func (t *transition) settleRequests() *modeler.RefusalError {
	for _, r := range t.command.Requests {
		id := requestID(r.Department, r.Key)
		known, ok := t.Requests.Get(id)
		if !ok || known.Outcome != modeler.OutcomeUnknown || known.Attempt != r.Attempt {
			continue
		}
		t.Requests = t.Requests.Set(id, known.WithOutcome(r.Outcome))
		t.result.Accepted++
	}
	return nil
}

func requestID(department, key string) string {
	return department + "|" + key
}

// retain forgets what the state need not remember any longer.
func (t *transition) retain() *modeler.RefusalError {
	requestsBefore := t.at.Add(-RequestWindow - 2*maxKeyLead)
	for _, r := range Values(t.Requests) {
		made, _ := KeyTime(r.Key)
		if made.Before(requestsBefore) && r.Recorded.Before(requestsBefore) {
			t.Requests = t.Requests.Delete(requestID(r.Department, r.Key))
		}
	}
	for _, c := range Values(t.Changes) {
		if c.At.Before(t.at.Add(-ChangeWindow)) {
			t.Changes = t.Changes.Delete(c.ID)
		}
	}
	for _, j := range Values(t.Jobs) {
		if !j.Ended.IsZero() && j.Ended.Before(t.command.Before) {
			t.Jobs = t.Jobs.Delete(j.Spec.ID)
			t.touch(TouchJob, j.Spec.ID)
		}
	}
	t.retainWorkflows()
	return nil
}
