// Package commander implements the command line of samphirewick-standin.
package commander

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/executor"
)

// Execute runs the command given by the arguments and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	program := executor.Program{
		Name:     "samphirewick-standin",
		Help:     "Imitate the surroundings of a samphirewick cell for tests.",
		Commands: allCommands,
	}
	return program.Execute(arguments, out, errOut)
}

// allCommands registers the commands and returns them.
func allCommands(app *kingpin.Application, out io.Writer) []executor.Command {
	return []executor.Command{
		newBackendCmd(app),
		newBalancerCmd(app),
		newLoadCmd(app),
		newVerifyCmd(app, out),
		newCapacityCmd(app, out),
		newRestartsCmd(app, out),
	}
}
