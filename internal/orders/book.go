package orders

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// maxEndings bounds the engines whose last order the book remembers.
const maxEndings = 8192

// Ending is the outcome of an order.
type Ending struct {
	Order   Order    `json:"order"`
	Code    api.Code `json:"code"` // api.CodeOK, or why the order had no effect.
	Message string   `json:"message,omitempty"`
	AtMS    int64    `json:"at"` // Unix time in milliseconds, by the giver's clock.
	// Repeats counts the equal orders that ended on the engine just before.
	Repeats int `json:"repeats,omitempty"`
}

// Record is one committed change of the book. Exactly one of the pointers is set.
type Record struct {
	Given *Order  `json:"given,omitempty"`
	Ended *Ending `json:"ended,omitempty"`
}

// Prefixes of the encoded records and snapshots, by which a journal that holds other records too tells them apart.
var (
	recordPrefix   = []byte(`{"engine_order":`)
	snapshotPrefix = []byte(`{"engine_orders":`)
)

type encodedRecord struct {
	Record Record `json:"engine_order"`
}

type encodedBook struct {
	State bookState `json:"engine_orders"`
}

// IsRecord reports whether a journal's record belongs to a book.
func IsRecord(data []byte) bool { return bytes.HasPrefix(data, recordPrefix) }

// IsSnapshot reports whether a head chunk of a journal's snapshot belongs to a book.
func IsSnapshot(data []byte) bool { return bytes.HasPrefix(data, snapshotPrefix) }

// Encode returns the record's bytes for the journal.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(encodedRecord{r})
	if err != nil {
		return nil, fmt.Errorf("encode record of an engine order: %w", err)
	}
	return data, nil
}

// bookState is what a snapshot holds.
type bookState struct {
	Last     uint64            `json:"last"`     // Number of the newest order.
	UnderWay map[string]Order  `json:"underway"` // By engine.
	Endings  map[string]Ending `json:"endings"`  // Of the last order, by engine.
}

// Book is the record of the orders under way and of the last outcome at each engine. It is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	state bookState // Guarded by mu. At most one order is under way on an engine.
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{state: bookState{UnderWay: make(map[string]Order), Endings: make(map[string]Ending)}}
}

// Apply applies a committed record. A record that the state contains already has no effect.
func (b *Book) Apply(data []byte) error {
	var in encodedRecord
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode record of an engine order: %w", err)
	}
	b.Commit(in.Record)
	return nil
}

// Commit applies a record that the journal has committed.
func (b *Book) Commit(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.Given != nil:
		b.give(*r.Given)
	case r.Ended != nil:
		b.end(*r.Ended)
	}
}

// give notes an order under way. An order for an engine that already has one is dropped: it was never sent, as orders
// are sent only while they are under way.
func (b *Book) give(o Order) {
	if _, busy := b.state.UnderWay[o.Engine]; busy || o.Number <= b.state.Last {
		return
	}
	b.state.Last = o.Number
	b.state.UnderWay[o.Engine] = o
}

func (b *Book) end(e Ending) {
	engine := e.Order.Engine
	if b.state.UnderWay[engine].Number != e.Order.Number {
		return
	}
	delete(b.state.UnderWay, engine)
	e.Repeats = 0
	previous, known := b.state.Endings[engine]
	if known && previous.Order.Kind == e.Order.Kind && previous.Order.Argument == e.Order.Argument {
		e.Repeats = previous.Repeats + 1
	}
	b.state.Endings[engine] = e
	if len(b.state.Endings) > maxEndings {
		b.forgetOldest()
	}
}

// forgetOldest drops the ending with the lowest number. The caller holds mu.
func (b *Book) forgetOldest() {
	oldest := ""
	for engine, e := range b.state.Endings {
		if oldest == "" || e.Order.Number < b.state.Endings[oldest].Order.Number {
			oldest = engine
		}
	}
	delete(b.state.Endings, oldest)
}

// Next returns the number of the next order.
func (b *Book) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Last + 1
}

// UnderWay returns the orders without an outcome, by engine.
func (b *Book) UnderWay() map[string]Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.state.UnderWay)
}

// Endings returns the outcome of the last order at each engine.
func (b *Book) Endings() map[string]Ending {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.state.Endings)
}

// Snapshot returns the state as a head chunk of a journal's snapshot.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := json.Marshal(encodedBook{b.state})
	if err != nil {
		return nil, fmt.Errorf("encode engine orders: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (b *Book) Restore(data []byte) error {
	var in encodedBook
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode engine orders: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Last = in.State.Last
	maps.Copy(b.state.UnderWay, in.State.UnderWay)
	maps.Copy(b.state.Endings, in.State.Endings)
	return nil
}
