// Package faker provides a fake disk for tests, and a proxy whose connections go silent.
// Each operation of the disk consists of the
// same steps as on a real disk, and it can be stopped after any of them. It loses what was
// not synced when the power is lost.
package faker

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samphirewick/samphirewick/internal/journaler"
)

// ErrStopped is returned by the operations of a disk that StopAfter has stopped.
var ErrStopped = errors.New("the process was stopped")

// Disk is a fake data folder in memory. Its methods are safe for concurrent use.
type Disk struct {
	mutex sync.Mutex
	rng   *rand.Rand
	// files are the files that the process sees, durable those that survive a loss of
	// power, without the changes in unsyncedNames.
	files         map[string]*file
	durable       map[string]*file
	unsyncedNames []nameChange
	// stepsLeft is the number of steps after which the disk stops; negative if it does
	// not stop.
	stepsLeft int
	// FailSync, FailAppend and FailReplace, if set, are returned by the operation. An
	// append that fails has written the first half of its data.
	FailSync    error
	FailAppend  error
	FailReplace error
	// free is the free space that the disk reports, in bytes.
	free uint64
	// Syncs counts the successful syncs.
	Syncs int
}

// unlimited is the value of stepsLeft of a disk that does not stop.
const unlimited = -1

// NewDisk returns an empty fake disk. What Crash loses is drawn from the seed, so that a
// run can be repeated.
func NewDisk(seed uint64) *Disk {
	const defaultFreeBytes = 1 << 40
	return &Disk{
		rng: rand.New(rand.NewPCG(seed, seed)), files: map[string]*file{}, durable: map[string]*file{},
		stepsLeft: unlimited, free: defaultFreeBytes,
	}
}

// Open returns the disk in the form that the journal uses.
func (d *Disk) Open() journaler.Disk {
	return journaler.Disk{
		List:       d.list,
		Read:       d.read,
		Append:     d.append,
		Sync:       d.sync,
		Truncate:   d.truncate,
		Replace:    d.replace,
		Remove:     d.remove,
		SyncFolder: d.syncFolder,
		FreeBytes:  d.freeBytes,
		Close:      func() error { return nil },
	}
}

// SetFree sets the free space that the disk reports, in bytes.
func (d *Disk) SetFree(free uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.free = free
}

func (d *Disk) freeBytes() (uint64, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.free, nil
}

// StopAfter lets the disk take the given number of further steps. All operations fail
// after them, until Restart, LosePower or Crash is called.
func (d *Disk) StopAfter(steps int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepsLeft = steps
}

// step takes one step, unless the disk has stopped. The caller holds the mutex.
func (d *Disk) step(f func()) error {
	if d.stepsLeft == 0 {
		return ErrStopped
	}
	if d.stepsLeft > 0 {
		d.stepsLeft--
	}
	f()
	return nil
}

// Change replaces the content of a file, synced, to simulate damage.
func (d *Disk) Change(name string, change func([]byte) []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f := d.files[name]
	f.synced = slices.Clone(change(f.content()))
	f.unsynced = nil
	f.size = len(f.synced)
}

// Names returns the names of the files, sorted.
func (d *Disk) Names() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Sorted(maps.Keys(d.files))
}

func (d *Disk) list() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *Disk) read(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f.content(), nil
}

func (d *Disk) append(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	if d.FailAppend != nil {
		f.write(data[:len(data)/2])
		return d.FailAppend
	}
	return d.step(func() { f.write(data) })
}

func (d *Disk) sync(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.FailSync != nil {
		return d.FailSync
	}
	f, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	return d.step(func() {
		d.Syncs++
		d.syncFile(f)
	})
}

func (d *Disk) truncate(name string, size int64) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f := d.files[name]
	return d.steps(
		func() { f.truncate(int(size)) },
		func() { d.syncFile(f) },
	)
}

func (d *Disk) replace(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.FailReplace != nil {
		return d.FailReplace
	}
	const temporaryPrefix = "new-"
	f := &file{}
	return d.steps(
		func() { d.changeName(nameChange{to: temporaryPrefix + name, file: f}) },
		func() { f.write(data) },
		func() { d.syncFile(f) },
		func() { d.changeName(nameChange{from: temporaryPrefix + name, to: name, file: f}) },
		d.syncNames,
	)
}

func (d *Disk) remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	return d.step(func() { d.changeName(nameChange{from: name, file: f}) })
}

func (d *Disk) syncFolder() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.step(d.syncNames)
}

// steps takes the steps one after the other. The caller holds the mutex.
func (d *Disk) steps(list ...func()) error {
	for _, f := range list {
		if err := d.step(f); err != nil {
			return err
		}
	}
	return nil
}
