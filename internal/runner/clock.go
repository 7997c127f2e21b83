package runner

import (
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a steady clock that goes on while the machine is suspended,
// unlike that of the runtime.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// memoryShare is the part of a process's memory, in percent, that the runtime
// may use; the rest is for what it does not count.
const (
	memoryShare = 70
	percent     = 100
	megabyte    = 1 << 20
)

// LimitMemory keeps the runtime below the bound of the process; zero is none.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * megabyte * memoryShare / percent)
	}
}
