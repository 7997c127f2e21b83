// Package commander implements the command line tool for operators.
package commander

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/client"
	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/printer"
	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// The exit codes in addition to those of package executor.
const (
	// exitRefused reports that the cell refused the request and changed nothing.
	exitRefused = 3
	// exitUnknown reports that the outcome is unknown. The same command may be
	// repeated.
	exitUnknown = 4
	// exitProblems reports that status found problems or diff found differences.
	exitProblems = 5
	// exitWarnings and exitErrors report what check found in a queue table. They equal the
	// codes of a failure and of invalid arguments, which print no findings.
	exitWarnings = 1
	exitErrors   = 2
)

// errProblemsFound is returned by a command that has printed problems or differences.
var errProblemsFound = errors.New("problems were found")

// globalOptions holds the flags of all commands, and the standard streams.
type globalOptions struct {
	address        string
	operator       string
	credentialFile string
	format         string
	in             io.Reader
	out            io.Writer
}

// session holds the client, the printer and the standard streams of a running
// command.
type session struct {
	client *client.Client
	print  printer.Printer
	in     io.Reader
	out    io.Writer
}

// command is a command of the program and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context, session) error
}

// Execute runs the command given by the arguments and returns the exit code.
func Execute(arguments []string, in io.Reader, out, errOut io.Writer) int {
	g := globalOptions{in: in, out: out}
	program := executor.Program{
		Name: "samphirewick",
		Help: "Operate a samphirewick cell.",
		Commands: func(app *kingpin.Application, _ io.Writer) []executor.Command {
			g.flags(app)
			return g.bind(allCommands(app))
		},
		ExitCode: exitCode,
		AlreadyReported: func(err error) bool {
			return errors.Is(err, errProblemsFound) || errors.Is(err, errTableWarnings) || errors.Is(err, errTableErrors)
		},
	}
	return program.Execute(arguments, out, errOut)
}

func (g *globalOptions) flags(app *kingpin.Application) {
	app.Flag("address", "Base address of the cell's entries.").Envar("SAMPHIREWICK_ADDRESS").
		Default("http://127.0.0.1:7000").StringVar(&g.address)
	app.Flag("operator", "Name for the audit trail if authentication is off.").Envar("SAMPHIREWICK_OPERATOR").
		Default("operator").StringVar(&g.operator)
	app.Flag("credential-file", "File with the operator's credential.").Envar("SAMPHIREWICK_CREDENTIAL_FILE").
		StringVar(&g.credentialFile)
	app.Flag("output", "Output format: table or json.").Short('o').Default(printer.FormatTable).
		EnumVar(&g.format, printer.FormatTable, printer.FormatJSON)
}

// bind returns executor commands that open a session and run the command in it. An
// interrupt or SIGTERM cancels the context of the command.
func (g *globalOptions) bind(commands []command) []executor.Command {
	var bound []executor.Command
	for _, c := range commands {
		bound = append(bound, executor.Command{Clause: c.clause, Run: func() error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			s, err := g.session()
			if err != nil {
				return err
			}
			return c.run(ctx, s)
		}})
	}
	return bound
}

func (g *globalOptions) session() (session, error) {
	secret, err := readCredential(g.credentialFile)
	if err != nil {
		return session{}, err
	}
	return session{
		client: client.New(strings.TrimSuffix(g.address, "/"), g.operator, secret),
		print:  printer.New(g.out, g.format),
		in:     g.in,
		out:    g.out,
	}, nil
}

// allCommands adds the commands to the application and returns them.
func allCommands(app *kingpin.Application) []command {
	commands := []command{
		newStatusCmd(app),
		newCheckCmd(app),
		newDiffCmd(app),
		newApplyCmd(app),
		newGetCmd(app),
		newWatchCmd(app),
		newDrainCmd(app),
		newUndrainCmd(app),
		newAuditCmd(app),
		newSnapshotCmd(app),
		newExplainCmd(app),
	}
	commands = append(commands, newJobCmds(app)...)
	return append(commands, newMemberCmds(app)...)
}

func readCredential(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

func exitCode(err error) int {
	var refusal *modeler.RefusalError
	switch {
	case errors.Is(err, errProblemsFound):
		return exitProblems
	case errors.Is(err, errTableWarnings):
		return exitWarnings
	case errors.Is(err, errTableErrors):
		return exitErrors
	case errors.As(err, &refusal) && refusal.Code == modeler.CodeUnknownOutcome:
		return exitUnknown
	case errors.As(err, &refusal):
		return exitRefused
	default:
		return executor.ExitFailure
	}
}
