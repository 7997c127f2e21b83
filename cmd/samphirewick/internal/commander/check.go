package commander

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/checker"
	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/printer"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// The errors of a check that has printed its findings, each with its own exit code.
var (
	errTableWarnings = errors.New("the table has warnings")
	errTableErrors   = errors.New("the table has errors")
)

// checkOptions holds the arguments and flags of the check command.
type checkOptions struct {
	path     string
	file     string
	against  string
	snapshot string
	cell     bool
}

// newCheckCmd returns the command that validates configuration documents or a queue
// table. It sends no change.
func newCheckCmd(app *kingpin.Application) command {
	options := checkOptions{}
	clause := app.Command("check", "Check configuration documents, or a queue table in the product's or the platform's form, "+
		"before it is sent. For a table it exits with 1 on warnings and 2 on errors.")
	clause.Arg("path", "File of documents or of a table.").StringVar(&options.path)
	clause.Flag("file", "The same as the argument; --file=- is the standard input.").Short('f').StringVar(&options.file)
	clause.Flag("against", "File of the table in force.").StringVar(&options.against)
	clause.Flag("snapshot", "File written by the snapshot command, for the workers and the table in force.").
		StringVar(&options.snapshot)
	clause.Flag("cell", "Ask the cell for its workers and the table in force.").BoolVar(&options.cell)
	return command{clause, func(ctx context.Context, s session) error { return check(ctx, s, options) }}
}

func check(ctx context.Context, s session, options checkOptions) error {
	path := cmp.Or(options.path, options.file)
	if path == "" {
		return errors.New("no file to check")
	}
	data, err := readInput(path, s.in)
	if err != nil {
		return err
	}
	if checker.IsQueueTable(data) {
		return checkTable(ctx, s, options, checker.Parse(path, data))
	}
	documents, err := parseDocuments(path, data)
	if err != nil {
		return err
	}
	if err := validate(documents); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%d documents are valid\n", len(documents))
	return err
}

func checkTable(ctx context.Context, s session, options checkOptions, d checker.Document) error {
	state, err := readState(ctx, s, options)
	if err != nil {
		return err
	}
	inForce := modeler.QueueTable{}
	if state != nil {
		inForce = state.QueueTable
	}
	if options.against != "" {
		data, err := readInput(options.against, s.in)
		if err != nil {
			return err
		}
		inForce = checker.Parse(options.against, data).Table
	}
	report := checker.Report{Findings: checker.Check(d, inForce, state)}
	if inForce.Version > 0 && d.Table.Version > 0 {
		report.Changes = checker.Compare(inForce, d.Table)
	}
	if err := printReport(s, report, d.Table.Version); err != nil {
		return err
	}
	return reportError(report)
}

// readState returns the state of the cell, or nil if the options do not ask for it.
func readState(ctx context.Context, s session, options checkOptions) (*reducer.State, error) {
	var data json.RawMessage
	var err error
	switch {
	case options.snapshot != "":
		data, err = os.ReadFile(options.snapshot)
	case options.cell:
		err = s.client.Get(ctx, "/v1/snapshot", nil, &data)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := reducer.DecodeState(data)
	return &state, err
}

func printReport(s session, report checker.Report, version uint64) error {
	if s.print.Format() == printer.FormatJSON {
		return s.print.Print(report, nil, nil)
	}
	var lines []string
	for _, f := range report.Findings {
		position := f.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d", f.File, f.Line)
		}
		parts := []string{position, string(f.Severity)}
		if f.Field != "" {
			parts = append(parts, f.Field)
		}
		lines = append(lines, strings.Join(append(parts, f.Message), ": "))
	}
	for _, c := range report.Changes {
		lines = append(lines, c.Entry+": "+strings.Join(c.Changes, "; "))
	}
	if len(report.Findings) == 0 {
		lines = append(lines, fmt.Sprintf("version %d is valid", version))
	}
	_, err := io.WriteString(s.out, strings.Join(lines, "\n")+"\n")
	return err
}

// reportError returns the error for the most severe finding, or nil if there is none.
func reportError(report checker.Report) error {
	var err error
	for _, f := range report.Findings {
		if f.Severity == checker.SeverityError {
			return errTableErrors
		}
		err = errTableWarnings
	}
	return err
}
