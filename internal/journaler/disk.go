package journaler

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

const (
	folderMode fs.FileMode = 0o750
	fileMode   fs.FileMode = 0o600
	// temporaryPrefix begins the names of files that Replace has not renamed yet.
	temporaryPrefix = "new-"
)

// Disk gives access to the files of one data folder by name. No field is nil.
// Tests replace the fields.
type Disk struct {
	List   func() ([]string, error)
	Read   func(name string) ([]byte, error)
	Append func(name string, data []byte) error
	// Sync returns once the content of the file is on disk, whoever has written it.
	Sync     func(name string) error
	Truncate func(name string, size int64) error
	// Replace writes a file atomically: after a crash either the old or the new
	// content is there. It returns once the new content is on disk.
	Replace func(name string, data []byte) error
	Remove  func(name string) error
	// SyncFolder returns once the names of the files are on disk.
	SyncFolder func() error
	// FreeBytes returns the free space on the disk.
	FreeBytes func() (uint64, error)
	Close     func() error
}

// folder is a data folder in the file system.
type folder struct {
	path string
	// openFile is the file that was appended to or synced last, with the name openName;
	// nil if there is none.
	openFile *os.File
	openName string
}

// OpenDisk opens the data folder at path, and creates it if it does not exist.
// It takes a file lock, and returns an error with CodeDisk if another process
// holds it.
func OpenDisk(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return Disk{}, diskError(err, "create folder", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return Disk{}, diskError(err, "open lock", path)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return Disk{}, diskError(err, "lock (another process uses the folder)", path)
	}
	f := &folder{path: path}
	return Disk{
		List:       f.list,
		Read:       f.read,
		Append:     f.append,
		Sync:       f.sync,
		Truncate:   f.truncate,
		Replace:    f.replace,
		Remove:     f.remove,
		SyncFolder: f.syncFolder,
		FreeBytes:  f.freeBytes,
		Close:      func() error { return errors.Join(f.closeOpen(), lock.Close()) },
	}, nil
}

func (f *folder) list() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f *folder) read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

func (f *folder) append(name string, data []byte) error {
	if err := f.open(name); err != nil {
		return err
	}
	_, err := f.openFile.Write(data)
	return err
}

// open makes the named file the open one.
func (f *folder) open(name string) error {
	if f.openName == name && f.openFile != nil {
		return nil
	}
	if err := f.closeOpen(); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	f.openFile = file
	f.openName = name
	return nil
}

func (f *folder) closeOpen() error {
	if f.openFile == nil {
		return nil
	}
	err := f.openFile.Close()
	f.openFile = nil
	return err
}

func (f *folder) sync(name string) error {
	if err := f.open(name); err != nil {
		return err
	}
	return syscall.Fdatasync(int(f.openFile.Fd()))
}

func (f *folder) truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}

func (f *folder) replace(name string, data []byte) error {
	temporaryName := filepath.Join(f.path, temporaryPrefix+name)
	file, err := os.OpenFile(temporaryName, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporaryName, filepath.Join(f.path, name)); err != nil {
		return err
	}
	return f.syncFolder()
}

func (f *folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (f *folder) remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

func (f *folder) freeBytes() (uint64, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(f.path, &stat); err != nil {
		return 0, err
	}
	return stat.Bavail * uint64(stat.Bsize), nil
}
