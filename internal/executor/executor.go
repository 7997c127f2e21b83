// Package executor parses the arguments of a program and runs the command that they name.
package executor

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailure reports that the command failed.
	ExitFailure = 1
	// ExitUsage reports that the arguments are invalid.
	ExitUsage = 2
)

// Command is one command of a program.
type Command struct {
	Clause *kingpin.CmdClause
	Run    func() error
}

// Program describes a program and its commands.
type Program struct {
	Name string
	Help string
	// Commands adds the commands to the application and returns them. Never nil.
	Commands func(app *kingpin.Application, out io.Writer) []Command
	// ExitCode maps the error of a command to an exit code. If nil, every error maps to ExitFailure.
	ExitCode func(error) int
	// AlreadyReported reports whether an error has been shown to the user already. If nil, every error is printed.
	AlreadyReported func(error) bool
}

// Execute runs the command that the arguments name and returns the exit code.
func (p Program) Execute(arguments []string, out, errOut io.Writer) int {
	app := kingpin.New(p.Name, p.Help)
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	app.HelpFlag.Short('h')
	terminated := false
	app.Terminate(func(int) { terminated = true })
	commands := p.Commands(app, out)
	name, err := app.Parse(arguments)
	if terminated {
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.Clause.FullCommand() == name {
			return p.finish(c.Run(), errOut)
		}
	}
	return ExitUsage
}

// finish prints the error of a command, unless it was reported already, and returns the exit code.
func (p Program) finish(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	if p.AlreadyReported == nil || !p.AlreadyReported(err) {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
	}
	if p.ExitCode == nil {
		return ExitFailure
	}
	return p.ExitCode(err)
}

// NewCheck returns the command that validates a settings file.
func NewCheck(app *kingpin.Application, out io.Writer, load func(path string) error) Command {
	clause := app.Command("check", "Validate a settings file.")
	settings := clause.Flag("settings", "The settings file.").Required().String()
	return Command{clause, func() error {
		if err := load(*settings); err != nil {
			return err
		}
		_, err := fmt.Fprintln(out, "the settings are valid")
		return err
	}}
}

// NewRun returns the command that runs a daemon with a settings file until the daemon ends.
func NewRun(app *kingpin.Application, help string, run func(path string) error) Command {
	clause := app.Command("run", help)
	settings := clause.Flag("settings", "The settings file.").Required().String()
	return Command{clause, func() error { return run(*settings) }}
}
