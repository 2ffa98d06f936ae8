package journal

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// MaxChunkBytes is the largest chunk that is accepted regardless of its content. A larger one is accepted if it
// compresses to at most ports.MaxValueBytes.
const MaxChunkBytes = ports.MaxValueBytes - headerReserve

// ChunkID identifies an immutable chunk of a journal. It starts with the fencing number of the owner that wrote the
// chunk and is never reused.
type ChunkID string

// newChunkID returns the id of a chunk from the writer's fencing number and a part that is unique under that number.
func newChunkID(fence uint64, unique string) ChunkID {
	return ChunkID(strconv.FormatUint(fence, 16) + "-" + unique)
}

// fence returns the fencing number of the owner that wrote the chunk.
func (id ChunkID) fence() (uint64, error) {
	number, _, _ := strings.Cut(string(id), "-")
	fence, err := strconv.ParseUint(number, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("chunk id %q has no fencing number: %w", id, err)
	}
	return fence, nil
}

// ReadChunk reads a chunk of a journal with one read of the key-value service. A failed read is retried until it
// succeeds or ctx ends.
func ReadChunk(ctx context.Context, kv ports.KV, journal int, id ChunkID) ([]byte, error) {
	return ring{kv: kv, id: journal}.readChunk(ctx, DefaultWriteTimeout, id)
}

// ReadChunks reads several chunks of a journal concurrently, like ReadChunk, and returns them in the order of ids.
func ReadChunks(ctx context.Context, kv ports.KV, journal int, ids []ChunkID) ([][]byte, error) {
	return ring{kv: kv, id: journal}.readChunks(ctx, DefaultWriteTimeout, ids)
}

func (r ring) readChunks(ctx context.Context, timeout time.Duration, ids []ChunkID) ([][]byte, error) {
	chunks := make([][]byte, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, id := range ids {
		group.Go(func() error {
			var err error
			chunks[i], err = r.readChunk(ctx, timeout, id)
			return err
		})
	}
	return chunks, group.Wait()
}

// readChunk reads and decompresses a chunk. timeout limits the first attempt; later attempts get longer ones.
func (r ring) readChunk(ctx context.Context, timeout time.Duration, id ChunkID) ([]byte, error) {
	var kv ports.KeyValue
	err := retry(ctx, timeout, nil, func(ctx context.Context) error {
		var err error
		kv, err = r.getChunk(ctx, id)
		return err
	})
	if err != nil {
		return nil, err
	}
	data, err := decoder.DecodeAll(kv.Value, nil)
	if err != nil {
		return nil, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("cannot decompress chunk: %v", err)}
	}
	return data, nil
}

// getChunk reads the stored, compressed value of a chunk.
func (r ring) getChunk(ctx context.Context, id ChunkID) (ports.KeyValue, error) {
	key := r.chunkKey(id)
	kv, err := r.kv.Get(ctx, key)
	if err != nil {
		return kv, fmt.Errorf("read %s: %w", key, err)
	}
	if kv.Revision == 0 {
		return kv, &CorruptError{Key: key, Reason: "chunk does not exist"}
	}
	kv.Key = key
	return kv, nil
}

// listChunks returns the ids of all stored chunks of the journal.
func (r ring) listChunks(ctx context.Context) ([]ChunkID, error) {
	keys, err := r.kv.List(ctx, r.chunkPrefix(), 0, true)
	if err != nil {
		return nil, fmt.Errorf("list the chunks of journal %d: %w", r.id, err)
	}
	ids := make([]ChunkID, len(keys))
	for i, kv := range keys {
		ids[i] = ChunkID(strings.TrimPrefix(kv.Key, r.chunkPrefix()))
	}
	return ids, nil
}
