package limiter

import "github.com/samphirewick/samphirewick/internal/loader"

const (
	megabyte = 1 << 20
	// reservedDescriptors is how many of a process's descriptors the platform keeps.
	reservedDescriptors = 200
	// clientDescriptorParts is the part of the other descriptors that clients get. The rest is
	// for files and for connections to other processes and to workers.
	clientDescriptorParts = 2
	// bytesPart and connectionsPart are the parts of the process's memory for requests in
	// flight, and for connections.
	bytesPart       = 4
	connectionsPart = 4
	// workPart is the part of the memory of a member of control for accepted work. A snapshot
	// takes several times the memory of what it holds while it is made and sent.
	workPart = 6
	// connectionBytes is the memory of a connection without a request: two buffers of 4 KiB, a
	// stack of 8 KiB, and the records of the HTTP server.
	connectionBytes = 20 << 10
)

// FromSettings returns the limits of a process that may use the memory and open the
// descriptors. Zero means that these are not known, so that nothing is derived from them.
func FromSettings(clients loader.Clients, memoryMegabytes, descriptors int) Limits {
	limits := Limits{
		Connections:        clients.Connections,
		Bytes:              int64(clients.MemoryMegabytes) * megabyte,
		HeaderBytes:        clients.HeaderBytes,
		HeaderTimeout:      clients.HeaderTimeout,
		IdleTimeout:        clients.IdleTimeout,
		BodyBytesPerSecond: clients.BodyBytesPerSecond,
		BodyGrace:          clients.BodyGrace,
		WriteTimeout:       clients.WriteTimeout,
	}
	if limits.Bytes == 0 {
		limits.Bytes = int64(memoryMegabytes) * megabyte / bytesPart
	}
	if limits.Connections > 0 {
		return limits
	}
	if memoryMegabytes > 0 {
		limits.Connections = memoryMegabytes * megabyte / connectionsPart / connectionBytes
	}
	if descriptors > 0 {
		byDescriptors := max(1, (descriptors-reservedDescriptors)/clientDescriptorParts)
		if limits.Connections == 0 || byDescriptors < limits.Connections {
			limits.Connections = byDescriptors
		}
	}
	return limits
}

// WorkBytes returns how many bytes of memory accepted work may take in a process that may use the
// megabytes. Zero means that these are not known, so that work is not bounded.
func WorkBytes(memoryMegabytes int) int64 { return int64(memoryMegabytes) * megabyte / workPart }
