// Command samphirewick-entry runs an entry of a cell, which accepts the requests of
// callers and dispatches them to backend servers. It needs no disk.
package main

import (
	"os"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-entry/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
