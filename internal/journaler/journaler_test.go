package journaler_test

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/oops"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

var errDisk = errors.New("injected disk error")

func entries(from, to, term uint64) []replicator.Entry {
	var list []replicator.Entry
	for i := from; i <= to; i++ {
		list = append(list, replicator.Entry{Index: i, Term: term, Data: json.RawMessage(`"x"`)})
	}
	return list
}

func open(t *testing.T, disk *faker.Disk) (*journaler.Journal, replicator.RestoredState) {
	t.Helper()
	j, restored, err := journaler.Open(disk.Open(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return j, restored
}

func save(t *testing.T, j *journaler.Journal, term uint64, list []replicator.Entry) {
	t.Helper()
	if err := j.Save(replicator.Ready{HardState: &replicator.HardState{Term: term}, Entries: list}); err != nil {
		t.Fatal(err)
	}
}

func lastIndex(r replicator.RestoredState) uint64 {
	return r.Snapshot.Index + uint64(len(r.Entries))
}

// codeOf returns the code of an error of the journaler, or nil.
func codeOf(err error) any {
	if wrapped, ok := oops.AsOops(err); ok {
		return wrapped.Code()
	}
	return nil
}

func logName(disk *faker.Disk) string {
	names := disk.Names()
	return names[slices.IndexFunc(names, func(n string) bool { return strings.HasPrefix(n, "log-") })]
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	t.Parallel()
	intact := faker.NewDisk(1)
	j, _ := open(t, intact)
	save(t, j, 1, entries(1, 3, 1))
	var before, after int
	intact.Change(logName(intact), func(b []byte) []byte { before = len(b); return b })
	save(t, j, 2, entries(4, 5, 2))
	var content []byte
	intact.Change(logName(intact), func(b []byte) []byte { after = len(b); content = slices.Clone(b); return b })
	for size := before; size < after; size++ {
		torn := faker.NewDisk(1)
		open(t, torn)
		torn.Change(logName(torn), func([]byte) []byte { return content[:size] })
		j, restored := open(t, torn)
		if lastIndex(restored) != 3 || restored.HardState.Term != 1 {
			t.Fatalf("log truncated at byte %d: restored up to index %d in term %d, want 3 in term 1",
				size, lastIndex(restored), restored.HardState.Term)
		}
		save(t, j, 3, entries(4, 4, 3))
		if _, again := open(t, torn); lastIndex(again) != 4 {
			t.Fatalf("log truncated at byte %d: the entry saved afterwards was not restored", size)
		}
	}
}

func TestDamageBeforeTheTailStopsTheMember(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	save(t, j, 1, entries(1, 3, 1))
	var firstFrames int
	disk.Change(logName(disk), func(b []byte) []byte { firstFrames = len(b); return b })
	save(t, j, 1, entries(4, 6, 1))
	for offset := range firstFrames {
		var old byte
		disk.Change(logName(disk), func(b []byte) []byte { old = b[offset]; b[offset] ^= 0x40; return b })
		_, _, err := journaler.Open(disk.Open(), nil)
		if codeOf(err) != journaler.CodeDamaged {
			t.Fatalf("byte %d changed: got error %v, want code %s", offset, err, journaler.CodeDamaged)
		}
		disk.Change(logName(disk), func(b []byte) []byte { b[offset] = old; return b })
	}
}

func TestDamagedSnapshotStopsTheMember(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	save(t, j, 1, entries(1, 3, 1))
	if err := j.Compact(replicator.Snapshot{Index: 2, Term: 1, Data: json.RawMessage(`"s"`)}, entries(3, 3, 1)); err != nil {
		t.Fatal(err)
	}
	name := disk.Names()[slices.IndexFunc(disk.Names(), func(n string) bool { return strings.HasPrefix(n, "snapshot-") })]
	disk.Change(name, func(b []byte) []byte { b[len(b)-1]++; return b })
	if _, _, err := journaler.Open(disk.Open(), nil); codeOf(err) != journaler.CodeDamaged {
		t.Errorf("got error %v, want code %s", err, journaler.CodeDamaged)
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	disk.FailSync = errDisk
	if err := j.Save(replicator.Ready{Entries: entries(1, 1, 1)}); !errors.Is(err, errDisk) {
		t.Fatalf("got error %v, want %v", err, errDisk)
	}
	disk.FailSync = nil
	if err := j.Save(replicator.Ready{Entries: entries(1, 1, 1)}); !errors.Is(err, errDisk) {
		t.Errorf("save after a failed sync: got error %v, want the error of the sync", err)
	}
}

func TestFullDiskKeepsSavedEntries(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(3)
	j, _ := open(t, disk)
	save(t, j, 1, entries(1, 5, 1))
	disk.FailAppend = errDisk
	if err := j.Save(replicator.Ready{Entries: entries(6, 9, 1)}); codeOf(err) != journaler.CodeDisk {
		t.Fatalf("got error %v, want code %s", err, journaler.CodeDisk)
	}
	disk.FailAppend = nil
	disk.Crash()
	if _, restored := open(t, disk); lastIndex(restored) != 5 {
		t.Errorf("restored up to index %d, want 5", lastIndex(restored))
	}
}

func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		snapshot  replicator.Snapshot
		wantLast  uint64
		wantFirst uint64
	}{
		"the log continues after the snapshot":                   {replicator.Snapshot{Index: 3, Term: 1}, 5, 4},
		"the log ends before the snapshot":                       {replicator.Snapshot{Index: 9, Term: 2}, 9, 0},
		"the log holds an entry of another term at the snapshot": {replicator.Snapshot{Index: 4, Term: 2}, 4, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disk := faker.NewDisk(1)
			j, _ := open(t, disk)
			save(t, j, 1, entries(1, 5, 1))
			tt.snapshot.Data = json.RawMessage(`"s"`)
			replaced := 0
			failingDisk := disk.Open()
			replace := failingDisk.Replace
			failingDisk.Replace = func(name string, data []byte) error {
				if replaced++; replaced == 2 {
					return errDisk
				}
				return replace(name, data)
			}
			j, _, err := journaler.Open(failingDisk, nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Compact(tt.snapshot, nil); !errors.Is(err, errDisk) {
				t.Fatalf("got error %v, want %v", err, errDisk)
			}
			_, restored := open(t, disk)
			if restored.Snapshot.Index != tt.snapshot.Index || lastIndex(restored) != tt.wantLast {
				t.Errorf("restored snapshot at index %d and entries up to %d, want %d and %d",
					restored.Snapshot.Index, lastIndex(restored), tt.snapshot.Index, tt.wantLast)
			}
			if len(restored.Entries) > 0 && restored.Entries[0].Index != tt.wantFirst {
				t.Errorf("first restored entry is %d, want %d", restored.Entries[0].Index, tt.wantFirst)
			}
			if restored.HardState.Term != 1 {
				t.Errorf("restored term is %d, want 1", restored.HardState.Term)
			}
		})
	}
}

func TestSnapshotFromTheLeaderKeepsTheVote(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	hardState := replicator.HardState{Term: 7, Vote: "m1"}
	if err := j.Save(replicator.Ready{HardState: &hardState}); err != nil {
		t.Fatal(err)
	}
	if err := j.Save(replicator.Ready{Snapshot: &replicator.Snapshot{Index: 4, Term: 6, Data: json.RawMessage(`1`)}}); err != nil {
		t.Fatal(err)
	}
	if _, restored := open(t, disk); restored.HardState != hardState {
		t.Errorf("restored hard state is %+v, want %+v", restored.HardState, hardState)
	}
}

// TestUnfinishedFileDoesNotKeepMemberFromStarting checks that a folder in which a
// crash interrupted the first format can be formatted, and that the journal removes
// unfinished files.
func TestUnfinishedFileDoesNotKeepMemberFromStarting(t *testing.T) {
	t.Parallel()
	formats := map[string]func(journaler.Disk) (journaler.Identity, error){
		"a joining member": func(d journaler.Disk) (journaler.Identity, error) {
			return journaler.Format(d, "control-1", "10.0.0.1:1", false)
		},
		"a founder": func(d journaler.Disk) (journaler.Identity, error) {
			return journaler.FormatFounder(d, "10.0.0.1:1", []string{"10.0.0.1:1"})
		},
	}
	for name, format := range formats {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disk := faker.NewDisk(1)
			if err := disk.Open().Replace("new-identity.json", []byte("{")); err != nil {
				t.Fatal(err)
			}
			identity, err := format(disk.Open())
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := journaler.Open(disk.Open(), identity.InitialMembers()); err != nil {
				t.Fatal(err)
			}
			open(t, disk)
			if slices.Contains(disk.Names(), "new-identity.json") {
				t.Errorf("the folder holds %v; the unfinished file is still there", disk.Names())
			}
		})
	}
}

