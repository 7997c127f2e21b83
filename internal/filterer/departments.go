package filterer

import (
	"context"
	"sync"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// departments bounds the requests that each department has in this entry.
type departments struct {
	mutex sync.Mutex
	// active counts by department; a department without requests is not in it.
	active map[string]int
}

func newDepartments() *departments {
	return &departments{active: map[string]int{}}
}

func (d *departments) serve(ctx context.Context, r Request, next Handler) Answer {
	if !d.enter(r.Department, r.Policy.DepartmentLimit) {
		return NotRun(modeler.Refuse(modeler.CodeOverloaded, "department",
			"%q has %d requests in this entry", r.Department, r.Policy.DepartmentLimit))
	}
	defer d.leave(r.Department)
	return next(ctx, r)
}

func (d *departments) enter(name string, limit int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if limit > 0 && d.active[name] >= limit {
		return false
	}
	d.active[name]++
	return true
}

func (d *departments) leave(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.active[name]--; d.active[name] == 0 {
		delete(d.active, name)
	}
}
