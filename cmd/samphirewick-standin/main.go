// Command samphirewick-standin imitates the surroundings of a cell, for tests
// and the demo: workers with their backend servers, the platform's balancer, and
// callers. The other programs don't import it.
package main

import (
	"os"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
