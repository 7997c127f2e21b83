package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since boot. The clock is monotonic and, unlike the
// monotonic clock of the Go runtime, advances while the machine is suspended. It
// panics if CLOCK_BOOTTIME is not available.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
