package program

import "github.com/redwinggauge/redwinggauge/internal/eventlog"

// RunningCall is the running call of a program. Callers that resend its seq attach to Log.
type RunningCall struct {
	Program string
	Root    string // Root program of the tree.
	Seq     uint64
	Digest  string
	Log     *eventlog.Log
	// MaxCharge is the largest number of tokens that the call may be charged. They are reserved if the budget is limited.
	MaxCharge int
}

// callSequencer makes the calls of one program run one at a time. The tree's lock guards its fields.
type callSequencer struct {
	running *RunningCall
	changed chan struct{} // Closed at the next change, so that waiting calls check again; nil if none waits.
}

// changeSignal returns a channel that is closed at the next change.
func (s *callSequencer) changeSignal() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes the waiting calls, which then check again.
func (s *callSequencer) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// reset forgets the running call and wakes the waiting ones, after the program has ended.
func (s *callSequencer) reset() {
	s.running = nil
	s.notify()
}
