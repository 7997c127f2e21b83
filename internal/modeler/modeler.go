// Package modeler defines the immutable data types that the processes of a cell
// share: resources, workers, jobs, workflows, grants, pools, policies and requests.
package modeler

import (
	"cmp"
	"fmt"
)

// Resources is an amount of each resource type that a worker offers.
type Resources struct {
	// Processors is an amount of CPU in millicores.
	Processors int64 `json:"processors"`
	// Memory is an amount of memory in bytes.
	Memory int64 `json:"memory"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators"`
}

// Plus returns the sum of r and other for each resource type.
func (r Resources) Plus(other Resources) Resources {
	r.Processors += other.Processors
	r.Memory += other.Memory
	r.Accelerators += other.Accelerators
	return r
}

// Minus returns the difference of r and other for each resource type.
func (r Resources) Minus(other Resources) Resources {
	return r.Plus(other.Times(-1))
}

// Times returns r with each amount multiplied by count.
func (r Resources) Times(count int64) Resources {
	r.Processors *= count
	r.Memory *= count
	r.Accelerators *= count
	return r
}

// FitsIn reports whether no amount in r exceeds that in limit.
func (r Resources) FitsIn(limit Resources) bool {
	return r.Processors <= limit.Processors &&
		r.Memory <= limit.Memory &&
		r.Accelerators <= limit.Accelerators
}

// IsNegative reports whether any amount is negative.
func (r Resources) IsNegative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// DominantShare returns the largest fraction of total that r takes of any
// resource type. It ignores types of which total has none.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.Processors, total.Processors)
	share = max(share, fraction(r.Memory, total.Memory))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// RefusalCode is the class of a refusal. The HTTP layer maps each code to a status.
type RefusalCode string

// The refusal codes returned by the replicated state and by entries.
const (
	CodeInvalid         RefusalCode = "invalid"
	CodeUnsupported     RefusalCode = "unsupportedSchema"
	CodeConflict        RefusalCode = "conflict"
	CodeNotFound        RefusalCode = "notFound"
	CodeDuplicate       RefusalCode = "duplicate"
	CodeGrantExceeded   RefusalCode = "grantExceeded"
	CodeStale           RefusalCode = "stale"
	CodeUnavailable     RefusalCode = "unavailable"
	CodeNotLeader       RefusalCode = "notLeader"
	CodeUnknownOutcome  RefusalCode = "unknownOutcome"
	CodeOverloaded      RefusalCode = "overloaded"
	CodeUnauthenticated RefusalCode = "unauthenticated"
	CodeForbidden       RefusalCode = "forbidden"
	CodeTooLarge        RefusalCode = "tooLarge"
	CodeNoBackend       RefusalCode = "noBackendServer"
	// CodeExhausted means that the cell has no memory for more work until some has ended.
	CodeExhausted RefusalCode = "exhausted"
)

// RefusalError is the reason why an operation was refused. It is passed between
// processes unchanged.
type RefusalError struct {
	Code RefusalCode `json:"code"`
	// Field is the path of the invalid field, or empty.
	Field string `json:"field,omitempty"`
	// Reason is a short explanation in lower case.
	Reason string `json:"reason"`
	// QueueTable is the version of the queue table that the refusal follows from, or zero.
	QueueTable uint64 `json:"queueTable,omitempty"`
}

// Error implements error.
func (r *RefusalError) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%s: %s", r.Code, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Code, r.Field, r.Reason)
}

// Refuse returns a refusal whose reason is formatted as by fmt.Sprintf.
func Refuse(code RefusalCode, field, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Outcome states whether a caller's request was executed.
type Outcome string

// The outcomes of a request. OutcomeNotRun is used only if it is certain that
// the request did not run.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// TaskReference identifies one task of a job.
type TaskReference struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Compare orders references by job, then by index.
func (t TaskReference) Compare(other TaskReference) int {
	if c := cmp.Compare(t.Job, other.Job); c != 0 {
		return c
	}
	return cmp.Compare(t.Index, other.Index)
}

// String returns the reference as job/index.
func (t TaskReference) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}
