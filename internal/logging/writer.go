// Package logging writes log lines without making the process wait: a reader of the log that stalls costs lines, not calls.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedBytes = 1 << 20               // Lines that wait to be written; later ones are dropped and counted.
	flushInterval  = 50 * time.Millisecond // Lines of this time go out in one write.
	maxLinesPerSec = 2000                  // Lines that are written; calls beyond it are in the metrics alone.
)

// Writer takes lines and writes them in the background. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	now func() time.Time

	mu     sync.Mutex
	queue  []byte    // Guarded by mu.
	second time.Time // Guarded by mu. Start of the second that lines counts.
	lines  int       // Guarded by mu. Lines taken in that second.
	lost   int       // Guarded by mu. Lines dropped since the last that was reported.

	dropped atomic.Uint64 // All dropped lines.
	wake    chan struct{} // Holds one token while lines are queued, so that an idle process does not wake up.
	stop    chan struct{}
	stopped chan struct{}
}

// NewWriter starts a Writer. Close must be called for the last lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, now: time.Now, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits and never fails; a line beyond the limits is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.second) >= time.Second {
		w.second, w.lines = now, 0
	}
	if w.lines >= maxLinesPerSec || len(w.queue)+len(line) > maxQueuedBytes {
		w.lost++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	w.queue = append(w.queue, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the Writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

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

// flush writes the queued lines and says how many were dropped among them.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, lost := w.queue, w.lost
	w.queue, w.lost = nil, 0
	w.mu.Unlock()
	if lost > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", w.now().Format(time.RFC3339Nano), lost)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // There is nowhere left to report a failure of the log itself.
	}
}
