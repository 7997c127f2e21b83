// Package commander implements the command line of samphirewick-entry.
package commander

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/loader"
)

// Execute runs the command given by the arguments and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	program := executor.Program{
		Name:     "samphirewick-entry",
		Help:     "An entry instance of a samphirewick cell.",
		Commands: allCommands,
	}
	return program.Execute(arguments, out, errOut)
}

// allCommands adds the commands to the application and returns them.
func allCommands(app *kingpin.Application, out io.Writer) []executor.Command {
	return []executor.Command{
		executor.NewRun(app, "Run the entry.", run),
		executor.NewCheck(app, out, func(path string) error {
			_, err := loader.LoadEntry(path)
			return err
		}),
	}
}
