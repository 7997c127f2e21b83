package filterer

import (
	"context"
	"sync"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// departments limits the number of concurrent requests of each department in this entry.
type departments struct {
	mutex sync.Mutex
	// active counts the current requests by department; departments without requests have no key.
	active map[string]int
}

func newDepartments() *departments {
	return &departments{active: map[string]int{}}
}

func (d *departments) serve(ctx context.Context, r Request, next Handler) Answer {
	if !d.acquire(r.Department, r.Policy.DepartmentLimit) {
		return NotRun(modeler.Refuse(modeler.CodeOverloaded, "department",
			"%q has %d requests in this entry", r.Department, r.Policy.DepartmentLimit))
	}
	defer d.release(r.Department)
	return next(ctx, r)
}

// acquire counts a request of the department, and reports false if the department
// is at its limit. A limit of zero means no limit.
func (d *departments) acquire(name string, limit int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if limit > 0 && d.active[name] >= limit {
		return false
	}
	d.active[name]++
	return true
}

func (d *departments) release(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.active[name]--; d.active[name] == 0 {
		delete(d.active, name)
	}
}
