package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/restarter"
	"github.com/samphirewick/samphirewick/internal/executor"
)

// newRestartsCmd returns the command that runs a cell whose workers start again.
func newRestartsCmd(app *kingpin.Application, out io.Writer) executor.Command {
	options := restarter.Options{}
	clause := app.Command("restarts", "Run a cell whose workers start again and are cut off, and look for tasks that ran twice.")
	clause.Flag("control", "Path of samphirewick-control.").Required().StringVar(&options.Control)
	clause.Flag("entry", "Path of samphirewick-entry.").Required().StringVar(&options.Entry)
	clause.Flag("seed", "Seed of the jobs and of the zones that are hit.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("network", "Number from 0 to 255 that tells runs beside each other apart.").Default("0").IntVar(&options.Network)
	clause.Flag("rounds", "How often the workers of a zone start again.").Default("2").IntVar(&options.Rounds)
	clause.Flag("cut-after", "How long after its start a worker is cut off.").Default("1.2s").DurationVar(&options.CutAfter)
	clause.Flag("cut-for", "How long workers are cut off.").Default("20s").DurationVar(&options.CutFor)
	clause.Flag("kill-leader", "Restart the leader shortly before each cut.").BoolVar(&options.KillLeader)
	clause.Flag("late-share", "Share of the orders at a restart that are late.").Default("0").Float64Var(&options.LateShare)
	clause.Flag("tickets", "Starts need tickets.").BoolVar(&options.Tickets)
	clause.Flag("longest-lease", "Longest lease that workers grant.").Default("6s").DurationVar(&options.LongestLease)
	return executor.Command{Clause: clause, Run: func() error { return runRestarts(options, out) }}
}

func runRestarts(options restarter.Options, out io.Writer) error {
	report, err := restarter.Run(context.Background(), options, out)
	if err != nil {
		return err
	}
	for _, each := range report.Twice {
		_, _ = fmt.Fprintln(out, each)
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d jobs, %d runs, %d tasks ran twice\n",
		options.Seed, report.Jobs, report.Runs, len(report.Twice))
	if len(report.Twice) > 0 {
		return fmt.Errorf("%d tasks ran twice; the logs are in %s", len(report.Twice), report.Folder)
	}
	return os.RemoveAll(report.Folder)
}
