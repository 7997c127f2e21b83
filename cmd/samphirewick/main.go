// Command samphirewick is the command line tool for operators. It connects to a cell
// through any of its entries.
package main

import (
	"os"

	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
