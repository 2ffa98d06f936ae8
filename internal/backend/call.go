package backend

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// State is the state of a call's execution. A call passes through the states in order; Queued to Ended is possible.
type State int

// States of a call.
const (
	Queued  State = iota // Waiting for a slot; nothing has run.
	Running              // Sent to the backend server, or about to be sent.
	Ended                // The last event is in the buffer.
)

// Call is one execution of a CallRequest and buffers all its events. Any number of readers can read the events, each
// from any offset. It is safe for concurrent use.
type Call struct {
	// Request is a copy of the request without its bodies: HTTP is nil, and Model has only ResumeText. It is never changed.
	Request *api.CallRequest

	mu        sync.Mutex // Guards all fields below.
	state     State
	fence     uint64          // Highest fencing number of the requests for the call; Begin compares it with the journal's current one.
	buf       []byte          // Encoded events, one per line. Only appended to, so readers may use slices of it without the lock.
	eventEnds []int           // End offset of each event in buf.
	code      api.Code        // Result code; set when the call has ended.
	endedAt   time.Time       // Zero until the call has ended.
	delivered bool            // The last event has been delivered to a peer.
	readers   []chan struct{} // Channels of the attached readers, signalled when an event is appended.
	interrupt func()          // Interrupts the execution; nil when the call does not run or must not be interrupted.
}

// newCall returns a queued call for the request.
func newCall(req *api.CallRequest) *Call {
	stripped := *req
	stripped.HTTP = nil
	if req.Model != nil {
		stripped.Model = &api.ModelCall{ResumeText: req.Model.ResumeText}
	}
	return &Call{Request: &stripped, fence: req.Fence.Number}
}

// State returns the state of the call and, once it has ended, its result code.
func (c *Call) State() (State, api.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.code
}

// RaiseFence sets the call's fencing number to the given one if that is higher. The current owner of the journal thereby
// allows a queued call that an earlier owner requested to start.
func (c *Call) RaiseFence(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = max(c.fence, number)
}

// Begin moves a queued call to Running; from then on, Cancel calls interrupt, which may be nil. It returns false when the
// call may not run: it is no longer queued, or its fencing number is stale because the owner that requested it has been
// deposed and no later owner has requested it. A stale call ends with api.CodeStaleFence.
func (c *Call) Begin(fences *Fences, interrupt func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Queued {
		return false
	}
	if current := fences.Current(c.Request.Fence.Journal); c.fence < current {
		c.end(&api.Event{Kind: api.EventError, Error: api.Errorf(api.CodeStaleFence,
			"journal %d is owned under fencing number %d, but the queued call has %d", c.Request.Fence.Journal, current, c.fence)},
			api.CodeStaleFence)
		return false
	}
	c.state = Running
	c.interrupt = interrupt
	return true
}

// AppendStarted appends the started event if the call is running.
func (c *Call) AppendStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Running {
		return
	}
	c.buf = append(c.buf, startedLine...)
	c.eventAppended()
}

// AppendText appends a piece of answer text as a delta event if the call is running.
func (c *Call) AppendText(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Running {
		return
	}
	c.buf = AppendDelta(c.buf, text)
	c.eventAppended()
}

// Complete ends the call with a result and api.CodeOK or api.CodeBackendError. It has no effect on an ended call.
func (c *Call) Complete(result *api.Result, code api.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Ended {
		c.end(&api.Event{Kind: api.EventDone, Result: result}, code)
	}
}

// Fail ends the call with an error. It has no effect on an ended call.
func (c *Call) Fail(err *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Ended {
		c.end(&api.Event{Kind: api.EventError, Error: err}, err.Code)
	}
}

// Cancel ends a queued call as not run, and interrupts a running one if Begin was given a function for that. It returns
// the state of the call before the cancellation.
func (c *Call) Cancel() State {
	c.mu.Lock()
	previous, interrupt := c.state, c.interrupt
	if previous == Queued {
		c.end(&api.Event{Kind: api.EventError, Error: api.Errorf(api.CodeCancelled, "the call was cancelled before it started")},
			api.CodeCancelled)
	}
	c.mu.Unlock()
	if previous == Running && interrupt != nil {
		interrupt()
	}
	return previous
}

// end appends the last event and moves the call to Ended. The caller holds mu.
func (c *Call) end(e *api.Event, code api.Code) {
	c.buf = appendEvent(c.buf, e)
	c.state, c.code, c.endedAt = Ended, code, time.Now()
	c.interrupt = nil
	c.eventAppended()
}

// eventAppended records the end offset of the event just written and signals the readers. The caller holds mu.
func (c *Call) eventAppended() {
	c.eventEnds = append(c.eventEnds, len(c.buf))
	for _, r := range c.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// size estimates the memory that the call uses, in bytes.
func (c *Call) size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := cap(c.buf) + 8*cap(c.eventEnds) + callOverheadBytes
	if model := c.Request.Model; model != nil {
		size += len(model.ResumeText)
	}
	return int64(size)
}
