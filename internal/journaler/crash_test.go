package journaler_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// crashingMember is a member whose process or machine may stop after any step of its disk.
type crashingMember struct {
	disk    *faker.Disk
	journal *journaler.Journal
	// The following fields are what the member has acknowledged: what it has saved, or
	// restored when it started last.
	identity journaler.Identity
	state    replicator.RestoredState
	// interrupted is what the last operation was to save; zero after it returned.
	interrupted replicator.Ready
}

// operation is one that a member does after its start.
type operation func(*crashingMember) error

// round is one run of the process: it starts, does its operations, and crashes at any step.
type round []operation

const crashingAddress = "10.0.0.1:1"

func (m *crashingMember) clone() *crashingMember {
	clone := *m
	clone.disk = m.disk.Clone(1)
	clone.state.Entries = slices.Clone(m.state.Entries)
	return &clone
}

// start opens the disk and checks that everything acknowledged is restored.
func (m *crashingMember) start() error {
	disk := m.disk.Open()
	identity, err := journaler.ReadIdentity(disk)
	if errors.Is(err, fs.ErrNotExist) && m.identity.Member == "" {
		identity, err = journaler.FormatFounder(disk, crashingAddress, []string{crashingAddress})
	}
	if err != nil {
		return err
	}
	journal, restored, err := journaler.Open(disk, identity.InitialMembers())
	if err != nil {
		return err
	}
	if err := m.checkRestored(restored); err != nil {
		return err
	}
	m.identity, m.journal, m.state, m.interrupted = identity, journal, restored, replicator.Ready{}
	return nil
}

func (m *crashingMember) checkRestored(restored replicator.RestoredState) error {
	h := restored.HardState
	if h != m.state.HardState && (m.interrupted.HardState == nil || h != *m.interrupted.HardState) {
		return fmt.Errorf("restored hard state %+v, acknowledged %+v", h, m.state.HardState)
	}
	// A snapshot may be missing while the log still holds the entries that it covers.
	s := m.state.Snapshot
	if restored.Snapshot.Index < s.Index && termOf(restored, s.Index) != s.Term {
		return fmt.Errorf("restored snapshot at index %d and entries up to %d, acknowledged a snapshot at %d",
			restored.Snapshot.Index, lastIndex(restored), s.Index)
	}
	for _, e := range m.state.Entries {
		if e.Index > restored.Snapshot.Index && termOf(restored, e.Index) != e.Term && !m.mayReplace(restored, e.Index) {
			return fmt.Errorf("entry %d of term %d was acknowledged; restored snapshot at %d and entries up to %d, with term %d there",
				e.Index, e.Term, restored.Snapshot.Index, lastIndex(restored), termOf(restored, e.Index))
		}
	}
	return nil
}

// mayReplace reports whether the interrupted operation removes the entry at index, and
// has reached the disk.
func (m *crashingMember) mayReplace(restored replicator.RestoredState, index uint64) bool {
	if s := m.interrupted.Snapshot; s != nil {
		return restored.Snapshot.Index == s.Index
	}
	if len(m.interrupted.Entries) == 0 {
		return false
	}
	first := m.interrupted.Entries[0]
	return first.Index <= index && termOf(restored, first.Index) == first.Term
}

// termOf returns the term of the restored entry at index, or zero.
func termOf(r replicator.RestoredState, index uint64) uint64 {
	if index <= r.Snapshot.Index || index > lastIndex(r) {
		return 0
	}
	return r.Entries[index-r.Snapshot.Index-1].Term
}

func (m *crashingMember) save(r replicator.Ready) error {
	m.interrupted = r
	if err := m.journal.Save(r); err != nil {
		return err
	}
	m.interrupted = replicator.Ready{}
	if r.HardState != nil {
		m.state.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		m.state.Snapshot, m.state.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		m.state.Entries = append(m.state.Entries[:r.Entries[0].Index-m.state.Snapshot.Index-1], r.Entries...)
	}
	return nil
}

