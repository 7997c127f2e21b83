package runner_test

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/samphirewick/samphirewick/internal/runner"
)

// kernelBootClock returns the boot time as the kernel's system call reports it.
func kernelBootClock(t *testing.T) time.Duration {
	t.Helper()
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		t.Fatal(err)
	}
	return time.Duration(reading.Nano())
}

func TestBootClockAgreesWithKernel(t *testing.T) {
	t.Parallel()
	for range 1000 {
		before := kernelBootClock(t)
		got := runner.BootClock()
		after := kernelBootClock(t)
		if got < before || got > after {
			t.Fatalf("the clock shows %v, which is not between the kernel's %v and %v", got, before, after)
		}
	}
}

func BenchmarkBootClock(b *testing.B) {
	for b.Loop() {
		runner.BootClock()
	}
}
