package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines bounds the lines that wait to be written.
	ringLines = 4096
	// linesPerSecond bounds the volume: the leader at the peak of the users'
	// sites writes about half of it.
	linesPerSecond = 1000
	// maxWrite bounds the bytes of one write.
	maxWrite = 32 << 10
	// window is the span over which lines are counted.
	window = time.Second
)

// ring takes lines without blocking and writes them in order. Lines over the
// bounds are counted, and a line says how many.
type ring struct {
	out    io.Writer
	lines  chan []byte
	budget int64
	// report logs the number of lines that were lost in the last window.
	report func(lost int64, within time.Duration)

	// taken counts the lines of the present window, lost those not taken.
	taken atomic.Int64
	lost  atomic.Int64

	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newRing(out io.Writer, size int, budget int64) *ring {
	return &ring{
		out:     out,
		lines:   make(chan []byte, size),
		budget:  budget,
		report:  func(int64, time.Duration) {},
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (r *ring) Write(line []byte) (int, error) {
	if r.taken.Add(1) > r.budget {
		r.lost.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.lost.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (r *ring) Sync() error { return nil }

func (r *ring) run() {
	defer close(r.closed)
	ticker := time.NewTicker(window)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-ticker.C:
			r.turn()
		case <-r.closing:
			r.turn()
			r.flush()
			return
		}
	}
}

// turn begins a new window, and reports what the last one lost.
func (r *ring) turn() {
	r.taken.Store(0)
	if lost := r.lost.Swap(0); lost > 0 {
		r.report(lost, window)
	}
}

// write writes the line and those that wait behind it, in one call.
func (r *ring) write(batch []byte) {
	for len(batch) < maxWrite {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// Nobody can be told of a standard output that takes nothing.
	_, _ = r.out.Write(batch)
}

func (r *ring) flush() {
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		default:
			return
		}
	}
}

// close writes what waits and ends the ring; later lines are lost.
func (r *ring) close() {
	r.once.Do(func() { close(r.closing) })
	<-r.closed
}
