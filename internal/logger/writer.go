package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the rate of lines. At the peak load of the users'
	// sites the leader writes about half of it.
	maxLinesPerSecond = 1000
	// maxWarningsPerSecond bounds the rate of warnings and errors, which have a limit of
	// their own so that a busy process does not drop the lines that say why.
	maxWarningsPerSecond = 200
	// maxWriteBytes is the size from which a batch of lines is written without
	// adding more lines.
	maxWriteBytes = 32 << 10
	// rateWindow is the period over which lines are counted.
	rateWindow = time.Second
)

// asyncWriter queues lines without blocking and writes them in order from its own
// goroutine. It drops lines over the rate limit of their lane or over the queue length,
// and reports their number after each window.
type asyncWriter struct {
	out   io.Writer
	lines chan []byte
	// lanes is not changed once run has begun.
	lanes []*lane
	// report logs the number of lines that were dropped in the last window.
	report func(dropped int64, window time.Duration)

	// dropped counts the lines of the current window that were not queued.
	dropped atomic.Int64

	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newAsyncWriter(out io.Writer, queueLength int) *asyncWriter {
	return &asyncWriter{
		out:     out,
		lines:   make(chan []byte, queueLength),
		report:  func(int64, time.Duration) {},
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// lane passes lines to a writer, up to a number in each window.
type lane struct {
	writer            *asyncWriter
	maxLinesPerWindow int64
	// received counts the lines of the current window.
	received atomic.Int64
}

// newLane adds a lane. It must be called before run.
func (w *asyncWriter) newLane(maxLinesPerWindow int64) *lane {
	l := &lane{writer: w, maxLinesPerWindow: maxLinesPerWindow}
	w.lanes = append(w.lanes, l)
	return l
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (l *lane) Write(line []byte) (int, error) {
	if l.received.Add(1) > l.maxLinesPerWindow {
		l.writer.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case l.writer.lines <- copied:
	default:
		l.writer.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (l *lane) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.closed)
	ticker := time.NewTicker(rateWindow)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-ticker.C:
			w.startWindow()
		case <-w.closing:
			w.startWindow()
			w.flush()
			return
		}
	}
}

// startWindow starts a new window and reports the lines dropped in the last one.
func (w *asyncWriter) startWindow() {
	for _, l := range w.lanes {
		l.received.Store(0)
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.report(dropped, rateWindow)
	}
}

// writeBatch writes the line and the lines queued behind it in one call.
func (w *asyncWriter) writeBatch(batch []byte) {
	for len(batch) < maxWriteBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// An error is ignored: there is no other output to report it on.
	_, _ = w.out.Write(batch)
}

func (w *asyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// close writes the queued lines and stops the writer. Lines written later are lost.
func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.closing) })
	<-w.closed
}
