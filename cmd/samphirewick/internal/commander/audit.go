package commander

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// auditOptions holds the flags of the audit command.
type auditOptions struct {
	limit int
}

// newAuditCmd returns the command that prints the newest records of the audit trail.
func newAuditCmd(app *kingpin.Application) command {
	options := auditOptions{}
	clause := app.Command("audit", "Print the audit trail: who changed what, when, and with what outcome.")
	clause.Flag("limit", "Maximum number of records.").Default("50").IntVar(&options.limit)
	return command{clause, func(ctx context.Context, s session) error { return audit(ctx, s, options) }}
}

func audit(ctx context.Context, s session, options auditOptions) error {
	query := url.Values{"limit": {strconv.Itoa(options.limit)}}
	var lines []modeler.AuditRecord
	if err := s.client.Get(ctx, "/v1/audit", query, &lines); err != nil {
		return err
	}
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{
			l.At.Format(time.RFC3339), l.Actor, l.Action, l.Subject,
			formatUint(l.FromVersion), formatUint(l.ToVersion), l.ChangeID, l.Result,
		})
	}
	return s.print.Print(lines, []string{"AT", "ACTOR", "ACTION", "SUBJECT", "FROM", "TO", "CHANGE", "OUTCOME"}, rows)
}
