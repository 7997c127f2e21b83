// Command samphirewick-control runs a member of control, which replicates the state
// of a cell and, while it leads, runs the cell's controllers.
package main

import (
	"os"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-control/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
