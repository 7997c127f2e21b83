// Package journaler stores a member's hard state, log and snapshots on disk.
// When Save returns without error, its data is on disk. Open truncates an
// incomplete frame at the end of the log, which a crash may leave. Any other
// damage is an error, which stops the member.
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

// The codes of the errors of this package.
const (
	// CodeDamaged is the code of errors about files whose content is damaged.
	CodeDamaged = "journalDamaged"
	// CodeDisk is the code of errors that the disk returned.
	CodeDisk = "journalDisk"
)

const (
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
	// indexDigits is the number of digits of the index in file names, which is
	// padded so that the names sort by index.
	indexDigits = 20
)

// record is the content of one frame of a log.
type record struct {
	HardState *replicator.HardState `json:"hardState,omitempty"`
	// Entries replace all entries from the index of the first one on.
	Entries []replicator.Entry `json:"entries,omitempty"`
	// Commit is the commit index that was known when the record was written.
	Commit uint64 `json:"commit,omitempty"`
}

// Journal is the persistent storage of a member. It is not safe for concurrent use.
type Journal struct {
	disk Disk
	// logFile is the name of the file that records are appended to.
	logFile string
	// hardState is the latest hard state that Save was given or Open has read.
	hardState replicator.HardState
	// commitIndex is the highest commit index that Save was given or Open has
	// read. It is written along with the next record.
	commitIndex uint64
	// tornBytes is the number of bytes that Open has cut off at the end of the log.
	tornBytes int
	// writeError is the error of a failed write. After one, Save writes nothing more.
	writeError error
}

// TornBytes returns the number of bytes of an incomplete frame that Open has removed from
// the end of the log.
func (j *Journal) TornBytes() int { return j.tornBytes }

// Open reads the journal on the disk, or creates it if there is none.
// initialMembers is the membership before the first entry. The error has
// CodeDamaged or CodeDisk.
func Open(disk Disk, initialMembers []replicator.Member) (*Journal, replicator.RestoredState, error) {
	// A killed process may have renamed files without syncing the folder.
	if err := disk.SyncFolder(); err != nil {
		return nil, replicator.RestoredState{}, diskError(err, "sync folder", "")
	}
	j := &Journal{disk: disk}
	names, err := j.list()
	if err != nil {
		return nil, replicator.RestoredState{}, err
	}
	restored := replicator.RestoredState{Snapshot: replicator.Snapshot{Members: initialMembers}}
	snapshotName := latestFile(names, snapshotPrefix)
	if snapshotName != "" {
		if restored.Snapshot, err = j.readSnapshot(snapshotName); err != nil {
			return nil, replicator.RestoredState{}, err
		}
	}
	j.logFile = latestFile(names, logPrefix)
	if j.logFile == "" {
		if snapshotName != "" {
			return nil, replicator.RestoredState{}, damagedError(snapshotName, "the snapshot exists without a log")
		}
		j.logFile = fileName(logPrefix, 0)
		if err := disk.Replace(j.logFile, nil); err != nil {
			return nil, replicator.RestoredState{}, diskError(err, "create", j.logFile)
		}
		return j, restored, nil
	}
	if err := j.readLog(&restored); err != nil {
		return nil, replicator.RestoredState{}, err
	}
	return j, restored, j.removeSuperseded(names, snapshotName)
}

// list returns the names of the files, sorted. It removes the unfinished files that a crash
// has left, which may hold the space that the next file needs.
func (j *Journal) list() ([]string, error) {
	names, err := j.disk.List()
	if err != nil {
		return nil, diskError(err, "list", "")
	}
	var finished []string
	for _, name := range names {
		if !strings.HasPrefix(name, temporaryPrefix) {
			finished = append(finished, name)
			continue
		}
		if err := j.disk.Remove(name); err != nil {
			return nil, diskError(err, "remove", name)
		}
	}
	slices.Sort(finished)
	return finished, nil
}

func latestFile(names []string, prefix string) string {
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
		return s, damagedError(name, "it does not consist of one undamaged frame")
	}
	if err := json.Unmarshal(payload, &s); err != nil {
		return s, damagedError(name, err.Error())
	}
	return s, nil
}

func (j *Journal) readLog(restored *replicator.RestoredState) error {
	data, err := j.disk.Read(j.logFile)
	if err != nil {
		return diskError(err, "read", j.logFile)
	}
	baseIndex, _ := parseName(j.logFile, logPrefix)
	var entries []replicator.Entry
	rest := data
	for len(rest) > 0 {
		payload, after, err := readFrame(rest)
		if err != nil {
			if err := j.truncateTornTail(data, len(data)-len(rest)); err != nil {
				return err
			}
			break
		}
		var r record
		if err := json.Unmarshal(payload, &r); err != nil {
			return damagedError(j.logFile, err.Error())
		}
		if entries, err = j.replay(baseIndex, entries, r); err != nil {
			return err
		}
		rest = after
	}
	// A killed process may have appended records that it did not sync.
	if err := j.disk.Sync(j.logFile); err != nil {
		return j.fail(err, "sync")
	}
	restored.HardState = j.hardState
	restored.Commit = j.commitIndex
	if restored.Snapshot.Index < baseIndex {
		return damagedError(j.logFile, "the snapshot before its first entry is missing")
	}
	following, ok := entriesAfter(restored.Snapshot, baseIndex, entries)
	if !ok {
		// What is saved from now on follows the snapshot, so it must not be appended to this log.
		return j.startLog(restored.Snapshot.Index, nil)
	}
	restored.Entries = following
	return nil
}

