package journal

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// listState is a state machine that stores the list of all records. Its snapshots write full pages of records as
// immutable chunks.
type listState struct {
	mu      sync.Mutex
	records []string
	pages   []ChunkID // Chunks of the full pages, in order.
	failing bool      // Snapshot returns an error.
	kv      ports.KV
	journal int
}

// pageRecords is the number of records in a full page.
const pageRecords = 20

func (s *listState) add(record string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record)
}

func (s *listState) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

func (s *listState) Apply(_ uint64, record []byte) error {
	s.add(string(record))
	return nil
}

func (s *listState) Restore(chunks [][]byte) error {
	if len(chunks) != 2 {
		return errors.New("expected two head chunks")
	}
	for _, id := range bytes.Fields(chunks[0]) {
		s.pages = append(s.pages, ChunkID(id))
	}
	pages, err := ReadChunks(context.Background(), s.kv, s.journal, s.pages)
	if err != nil {
		return err
	}
	for _, page := range append(pages, chunks[1]) {
		s.records = append(s.records, splitRecords(page)...)
	}
	return nil
}

func splitRecords(chunk []byte) []string {
	var records []string
	for _, f := range bytes.Fields(chunk) {
		records = append(records, string(f))
	}
	return records
}

func joinRecords(records []string) []byte {
	var b bytes.Buffer
	for _, r := range records {
		b.WriteString(r + "\n")
	}
	return b.Bytes()
}

func (s *listState) Snapshot(w *SnapshotWriter) error {
	if s.failing {
		return errors.New("snapshot fails by request of the test")
	}
	var records []string
	if err := w.Capture(func() { records = s.list() }); err != nil {
		return err
	}
	var pages bytes.Buffer
	for i := 0; i < len(records)/pageRecords; i++ {
		if i < len(s.pages) {
			if err := errors.Join(w.Keep(s.pages[i]), w.Keep(s.pages[i])); err != nil {
				return err
			}
		} else {
			id, err := w.WriteChunk(joinRecords(records[i*pageRecords : (i+1)*pageRecords]))
			if err != nil {
				return err
			}
			s.pages = append(s.pages, id)
		}
		pages.WriteString(string(s.pages[i]) + "\n")
	}
	if err := w.WriteHead(pages.Bytes()); err != nil {
		return err
	}
	return w.WriteHead(joinRecords(records[len(records)/pageRecords*pageRecords:]))
}

// openList opens journal 1 with the state.
func openList(
	ctx context.Context, kv ports.KV, entry string, ringSlots int, pacer *Pacer, state *listState,
) (*Journal, error) {
	state.kv, state.journal = kv, 1
	return Open(ctx, Options{
		KV:        kv,
		ID:        1,
		Owner:     Owner{Entry: entry, Address: entry + ":1", Incarnation: "i-" + entry},
		RingSlots: ringSlots,
		Pacer:     pacer,
		State:     state,
		Logger:    slog.New(slog.DiscardHandler),
	})
}

// mustOpen is openList with a new state and without a Pacer; an error fails the test.
func mustOpen(t *testing.T, kv *faultKV, entry string, ringSlots int) (*Journal, *listState) {
	t.Helper()
	state := &listState{}
	j, err := openList(t.Context(), kv, entry, ringSlots, nil, state)
	is.New(t).NoErr(err)
	return j, state
}

// appendTo appends a record and adds it to state when it is committed.
func appendTo(ctx context.Context, j *Journal, state *listState, record string) error {
	return j.AppendThen(ctx, []byte(record), func() { state.add(record) })
}

// crash stops a journal without writing a closed record.
func crash(j *Journal) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = j.Close(ctx)
}

// init uses the codecs once, because they create channels at first use and must not do so inside a synctest bubble.
func init() {
	if _, err := decoder.DecodeAll(encoder.EncodeAll([]byte("x"), nil), nil); err != nil {
		panic(err)
	}
}
