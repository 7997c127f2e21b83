package commander

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/estimator"
	"github.com/samphirewick/samphirewick/internal/executor"
)

// The markers that enclose the generated table in the page.
const (
	tableStartMarker = "<!-- table begins -->\n"
	tableEndMarker   = "<!-- table ends -->\n"
)

const pageFileMode = 0o644

// capacityOptions holds the flags of the capacity command.
type capacityOptions struct {
	page string
}

// newCapacityCmd returns the command that measures costs and updates the capacity page.
func newCapacityCmd(app *kingpin.Application, out io.Writer) executor.Command {
	options := capacityOptions{}
	clause := app.Command("capacity", "Measure costs at several sizes and extrapolate them to the target size.")
	clause.Flag("page", "Page to write the table into, between its markers.").StringVar(&options.page)
	return executor.Command{Clause: clause, Run: func() error { return capacity(options, out) }}
}

func capacity(options capacityOptions, out io.Writer) error {
	table := estimator.Table(estimator.Measure())
	if _, err := fmt.Fprint(out, table); err != nil || options.page == "" {
		return err
	}
	page, err := os.ReadFile(options.page)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(page), tableStartMarker)
	_, after, closed := strings.Cut(rest, tableEndMarker)
	if !found || !closed {
		return fmt.Errorf("%s: table markers are missing", options.page)
	}
	updated := before + tableStartMarker + table + tableEndMarker + after
	return os.WriteFile(options.page, []byte(updated), pageFileMode)
}
