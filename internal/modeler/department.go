package modeler

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

func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }
