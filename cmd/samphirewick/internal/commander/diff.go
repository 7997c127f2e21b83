package commander

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// diffOptions holds the flags of the diff command.
type diffOptions struct {
	file string
}

// newDiffCmd returns the command that compares documents with the configuration in
// force.
func newDiffCmd(app *kingpin.Application) command {
	options := diffOptions{}
	clause := app.Command("diff", "Compare documents with the configuration in force. Exits with 5 if they differ.")
	clause.Flag("file", "File of documents; --file=- is the standard input.").Short('f').Required().StringVar(&options.file)
	return command{clause, func(ctx context.Context, s session) error { return diff(ctx, s, options) }}
}

// difference describes what apply would change in one document.
type difference struct {
	Kind    modeler.DocumentKind `json:"kind"`
	Name    string               `json:"name"`
	State   string               `json:"state"`
	Version uint64               `json:"versionInForce"`
	InForce json.RawMessage      `json:"inForce,omitempty"`
	Wanted  json.RawMessage      `json:"wanted"`
}

func diff(ctx context.Context, s session, options diffOptions) error {
	documents, err := readDocuments(options.file, s.in)
	if err != nil {
		return err
	}
	var differences []difference
	for _, d := range documents {
		found, err := compare(ctx, s, d)
		if err != nil {
			return err
		}
		if found.State != "equal" {
			differences = append(differences, found)
		}
	}
	var rows [][]string
	for _, d := range differences {
		rows = append(rows, []string{string(d.Kind), d.Name, d.State, formatUint(d.Version), string(d.InForce), string(d.Wanted)})
	}
	header := []string{"KIND", "NAME", "STATE", "VERSION IN FORCE", "IN FORCE", "WANTED"}
	if err := s.print.Print(differences, header, rows); err != nil {
		return err
	}
	if len(differences) > 0 {
		return errProblemsFound
	}
	return nil
}

// compare compares a document with the one in force, which it reads in the same
// schema version.
func compare(ctx context.Context, s session, wanted modeler.Document) (difference, error) {
	options := getOptions{string(wanted.Kind), wanted.Name, wanted.Schema}
	var answer messenger.DocumentsAnswer
	if err := s.client.Get(ctx, "/v1/configuration", options.query(), &answer); err != nil {
		return difference{}, err
	}
	d := difference{Kind: wanted.Kind, Name: wanted.Name, State: "new", Wanted: canonical(wanted.Spec)}
	if len(answer.Documents) == 0 {
		return d, nil
	}
	inForce := answer.Documents[0]
	d.Version = inForce.Version
	d.InForce = canonical(inForce.Spec)
	switch {
	case bytes.Equal(d.InForce, d.Wanted):
		d.State = "equal"
	case wanted.Version == inForce.Version:
		d.State = "changed"
	default:
		d.State = "changed, and the version is not the one in force"
	}
	return d, nil
}

// canonical returns the JSON in a normalized form, so that equal values have equal
// bytes. It returns invalid JSON unchanged.
func canonical(raw json.RawMessage) json.RawMessage {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return raw
	}
	data, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return data
}
