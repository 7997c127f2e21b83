package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// snapshotMode lets only the owner read the snapshot.
const snapshotMode = 0o600

// newSnapshotCmd returns the command that writes a snapshot of the cell's state to a
// file.
func newSnapshotCmd(app *kingpin.Application) command {
	clause := app.Command("snapshot", "Write a copy of the cell's state to a file.")
	path := clause.Arg("file", "Path of the file, which must not exist.").Required().String()
	return command{clause, func(ctx context.Context, s session) error {
		var state json.RawMessage
		if err := s.client.Get(ctx, "/v1/snapshot", nil, &state); err != nil {
			return err
		}
		file, err := os.OpenFile(*path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, snapshotMode)
		if err != nil {
			return err
		}
		if _, err := file.Write(state); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "%d bytes written to %s\n", len(state), *path)
		return err
	}}
}
