package responder

import (
	"math"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// room returns how many bytes of memory are left for more work.
func (r *Responder) room() int64 {
	if r.options.WorkBytes == 0 {
		return math.MaxInt64
	}
	return r.options.WorkBytes - r.coordinator.State().WorkBytes
}

// exhausted returns the refusal of work for which there is no memory.
func exhausted() *modeler.RefusalError {
	return modeler.Refuse(modeler.CodeExhausted, "", "the cell has no memory for more work until some has ended")
}
