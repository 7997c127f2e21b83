package commander

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// newStatusCmd returns the command that prints the problems and the contents of the
// cell.
func newStatusCmd(app *kingpin.Application) command {
	clause := app.Command("status", "Say what is wrong with the cell, and print its contents. Exits with 5 if there are problems.")
	return command{clause, status}
}

func status(ctx context.Context, s session) error {
	var answer messenger.Status
	if err := s.client.Get(ctx, "/v1/status", nil, &answer); err != nil {
		return err
	}
	if err := s.print.Print(answer, nil, statusRows(answer)); err != nil {
		return err
	}
	if len(answer.Problems) > 0 {
		return errProblemsFound
	}
	return nil
}

func statusRows(s messenger.Status) [][]string {
	rows := [][]string{
		{"cell", s.Cell},
		{"leader", s.Leader, "term " + formatUint(s.Term), "revision " + formatUint(s.Revision)},
		{""},
		{"MEMBER", "ADDRESS", "VOTER", "LAG", "ACTIVE"},
	}
	for _, m := range s.Members {
		rows = append(rows, []string{m.ID, m.Address, strconv.FormatBool(m.Voter), formatUint(m.Lag), strconv.FormatBool(m.Active)})
	}
	rows = append(rows, []string{""}, []string{"ENTRY", "DATA CENTRE", "OWNS", "SILENT FOR", "REVISION"})
	for _, e := range s.Entries {
		rows = append(rows, []string{e.ID, e.DataCentre, strconv.Itoa(e.OwnedBackends), e.SinceRenewal, formatUint(e.Revision)})
	}
	rows = append(rows, []string{""},
		[]string{"POOL", "WORKERS", "CORES USED", "MEMORY USED", "ACCELERATORS USED", "TASKS RUNNING", "WAITING"})
	for _, p := range s.Pools {
		rows = append(rows, poolRow(p))
	}
	rows = append(rows, []string{""}, []string{"SERVICE", "BACKEND SERVERS", "SERVING", "SLOTS"})
	for _, c := range s.Services {
		rows = append(rows, []string{c.Service, strconv.Itoa(c.Backends), strconv.Itoa(c.Serving), strconv.Itoa(c.Slots)})
	}
	if d := s.Delegation; d != nil {
		rows = append(rows, []string{""}, []string{"DELEGATED WORKERS", "ENTRIES THAT CALL THEM", "FAILURES OF ENTRIES"},
			[]string{strconv.Itoa(d.Workers), strconv.Itoa(d.Entries), formatUint(d.Failures)})
	}
	rows = append(rows, []string{""})
	if len(s.Problems) == 0 {
		return append(rows, []string{"no problems"})
	}
	for _, problem := range s.Problems {
		rows = append(rows, []string{"PROBLEM: " + problem})
	}
	return rows
}

func poolRow(p messenger.PoolStatus) []string {
	return []string{
		p.Pool,
		strconv.Itoa(p.Workers),
		formatPercent(p.Used.Processors, p.Capacity.Processors),
		formatPercent(p.Used.Memory, p.Capacity.Memory),
		formatPercent(p.Used.Accelerators, p.Capacity.Accelerators),
		strconv.Itoa(p.Running),
		strconv.Itoa(p.Waiting),
	}
}

func formatPercent(part, total int64) string {
	const percent = 100
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d %%", part*percent/total)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
