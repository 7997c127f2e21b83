package commander

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// kindDepartments is the argument of the get command that prints departments instead of
// documents.
const kindDepartments = "departments"

// getDepartments prints the departments of workflows, or the one with the name if it is
// not empty.
func getDepartments(ctx context.Context, s session, name string) error {
	var departments []messenger.DepartmentStatus
	if err := s.client.Get(ctx, "/v1/departments", nil, &departments); err != nil {
		return err
	}
	departments = slices.DeleteFunc(departments, func(d messenger.DepartmentStatus) bool { return name != "" && d.Name != name })
	var rows [][]string
	for _, d := range departments {
		rows = append(rows, departmentRow(d))
	}
	header := []string{
		"DEPARTMENT", "WEIGHT", "SHARE", "MILLICORES", "MEMORY", "ACCELERATORS", "RUNNING", "WAITING", "BEYOND RATE", "STATE",
	}
	return s.print.Print(departments, header, rows)
}

func departmentRow(d messenger.DepartmentStatus) []string {
	const percent = 100
	state := "current"
	if d.Removed {
		state = "removed"
	}
	return []string{
		d.Name,
		strconv.FormatFloat(d.Weight, 'g', -1, 64),
		fmt.Sprintf("%.1f %%", d.Share*percent),
		formatOfCap(d.Usage.Processors, d.Cap.Processors),
		formatOfCap(d.Usage.Memory, d.Cap.Memory),
		formatOfCap(d.Usage.Accelerators, d.Cap.Accelerators),
		strconv.Itoa(d.Running),
		strconv.Itoa(d.Waiting),
		strconv.Itoa(d.BeyondRate),
		state,
	}
}

// formatOfCap returns an amount with its cap, or alone if it has none.
func formatOfCap(amount, limit int64) string {
	if limit == 0 {
		return strconv.FormatInt(amount, 10)
	}
	return fmt.Sprintf("%d of %d", amount, limit)
}
