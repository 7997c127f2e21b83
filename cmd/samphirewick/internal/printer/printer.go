// Package printer prints results as tables or as JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The output formats.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Printer prints values in one output format.
type Printer struct {
	out    io.Writer
	format string
}

// New returns a printer that writes to out. Any format but FormatJSON is a table.
func New(out io.Writer, form string) Printer { return Printer{out, form} }

// Format returns the output format.
func (p Printer) Format() string { return p.format }

// Print prints the value as indented JSON, or the rows as a table. The table has a
// header line unless header is empty.
func (p Printer) Print(value any, header []string, rows [][]string) error {
	if p.format == FormatJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	if len(header) > 0 {
		_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}
