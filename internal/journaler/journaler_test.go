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

var errDisk = errors.New("the disk says no")

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

// code returns the code of the layer's error.
func code(err error) any {
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
	whole := faker.NewDisk(1)
	j, _ := open(t, whole)
	save(t, j, 1, entries(1, 3, 1))
	var before, after int
	whole.Change(logName(whole), func(b []byte) []byte { before = len(b); return b })
	save(t, j, 2, entries(4, 5, 2))
	var content []byte
	whole.Change(logName(whole), func(b []byte) []byte { after = len(b); content = slices.Clone(b); return b })
	for size := before; size < after; size++ {
		torn := faker.NewDisk(1)
		open(t, torn)
		torn.Change(logName(torn), func([]byte) []byte { return content[:size] })
		j, restored := open(t, torn)
		if lastIndex(restored) != 3 || restored.HardState.Term != 1 {
			t.Fatalf("cut at byte %d: restored up to %d in term %d", size, lastIndex(restored), restored.HardState.Term)
		}
		save(t, j, 3, entries(4, 4, 3))
		if _, again := open(t, torn); lastIndex(again) != 4 {
			t.Fatalf("cut at byte %d: what was saved after it is gone", size)
		}
	}
}

func TestDamageBeforeTheTailStopsTheMember(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	save(t, j, 1, entries(1, 3, 1))
	var first int
	disk.Change(logName(disk), func(b []byte) []byte { first = len(b); return b })
	save(t, j, 1, entries(4, 6, 1))
	for at := range first {
		var old byte
		disk.Change(logName(disk), func(b []byte) []byte { old = b[at]; b[at] ^= 0x40; return b })
		_, _, err := journaler.Open(disk.Open(), nil)
		if code(err) != journaler.CodeDamaged {
			t.Fatalf("byte %d changed: %v, want %s", at, err, journaler.CodeDamaged)
		}
		disk.Change(logName(disk), func(b []byte) []byte { b[at] = old; return b })
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
	if _, _, err := journaler.Open(disk.Open(), nil); code(err) != journaler.CodeDamaged {
		t.Errorf("got %v, want %s", err, journaler.CodeDamaged)
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	disk.FailSync = errDisk
	if err := j.Save(replicator.Ready{Entries: entries(1, 1, 1)}); !errors.Is(err, errDisk) {
		t.Fatalf("got %v, want %v", err, errDisk)
	}
	disk.FailSync = nil
	if err := j.Save(replicator.Ready{Entries: entries(1, 1, 1)}); !errors.Is(err, errDisk) {
		t.Errorf("after a failed sync the journal writes again: %v", err)
	}
}

func TestFullDiskLosesNothingThatWasSaved(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(3)
	j, _ := open(t, disk)
	save(t, j, 1, entries(1, 5, 1))
	disk.FailAppend = errDisk
	if err := j.Save(replicator.Ready{Entries: entries(6, 9, 1)}); code(err) != journaler.CodeDisk {
		t.Fatalf("got %v, want %s", err, journaler.CodeDisk)
	}
	disk.FailAppend = nil
	disk.Crash()
	if _, restored := open(t, disk); lastIndex(restored) != 5 {
		t.Errorf("restored up to %d, want 5", lastIndex(restored))
	}
}

func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		snapshot  replicator.Snapshot
		wantLast  uint64
		wantFirst uint64
	}{
		"the log goes on after the snapshot":          {replicator.Snapshot{Index: 3, Term: 1}, 5, 4},
		"the log ends before the snapshot":            {replicator.Snapshot{Index: 9, Term: 2}, 9, 0},
		"the log holds another entry at the snapshot": {replicator.Snapshot{Index: 4, Term: 2}, 4, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disk := faker.NewDisk(1)
			j, _ := open(t, disk)
			save(t, j, 1, entries(1, 5, 1))
			tt.snapshot.Data = json.RawMessage(`"s"`)
			replaced := 0
			broken := disk.Open()
			replace := broken.Replace
			broken.Replace = func(name string, data []byte) error {
				if replaced++; replaced == 2 {
					return errDisk
				}
				return replace(name, data)
			}
			j, _, err := journaler.Open(broken, nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Compact(tt.snapshot, nil); !errors.Is(err, errDisk) {
				t.Fatalf("got %v, want %v", err, errDisk)
			}
			_, restored := open(t, disk)
			if restored.Snapshot.Index != tt.snapshot.Index || lastIndex(restored) != tt.wantLast {
				t.Errorf("restored snapshot %d and entries up to %d, want %d and %d",
					restored.Snapshot.Index, lastIndex(restored), tt.snapshot.Index, tt.wantLast)
			}
			if len(restored.Entries) > 0 && restored.Entries[0].Index != tt.wantFirst {
				t.Errorf("the first entry is %d, want %d", restored.Entries[0].Index, tt.wantFirst)
			}
			if restored.HardState.Term != 1 {
				t.Errorf("the term is %d, want 1", restored.HardState.Term)
			}
		})
	}
}