func TestFolderWithLogIsNotFormatted(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	open(t, disk)
	if _, err := journaler.FormatFounder(disk.Open(), "10.0.0.1:1", []string{"10.0.0.1:1"}); codeOf(err) != journaler.CodeIdentity {
		t.Errorf("got error %v, want code %s", err, journaler.CodeIdentity)
	}
}

func TestNothingIsWrittenAfterFailedWrite(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	access := disk.Open()
	failing := false
	write := access.Append
	access.Append = func(name string, data []byte) error {
		if failing {
			return errDisk
		}
		return write(name, data)
	}
	j, _, err := journaler.Open(access, nil)
	if err != nil {
		t.Fatal(err)
	}
	save(t, j, 1, entries(1, 3, 1))
	failing = true
	if err := j.Save(replicator.Ready{Entries: entries(4, 4, 1)}); codeOf(err) != journaler.CodeDisk {
		t.Fatalf("got error %v, want code %s", err, journaler.CodeDisk)
	}
	before := disk.Names()
	if err := j.Compact(replicator.Snapshot{Index: 3, Term: 1}, entries(4, 4, 1)); codeOf(err) != journaler.CodeDisk {
		t.Errorf("got error %v, want code %s", err, journaler.CodeDisk)
	}
	if after := disk.Names(); !slices.Equal(before, after) {
		t.Errorf("the folder holds %v after a failed write and a compaction, want %v", after, before)
	}
}

