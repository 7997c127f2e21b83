package reducer

import (
	"strconv"
	"strings"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// maxKeyClockSkew is how far the time in a key may be ahead of the leader's clock.
const maxKeyClockSkew = time.Minute

// IdempotencyKeyTime returns the time at which an idempotency key was created. A
// key consists of the Unix time in seconds, a dash, and at least eight characters.
func IdempotencyKeyTime(key string) (time.Time, *modeler.RefusalError) {
	const minSuffixLength = 8
	if refusal := modeler.CheckName("idempotencyKey", key); refusal != nil {
		return time.Time{}, refusal
	}
	timestamp, suffix, ok := strings.Cut(key, "-")
	seconds, err := strconv.ParseInt(timestamp, 10, 64)
	if !ok || err != nil || len(suffix) < minSuffixLength {
		return time.Time{}, modeler.Refuse(modeler.CodeInvalid, "idempotencyKey",
			"is not Unix seconds, a dash and at least %d characters", minSuffixLength)
	}
	return time.Unix(seconds, 0), nil
}

// recordRequests records a request before its first byte is sent. If the key is
// already in use, the existing record is returned, the request must not be sent,
// and later requests of the command are not processed; a different request with
// the same key is refused. The same attempt is accepted again, and a key whose
// request has not run may be used again.
func (t *transition) recordRequests() *modeler.RefusalError {
	for _, r := range t.command.Requests {
		created, refusal := IdempotencyKeyTime(r.Key)
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
			return t.checkDuplicate(known, r)
		}
		if created.Before(t.at.Add(-RequestWindow)) || created.After(t.at.Add(maxKeyClockSkew)) {
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

func (t *transition) checkDuplicate(known, repeated modeler.RequestRecord) *modeler.RefusalError {
	if known.Digest != repeated.Digest || known.Service != repeated.Service {
		return modeler.Refuse(modeler.CodeConflict, "idempotencyKey", "was used for another request")
	}
	return nil
}

// settleRequests records the outcomes of requests. An outcome other than unknown
// is final.
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

// applyRetention removes records whose retention period has passed: requests,
// answers to changes, and ended jobs and workflows.
func (t *transition) applyRetention() *modeler.RefusalError {
	requestCutoff := t.at.Add(-RequestWindow - 2*maxKeyClockSkew)
	for _, r := range Values(t.Requests) {
		created, _ := IdempotencyKeyTime(r.Key)
		if created.Before(requestCutoff) && r.Recorded.Before(requestCutoff) {
			t.Requests = t.Requests.Delete(requestID(r.Department, r.Key))
		}
	}
	for _, c := range Values(t.ConfigurationChanges) {
		if c.At.Before(t.at.Add(-ChangeWindow)) {
			t.ConfigurationChanges = t.ConfigurationChanges.Delete(c.ID)
		}
	}
	for _, j := range Values(t.Jobs) {
		if !j.Ended.IsZero() && j.Ended.Before(t.command.Before) {
			t.WorkBytes -= j.MemoryBytes()
			t.Jobs = t.Jobs.Delete(j.Spec.ID)
			t.markChanged(RecordJob, j.Spec.ID)
		}
	}
	t.removeEndedWorkflows()
	return nil
}