// nextHardState returns the hard state after a vote in the next term.
func (m *crashingMember) nextHardState() *replicator.HardState {
	term := m.state.HardState.Term + 1
	return &replicator.HardState{Term: term, Vote: fmt.Sprintf("m%d", term)}
}

// saveEntries saves three entries of the next term.
func saveEntries(m *crashingMember) error {
	h, last := m.nextHardState(), lastIndex(m.state)
	return m.save(replicator.Ready{HardState: h, Entries: entries(last+1, last+3, h.Term)})
}

// replaceLastEntry saves entries of another leader in place of the last one.
func replaceLastEntry(m *crashingMember) error {
	h, last := m.nextHardState(), lastIndex(m.state)
	first := max(last, m.state.Snapshot.Index+1)
	return m.save(replicator.Ready{HardState: h, Entries: entries(first, first+1, h.Term)})
}

// takeSnapshot compacts the log up to its last entry but one.
func takeSnapshot(m *crashingMember) error {
	if len(m.state.Entries) < 2 {
		return nil
	}
	kept := len(m.state.Entries) - 1
	e := m.state.Entries[kept-1]
	s := replicator.Snapshot{Index: e.Index, Term: e.Term, Data: json.RawMessage(`"s"`)}
	if err := m.journal.Compact(s, m.state.Entries[kept:]); err != nil {
		return err
	}
	m.state.Snapshot, m.state.Entries = s, slices.Clone(m.state.Entries[kept:])
	return nil
}

// installSnapshot returns an operation that installs a snapshot of a leader of the next
// term, at the given distance after the last entry.
func installSnapshot(distance int) operation {
	return func(m *crashingMember) error {
		h := m.nextHardState()
		index := max(m.state.Snapshot.Index+1, uint64(max(0, int(lastIndex(m.state))+distance)))
		s := replicator.Snapshot{Index: index, Term: h.Term, Data: json.RawMessage(`"s"`)}
		return m.save(replicator.Ready{HardState: h, Snapshot: &s})
	}
}

// losses are what a crash may leave of the changes that were not synced.
func losses() map[string]func(*faker.Disk) {
	const seeds = 4
	fates := map[string]faker.Fate{"lost": faker.FateLost, "torn": faker.FateTorn, "kept": faker.FateKept}
	all := map[string]func(*faker.Disk){}
	for name, fate := range fates {
		all["power lost, all "+name] = func(d *faker.Disk) { d.LosePower(func() faker.Fate { return fate }) }
	}
	for seed := range uint64(seeds) {
		all[fmt.Sprintf("power lost, seed %d", seed)] = func(d *faker.Disk) { d.LosePower(faker.RandomFates(seed)) }
	}
	return all
}

// enumeration runs a member through its rounds, with a crash at every step of each.
type enumeration struct {
	losses map[string]func(*faker.Disk)
	// seen holds the disks that a round has started from already.
	seen map[string]bool
}

func (e *enumeration) run(t *testing.T, m *crashingMember, rounds []round, trail []string) {
	t.Helper()
	if len(rounds) == 0 {
		if err := m.start(); err != nil {
			t.Fatalf("after %s: %v", strings.Join(trail, "; "), err)
		}
		return
	}
	isLastStep := false
	for steps := 0; !isLastStep; steps++ {
		stopped := m.clone()
		stopped.disk.StopAfter(steps)
		err := stopped.start()
		for i := 0; i < len(rounds[0]) && err == nil; i++ {
			err = rounds[0][i](stopped)
		}
		if err != nil && !errors.Is(err, faker.ErrStopped) {
			t.Fatalf("after %s; %d steps: %v", strings.Join(trail, "; "), steps, err)
		}
		isLastStep = err == nil
		e.crash(t, stopped, rounds[1:], append(trail, fmt.Sprintf("%d steps", steps)))
	}
}