// entriesAfter returns the entries that follow the snapshot, and whether the log
// continues the snapshot: it starts there, or holds the entry at the index of the
// snapshot with its term.
func entriesAfter(s replicator.Snapshot, baseIndex uint64, entries []replicator.Entry) ([]replicator.Entry, bool) {
	if s.Index == baseIndex {
		return entries, true
	}
	if s.Index > baseIndex+uint64(len(entries)) || entries[s.Index-baseIndex-1].Term != s.Term {
		return nil, false
	}
	return entries[s.Index-baseIndex:], true
}

// truncateTornTail removes an incomplete frame that a crash left at the end of
// the log. A complete frame after it means that the invalid one was synced
// before, so that it is damaged rather than incomplete, which is an error.
func (j *Journal) truncateTornTail(data []byte, validLength int) error {
	if containsFrame(data[validLength+1:]) {
		return damagedError(j.logFile, fmt.Sprintf("the frame at byte %d is invalid, but a valid one follows it", validLength))
	}
	if err := j.disk.Truncate(j.logFile, int64(validLength)); err != nil {
		return diskError(err, "truncate", j.logFile)
	}
	j.tornBytes = len(data) - validLength
	return nil
}

func (j *Journal) replay(baseIndex uint64, entries []replicator.Entry, r record) ([]replicator.Entry, error) {
	if r.HardState != nil {
		j.hardState = *r.HardState
	}
	j.commitIndex = max(j.commitIndex, r.Commit)
	for _, e := range r.Entries {
		if e.Index <= baseIndex || e.Index > baseIndex+uint64(len(entries))+1 {
			return nil, damagedError(j.logFile, fmt.Sprintf("entry %d is not contiguous with the entries before it", e.Index))
		}
		entries = append(entries[:e.Index-baseIndex-1], e)
	}
	return entries, nil
}

// Save writes the data of a Ready and syncs it with one sync. After a failed
// write, every further call returns the same error.
func (j *Journal) Save(r replicator.Ready) error {
	if j.writeError != nil {
		return j.writeError
	}
	if r.HardState != nil {
		j.hardState = *r.HardState
	}
	j.commitIndex = max(j.commitIndex, r.Commit)
	if r.Snapshot != nil {
		if err := j.Compact(*r.Snapshot, nil); err != nil {
			return err
		}
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	frame, err := encodeFrame(record{HardState: r.HardState, Entries: r.Entries, Commit: j.commitIndex})
	if err != nil {
		return err
	}
	if err := j.disk.Append(j.logFile, frame); err != nil {
		return j.fail(err, "append")
	}
	if err := j.disk.Sync(j.logFile); err != nil {
		return j.fail(err, "sync")
	}
	return nil
}

func (j *Journal) fail(err error, operation string) error {
	j.writeError = diskError(err, operation, j.logFile)
	return j.writeError
}

// Compact writes a snapshot and a new log, which holds the hard state and
// entries, those after the snapshot, and then removes the old files. After a failed
// write it writes nothing, because the entries may not be those on disk.
func (j *Journal) Compact(s replicator.Snapshot, entries []replicator.Entry) error {
	if j.writeError != nil {
		return j.writeError
	}
	frame, err := encodeFrame(s)
	if err != nil {
		return err
	}
	snapshotName := fileName(snapshotPrefix, s.Index)
	if err := j.disk.Replace(snapshotName, frame); err != nil {
		return j.fail(err, "write snapshot")
	}
	if err := j.startLog(s.Index, entries); err != nil {
		return err
	}
	names, err := j.list()
	if err != nil {
		return err
	}
	return j.removeSuperseded(names, snapshotName)
}

// startLog writes the log that follows the snapshot at index. It holds the hard state and
// the entries.
func (j *Journal) startLog(index uint64, entries []replicator.Entry) error {
	hardState := j.hardState
	frame, err := encodeFrame(record{HardState: &hardState, Entries: entries, Commit: j.commitIndex})
	if err != nil {
		return err
	}
	j.logFile = fileName(logPrefix, index)
	if err := j.disk.Replace(j.logFile, frame); err != nil {
		return j.fail(err, "write log")
	}
	return nil
}

// removeSuperseded removes the snapshots and logs that newer ones have replaced.
func (j *Journal) removeSuperseded(names []string, snapshotName string) error {
	for _, name := range names {
		_, isSnapshot := parseName(name, snapshotPrefix)
		_, isLog := parseName(name, logPrefix)
		isSuperseded := (isSnapshot && name != snapshotName) || (isLog && name != j.logFile)
		if !isSuperseded {
			continue
		}
		if err := j.disk.Remove(name); err != nil {
			return diskError(err, "remove", name)
		}
	}
	return nil
}

func damagedError(name, reason string) error {
	return oops.Code(CodeDamaged).With("file", name).Errorf("%s is damaged: %s", name, reason)
}

func diskError(err error, operation, name string) error {
	return oops.Code(CodeDisk).With("file", name).Wrapf(err, "%s %s", operation, name)
}
