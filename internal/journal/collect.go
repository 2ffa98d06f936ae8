package journal

import (
	"context"
	"slices"
)

// maxDeleteBatch is the largest number of chunks that one request deletes.
const maxDeleteBatch = 64

// collectOrphans deletes chunks that earlier owners wrote and that no committed record refers to. It keeps chunks whose
// fencing number is not below this owner's, because they may belong to this owner or to a successor.
func (j *Journal) collectOrphans(ctx context.Context, referenced map[ChunkID]struct{}) {
	var stored []ChunkID
	err := retry(ctx, j.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		stored, err = j.ring.listChunks(ctx)
		return err
	})
	if err != nil {
		j.log.Warn("cannot list orphan chunks", "error", err)
		return
	}
	var orphans []ChunkID
	for _, id := range stored {
		fence, err := id.fence()
		if err != nil {
			j.log.Warn("ignoring a chunk with an invalid id", "error", err)
			continue
		}
		if _, ok := referenced[id]; !ok && fence < j.fence {
			orphans = append(orphans, id)
		}
	}
	j.deleteChunks(ctx, orphans)
}

// deleteChunks deletes chunks that no committed record refers to. Chunks that remain when the journal stops are
// orphans, which the next owner deletes.
func (j *Journal) deleteChunks(ctx context.Context, ids []ChunkID) {
	for batch := range slices.Chunk(ids, maxDeleteBatch) {
		keys := make([]string, len(batch))
		for i, id := range batch {
			keys[i] = j.ring.chunkKey(id)
		}
		err := retry(ctx, j.options.WriteTimeout, j.options.Pacer, func(ctx context.Context) error {
			return j.options.KV.Delete(ctx, keys...)
		})
		if err != nil {
			j.log.Warn("cannot delete unreferenced chunks", "error", err)
			return
		}
		chunksDeleted.Add(len(batch))
	}
}
