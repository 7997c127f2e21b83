package commander

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// applyOptions holds the flags of the apply command.
type applyOptions struct {
	file     string
	changeID string
	wait     bool
}

// newApplyCmd returns the command that submits a configuration change.
func newApplyCmd(app *kingpin.Application) command {
	options := applyOptions{}
	clause := app.Command("apply", "Submit configuration documents as one atomic change.")
	clause.Flag("file", "File of documents; --file=- is the standard input.").Short('f').Required().StringVar(&options.file)
	clause.Flag("change-id", "ID of the change. Repeating the same change with the same ID has no further effect.").
		StringVar(&options.changeID)
	clause.Flag("wait", "Wait until every live entry has the change in force.").BoolVar(&options.wait)
	return command{clause, func(ctx context.Context, s session) error { return apply(ctx, s, options) }}
}

func apply(ctx context.Context, s session, options applyOptions) error {
	documents, err := readDocuments(options.file, s.in)
	if err != nil {
		return err
	}
	if options.changeID == "" {
		options.changeID = uuid.NewString()
	}
	body := struct {
		ChangeID  string             `json:"changeId"`
		Documents []modeler.Document `json:"documents"`
		Wait      bool               `json:"wait"`
	}{options.changeID, documents, options.wait}
	var answer messenger.ApplyAnswer
	if err := s.client.Post(ctx, "/v1/configuration", body, &answer); err != nil {
		return fmt.Errorf("change %s: %w", options.changeID, err)
	}
	var rows [][]string
	for i, d := range documents {
		rows = append(rows, []string{string(d.Kind), d.Name, formatUint(answer.Versions[i])})
	}
	if err := s.print.Print(answer, []string{"KIND", "NAME", "VERSION"}, rows); err != nil {
		return err
	}
	if options.wait && !answer.InForce {
		return errors.New("change accepted, but not every entry had it in force in time")
	}
	return nil
}
