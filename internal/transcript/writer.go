package transcript

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Putter writes a key that has no other writer, and repeats the write until it succeeds or ctx ends.
type Putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

const (
	putTimeout = 10 * time.Second // For which the key-value service may be away until a stream is no longer stored.
	// maxPendingBytes limits the events of one stream that wait for the service, and each event.
	maxPendingBytes = 32 << 10
)

// errBehind means that more events wait for the key-value service than may be kept.
var errBehind = errors.New("the key-value service takes the events too slowly")

// Writer stores the events of one request. One write is under way at a time; the events that arrive meanwhile are in the next part. It is
// safe for concurrent use.
type Writer struct {
	ctx    context.Context // Ends with the process, not with the request: its caller may be back at once.
	putter Putter
	below  string // Prefix of all keys.

	mu           sync.Mutex
	next         part          // Guarded by mu. With the events that are not under way.
	pendingBytes int           // Guarded by mu. Size of the data of next.
	writing      bool          // Guarded by mu.
	added        int           // Guarded by mu. Events added so far.
	stored       int           // Guarded by mu. Events stored so far.
	err          error         // Guarded by mu. Why no further events are stored.
	changed      chan struct{} // Guarded by mu. Closed and replaced when stored, writing or err changes.
}

// NewWriter returns a Writer for the request. The keys start with below.
func NewWriter(ctx context.Context, put Putter, below string, r Request) *Writer {
	return &Writer{ctx: ctx, putter: put, below: below, next: part{Request: r}, changed: make(chan struct{})}
}

// Start stores that the request takes its stream up. No event of it may be delivered before that.
func (w *Writer) Start(ctx context.Context) error {
	w.mu.Lock()
	w.startWrite()
	w.mu.Unlock()
	return w.Flush(ctx)
}

// Add adds an event, which must not change any more, and returns the number by which Await waits for it.
func (w *Writer) Add(e Event) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.added++
	if w.err != nil {
		return w.added
	}
	if w.pendingBytes += len(e.Data); w.pendingBytes > maxPendingBytes {
		w.fail(errBehind)
		return w.added
	}
	w.next.Events = append(w.next.Events, e)
	if !w.writing {
		w.startWrite()
	}
	return w.added
}

// Await waits until the event with the number is stored. It returns an error if it will not be, or when ctx ends.
func (w *Writer) Await(ctx context.Context, number int) error {
	return w.await(ctx, func() (bool, error) {
		if w.stored >= number {
			return true, nil
		}
		return w.err != nil, w.err
	})
}

// Flush waits until no write is under way. It returns an error if an event was not stored.
func (w *Writer) Flush(ctx context.Context) error {
	return w.await(ctx, func() (bool, error) { return !w.writing, w.err })
}

// await waits until the condition holds, which is evaluated under mu, and returns its error.
func (w *Writer) await(ctx context.Context, condition func() (bool, error)) error {
	for {
		w.mu.Lock()
		met, err := condition()
		changed := w.changed
		w.mu.Unlock()
		if met {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startWrite begins to write the pending events in the background. The caller holds mu.
func (w *Writer) startWrite() {
	w.writing = true
	current := w.next
	current.AtMS = time.Now().UnixMilli()
	w.next.Number, w.next.Events, w.pendingBytes = current.Number+1, nil, 0
	go w.write(&current)
}

// write writes a part, and then the events that were added meanwhile.
func (w *Writer) write(p *part) {
	err := w.put(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if err != nil {
		w.fail(err)
		return
	}
	w.stored += len(p.Events)
	if w.err == nil && len(w.next.Events) > 0 {
		w.startWrite()
	}
	w.notify()
}

func (w *Writer) put(p *part) error {
	value, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode part of stream %q: %w", p.Stream, err)
	}
	ctx, cancel := context.WithTimeout(w.ctx, putTimeout)
	defer cancel()
	return w.putter.Put(ctx, p.key(w.below), value)
}

// fail ends the storing of events. The caller holds mu.
func (w *Writer) fail(err error) {
	if w.err == nil {
		w.err = err
	}
	w.next.Events = nil
	w.notify()
}

// notify wakes the waiting goroutines. The caller holds mu.
func (w *Writer) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}
