package buffers

import (
	"slices"
	"sync"
	"time"
)

const (
	// stallTime is how long the delivery of one event may take before further ones are read ahead. It is longer than a lost packet
	// delays a delivery within a region, and far shorter than the seconds after which servers cut off an answer that stays unread.
	stallTime = 200 * time.Millisecond
	// readAheadLimit is how many bytes are read ahead for one caller. It holds the rest of a usual stream, so that its server need
	// not wait for the caller.
	readAheadLimit = 256 << 10
	eventOverhead  = 64 // Bytes that a waiting event takes beside its own.
)

// ReadAhead hands the events of a stream from their source to a caller. While the caller takes an event slowly, it reads further ones
// in the background, up to a limit, beyond which the source is left unread. Next and Deliver must be called by one goroutine.
type ReadAhead struct {
	source  func() ([]byte, error)
	account *Account
	onEnd   func()      // Called when the source ended regularly while the caller still takes events.
	end     func(Ended) // See Account.BeginTransfer.
	isEnd   func(error) bool
	detach  func()

	timer *time.Timer // Starts reading ahead when a delivery stalls.

	mu         sync.Mutex
	changed    sync.Cond // Signals changes of the fields below.
	delivering bool      // Guarded by mu.
	ahead      bool      // Guarded by mu. The source is read in the background, from the first stall on.
	events     []event   // Guarded by mu. Read ahead and not yet returned by Next.
	waiting    int64     // Guarded by mu. Bytes taken for events.
	err        error     // Guarded by mu. Why the source ended.
	closed     bool      // Guarded by mu.
	done       bool      // Guarded by mu. The source is no longer read in the background.
}

// event is an event that waits for the caller.
type event struct {
	data  []byte
	taken int64 // Bytes taken from the account for it.
}

// ReadAheadOptions are what a ReadAhead uses.
type ReadAheadOptions struct {
	Source  func() ([]byte, error) // Returns the next event, which is valid until the next call.
	Account *Account               // Pays for the events that wait.
	End     func(Ended)            // Ends a delivery that waits for the caller; see Account.BeginTransfer.
	Detach  func()                 // Makes the source leave the event unchanged that it returned last.
	IsEnd   func(error) bool       // Reports whether the source's error is the regular end of the stream.
	OnEnd   func()                 // Called at the regular end of the source while events still wait.
}

// NewReadAhead returns a ReadAhead. Close must be called at its end.
func NewReadAhead(o ReadAheadOptions) *ReadAhead {
	r := &ReadAhead{source: o.Source, account: o.Account, onEnd: o.OnEnd, end: o.End, isEnd: o.IsEnd, detach: o.Detach}
	r.changed.L = &r.mu
	return r
}

// Next returns the next event, or the error of the source after its last event. The event is valid until the next call.
func (r *ReadAhead) Next() ([]byte, error) {
	r.mu.Lock()
	if !r.ahead {
		r.mu.Unlock()
		return r.source()
	}
	defer r.mu.Unlock()
	for len(r.events) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.events) == 0 {
		return nil, r.err
	}
	next := r.events[0]
	r.events[0] = event{}
	r.events = r.events[1:]
	r.waiting -= next.taken
	r.account.Give(next.taken)
	r.changed.Broadcast()
	return next.data, nil
}

// IsAhead reports whether events have been read ahead because the caller takes them slowly. They are then returned when the caller
// takes them, not when they arrive.
func (r *ReadAhead) IsAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ahead
}

// Deliver calls write, which waits until the caller has taken size bytes.
func (r *ReadAhead) Deliver(size int, write func() error) error {
	r.mu.Lock()
	r.delivering = true
	switch {
	case r.ahead:
		r.account.BeginTransfer(r.end)
	case r.timer == nil:
		r.timer = time.AfterFunc(stallTime, r.startReading)
	default:
		r.timer.Reset(stallTime)
	}
	r.mu.Unlock()
	err := write()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivering = false
	if !r.ahead {
		r.timer.Stop()
		return err
	}
	r.account.Moved(size)
	if len(r.events) == 0 {
		r.account.EndTransfer()
	}
	return err
}

// startReading begins to read ahead if a delivery is stalled. Then the goroutine that delivers does not use the source.
func (r *ReadAhead) startReading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.delivering || r.ahead || r.closed {
		return
	}
	r.ahead = true
	r.detach() // The event is still being delivered.
	r.account.BeginTransfer(r.end)
	go r.read()
}

// read reads events until the source ends or the ReadAhead is closed. It pauses while the limit is reached or the process has no
// memory to spare, except that one event may always wait for the caller.
func (r *ReadAhead) read() {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.done = true
		r.changed.Broadcast()
	}()
	for {
		data, err := r.source()
		r.mu.Lock()
		if err != nil {
			r.err = err
			late := r.isEnd(err) && (r.delivering || len(r.events) > 0) && !r.closed
			r.changed.Broadcast()
			r.mu.Unlock()
			if late {
				r.onEnd()
			}
			return
		}
		next := event{data: slices.Clone(data), taken: int64(len(data)) + eventOverhead}
		for len(r.events) > 0 && !r.closed && !r.takeFor(next) {
			r.changed.Wait()
		}
		if len(r.events) == 0 && !r.account.TakeSpare(next.taken) {
			next.taken = 0
		}
		r.events, r.waiting = append(r.events, next), r.waiting+next.taken
		r.changed.Broadcast()
		closed := r.closed
		r.mu.Unlock()
		if closed {
			return
		}
	}
}

// takeFor takes the bytes of an event that waits behind others, and reports whether it did. The caller holds mu.
func (r *ReadAhead) takeFor(e event) bool {
	return r.waiting+e.taken <= readAheadLimit && r.account.TakeSpare(e.taken)
}

// Close ends the ReadAhead and waits until the source is no longer read. abort, which is called if the source was read in the
// background, must make a read that waits fail.
func (r *ReadAhead) Close(abort func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.changed.Broadcast()
	if !r.ahead {
		return
	}
	abort()
	for !r.done {
		r.changed.Wait()
	}
}
