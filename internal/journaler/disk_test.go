package journaler_test

import (
	"encoding/json"
	"errors"
	"io/fs"
	"testing"

	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

func TestDataFolderIsLockedByOneProcess(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	disk, err := journaler.OpenDisk(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journaler.OpenDisk(path); codeOf(err) != journaler.CodeDisk {
		t.Errorf("second open of the data folder: got error %v, want CodeDisk", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestRealDiskRestoresSavedState(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	disk, err := journaler.OpenDisk(path)
	if err != nil {
		t.Fatal(err)
	}
	j, _, err := journaler.Open(disk, nil)
	if err != nil {
		t.Fatal(err)
	}
	save(t, j, 1, entries(1, 4, 1))
	if err := j.Compact(replicator.Snapshot{Index: 2, Term: 1, Data: json.RawMessage(`"s"`)}, entries(3, 4, 1)); err != nil {
		t.Fatal(err)
	}
	save(t, j, 2, entries(5, 6, 2))
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	if disk, err = journaler.OpenDisk(path); err != nil {
		t.Fatal(err)
	}
	_, restored, err := journaler.Open(disk, nil)
	if err != nil || lastIndex(restored) != 6 || restored.HardState.Term != 2 {
		t.Errorf("restored up to index %d in term %d, want 6 in term 2: %v", lastIndex(restored), restored.HardState.Term, err)
	}
}

func TestRealDiskSyncsFileOfAnotherProcess(t *testing.T) {
	t.Parallel()
	disk, err := journaler.OpenDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := disk.Sync("log"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("sync of a file that does not exist: got error %v, want not exist", err)
	}
	if err := disk.Replace("log", []byte("a")); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(disk.Sync("log"), disk.Append("log", []byte("b")), disk.Close()); err != nil {
		t.Fatal(err)
	}
}
