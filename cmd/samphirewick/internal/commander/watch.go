package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// watchMillis is how long the cell may block one call while nothing changes, in
// milliseconds.
const watchMillis = "400"

// newWatchCmd returns the command that prints documents as they change.
func newWatchCmd(app *kingpin.Application) command {
	options := &getOptions{}
	clause := app.Command("watch", "Print the configuration and then each change, until interrupted.")
	options.flags(clause)
	count := clause.Flag("changes", "Exit after this many changes; 0 means never.").Int()
	return command{clause, func(ctx context.Context, s session) error { return watch(ctx, s, options, *count) }}
}

func watch(ctx context.Context, s session, options *getOptions, count int) error {
	printed := map[string]uint64{}
	query := options.query()
	query.Set("waitMillis", watchMillis)
	for first := true; ctx.Err() == nil; first = false {
		var answer messenger.DocumentsAnswer
		if err := s.client.Get(ctx, "/v1/configuration", query, &answer); err != nil {
			return err
		}
		query.Set("since", formatUint(answer.Revision))
		var changed []modeler.Document
		for _, d := range answer.Documents {
			if printed[d.Key()] != d.Version {
				printed[d.Key()] = d.Version
				changed = append(changed, d)
			}
		}
		if len(changed) == 0 {
			continue
		}
		if err := s.print.Print(changed, nil, documentRows(changed)); err != nil {
			return err
		}
		if count--; !first && count == 0 {
			return nil
		}
		if first {
			count++
		}
	}
	return nil
}
