// Package eventlog buffers the events of one call. Any number of readers can each read all events from an offset of their
// choice.
package eventlog

import (
	"context"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Log is an append-only list of events that ends with an event of kind EventDone or EventError. It is safe for concurrent
// use.
type Log struct {
	mu      sync.Mutex // Guards the fields below.
	events  []api.Event
	changed chan struct{} // Closed and replaced on every append.
	ended   bool          // The last event is of kind EventDone or EventError.
	bytes   int           // Size of the texts and result bodies.
}

// New returns an empty Log.
func New() *Log {
	return &Log{changed: make(chan struct{})}
}

// Append adds an event. Events after an EventDone or EventError are dropped.
func (l *Log) Append(e api.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.events = append(l.events, e)
	l.bytes += len(e.Text)
	if e.Result != nil {
		l.bytes += len(e.Result.Body)
	}
	l.ended = e.Kind == api.EventDone || e.Kind == api.EventError
	close(l.changed)
	l.changed = make(chan struct{})
}

// Next returns the events from the offset on. It waits until there is at least one, the log has ended, or ctx ends. ended is
// true if the log has ended: its last event is among those returned, or lies before the offset. The slice must not be
// modified.
func (l *Log) Next(ctx context.Context, offset int) (events []api.Event, ended bool, err error) {
	for {
		l.mu.Lock()
		if offset < len(l.events) || l.ended {
			events = l.events[min(offset, len(l.events)):]
			ended = l.ended
			l.mu.Unlock()
			return events, ended, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// Last returns the event that ended the log, or false if the log has not ended.
func (l *Log) Last() (api.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		return api.Event{}, false
	}
	return l.events[len(l.events)-1], true
}

// Text returns the concatenated text of the events so far.
func (l *Log) Text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for _, e := range l.events {
		size += len(e.Text)
	}
	text := make([]byte, 0, size)
	for _, e := range l.events {
		text = append(text, e.Text...)
	}
	return string(text)
}

// Bytes returns the size of the buffered texts and result bodies in bytes.
func (l *Log) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}
