package modeler

import (
	"slices"
	"time"
)

// Department is a team whose workflows share the workers with those of others. It is
// immutable.
type Department struct {
	Name string `json:"name"`
	// Keys authenticate the department's calls. No two departments have a key in common.
	Keys []string `json:"keys,omitempty"`
	// Weight is the department's share of the workers when all are full, relative to the
	// other departments. It is also the number of workflows a second that are within its
	// rate. Never negative.
	Weight float64 `json:"weight,omitempty"`
	// Cap bounds the resources that the department's tasks hold together. A resource type
	// of which it has none is not bounded.
	Cap Resources `json:"cap,omitzero"`
}

// Exceeds reports whether the usage is above the cap in a resource type that it bounds.
func (d Department) Exceeds(usage Resources) bool {
	return exceeds(usage.Processors, d.Cap.Processors) || exceeds(usage.Memory, d.Cap.Memory) ||
		exceeds(usage.Accelerators, d.Cap.Accelerators)
}

// WithoutKeys returns a copy of d without its keys.
func (d Department) WithoutKeys() Department {
	d.Keys = nil
	return d
}

func (d Department) validate() *RefusalError {
	switch {
	case slices.Contains(d.Keys, ""):
		return Refuse(CodeInvalid, "departments."+d.Name+".keys", "a key is empty")
	case d.Weight < 0:
		return Refuse(CodeInvalid, "departments."+d.Name+".weight", "%g is negative", d.Weight)
	case d.Cap.IsNegative():
		return Refuse(CodeInvalid, "departments."+d.Name+".cap", "is negative")
	default:
		return nil
	}
}

func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }

const (
	// rateBurst is the time for which a department's unused rate accumulates.
	rateBurst = 2 * time.Second
	// minRateBurst is the number of workflows that a department may always submit at once.
	minRateBurst = 2
)

// submissionInterval returns the time in which the department's rate allows one workflow.
func (d Department) submissionInterval() time.Duration {
	// Compared as a number, because the result of converting a float that overflows
	// depends on the processor.
	if interval := float64(time.Second) / d.Weight; interval < float64(maxDuration) {
		return max(1, time.Duration(interval))
	}
	return maxDuration
}

// RateBucket is the token bucket of a department's submissions. It is kept as a time
// instead of a number of tokens, because sums of floats differ between processors, and
// all members have to agree. It is immutable.
type RateBucket struct {
	Department string `json:"department"`
	// FullAt is the time at which the bucket is full again.
	FullAt time.Time `json:"fullAt"`
}

// Take returns the bucket after the department has submitted a workflow at the time, and
// whether there was a token for it. The bucket is unchanged if there was none.
func (b RateBucket) Take(d Department, at time.Time) (RateBucket, bool) {
	interval := d.submissionInterval()
	fullAt := b.FullAt
	if fullAt.Before(at) {
		fullAt = at
	}
	fullAt = fullAt.Add(interval)
	if fullAt.Sub(at) > max(rateBurst, minRateBurst*interval) {
		return b, false
	}
	b.FullAt = fullAt
	return b, true
}
