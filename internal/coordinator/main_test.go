//go:build race

package coordinator_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor if the race detector is on. The runtime of Go 1.26 uses one
// context of the detector for all timers of a bubble, and the detector crashes when two threads
// run such timers at once. Accesses that no event orders are still found on one processor.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
