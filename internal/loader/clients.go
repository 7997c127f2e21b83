package loader

import "time"

// Clients bounds what clients of the platform's listeners can make a process hold. The
// platform promises to serve header sections of 16,384 bytes that take 3 s, and connections
// that are idle for 15 s between requests. The defaults are above all of these.
type Clients struct {
	// Connections bounds the open connections; zero derives the bound from the descriptors
	// and the memory of the process.
	Connections int `ini:"connections"`
	// MemoryMegabytes bounds the memory for requests in flight; zero derives the bound from
	// the memory of the process.
	MemoryMegabytes int `ini:"memoryMegabytes"`
	// HeaderBytes bounds a header section.
	HeaderBytes   int           `ini:"headerBytes"`
	HeaderTimeout time.Duration `ini:"headerTimeout"`
	IdleTimeout   time.Duration `ini:"idleTimeout"`
	// BodyBytesPerSecond is the least rate at which a body has to arrive after BodyGrace.
	BodyBytesPerSecond int           `ini:"bodyBytesPerSecond"`
	BodyGrace          time.Duration `ini:"bodyGrace"`
	// WriteTimeout bounds the time in which a client takes 64 KiB of a response.
	WriteTimeout time.Duration `ini:"writeTimeout"`
}

func defaultClients() Clients {
	return Clients{
		HeaderBytes:   16 << 10,
		HeaderTimeout: 4 * time.Second,
		IdleTimeout:   20 * time.Second,
		// A link of 2 Mbit/s carries 250,000 bytes a second, and a tenth of that while it
		// loses many packets.
		BodyBytesPerSecond: 4 << 10,
		BodyGrace:          10 * time.Second,
		WriteTimeout:       20 * time.Second,
	}
}

func (c Clients) validate() error {
	return firstError(
		requireWithin("clients", "connections", c.Connections, 0, maxDescriptors),
		requireWithin("clients", "memoryMegabytes", c.MemoryMegabytes, 0, 1000000),
		requireWithin("clients", "headerBytes", c.HeaderBytes, 1<<10, 1<<20),
		requireAtLeast("clients", "headerTimeout", c.HeaderTimeout, 100*time.Millisecond),
		requireAtLeast("clients", "idleTimeout", c.IdleTimeout, 100*time.Millisecond),
		requireWithin("clients", "bodyBytesPerSecond", c.BodyBytesPerSecond, 1, 1<<30),
		requireAtLeast("clients", "bodyGrace", c.BodyGrace, time.Second),
		requireAtLeast("clients", "writeTimeout", c.WriteTimeout, time.Second),
	)
}
