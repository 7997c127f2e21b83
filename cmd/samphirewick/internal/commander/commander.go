// Package commander is the operators' command line.
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

// The exit codes besides those of every program.
const (
	// exitRefused says that the cell refused, and that nothing was changed.
	exitRefused = 3
	// exitUnknown says that the outcome is not known; the same command may be repeated.
	exitUnknown = 4
	// exitProblems says that status or diff found something.
	exitProblems = 5
)

// errProblems ends a command that found something to report.
var errProblems = errors.New("problems were found")

// globals are the options of every command.
type globals struct {
	address        string
	operator       string
	credentialFile string
	form           string
	in             io.Reader
	out            io.Writer
}

// session is what a running command works with.
type session struct {
	client *client.Client
	print  printer.Printer
	in     io.Reader
	out    io.Writer
}

// command is one command of the program.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context, session) error
}

// Execute runs the command that the arguments name and returns the exit code.
func Execute(arguments []string, in io.Reader, out, errOut io.Writer) int {
	g := globals{in: in, out: out}
	program := executor.Program{
		Name: "samphirewick",
		Help: "Operate a samphirewick cell.",
		Commands: func(app *kingpin.Application, _ io.Writer) []executor.Command {
			g.flags(app)
			return g.bind(allCommands(app))
		},
		ExitCode:        exitCode,
		AlreadyReported: func(err error) bool { return errors.Is(err, errProblems) },
	}
	return program.Execute(arguments, out, errOut)
}

func (g *globals) flags(app *kingpin.Application) {
	app.Flag("address", "Base address of the cell's entries.").Envar("SAMPHIREWICK_ADDRESS").
		Default("http://127.0.0.1:7000").StringVar(&g.address)
	app.Flag("operator", "Name for the audit trail where authentication is off.").Envar("SAMPHIREWICK_OPERATOR").
		Default("operator").StringVar(&g.operator)
	app.Flag("credential-file", "File with the operator's credential.").Envar("SAMPHIREWICK_CREDENTIAL_FILE").
		StringVar(&g.credentialFile)
	app.Flag("output", "table for people, json for programs.").Short('o').Default(printer.FormTable).
		EnumVar(&g.form, printer.FormTable, printer.FormJSON)
}

// bind lets each command run in a session of the options, until an interrupt.
func (g *globals) bind(commands []command) []executor.Command {
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

func (g *globals) session() (session, error) {
	secret, err := readSecret(g.credentialFile)
	if err != nil {
		return session{}, err
	}
	return session{
		client: client.New(strings.TrimSuffix(g.address, "/"), g.operator, secret),
		print:  printer.New(g.out, g.form),
		in:     g.in,
		out:    g.out,
	}, nil
}

// allCommands lists the commands.
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

func readSecret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

func exitCode(err error) int {
	var refusal *modeler.RefusalError
	switch {
	case errors.Is(err, errProblems):
		return exitProblems
	case errors.As(err, &refusal) && refusal.Code == modeler.CodeUnknownOutcome:
		return exitUnknown
	case errors.As(err, &refusal):
		return exitRefused
	default:
		return executor.ExitFailure
	}
}
