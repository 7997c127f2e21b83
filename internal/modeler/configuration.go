package modeler

import (
	"encoding/json"
	"slices"
	"time"
)

// DocumentKind is the kind of a configuration document.
type DocumentKind string

// The kinds of configuration documents.
const (
	DocumentPool   DocumentKind = "pool"
	DocumentPolicy DocumentKind = "policy"
	DocumentGrant  DocumentKind = "grant"
)

// The oldest and the current of the schema versions that are supported at the
// same time.
const (
	OldestSchema  = 1
	CurrentSchema = 2
)

// Document is a configuration document as an operator submitted it.
type Document struct {
	Schema int          `json:"schema"`
	Kind   DocumentKind `json:"kind"`
	Name   string       `json:"name"`
	// Version is, in a submitted document, the version that it replaces, and
	// zero for a new document. In a response it is the current version.
	Version uint64 `json:"version"`
	// Spec is kept as submitted, including fields unknown to this version.
	Spec json.RawMessage `json:"spec"`
}

// Key returns the unique key of the document, which consists of kind and name.
func (d Document) Key() string {
	return string(d.Kind) + ":" + d.Name
}

// WithVersion returns a copy of d with the version.
func (d Document) WithVersion(version uint64) Document {
	d.Version = version
	return d
}

// Placement is the strategy by which a pool chooses among the workers on which a
// task fits.
type Placement string

// The placement strategies.
const (
	// PlacementBestFit packs tasks, filling one worker after another.
	PlacementBestFit Placement = "bestFit"
	// PlacementWorstFit spreads tasks, keeping free capacity on every worker.
	PlacementWorstFit Placement = "worstFit"
)

// PoolSpec is the content of a pool document.
type PoolSpec struct {
	Placement Placement `json:"placement"`
}

// PolicySpec is the content of a policy document. The document has the name of
// the service that it applies to.
type PolicySpec struct {
	// QueueLimit is the maximum number of requests waiting at one entry.
	QueueLimit int `json:"queueLimit"`
	// QueueMillis is the maximum time that a request waits for a slot, in milliseconds.
	QueueMillis int `json:"queueMillis"`
	// RequestMillis is the maximum run time of a request, in milliseconds.
	RequestMillis int `json:"requestMillis"`
	// ShortReservePercent is the percentage of slots reserved for short requests.
	ShortReservePercent int `json:"shortReservePercent"`
	// RetryPercent is the maximum number of retries as a percentage of requests.
	RetryPercent int `json:"retryPercent"`
	// DepartmentLimit is the maximum number of requests of one department in one
	// entry; zero means no limit.
	DepartmentLimit int `json:"departmentLimit,omitempty"`
}

// DefaultPolicy returns the policy of services that have no policy document.
func DefaultPolicy() PolicySpec {
	return PolicySpec{
		QueueLimit:          1024,
		QueueMillis:         5000,
		RequestMillis:       60000,
		ShortReservePercent: 25,
		RetryPercent:        10,
	}
}

// GrantSpec is the content of a grant document. A grant applies until the
// department's next grant starts, even beyond its nominal year.
type GrantSpec struct {
	Department string    `json:"department"`
	Year       int       `json:"year"`
	From       time.Time `json:"from"`
	// Limit is the maximum of resources that the department's tasks hold at once.
	Limit Resources `json:"limit"`
	// Weight is the department's weight in sharing resources when demand exceeds
	// the capacity of a pool; at least 1.
	Weight int `json:"weight"`
}

// Validate returns a refusal that names the first invalid field, or nil.
func (p PoolSpec) Validate() *RefusalError {
	if slices.Contains([]Placement{PlacementBestFit, PlacementWorstFit}, p.Placement) {
		return nil
	}
	return Refuse(CodeInvalid, "spec.placement", "%q is none of bestFit, worstFit", p.Placement)
}

// Validate returns a refusal that names the first invalid field, or nil.
func (p PolicySpec) Validate() *RefusalError {
	bounds := []struct {
		field            string
		value, low, high int
	}{
		{"queueLimit", p.QueueLimit, 1, 100000},
		{"queueMillis", p.QueueMillis, 1, 3600000},
		{"requestMillis", p.RequestMillis, 1, 3600000},
		{"shortReservePercent", p.ShortReservePercent, 0, 90},
		{"retryPercent", p.RetryPercent, 0, 100},
		{"departmentLimit", p.DepartmentLimit, 0, 100000},
	}
	for _, b := range bounds {
		if b.value < b.low || b.value > b.high {
			return Refuse(CodeInvalid, "spec."+b.field, "%d is not within %d and %d", b.value, b.low, b.high)
		}
	}
	return nil
}

// Validate returns a refusal that names the first invalid field, or nil.
func (g GrantSpec) Validate() *RefusalError {
	if refusal := CheckName("spec.department", g.Department); refusal != nil {
		return refusal
	}
	if g.Limit.IsNegative() {
		return Refuse(CodeInvalid, "spec.limit", "is negative")
	}
	if g.From.IsZero() {
		return Refuse(CodeInvalid, "spec.from", "missing")
	}
	if g.Weight < 1 {
		return Refuse(CodeInvalid, "spec.weight", "%d is below 1", g.Weight)
	}
	return nil
}

// AuditRecord is one record of the audit trail. It never contains a secret.
type AuditRecord struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Actor    string    `json:"actor"`
	ChangeID string    `json:"changeId,omitempty"`
	Action   string    `json:"action"`
	Subject  string    `json:"subject"`
	// FromVersion and ToVersion are equal if the change was refused.
	FromVersion uint64 `json:"fromVersion"`
	ToVersion   uint64 `json:"toVersion"`
	Result      string `json:"result"`
}

// RequestRecord records a non-repeatable request under its idempotency key.
type RequestRecord struct {
	// Key starts with its creation time in Unix seconds, followed by a dash.
	Key        string    `json:"key"`
	Department string    `json:"department"`
	Service    string    `json:"service"`
	Digest     string    `json:"digest"`
	Recorded   time.Time `json:"recorded"`
	// Attempt is a random identifier chosen by the entry that recorded the
	// request. Only that entry can set the outcome.
	Attempt string `json:"attempt"`
	// Outcome is unknown until the entry has reported another outcome.
	Outcome Outcome `json:"outcome"`
}

// WithOutcome returns a copy of r with the outcome.
func (r RequestRecord) WithOutcome(outcome Outcome) RequestRecord {
	r.Outcome = outcome
	return r
}
