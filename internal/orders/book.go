package orders

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// maxOutcomes is the maximum number of engines whose last outcome the book keeps.
const maxOutcomes = 8192

// Outcome is the outcome of an order.
type Outcome struct {
	Order   Order    `json:"order"`
	Code    api.Code `json:"code"` // api.CodeOK, or the reason why the order had no effect.
	Message string   `json:"message,omitempty"`
	AtMS    int64    `json:"at"` // Unix time in milliseconds by the clock of the entry that recorded it.
	// Repeats is the number of orders with the same kind and argument that ended on the engine directly before this one.
	Repeats int `json:"repeats,omitempty"`
}

// Record is one change of the book. Exactly one of the pointers is set.
type Record struct {
	Given *Order   `json:"given,omitempty"` // An order that is in progress from now on.
	Ended *Outcome `json:"ended,omitempty"` // The outcome of an order that was in progress.
}

// Prefixes of the encoded records and snapshots. They distinguish them from those of programs in the same journal.
var (
	recordPrefix   = []byte(`{"engine_order":`)
	snapshotPrefix = []byte(`{"engine_orders":`)
)

// encodedRecord is the JSON form of a record.
type encodedRecord struct {
	Record Record `json:"engine_order"`
}

// encodedBook is the JSON form of a snapshot.
type encodedBook struct {
	State bookState `json:"engine_orders"`
}

// IsRecord reports whether a record of a journal is an encoded Record.
func IsRecord(data []byte) bool { return bytes.HasPrefix(data, recordPrefix) }

// IsSnapshot reports whether a head chunk of a journal's snapshot is the snapshot of a Book.
func IsSnapshot(data []byte) bool { return bytes.HasPrefix(data, snapshotPrefix) }

// Encode returns the record as it is written to the journal.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(encodedRecord{r})
	if err != nil {
		return nil, fmt.Errorf("encode engine order record: %w", err)
	}
	return data, nil
}

// bookState is the state of a book and the content of its snapshots.
type bookState struct {
	Last     uint64             `json:"last"`     // Number of the newest order.
	UnderWay map[string]Order   `json:"underway"` // Orders without an outcome, by engine.
	Outcomes map[string]Outcome `json:"endings"`  // Outcome of the last order, by engine.
}

// Book records the orders in progress and the last outcome for each engine. It is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	state bookState // Guarded by mu. An engine has at most one order in progress.
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{state: bookState{UnderWay: make(map[string]Order), Outcomes: make(map[string]Outcome)}}
}

// Apply decodes and applies a committed record. A record that was already applied has no effect.
func (b *Book) Apply(data []byte) error {
	var in encodedRecord
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode engine order record: %w", err)
	}
	b.ApplyRecord(in.Record)
	return nil
}

// ApplyRecord applies a record that the journal has committed.
func (b *Book) ApplyRecord(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.Given != nil:
		b.applyGiven(*r.Given)
	case r.Ended != nil:
		b.applyEnded(*r.Ended)
	}
}

// applyGiven records that an order is in progress. If the engine already has one, the new order is dropped. It was never
// sent, since only orders that the book shows as in progress are sent. An order that was already applied is ignored too. The
// caller holds mu.
func (b *Book) applyGiven(o Order) {
	if _, busy := b.state.UnderWay[o.Engine]; busy || o.Number <= b.state.Last {
		return
	}
	b.state.Last = o.Number
	b.state.UnderWay[o.Engine] = o
}

// applyEnded records the outcome of the order in progress on the engine. An outcome of any other order has no effect. The
// caller holds mu.
func (b *Book) applyEnded(o Outcome) {
	engine := o.Order.Engine
	if b.state.UnderWay[engine].Number != o.Order.Number {
		return
	}
	delete(b.state.UnderWay, engine)
	o.Repeats = 0
	previous, known := b.state.Outcomes[engine]
	if known && previous.Order.Kind == o.Order.Kind && previous.Order.Argument == o.Order.Argument {
		o.Repeats = previous.Repeats + 1
	}
	b.state.Outcomes[engine] = o
	if len(b.state.Outcomes) > maxOutcomes {
		b.dropOldestOutcome()
	}
}

// dropOldestOutcome drops the outcome of the order with the lowest number. The caller holds mu.
func (b *Book) dropOldestOutcome() {
	oldest := ""
	for engine, o := range b.state.Outcomes {
		if oldest == "" || o.Order.Number < b.state.Outcomes[oldest].Order.Number {
			oldest = engine
		}
	}
	delete(b.state.Outcomes, oldest)
}

// NextNumber returns the number of the next order.
func (b *Book) NextNumber() uint64 {
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

// Outcomes returns the outcome of the last order of each engine.
func (b *Book) Outcomes() map[string]Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.state.Outcomes)
}

// Snapshot returns the encoded state, to be written as a head chunk of a journal's snapshot.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := json.Marshal(encodedBook{b.state})
	if err != nil {
		return nil, fmt.Errorf("encode engine orders: %w", err)
	}
	return data, nil
}

// Restore adds the content of a snapshot to an empty book.
func (b *Book) Restore(data []byte) error {
	var in encodedBook
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode engine orders: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Last = in.State.Last
	maps.Copy(b.state.UnderWay, in.State.UnderWay)
	maps.Copy(b.state.Outcomes, in.State.Outcomes)
	return nil
}
