// Package logging writes log lines in the background. If the reader of the log stalls, lines are dropped and calls are not
// delayed.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedBytes = 1 << 20               // Size of the lines that wait to be written; further lines are dropped and counted.
	flushInterval  = 50 * time.Millisecond // Lines that arrive within this time go out in one write.
	maxLinesPerSec = 2000                  // Further lines are dropped; calls without a line still count in the metrics.
)

// Writer queues lines and writes them in the background. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	now func() time.Time

	mu              sync.Mutex
	queue           []byte    // Guarded by mu.
	secondStart     time.Time // Guarded by mu. Start of the second in which linesInSecond counts.
	linesInSecond   int       // Guarded by mu. Lines queued in that second.
	unreportedDrops int       // Guarded by mu. Lines dropped since the last report of dropped lines.

	dropped atomic.Uint64 // Lines dropped since the start.
	wake    chan struct{} // Holds a token while lines are queued, so that an idle process does not wake up.
	stop    chan struct{}
	stopped chan struct{}
}

// NewWriter starts a Writer. Close must be called to write the last lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, now: time.Now, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits for the output and never fails. A line beyond the limits is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.secondStart) >= time.Second {
		w.secondStart, w.linesInSecond = now, 0
	}
	if w.linesInSecond >= maxLinesPerSec || len(w.queue)+len(line) > maxQueuedBytes {
		w.unreportedDrops++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.linesInSecond++
	w.queue = append(w.queue, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

// run writes the queued lines until Close is called.
func (w *Writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
			time.Sleep(flushInterval)
			w.flush()
		}
	}
}

// flush writes the queued lines, and then a line with the number of lines that were dropped since the last such line.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.queue, w.unreportedDrops
	w.queue, w.unreportedDrops = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", w.now().Format(time.RFC3339Nano), dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // A failure to write the log cannot be reported anywhere.
	}
}
