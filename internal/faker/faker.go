// Package faker provides a fake disk for tests. It loses data that was not synced
// when it crashes. What it loses is drawn from a seed, so that a run can be
// repeated.
package faker

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samphirewick/samphirewick/internal/journaler"
)

// file is the content of one file on a fake disk.
type file struct {
	// synced survives a crash; pending is cut off at a random byte.
	synced  []byte
	pending []byte
}

// Disk is a fake data folder in memory. Its methods are safe for concurrent use.
type Disk struct {
	mutex sync.Mutex
	rng   *rand.Rand
	files map[string]*file
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

// NewDisk returns an empty fake disk.
func NewDisk(seed uint64) *Disk {
	const defaultFreeBytes = 1 << 40
	return &Disk{rng: rand.New(rand.NewPCG(seed, seed)), files: map[string]*file{}, free: defaultFreeBytes}
}

// Open returns the disk in the form that the journal uses.
func (d *Disk) Open() journaler.Disk {
	return journaler.Disk{
		List:      d.list,
		Read:      d.read,
		Append:    d.append,
		Sync:      d.sync,
		Truncate:  d.truncate,
		Replace:   d.replace,
		Remove:    d.remove,
		FreeBytes: d.freeBytes,
		Close:     func() error { return nil },
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

// Crash drops the data that was not synced, from a random byte of each file on.
func (d *Disk) Crash() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range d.names() {
		f := d.files[name]
		if len(f.pending) > 0 {
			f.synced = append(f.synced, f.pending[:d.rng.IntN(len(f.pending)+1)]...)
			f.pending = nil
		}
	}
}

// Change replaces the content of a file, synced, to simulate damage.
func (d *Disk) Change(name string, change func([]byte) []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f := d.files[name]
	f.synced = slices.Clone(change(slices.Concat(f.synced, f.pending)))
	f.pending = nil
}

// Names returns the names of the files, sorted.
func (d *Disk) Names() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.names()
}

func (d *Disk) names() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d *Disk) list() ([]string, error) { return d.Names(), nil }

func (d *Disk) read(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Concat(f.synced, f.pending), nil
}

func (d *Disk) append(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	if d.FailAppend != nil {
		f.pending = append(f.pending, data[:len(data)/2]...)
		return d.FailAppend
	}
	f.pending = append(f.pending, data...)
	return nil
}

func (d *Disk) sync(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.FailSync != nil {
		return d.FailSync
	}
	d.Syncs++
	f := d.files[name]
	f.synced = append(f.synced, f.pending...)
	f.pending = nil
	return nil
}

func (d *Disk) truncate(name string, size int64) error {
	d.Change(name, func(data []byte) []byte { return data[:size] })
	return nil
}

func (d *Disk) replace(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.FailReplace != nil {
		return d.FailReplace
	}
	d.files[name] = &file{synced: slices.Clone(data)}
	return nil
}

func (d *Disk) remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.files, name)
	return nil
}
