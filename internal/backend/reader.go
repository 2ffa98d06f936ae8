package backend

// Reader reads the events of a call, also while it runs. It must be used by one goroutine only.
type Reader struct {
	call     *Call
	prefix   []byte        // Encoded event that precedes those of the call; nil when there is none.
	next     int           // Index of the call's next event to return; -1 when prefix comes first.
	finished bool          // The last event has been returned.
	ready    chan struct{} // Signalled when events are appended; has a buffer of one.
}

// Attach returns a Reader that starts at the event with index offset. prefix, unless empty, is answer text that precedes
// the call's own events, because the execution was started to continue after it. The reader gets it as a separate delta
// event with index 0.
func (c *Call) Attach(offset int, prefix string) *Reader {
	r := &Reader{call: c, next: max(offset, 0), ready: make(chan struct{}, 1)}
	if prefix != "" {
		r.prefix = AppendDelta(nil, prefix)
		r.next--
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers = append(c.readers, r.ready)
	return r
}

// Read returns the encoded events that the reader has not returned yet, or nil when there are none. The second result is
// true when the last event is among them or was returned before. A reader whose offset is beyond the last event gets the
// last event.
func (r *Reader) Read() ([]byte, bool) {
	if r.next < 0 {
		r.next = 0
		return r.prefix, false
	}
	c := r.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.finished {
		return nil, true
	}
	r.finished = c.state == Ended
	count := len(c.eventEnds)
	from := r.next
	if r.finished {
		from = min(from, count-1)
	}
	if from >= count {
		return nil, false
	}
	r.next = count
	begin := 0
	if from > 0 {
		begin = c.eventEnds[from-1]
	}
	return c.buf[begin:len(c.buf):len(c.buf)], r.finished
}

// Ready returns a channel that is signalled when new events have been appended.
func (r *Reader) Ready() <-chan struct{} { return r.ready }

// Close detaches the reader from the call. delivered tells whether the last event was delivered to the peer.
func (r *Reader) Close(delivered bool) {
	c := r.call
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered = c.delivered || delivered
	for i, ready := range c.readers {
		if ready == r.ready {
			c.readers = append(c.readers[:i], c.readers[i+1:]...)
			return
		}
	}
}
