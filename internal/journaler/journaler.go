// Package journaler keeps a member's hard state, log and snapshots on disk.
// What Save returned for is on disk; a torn tail that a crash left is cut off,
// and damage anywhere else stops the member with a clear error.
package journaler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// The codes of this layer's errors.
const (
	// CodeDamaged says that a file holds other than what was written.
	CodeDamaged = "journalDamaged"
	// CodeDisk says that the disk refused to read, write or sync.
	CodeDisk = "journalDisk"
)

const (
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
	// indexDigits pads the index in file names, so that they sort.
	indexDigits = 20
)

// record is what one frame of a log holds.
type record struct {
	HardState *replicator.HardState `json:"hardState,omitempty"`
	// Entries replace all entries from the index of the first one on.
	Entries []replicator.Entry `json:"entries,omitempty"`
	// Commit is an index up to which the log was known to be committed.
	Commit uint64 `json:"commit,omitempty"`
}

// Journal is a member's memory on disk. It is not safe for concurrent use.
type Journal struct {
	disk Disk
	// log is the name of the file that is appended to.
	log string
	// hard is the hard state that is on the disk.
	hard replicator.HardState
	// commit is the highest index that was saved as committed.
	commit uint64
	// failed holds the first error of a write; after it nothing is written.
	failed error
}

// Open reads what is on the disk. base is the membership before any entry.
func Open(disk Disk, base []replicator.Member) (*Journal, replicator.RestoredState, error) {
	names, err := disk.List()
	if err != nil {
		return nil, replicator.RestoredState{}, diskError(err, "list", "")
	}
	slices.Sort(names)
	j := &Journal{disk: disk}
	restored := replicator.RestoredState{Snapshot: replicator.Snapshot{Members: base}}
	snapshotName := latest(names, snapshotPrefix)
	if snapshotName != "" {
		if restored.Snapshot, err = j.readSnapshot(snapshotName); err != nil {
			return nil, replicator.RestoredState{}, err
		}
	}
	j.log = latest(names, logPrefix)
	if j.log == "" {
		if snapshotName != "" {
			return nil, replicator.RestoredState{}, damaged(snapshotName, "there is a snapshot but no log")
		}
		j.log = fileName(logPrefix, 0)
		if err := disk.Replace(j.log, nil); err != nil {
			return nil, replicator.RestoredState{}, diskError(err, "create", j.log)
		}
		return j, restored, nil
	}
	if err := j.readLog(&restored); err != nil {
		return nil, replicator.RestoredState{}, err
	}
	return j, restored, j.removeOthers(names, snapshotName)
}

func latest(names []string, prefix string) string {
	for _, name := range slices.Backward(names) {
		if _, ok := parseName(name, prefix); ok {
			return name
		}
	}
	return ""
}

func fileName(prefix string, index uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, indexDigits, index)
}

func parseName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != indexDigits {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil
}

func (j *Journal) readSnapshot(name string) (replicator.Snapshot, error) {
	var s replicator.Snapshot
	data, err := j.disk.Read(name)
	if err != nil {
		return s, diskError(err, "read", name)
	}
	payload, rest, err := readFrame(data)
	if err != nil || len(rest) > 0 {
		return s, damaged(name, "the snapshot's checksum is wrong")
	}
	if err := json.Unmarshal(payload, &s); err != nil {
		return s, damaged(name, err.Error())
	}
	return s, nil
}

func (j *Journal) readLog(restored *replicator.RestoredState) error {
	data, err := j.disk.Read(j.log)
	if err != nil {
		return diskError(err, "read", j.log)
	}
	base, _ := parseName(j.log, logPrefix)
	var entries []replicator.Entry
	rest := data
	for len(rest) > 0 {
		payload, after, err := readFrame(rest)
		if err != nil {
			if err := j.cutTail(data, len(data)-len(rest)); err != nil {
				return err
			}
			break
		}
		var r record
		if err := json.Unmarshal(payload, &r); err != nil {
			return damaged(j.log, err.Error())
		}
		if entries, err = j.replay(base, entries, r); err != nil {
			return err
		}
		rest = after
	}
	restored.HardState = j.hard
	restored.Commit = j.commit
	restored.Entries = entriesAfter(restored.Snapshot, base, entries)
	return nil
}

