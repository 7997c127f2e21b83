package runner

import "runtime/debug"

const (
	// memoryShare is the part of a process's memory, in percent, that the runtime
	// may use; the rest is for what it does not count.
	memoryShare = 70
	// collectAt is how much the heap grows, in percent of what is live, before the
	// next collection. The runtime collects sooner near the bound of the memory.
	collectAt = 400
	percent   = 100
	megabyte  = 1 << 20
)

// LimitMemory keeps the runtime below the bound of the process, and below it
// spends memory rather than processor time; zero is none.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * megabyte * memoryShare / percent)
		debug.SetGCPercent(collectAt)
	}
}
