package backend

// Reader follows a call's events. It is used by one goroutine.
type Reader struct {
	call   *Call
	lead   []byte // Encoded event that comes before those of the call; nil when there is none.
	next   int    // Index of the next event of the call, -1 when the lead comes first.
	last   bool
	signal chan struct{}
}

// Attach returns a Reader that starts at the event with index offset. lead, unless empty, is answer text that the reader
// gets as a delta event of its own with index 0, before the call's events: what the execution was told to continue.
func (c *Call) Attach(offset int, lead string) *Reader {
	r := &Reader{call: c, next: max(offset, 0), signal: make(chan struct{}, 1)}
	if lead != "" {
		r.lead = AppendDelta(nil, lead)
		r.next--
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers = append(c.readers, r.signal)
	return r
}

// Read returns the encoded events that the reader has not returned yet, nil when there are none, and whether the last
// one is among them or was returned before. The last event is repeated for a reader whose offset lies behind it.
func (r *Reader) Read() ([]byte, bool) {
	if r.next < 0 {
		r.next = 0
		return r.lead, false
	}
	c := r.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.last {
		return nil, true
	}
	r.last = c.state == Ended
	count := len(c.ends)
	from := r.next
	if r.last {
		from = min(from, count-1)
	}
	if from >= count {
		return nil, false
	}
	r.next = count
	begin := 0
	if from > 0 {
		begin = c.ends[from-1]
	}
	return c.buf[begin:len(c.buf):len(c.buf)], r.last
}

// Ready is signalled after new events.
func (r *Reader) Ready() <-chan struct{} { return r.signal }

// Close detaches the reader. delivered says that the last event has reached the peer.
func (r *Reader) Close(delivered bool) {
	c := r.call
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = c.read || delivered
	for i, s := range c.readers {
		if s == r.signal {
			c.readers = append(c.readers[:i], c.readers[i+1:]...)
			return
		}
	}
}
