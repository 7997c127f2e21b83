package runner

import "runtime/debug"

const (
	// heapLimitPercent is the percentage of the process's memory limit that is set
	// as the limit of the Go runtime. The rest is for memory that the runtime does
	// not count.
	heapLimitPercent = 70
	// gcPercent is how much the heap grows, in percent of the live heap, before
	// the next garbage collection. Near the memory limit the runtime collects
	// sooner.
	gcPercent = 400
	percent   = 100
	megabyte  = 1 << 20
)

// LimitMemory sets the memory limit of the Go runtime for a process that may use
// the number of megabytes, and makes garbage collection rarer below that limit, to
// save processor time. With zero megabytes it changes nothing.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * megabyte * heapLimitPercent / percent)
		debug.SetGCPercent(gcPercent)
	}
}
