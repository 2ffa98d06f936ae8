package journal

import (
	"context"
	"slices"
)

// deleteBatch is the number of chunks that one request deletes.
const deleteBatch = 64

// collectOrphans deletes the chunks that failed owners wrote and no committed record names. A chunk under a fencing
// number at or above this owner's may belong to a successor and is left alone.
func (j *Journal) collectOrphans(ctx context.Context, referenced map[ChunkID]struct{}) {
	var stored []ChunkID
	err := retry(ctx, j.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		stored, err = j.ring.listChunks(ctx)
		return err
	})
	if err != nil {
		j.log.Warn("orphan chunks not listed", "error", err)
		return
	}
	var orphans []ChunkID
	for _, id := range stored {
		fence, err := id.fence()
		if err != nil {
			j.log.Warn("unknown chunk", "error", err)
			continue
		}
		if _, ok := referenced[id]; !ok && fence < j.fence {
			orphans = append(orphans, id)
		}
	}
	j.deleteChunks(ctx, orphans)
}

// deleteChunks deletes chunks that no committed record names. What is left when the journal stops is an orphan for the
// next owner.
func (j *Journal) deleteChunks(ctx context.Context, ids []ChunkID) {
	for batch := range slices.Chunk(ids, deleteBatch) {
		keys := make([]string, len(batch))
		for i, id := range batch {
			keys[i] = j.ring.chunkKey(id)
		}
		err := retry(ctx, j.options.WriteTimeout, j.options.Pacer, func(ctx context.Context) error {
			return j.options.KV.Delete(ctx, keys...)
		})
		if err != nil {
			j.log.Warn("freed chunks not deleted", "error", err)
			return
		}
		chunksDeleted.Add(len(batch))
	}
}
