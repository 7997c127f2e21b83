package messenger

import "github.com/samphirewick/samphirewick/internal/modeler"

// DepartmentStatus describes a department whose workflows share the workers.
type DepartmentStatus struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Cap bounds Usage. A resource type of which it has none is not bounded.
	Cap modeler.Resources `json:"cap"`
	// Usage is what the tasks of its workflows hold.
	Usage modeler.Resources `json:"usage"`
	// Share is the largest fraction that Usage takes of what all workers have of a
	// resource type.
	Share float64 `json:"share"`
	// Waiting and Running count its workflows; BeyondRate counts those that wait and were
	// submitted beyond its rate.
	Waiting    int `json:"waiting"`
	BeyondRate int `json:"beyondRate"`
	Running    int `json:"running"`
	// Removed reports that the department is not in the queue table any more.
	Removed bool `json:"removed,omitempty"`
}
