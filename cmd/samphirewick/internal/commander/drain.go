package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// newDrainCmd returns the command that stops new work from being placed on workers.
func newDrainCmd(app *kingpin.Application) command {
	clause := app.Command("drain", "Place no new work on workers. Running work continues.")
	return drainCommand(clause, true)
}

// newUndrainCmd returns the command that ends the drain of workers.
func newUndrainCmd(app *kingpin.Application) command {
	clause := app.Command("undrain", "Place new work on workers again.")
	return drainCommand(clause, false)
}

func drainCommand(clause *kingpin.CmdClause, draining bool) command {
	workers := clause.Arg("worker", "IDs of workers.").Required().Strings()
	return command{clause, func(ctx context.Context, s session) error {
		call := messenger.DrainCall{Workers: *workers, Draining: draining}
		var answer struct{}
		if err := s.client.Post(ctx, "/v1/drains", call, &answer); err != nil {
			return err
		}
		_, err := fmt.Fprintf(s.out, "%s: draining %t\n", strings.Join(*workers, ", "), draining)
		return err
	}}
}
