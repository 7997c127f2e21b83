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
	// maxWriteBytes is the size from which a batch of lines is written without
	// adding more lines.
	maxWriteBytes = 32 << 10
	// rateWindow is the period over which lines are counted.
	rateWindow = time.Second
)

// asyncWriter queues lines without blocking and writes them in order from its own
// goroutine. It drops lines over the rate limit or over the queue length, and
// reports their number after each window.
type asyncWriter struct {
	out               io.Writer
	lines             chan []byte
	maxLinesPerWindow int64
	// report logs the number of lines that were dropped in the last window.
	report func(dropped int64, window time.Duration)

	// received counts the lines passed to Write in the current window, dropped those
	// of them that were not queued.
	received atomic.Int64
	dropped  atomic.Int64

	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newAsyncWriter(out io.Writer, queueLength int, maxLinesPerWindow int64) *asyncWriter {
	return &asyncWriter{
		out:               out,
		lines:             make(chan []byte, queueLength),
		maxLinesPerWindow: maxLinesPerWindow,
		report:            func(int64, time.Duration) {},
		closing:           make(chan struct{}),
		closed:            make(chan struct{}),
	}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	if w.received.Add(1) > w.maxLinesPerWindow {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

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
	w.received.Store(0)
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