// entriesAfter returns the entries that follow the snapshot: none, where the
// log does not hold the entry that the snapshot was taken at.
func entriesAfter(s replicator.Snapshot, base uint64, entries []replicator.Entry) []replicator.Entry {
	if s.Index == base {
		return entries
	}
	if s.Index < base || s.Index > base+uint64(len(entries)) {
		return nil
	}
	if entries[s.Index-base-1].Term != s.Term {
		return nil
	}
	return entries[s.Index-base:]
}

// cutTail removes a frame that a crash left unfinished. A whole frame behind
// it means that the bad one was once synced, and so is damage.
func (j *Journal) cutTail(data []byte, good int) error {
	if holdsFrame(data[good+1:]) {
		return damaged(j.log, fmt.Sprintf("the frame at byte %d is damaged and others follow it", good))
	}
	if err := j.disk.Truncate(j.log, int64(good)); err != nil {
		return diskError(err, "truncate", j.log)
	}
	return nil
}

func (j *Journal) replay(base uint64, entries []replicator.Entry, r record) ([]replicator.Entry, error) {
	if r.HardState != nil {
		j.hard = *r.HardState
	}
	j.commit = max(j.commit, r.Commit)
	for _, e := range r.Entries {
		if e.Index <= base || e.Index > base+uint64(len(entries))+1 {
			return nil, damaged(j.log, fmt.Sprintf("entry %d does not follow the one before it", e.Index))
		}
		entries = append(entries[:e.Index-base-1], e)
	}
	return entries, nil
}

// Save writes what Ready returned and syncs once.
func (j *Journal) Save(r replicator.Ready) error {
	if j.failed != nil {
		return j.failed
	}
	if r.HardState != nil {
		j.hard = *r.HardState
	}
	j.commit = max(j.commit, r.Commit)
	if r.Snapshot != nil {
		if err := j.Compact(*r.Snapshot, nil); err != nil {
			return err
		}
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	frame, err := encodeFrame(record{HardState: r.HardState, Entries: r.Entries, Commit: j.commit})
	if err != nil {
		return err
	}
	if err := j.disk.Append(j.log, frame); err != nil {
		return j.fail(err, "append")
	}
	if err := j.disk.Sync(j.log); err != nil {
		return j.fail(err, "sync")
	}
	return nil
}

func (j *Journal) fail(err error, doing string) error {
	j.failed = diskError(err, doing, j.log)
	return j.failed
}

// Compact writes a snapshot and a new log that holds the hard state and the
// entries after the snapshot, and then removes the old files.
func (j *Journal) Compact(s replicator.Snapshot, after []replicator.Entry) error {
	hard := j.hard
	frame, err := encodeFrame(s)
	if err != nil {
		return err
	}
	snapshotName := fileName(snapshotPrefix, s.Index)
	if err := j.disk.Replace(snapshotName, frame); err != nil {
		return j.fail(err, "write snapshot")
	}
	frame, err = encodeFrame(record{HardState: &hard, Entries: after, Commit: j.commit})
	if err != nil {
		return err
	}
	j.log = fileName(logPrefix, s.Index)
	if err := j.disk.Replace(j.log, frame); err != nil {
		return j.fail(err, "write log")
	}
	names, err := j.disk.List()
	if err != nil {
		return j.fail(err, "list")
	}
	return j.removeOthers(names, snapshotName)
}

// removeOthers removes the snapshots and logs that newer ones have replaced.
func (j *Journal) removeOthers(names []string, snapshotName string) error {
	for _, name := range names {
		_, isSnapshot := parseName(name, snapshotPrefix)
		_, isLog := parseName(name, logPrefix)
		old := (isSnapshot && name != snapshotName) || (isLog && name != j.log)
		if !old {
			continue
		}
		if err := j.disk.Remove(name); err != nil {
			return diskError(err, "remove", name)
		}
	}
	return nil
}

func damaged(name, reason string) error {
	return oops.Code(CodeDamaged).With("file", name).Errorf("%s is damaged: %s", name, reason)
}

func diskError(err error, doing, name string) error {
	return oops.Code(CodeDisk).With("file", name).Wrapf(err, "%s %s", doing, name)
}
