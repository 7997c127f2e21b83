package runner

// #include <time.h>
//
// static long long bootNanoseconds(void) {
// 	struct timespec t;
// 	if (clock_gettime(CLOCK_BOOTTIME, &t) != 0) {
// 		return -1;
// 	}
// 	return t.tv_sec * 1000000000LL + t.tv_nsec;
// }
// // The result is negative if the clock is not available.
import "C"

import "time"

// BootClock returns the time since boot. The clock is monotonic and, unlike the
// monotonic clock of the Go runtime, advances while the machine is suspended. It
// panics if CLOCK_BOOTTIME is not available.
//
// The C library reads the clock without a system call. The leader reads it tens of
// thousands of times a second, so that system calls would take a third of its
// processor time.
func BootClock() time.Duration {
	nanoseconds := C.bootNanoseconds()
	if nanoseconds < 0 {
		panic("CLOCK_BOOTTIME is not available")
	}
	return time.Duration(nanoseconds)
}
