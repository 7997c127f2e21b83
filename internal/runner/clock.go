package runner

import (
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
