package backend

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// State is the stage of a call's execution. It only moves forward.
type State int

// States of a call.
const (
	Queued  State = iota // Waiting for a slot: nothing ran.
	Running              // Handed to the backend server, or about to be.
	Ended                // The last event is in the buffer.
)

// Call is one execution of a CallRequest with all its events. Any number of readers follow it from any offset. It is
// safe for concurrent use.
type Call struct {
	// Request is what was asked for, without bodies: of the model part only ResumeText is kept. It is never changed.
	Request *api.CallRequest

	mu      sync.Mutex
	state   State
	fence   uint64 // Highest fencing number under which the call was asked for; it starts under no lower one.
	buf     []byte // Encoded events, one a line. Bytes once written are never changed.
	ends    []int  // End of each event in buf.
	code    api.Code
	endedAt time.Time
	read    bool // A reader has got the last event.
	readers []chan struct{}
	cancels func() // Interrupts the execution; nil when there is nothing to interrupt.
}

func newCall(req *api.CallRequest) *Call {
	kept := *req
	kept.HTTP = nil
	if req.Model != nil {
		kept.Model = &api.ModelCall{ResumeText: req.Model.ResumeText}
	}
	return &Call{Request: &kept, fence: req.Fence.Number}
}

// State returns the stage and, of an ended call, the result code.
func (c *Call) State() (State, api.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.code
}

// Adopt raises the fencing number under which a queued call may start.
func (c *Call) Adopt(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = max(c.fence, number)
}

// Begin moves a queued call to Running; cancel interrupts it from then on. It returns false when the call has ended
// meanwhile. A call whose owner has been deposed, and which no later owner has asked for, ends with api.CodeStaleFence.
func (c *Call) Begin(fences *Fences, cancel func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Queued {
		return false
	}
	if current := fences.Current(c.Request.Fence.Journal); c.fence < current {
		c.end(&api.Event{Kind: api.EventError, Error: api.Errorf(api.CodeStaleFence,
			"journal %d is owned under fencing number %d, the queued call carries %d", c.Request.Fence.Journal, current, c.fence)},
			api.CodeStaleFence)
		return false
	}
	c.state = Running
	c.cancels = cancel
	return true
}

// Started appends the started event.
func (c *Call) Started() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Running {
		return
	}
	c.buf = append(c.buf, startedLine...)
	c.appended()
}

// Delta appends a piece of answer text.
func (c *Call) Delta(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Running {
		return
	}
	c.buf = AppendDelta(c.buf, text)
	c.appended()
}

// Done ends the call with an outcome under api.CodeOK or api.CodeBackendError. It has no effect on an ended call.
func (c *Call) Done(result *api.Result, code api.Code) {
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

// Cancel ends a queued call as not run and interrupts a running one when that is harmless. It returns the stage that it
// found.
func (c *Call) Cancel() State {
	c.mu.Lock()
	found, interrupt := c.state, c.cancels
	if found == Queued {
		c.end(&api.Event{Kind: api.EventError, Error: api.Errorf(api.CodeCancelled, "the call was cancelled before it started")},
			api.CodeCancelled)
	}
	c.mu.Unlock()
	if found == Running && interrupt != nil {
		interrupt()
	}
	return found
}

// end appends the last event. The caller holds mu.
func (c *Call) end(e *api.Event, code api.Code) {
	c.buf = appendEvent(c.buf, e)
	c.state, c.code, c.endedAt = Ended, code, time.Now()
	c.cancels = nil
	c.appended()
}

// appended records the end of the event just written and wakes the readers. The caller holds mu.
func (c *Call) appended() {
	c.ends = append(c.ends, len(c.buf))
	for _, r := range c.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// size returns the bytes that the call keeps in memory.
func (c *Call) size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := cap(c.buf) + 8*cap(c.ends) + callOverheadBytes
	if model := c.Request.Model; model != nil {
		size += len(model.ResumeText)
	}
	return int64(size)
}