// crash continues with the next round after each loss that leaves another disk.
func (e *enumeration) crash(t *testing.T, m *crashingMember, rounds []round, trail []string) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(e.losses)) {
		next := m.clone()
		e.losses[name](next.disk)
		if name != killed {
			key := fmt.Sprint(len(rounds), next.interrupted, next.state, contents(t, next.disk))
			if e.seen[key] {
				continue
			}
			e.seen[key] = true
		}
		e.run(t, next, rounds, append(slices.Clone(trail), name))
	}
}

// killed names the loss of a killed process, whose changes stay unsynced.
const killed = "killed"

// contents returns the content of all files that a member reads.
func contents(t *testing.T, disk *faker.Disk) string {
	t.Helper()
	var all strings.Builder
	for _, name := range disk.Names() {
		if strings.HasPrefix(name, "new-") {
			continue
		}
		data, err := disk.Open().Read(name)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "%s %q\n", name, data)
	}
	return all.String()
}

// newCrashingMember returns a member that has been founded and has done the operations.
func newCrashingMember(t *testing.T, operations ...operation) *crashingMember {
	t.Helper()
	m := &crashingMember{disk: faker.NewDisk(1)}
	if err := m.start(); err != nil {
		t.Fatal(err)
	}
	for _, o := range operations {
		if err := o(m); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func TestMemberStartsAgainAfterCrashWhileInstallingSnapshot(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		before   []operation
		distance int
	}{
		"the log ends before the snapshot":                       {[]operation{saveEntries}, 5},
		"the log ends right before the snapshot":                 {[]operation{saveEntries}, 1},
		"the log ends with an entry of another term":             {[]operation{saveEntries}, 0},
		"the log holds an entry of another term at the snapshot": {[]operation{saveEntries}, -1},
		"the log was compacted before":                           {[]operation{saveEntries, takeSnapshot, saveEntries}, 5},
		"the log of a joining member is empty":                   {nil, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := enumeration{losses: losses(), seen: map[string]bool{}}
			rounds := []round{{installSnapshot(tt.distance), saveEntries}, {saveEntries}, {saveEntries}}
			e.run(t, newCrashingMember(t, tt.before...), rounds, nil)
		})
	}
}

// killsAndLosses are the losses, and a kill of the process, which leaves changes that a
// later loss of power may still lose.
func killsAndLosses() map[string]func(*faker.Disk) {
	all := losses()
	all[killed] = (*faker.Disk).Restart
	return all
}

func TestRestoredEntriesSurvivePowerLossAfterKill(t *testing.T) {
	t.Parallel()
	tests := map[string][]operation{
		"entries are appended":       {saveEntries},
		"the last entry is replaced": {replaceLastEntry},
	}
	for name, saves := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := enumeration{losses: killsAndLosses(), seen: map[string]bool{}}
			e.run(t, newCrashingMember(t, saveEntries), []round{saves, saves, saves}, nil)
		})
	}
}

func TestFilesFoundAtStartSurvivePowerLossAfterKill(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		before []operation
		rounds []round
	}{
		"a snapshot is taken":                 {[]operation{saveEntries, takeSnapshot, saveEntries}, []round{{takeSnapshot}, {}, {}}},
		"a snapshot is installed, then saves": {[]operation{saveEntries}, []round{{installSnapshot(5)}, {saveEntries}, {saveEntries}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := enumeration{losses: killsAndLosses(), seen: map[string]bool{}}
			e.run(t, newCrashingMember(t, tt.before...), tt.rounds, nil)
		})
	}
	t.Run("a member is founded", func(t *testing.T) {
		t.Parallel()
		e := enumeration{losses: killsAndLosses(), seen: map[string]bool{}}
		e.run(t, &crashingMember{disk: faker.NewDisk(1)}, []round{{}, {saveEntries}, {saveEntries, takeSnapshot}}, nil)
	})
}
