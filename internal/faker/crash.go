package faker

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
)

// Fate is what a loss of power does to a change that was not synced.
type Fate int

// The fates of a change. A torn write leaves its first bytes; a torn change of names is
// lost.
const (
	FateLost Fate = iota
	FateTorn
	FateKept
	fateCount
)

// RandomFates returns a function that draws fates from the seed.
func RandomFates(seed uint64) func() Fate {
	rng := rand.New(rand.NewPCG(seed, seed))
	return func() Fate { return Fate(rng.IntN(int(fateCount))) }
}

// contentChange is a write or a truncation that was not synced.
type contentChange struct {
	offset       int
	data         []byte
	isTruncation bool
}

// file is the content of one file.
type file struct {
	synced   []byte
	unsynced []contentChange
	// size is the size with the unsynced changes, in bytes.
	size int
}

func (f *file) content() []byte {
	content := slices.Clone(f.synced)
	for _, c := range f.unsynced {
		content = c.apply(content)
	}
	return content
}

// apply returns the content after the change. Bytes that no write has covered are zero.
func (c contentChange) apply(content []byte) []byte {
	if c.isTruncation {
		return content[:min(c.offset, len(content))]
	}
	end := c.offset + len(c.data)
	if end > len(content) {
		content = append(content, bytes.Repeat([]byte{0}, end-len(content))...)
	}
	copy(content[c.offset:], c.data)
	return content
}

func (f *file) write(data []byte) {
	f.unsynced = append(f.unsynced, contentChange{offset: f.size, data: slices.Clone(data)})
	f.size += len(data)
}

func (f *file) truncate(size int) {
	f.unsynced = append(f.unsynced, contentChange{offset: size, isTruncation: true})
	f.size = size
}

func (f *file) sync() {
	for _, c := range f.unsynced {
		f.synced = c.apply(f.synced)
	}
	f.unsynced = nil
}

// nameChange gives a file the name to, or removes the name from, or both. The other one is
// empty.
type nameChange struct {
	from, to string
	file     *file
}

func (n nameChange) apply(files map[string]*file) {
	if n.from != "" && files[n.from] == n.file {
		delete(files, n.from)
	}
	if n.to != "" {
		files[n.to] = n.file
	}
}

func (d *Disk) changeName(n nameChange) {
	n.apply(d.files)
	d.unsyncedNames = append(d.unsyncedNames, n)
}

// syncFile syncs the content of the file, and its name if the file is new.
func (d *Disk) syncFile(f *file) {
	f.sync()
	d.unsyncedNames = slices.DeleteFunc(d.unsyncedNames, func(n nameChange) bool {
		isNew := n.file == f && n.from == ""
		if isNew {
			n.apply(d.durable)
		}
		return isNew
	})
}

// syncNames makes all changes of names durable.
func (d *Disk) syncNames() {
	d.durable = maps.Clone(d.files)
	d.unsyncedNames = nil
}

// Restart starts the process again after it was killed: nothing is lost.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepsLeft = unlimited
}

// LosePower decides the fate of each change that was not synced, and starts the machine
// again.
func (d *Disk) LosePower(fate func() Fate) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, n := range d.unsyncedNames {
		if fate() == FateKept {
			n.apply(d.durable)
		}
	}
	d.unsyncedNames = nil
	d.files = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		d.loseContent(d.files[name], fate)
	}
	d.stepsLeft = unlimited
}

func (d *Disk) loseContent(f *file, fate func() Fate) {
	for _, c := range f.unsynced {
		switch fate() {
		case FateKept:
			f.synced = c.apply(f.synced)
		case FateTorn:
			if !c.isTruncation {
				c.data = c.data[:d.rng.IntN(len(c.data)+1)]
				f.synced = c.apply(f.synced)
			}
		default:
		}
	}
	f.unsynced = nil
	f.size = len(f.synced)
}

// Crash loses power, with fates drawn from the seed of the disk.
func (d *Disk) Crash() {
	d.LosePower(func() Fate { return Fate(d.rng.IntN(int(fateCount))) })
}

// Clone returns a copy of the disk, which draws what it loses from the seed.
func (d *Disk) Clone(seed uint64) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clone := NewDisk(seed)
	copies := map[*file]*file{}
	copyOf := func(f *file) *file {
		if copies[f] == nil {
			copies[f] = &file{synced: slices.Clone(f.synced), unsynced: slices.Clone(f.unsynced), size: f.size}
		}
		return copies[f]
	}
	for name, f := range d.files {
		clone.files[name] = copyOf(f)
	}
	for name, f := range d.durable {
		clone.durable[name] = copyOf(f)
	}
	for _, n := range d.unsyncedNames {
		clone.unsyncedNames = append(clone.unsyncedNames, nameChange{n.from, n.to, copyOf(n.file)})
	}
	clone.stepsLeft, clone.free = d.stepsLeft, d.free
	return clone
}
