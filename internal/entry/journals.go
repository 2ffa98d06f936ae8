package entry

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// kvJournals implements Journals for journals that are stored in the key-value service.
type kvJournals struct {
	kv           ports.KV
	owner        journal.Owner
	ringSlots    int
	writeTimeout time.Duration
	queueTimeout time.Duration
	pacer        *journal.Pacer
	log          *slog.Logger
}

// Take implements Journals.
func (k *kvJournals) Take(ctx context.Context, id int, store *program.Store, book *orders.Book) (Journal, error) {
	state := stateWithOrders{journalState: &journalState{store: store}, book: book}
	owned, err := journal.Open(ctx, journal.Options{
		KV:           k.kv,
		ID:           id,
		Owner:        k.owner,
		RingSlots:    k.ringSlots,
		WriteTimeout: k.writeTimeout,
		QueueTimeout: k.queueTimeout,
		Pacer:        k.pacer,
		State:        state,
		Logger:       k.log,
	})
	if err != nil {
		return nil, fmt.Errorf("take journal %d: %w", id, err)
	}
	return owned, nil
}

// Head implements Journals.
func (k *kvJournals) Head(ctx context.Context, id int) (JournalHead, error) {
	head, err := journal.Head(ctx, k.kv, id, k.ringSlots)
	if err != nil {
		return JournalHead{}, fmt.Errorf("read head of journal %d: %w", id, err)
	}
	return JournalHead{
		Exists:      head.Exists,
		Entry:       head.Owner.Entry,
		Incarnation: head.Owner.Incarnation,
		Address:     head.Owner.Address,
		Closed:      head.Closed,
		Fence:       head.Fence,
	}, nil
}

// ReadChunks implements Journals.
func (k *kvJournals) ReadChunks(ctx context.Context, id int, chunks []string) ([][]byte, error) {
	ids := make([]journal.ChunkID, len(chunks))
	for i, c := range chunks {
		ids[i] = journal.ChunkID(c)
	}
	return journal.ReadChunks(ctx, k.kv, id, ids)
}

// journalState adapts a program store to journal.State, the state machine of a journal.
type journalState struct{ store *program.Store }

// Restore implements journal.State.
func (s *journalState) Restore(heads [][]byte) error {
	return s.store.RestoreSnapshot(heads)
}

// Apply implements journal.State.
func (s *journalState) Apply(slot uint64, record []byte) error {
	return s.store.Apply(slot, record)
}

// Snapshot implements journal.State.
func (s *journalState) Snapshot(w *journal.SnapshotWriter) error {
	return s.store.WriteSnapshot(snapshotWriter{w})
}

// snapshotWriter adapts the journal's snapshot writer to program.ChunkWriter.
type snapshotWriter struct{ *journal.SnapshotWriter }

// WriteChunk implements program.ChunkWriter.
func (w snapshotWriter) WriteChunk(data []byte) (string, error) {
	id, err := w.SnapshotWriter.WriteChunk(data)
	return string(id), err
}

// Keep implements program.ChunkWriter.
func (w snapshotWriter) Keep(id string) error {
	return w.SnapshotWriter.Keep(journal.ChunkID(id))
}
