package streams

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrUnknown means that no call with the id has begun a stream, as far as is known.
var ErrUnknown = errors.New("it is not known which software version began the stream")

// Retention is how long the origin of a stream is kept. It is longer than any caller goes on to take its stream up.
const Retention = time.Minute

// record is the origin of one stream, in memory and as stored.
type record struct {
	Origin
	Organisation string `json:"organisation,omitempty"` // Name of the organisation to which the stream belongs; empty if none.
	BegunMS      int64  `json:"begun_ms"`               // Unix milliseconds.
}

// Ledger holds the origins of the streams that calls have begun, by the id of the call. An origin never changes. It is safe for
// concurrent use.
type Ledger struct {
	mu     sync.Mutex
	byCall map[string]record // Guarded by mu.
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byCall: make(map[string]record)} }

// Add records that a call of the organisation has begun a stream, and returns the value to store.
func (l *Ledger) Add(organisation, call string, o Origin, now time.Time) ([]byte, error) {
	r := record{Origin: o, Organisation: organisation, BegunMS: now.UnixMilli()}
	l.put(call, r)
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode origin of stream %q: %w", call, err)
	}
	return value, nil
}

// AddValue records the origin of a stream from its stored value.
func (l *Ledger) AddValue(call string, value []byte) error {
	r, err := decode(value)
	if err != nil {
		return fmt.Errorf("stream %q: %w", call, err)
	}
	l.put(call, r)
	return nil
}

func (l *Ledger) put(call string, r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byCall[call] = r
}

// Find returns the origin of the stream that the call has begun. ErrUnknown means that the stream belongs to another organisation.
// The origin is nil without an error if it is not in the ledger.
func (l *Ledger) Find(organisation, call string) (*Origin, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byCall[call]
	switch {
	case !ok:
		return nil, nil
	case r.Organisation != organisation:
		return nil, fmt.Errorf("stream of call %q: %w", call, ErrUnknown)
	}
	return &r.Origin, nil
}

// Value returns the stored value of the origin of a stream. It reports false if the origin is not in the ledger.
func (l *Ledger) Value(call string) ([]byte, bool) {
	l.mu.Lock()
	r, ok := l.byCall[call]
	l.mu.Unlock()
	if !ok {
		return nil, false
	}
	value, err := json.Marshal(r)
	return value, err == nil
}

// Expire removes the streams that began more than Retention ago, and returns the ids of their calls.
func (l *Ledger) Expire(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []string
	for call, r := range l.byCall {
		if now.Sub(time.UnixMilli(r.BegunMS)) > Retention {
			delete(l.byCall, call)
			expired = append(expired, call)
		}
	}
	return expired
}

// Written returns when the stream with the stored value began.
func Written(value []byte) (time.Time, error) {
	r, err := decode(value)
	return time.UnixMilli(r.BegunMS), err
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode origin of a stream: %w", err)
	}
	return r, nil
}