func TestEachFormatCreatesNewIdentity(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	if _, err := journaler.ReadIdentity(disk.Open()); codeOf(err) != journaler.CodeIdentity {
		t.Errorf("read the identity of an empty disk: got error %v, want CodeIdentity", err)
	}
	first, err := journaler.Format(disk.Open(), "control-1", "127.0.0.1:1", false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journaler.Format(disk.Open(), "control-1", "127.0.0.1:1", false); codeOf(err) != journaler.CodeIdentity {
		t.Errorf("second format of a disk: got error %v, want CodeIdentity", err)
	}
	reformatted, err := journaler.Format(faker.NewDisk(2).Open(), "control-1", "127.0.0.1:1", false)
	if err != nil {
		t.Fatal(err)
	}
	if reformatted.Member == first.Member || reformatted.InitialMembers() != nil {
		t.Errorf("emptied disk was formatted as member %q with initial members %v, want a new member and none",
			reformatted.Member, reformatted.InitialMembers())
	}
}

func FuzzOpen(f *testing.F) {
	disk := faker.NewDisk(1)
	j, _, err := journaler.Open(disk.Open(), nil)
	if err != nil {
		f.Fatal(err)
	}
	if err := j.Save(replicator.Ready{Entries: entries(1, 2, 1)}); err != nil {
		f.Fatal(err)
	}
	disk.Change(logName(disk), func(b []byte) []byte { f.Add(b, b); f.Add(b[:len(b)-3], b); return b })
	f.Add([]byte{}, []byte("\xf5SW1\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		disk := faker.NewDisk(1)
		if _, _, err := journaler.Open(disk.Open(), nil); err != nil {
			t.Fatal(err)
		}
		disk.Change(logName(disk), func([]byte) []byte { return log })
		if len(snapshot)%2 == 0 {
			if err := disk.Open().Replace("snapshot-00000000000000000004", snapshot); err != nil {
				t.Fatal(err)
			}
		}
		_, first, err := journaler.Open(disk.Open(), nil)
		if err != nil {
			return
		}
		// A journal that was opened once opens again, with the same entries.
		_, second, err := journaler.Open(disk.Open(), nil)
		if err != nil || lastIndex(first) != lastIndex(second) {
			t.Errorf("first open restored up to index %d, second up to %d: %v", lastIndex(first), lastIndex(second), err)
		}
	})
}

func TestSavedCommitIndexIsRestored(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	list := []replicator.Entry{{Index: 1, Term: 1, Data: json.RawMessage(`1`)}, {Index: 2, Term: 1, Data: json.RawMessage(`2`)}}
	if err := j.Save(replicator.Ready{Entries: list, Commit: 1}); err != nil {
		t.Fatal(err)
	}
	_, restored := open(t, disk)
	if restored.Commit != 1 {
		t.Fatalf("restored commit index is %d, want 1", restored.Commit)
	}
	core := replicator.New(replicator.Config{ID: "m0", ElectionTimeout: time.Second}, restored, 0)
	if committed := core.Ready().Committed; len(committed) != 1 || committed[0].Index != 1 {
		t.Errorf("entries committed at startup are %v, want entry 1", committed)
	}
}

func TestFoundersDeriveSameCellWithoutCommunication(t *testing.T) {
	t.Parallel()
	addresses := []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}
	disk := faker.NewDisk(1)
	first, err := journaler.FormatFounder(disk.Open(), "10.0.0.1:1", addresses)
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(addresses)
	second, err := journaler.FormatFounder(faker.NewDisk(2).Open(), "10.0.0.2:1", addresses)
	if err != nil {
		t.Fatal(err)
	}
	if first.Cell != second.Cell || !slices.Equal(first.InitialMembers(), second.InitialMembers()) || first.Member == second.Member {
		t.Errorf("identities %+v and %+v do not belong to different founders of one cell", first, second)
	}
	if again, err := journaler.ReadIdentity(disk.Open()); err != nil || again.Member != first.Member ||
		len(again.InitialMembers()) != 3 {
		t.Errorf("identity read back is %+v: %v", again, err)
	}
	if _, err := journaler.FormatFounder(faker.NewDisk(3).Open(), "10.0.0.9:1", addresses); codeOf(err) != journaler.CodeIdentity {
		t.Errorf("format of an address that is not among the founders: got error %v, want CodeIdentity", err)
	}
}
