package journal

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// snapshotRetryDelay is the delay before a failed snapshot is retried.
const snapshotRetryDelay = time.Second

// manifest is the record of a snapshot slot: the chunks of the snapshot that is current from that slot on.
type manifest struct {
	Heads  []ChunkID `json:"heads"`  // Passed to State.Restore, in this order.
	Chunks []ChunkID `json:"chunks"` // Read on demand.
}

func (m manifest) allChunks() []ChunkID {
	return append(m.Heads[:len(m.Heads):len(m.Heads)], m.Chunks...)
}

// capture is a function that the committer runs between two commits.
type capture struct {
	run  func()
	done chan uint64 // Receives the number of the last slot committed before the call; buffers one.
}

// SnapshotWriter writes one snapshot of a State. It must be used by one goroutine only. The snapshot becomes current
// when State.Snapshot has returned and the manifest is committed; until then the previous snapshot remains current.
type SnapshotWriter struct {
	journal       *Journal
	ctx           context.Context
	cover         uint64 // Last slot that the snapshot contains.
	replacedBytes int    // Lower bound on the stored bytes of the slots that the snapshot replaces.
	heads         []ChunkID
	chunks        []ChunkID
	kept          map[ChunkID]struct{} // Chunks passed to Keep.
}

// Context returns a context that ends when the journal stops.
func (w *SnapshotWriter) Context() context.Context { return w.ctx }

// Slot returns the number of the last slot that the snapshot contains. Recovery applies the records of later slots.
func (w *SnapshotWriter) Slot() uint64 { return w.cover }

// Capture runs f between two commits. The snapshot then contains exactly the records committed before f ran, so f has
// to copy the state that the chunks will hold. Commits are blocked while f runs.
func (w *SnapshotWriter) Capture(f func()) error {
	c := capture{run: f, done: make(chan uint64, 1)}
	w.journal.mu.Lock()
	w.journal.captures = append(w.journal.captures, c)
	w.journal.wakeCommitter()
	w.journal.mu.Unlock()
	select {
	case w.cover = <-c.done:
		return nil
	case <-w.ctx.Done():
		return fmt.Errorf("capture a snapshot of journal %d: %w", w.journal.options.ID, w.ctx.Err())
	}
}

// WriteHead writes a head chunk: one that belongs to this snapshot only and is passed to State.Restore.
func (w *SnapshotWriter) WriteHead(data []byte) error {
	id, err := w.journal.writeChunk(w.ctx, data)
	if err == nil {
		w.heads = append(w.heads, id)
	}
	return err
}

// WriteChunk writes an immutable chunk. It is stored until a later snapshot that does not keep it becomes current.
func (w *SnapshotWriter) WriteChunk(data []byte) (ChunkID, error) {
	id, err := w.journal.writeChunk(w.ctx, data)
	if err == nil {
		w.chunks = append(w.chunks, id)
	}
	return id, err
}

// Keep makes a chunk of an earlier snapshot, or of one that failed under this owner, part of this snapshot. Repeated
// calls with the same id have no effect.
func (w *SnapshotWriter) Keep(id ChunkID) error {
	w.journal.mu.Lock()
	_, known := w.journal.storedChunks[id]
	w.journal.mu.Unlock()
	if !known {
		return fmt.Errorf("chunk %q is not stored in journal %d", id, w.journal.options.ID)
	}
	if _, kept := w.kept[id]; !kept {
		w.kept[id] = struct{}{}
		w.chunks = append(w.chunks, id)
	}
	return nil
}

func (w *SnapshotWriter) manifest() manifest { return manifest{Heads: w.heads, Chunks: w.chunks} }

// writeChunk stores a chunk under a new key. The write is retried until it is known to have taken effect. An attempt
// that takes effect late is harmless, because it writes the same value and the key is never reused.
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
	j.storedChunks[id] = struct{}{}
	return id, nil
}

// startSnapshot starts a snapshot if too many slots or too many stored bytes are not in the last one. It is called by
// the committer only.
func (j *Journal) startSnapshot(ctx context.Context) {
	c := &j.committer
	used := int(j.nextSlot - 1 - c.cover)
	if used < j.options.RingSlots/snapshotDivisor && c.bytesSinceSnapshot < j.options.SnapshotBytes {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.snapshotting || j.closing && j.queue.queuedCount == 0 {
		return
	}
	j.snapshotting = true
	w := &SnapshotWriter{
		journal:       j,
		ctx:           ctx,
		cover:         j.nextSlot - 1,
		replacedBytes: c.bytesSinceSnapshot,
		kept:          make(map[ChunkID]struct{}),
	}
	j.background.Go(func() { j.runSnapshot(ctx, w) })
}

// runSnapshot calls the state machine to write its snapshot and hands the result to the committer.
func (j *Journal) runSnapshot(ctx context.Context, w *SnapshotWriter) {
	err := j.options.State.Snapshot(w)
	if err == nil {
		j.mu.Lock()
		j.readySnapshot = w
		j.wakeCommitter()
		j.mu.Unlock()
		return
	}
	j.discardSnapshot(err)
}

// discardSnapshot discards a failed snapshot and permits another one after snapshotRetryDelay.
func (j *Journal) discardSnapshot(err error) {
	snapshotsFailed.Inc()
	j.log.Warn("snapshot failed", "error", err)
	j.mu.Lock()
	j.readySnapshot = nil
	j.mu.Unlock()
	time.AfterFunc(snapshotRetryDelay, func() {
		j.mu.Lock()
		j.snapshotting = false
		j.wakeCommitter()
		j.mu.Unlock()
	})
}

// runCaptures runs the waiting captures. It is called by the committer between commits.
func (j *Journal) runCaptures() {
	j.mu.Lock()
	captures := j.captures
	j.captures = nil
	last := j.nextSlot - 1
	j.mu.Unlock()
	for _, c := range captures {
		c.run()
		c.done <- last
	}
}

// finishSnapshot deletes the chunks that neither the committed snapshot nor a carried slot refers to, and permits
// another snapshot. It is called by the committer only.
func (j *Journal) finishSnapshot(ctx context.Context, m manifest) {
	referenced := make(map[ChunkID]struct{})
	for _, id := range m.allChunks() {
		referenced[id] = struct{}{}
	}
	for _, c := range j.committer.carried {
		referenced[c.Chunk] = struct{}{}
	}
	var freed []ChunkID
	j.mu.Lock()
	for id := range j.storedChunks {
		if _, ok := referenced[id]; !ok {
			freed = append(freed, id)
		}
	}
	j.storedChunks = referenced
	j.readySnapshot = nil
	j.snapshotting = false
	j.mu.Unlock()
	j.background.Go(func() { j.deleteChunks(ctx, freed) })
}

// carriedAfter returns the carried slots that a snapshot of the slots up to cover does not contain.
func carriedAfter(carried []carriedSlot, cover uint64) []carriedSlot {
	var rest []carriedSlot
	for _, c := range carried {
		if c.Slot > cover {
			rest = append(rest, c)
		}
	}
	return rest
}