func TestSnapshotFromTheLeaderKeepsTheVote(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	hard := replicator.HardState{Term: 7, Vote: "m1"}
	if err := j.Save(replicator.Ready{HardState: &hard}); err != nil {
		t.Fatal(err)
	}
	if err := j.Save(replicator.Ready{Snapshot: &replicator.Snapshot{Index: 4, Term: 6, Data: json.RawMessage(`1`)}}); err != nil {
		t.Fatal(err)
	}
	if _, restored := open(t, disk); restored.HardState != hard {
		t.Errorf("got %+v, want %+v", restored.HardState, hard)
	}
}

func TestIdentityIsOfOneDisk(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	if _, err := journaler.ReadIdentity(disk.Open()); code(err) != journaler.CodeIdentity {
		t.Errorf("an empty disk has an identity: %v", err)
	}
	first, err := journaler.Format(disk.Open(), "control-1", "127.0.0.1:1", false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journaler.Format(disk.Open(), "control-1", "127.0.0.1:1", false); code(err) != journaler.CodeIdentity {
		t.Errorf("a disk was formatted twice: %v", err)
	}
	emptied, err := journaler.Format(faker.NewDisk(2).Open(), "control-1", "127.0.0.1:1", false)
	if err != nil {
		t.Fatal(err)
	}
	if emptied.Member == first.Member || emptied.InitialMembers() != nil {
		t.Errorf("an emptied disk comes back as the old member %q with base %v", emptied.Member, emptied.InitialMembers())
	}
}

func TestFolderHasOneProcess(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	disk, err := journaler.OpenDisk(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journaler.OpenDisk(path); code(err) != journaler.CodeDisk {
		t.Errorf("a second process may use the folder: %v", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestRealDiskKeepsWhatWasSaved(t *testing.T) {
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
		t.Errorf("restored up to %d in term %d: %v", lastIndex(restored), restored.HardState.Term, err)
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
		// What was accepted once is accepted again, and gives the same.
		_, second, err := journaler.Open(disk.Open(), nil)
		if err != nil || lastIndex(first) != lastIndex(second) {
			t.Errorf("opened up to %d, and then up to %d: %v", lastIndex(first), lastIndex(second), err)
		}
	})
}

func TestWhatIsKnownAsCommittedComesBack(t *testing.T) {
	t.Parallel()
	disk := faker.NewDisk(1)
	j, _ := open(t, disk)
	list := []replicator.Entry{{Index: 1, Term: 1, Data: json.RawMessage(`1`)}, {Index: 2, Term: 1, Data: json.RawMessage(`2`)}}
	if err := j.Save(replicator.Ready{Entries: list, Commit: 1}); err != nil {
		t.Fatal(err)
	}
	_, restored := open(t, disk)
	if restored.Commit != 1 {
		t.Fatalf("%d is known as committed, want 1", restored.Commit)
	}
	core := replicator.New(replicator.Config{ID: "m0", ElectionTimeout: time.Second}, restored, 0)
	if committed := core.Ready().Committed; len(committed) != 1 || committed[0].Index != 1 {
		t.Errorf("%v is applied before any leader is known, want entry 1", committed)
	}
}

func TestFoundersAgreeWithoutSpeaking(t *testing.T) {
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
		t.Errorf("the founders differ: %+v and %+v", first, second)
	}
	if again, err := journaler.ReadIdentity(disk.Open()); err != nil || again.Member != first.Member ||
		len(again.InitialMembers()) != 3 {
		t.Errorf("the identity came back as %+v: %v", again, err)
	}
	if _, err := journaler.FormatFounder(faker.NewDisk(3).Open(), "10.0.0.9:1", addresses); code(err) != journaler.CodeIdentity {
		t.Errorf("one that is no seed founded a cell: %v", err)
	}
}
