package commander

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/loader"
)

// formatOptions holds the flags of the format command.
type formatOptions struct {
	settings string
	founder  bool
}

// newFormatCmd returns the command that creates the identity of an empty data
// folder.
func newFormatCmd(app *kingpin.Application, out io.Writer) executor.Command {
	options := formatOptions{}
	clause := app.Command("format", "Give an empty data folder a new identity, and print the id of the member.")
	clause.Flag("settings", "Path of the settings file.").Required().StringVar(&options.settings)
	clause.Flag("founder", "Found a new cell with the member as its first voter.").BoolVar(&options.founder)
	return executor.Command{Clause: clause, Run: func() error { return format(options, out) }}
}

func format(options formatOptions, out io.Writer) error {
	settings, err := loader.LoadControl(options.settings)
	if err != nil {
		return err
	}
	if settings.IsGateway() {
		return fmt.Errorf("settings [member] dataFolder: missing, so there is nothing to format")
	}
	disk, err := journaler.OpenDisk(settings.Member.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }()
	identity, err := journaler.Format(disk, settings.Member.Name, settings.Member.Address, options.founder)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, identity.Member)
	return err
}
