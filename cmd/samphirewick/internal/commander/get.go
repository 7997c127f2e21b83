package commander

import (
	"context"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// getOptions holds the arguments and flags of the get and watch commands.
type getOptions struct {
	kind   string
	name   string
	schema int
}

func (o *getOptions) flags(clause *kingpin.CmdClause) {
	clause.Arg("kind", "Kind of the documents: pool, policy or grant. All kinds if missing. "+
		"The get command also has departments.").StringVar(&o.kind)
	clause.Arg("name", "Name of the document. All documents if missing.").StringVar(&o.name)
	clause.Flag("schema", "Schema version of the output. Each document's own version if missing.").IntVar(&o.schema)
}

func (o *getOptions) query() url.Values {
	query := url.Values{}
	if o.kind != "" {
		query.Set("kind", o.kind)
	}
	if o.name != "" {
		query.Set("name", o.name)
	}
	if o.schema != 0 {
		query.Set("schema", strconv.Itoa(o.schema))
	}
	return query
}

// newGetCmd returns the command that prints the configuration in force, or the
// departments of workflows.
func newGetCmd(app *kingpin.Application) command {
	options := &getOptions{}
	clause := app.Command("get", "Print the configuration in force, what the departments of workflows use, or with the kind "+
		"interference which tasks slow each other down.")
	options.flags(clause)
	return command{clause, func(ctx context.Context, s session) error {
		switch options.kind {
		case kindDepartments:
			return getDepartments(ctx, s, options.name)
		case kindInterference:
			return getInterference(ctx, s)
		}
		var answer messenger.DocumentsAnswer
		if err := s.client.Get(ctx, "/v1/configuration", options.query(), &answer); err != nil {
			return err
		}
		return s.print.Print(answer.Documents, documentHeader, documentRows(answer.Documents))
	}}
}
