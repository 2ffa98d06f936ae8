package journal

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// snapshotRetryDelay is the pause after a failed snapshot.
const snapshotRetryDelay = time.Second

// manifest is the record of a snapshot slot: the chunks that are in force from that slot on.
type manifest struct {
	Heads  []ChunkID `json:"heads"`  // Given to State.Restore, in this order.
	Chunks []ChunkID `json:"chunks"` // Read when they are needed.
}

func (m manifest) all() []ChunkID {
	return append(m.Heads[:len(m.Heads):len(m.Heads)], m.Chunks...)
}

// capture is a function to run between two commits.
type capture struct {
	run  func()
	done chan uint64 // Receives the last slot committed before; holds one.
}

// SnapshotWriter receives one snapshot of a State. It is used by one goroutine. Its chunks are not in force before
// State.Snapshot has returned and the manifest is committed; until then everything stays as it was.
type SnapshotWriter struct {
	journal *Journal
	ctx     context.Context
	cover   uint64
	bytes   int // Stored in the slots that the snapshot replaces, at least.
	heads   []ChunkID
	chunks  []ChunkID
	kept    map[ChunkID]struct{} // Chunks given to Keep.
}

// Context ends when the journal stops.
func (w *SnapshotWriter) Context() context.Context { return w.ctx }

// Slot returns the last slot that the snapshot contains. Recovery applies the records of later slots.
func (w *SnapshotWriter) Slot() uint64 { return w.cover }

// Capture runs f between two commits and makes the snapshot contain exactly the records committed until then: f copies
// what the chunks are to hold. Commits wait for f.
func (w *SnapshotWriter) Capture(f func()) error {
	c := capture{run: f, done: make(chan uint64, 1)}
	w.journal.mu.Lock()
	w.journal.captures = append(w.journal.captures, c)
	w.journal.signal()
	w.journal.mu.Unlock()
	select {
	case w.cover = <-c.done:
		return nil
	case <-w.ctx.Done():
		return fmt.Errorf("capture a snapshot of journal %d: %w", w.journal.options.ID, w.ctx.Err())
	}
}

// WriteHead writes a chunk that belongs to this snapshot only and is given to State.Restore.
func (w *SnapshotWriter) WriteHead(data []byte) error {
	id, err := w.journal.writeChunk(w.ctx, data)
	if err == nil {
		w.heads = append(w.heads, id)
	}
	return err
}

// WriteChunk writes an immutable chunk, which lasts until a later snapshot neither writes nor keeps it.
func (w *SnapshotWriter) WriteChunk(data []byte) (ChunkID, error) {
	id, err := w.journal.writeChunk(w.ctx, data)
	if err == nil {
		w.chunks = append(w.chunks, id)
	}
	return id, err
}

// Keep keeps a chunk of an earlier snapshot, or of one that failed under this owner. Keeping it again has no effect.
func (w *SnapshotWriter) Keep(id ChunkID) error {
	w.journal.mu.Lock()
	_, known := w.journal.chunks[id]
	w.journal.mu.Unlock()
	if !known {
		return fmt.Errorf("chunk %q is not stored in journal %d", id, w.journal.options.ID)
	}
	if _, again := w.kept[id]; !again {
		w.kept[id] = struct{}{}
		w.chunks = append(w.chunks, id)
	}
	return nil
}

func (w *SnapshotWriter) manifest() manifest { return manifest{Heads: w.heads, Chunks: w.chunks} }

// writeChunk stores a chunk under a key of its own. The write is repeated until it is known to have taken effect; as
// the key is never used again, a repetition that takes effect late is harmless.
func (j *Journal) writeChunk(ctx context.Context, data []byte) (ChunkID, error) {
	value, err := compress(data)
	if err != nil {
		return "", err
	}
	j.mu.Lock()
	j.chunkCount++
	id := newChunkID(j.fence, strconv.FormatUint(j.chunkCount, 16))
	j.mu.Unlock()
	err = retry(ctx, j.options.WriteTimeout, j.options.Pacer, func(ctx context.Context) error {
		return j.options.KV.Put(ctx, j.ring.chunkKey(id), value, 0)
	})
	if err != nil {
		return "", fmt.Errorf("write a chunk of journal %d: %w", j.options.ID, err)
	}
	chunksWritten.Inc()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.chunks[id] = struct{}{}
	return id, nil
}

// startSnapshot starts a snapshot when the ring or the bytes to recover call for one. Called by the committer.
func (j *Journal) startSnapshot(ctx context.Context) {
	c := &j.committer
	used := int(j.next - 1 - c.cover)
	if used < j.options.RingSlots/snapshotShare && c.bytes < j.options.SnapshotBytes {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.snapshotting || j.closing && j.queue.live == 0 {
		return
	}
	j.snapshotting = true
	w := &SnapshotWriter{
		journal: j,
		ctx:     ctx,
		cover:   j.next - 1,
		bytes:   c.bytes,
		kept:    make(map[ChunkID]struct{}),
	}
	j.tasks.Go(func() { j.runSnapshot(ctx, w) })
}

// runSnapshot lets the state machine write its snapshot.
func (j *Journal) runSnapshot(ctx context.Context, w *SnapshotWriter) {
	err := j.options.State.Snapshot(w)
	if err == nil {
		j.mu.Lock()
		j.ready = w
		j.signal()
		j.mu.Unlock()
		return
	}
	j.discardSnapshot(err)
}

// discardSnapshot gives a snapshot up and allows another one after a pause.
func (j *Journal) discardSnapshot(err error) {
	snapshotsFailed.Inc()
	j.log.Warn("snapshot failed", "error", err)
	j.mu.Lock()
	j.ready = nil
	j.mu.Unlock()
	time.AfterFunc(snapshotRetryDelay, func() {
		j.mu.Lock()
		j.snapshotting = false
		j.signal()
		j.mu.Unlock()
	})
}

// runCaptures runs the captures that wait. Called by the committer, between commits.
func (j *Journal) runCaptures() {
	j.mu.Lock()
	captures := j.captures
	j.captures = nil
	last := j.next - 1
	j.mu.Unlock()
	for _, c := range captures {
		c.run()
		c.done <- last
	}
}

// finishSnapshot ends a committed snapshot and deletes the chunks that it has freed. Called by the committer.
func (j *Journal) finishSnapshot(ctx context.Context, m manifest) {
	inForce := make(map[ChunkID]struct{})
	for _, id := range m.all() {
		inForce[id] = struct{}{}
	}
	for _, c := range j.committer.carried {
		inForce[c.Chunk] = struct{}{}
	}
	var freed []ChunkID
	j.mu.Lock()
	for id := range j.chunks {
		if _, ok := inForce[id]; !ok {
			freed = append(freed, id)
		}
	}
	j.chunks = inForce
	j.ready = nil
	j.snapshotting = false
	j.mu.Unlock()
	j.tasks.Go(func() { j.deleteChunks(ctx, freed) })
}

// carriedAfter returns the carried slots that a snapshot up to cover does not contain.
func carriedAfter(carried []carriedSlot, cover uint64) []carriedSlot {
	var rest []carriedSlot
	for _, c := range carried {
		if c.Slot > cover {
			rest = append(rest, c)
		}
	}
	return rest
}
