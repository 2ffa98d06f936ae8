package entry

import (
	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// stateWithOrders is the state of a journal that records engine orders in addition to programs.
type stateWithOrders struct {
	*journalState
	book *orders.Book
}

// Restore implements journal.State.
func (s stateWithOrders) Restore(heads [][]byte) error {
	var programs [][]byte
	for _, head := range heads {
		if !orders.IsSnapshot(head) {
			programs = append(programs, head)
			continue
		}
		if err := s.book.Restore(head); err != nil {
			return err
		}
	}
	return s.journalState.Restore(programs)
}

// Apply implements journal.State.
func (s stateWithOrders) Apply(slot uint64, record []byte) error {
	if orders.IsRecord(record) {
		return s.book.Apply(record)
	}
	return s.journalState.Apply(slot, record)
}

// Snapshot implements journal.State.
func (s stateWithOrders) Snapshot(w *journal.SnapshotWriter) error {
	both := &capturingWriter{snapshotWriter: snapshotWriter{w}, book: s.book}
	if err := s.store.WriteSnapshot(both); err != nil {
		return err
	}
	if both.err != nil {
		return both.err
	}
	return w.WriteHead(both.head)
}

// capturingWriter takes the snapshot of the order book inside the program store's Capture, so that programs and orders
// are captured at the same point of the journal.
type capturingWriter struct {
	snapshotWriter
	book *orders.Book
	head []byte
	err  error
}

var _ program.ChunkWriter = (*capturingWriter)(nil)

// Capture implements program.ChunkWriter.
func (w *capturingWriter) Capture(f func()) error {
	return w.snapshotWriter.Capture(func() {
		f()
		w.head, w.err = w.book.Snapshot()
	})
}
