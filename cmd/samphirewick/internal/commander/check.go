package commander

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// checkOptions holds the flags of the check command.
type checkOptions struct {
	file string
}

// newCheckCmd returns the command that validates configuration documents without a
// cell.
func newCheckCmd(app *kingpin.Application) command {
	options := checkOptions{}
	clause := app.Command("check", "Validate configuration documents without a cell.")
	clause.Flag("file", "File of documents; --file=- is the standard input.").Short('f').Required().StringVar(&options.file)
	return command{clause, func(_ context.Context, s session) error {
		documents, err := readDocuments(options.file, s.in)
		if err != nil {
			return err
		}
		if err := validate(documents); err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "%d documents are valid\n", len(documents))
		return err
	}}
}
