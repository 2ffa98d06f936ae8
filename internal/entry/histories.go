package entry

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// maxRestoreAttempts is how many times a history is read from the journal if it keeps being evicted from memory before it
// is used.
const maxRestoreAttempts = 5

// shardChunks is a program.ChunkReader for the chunks of one journal.
type shardChunks struct {
	ctx      context.Context
	journals Journals
	id       int
}

// ReadChunks implements program.ChunkReader.
func (c shardChunks) ReadChunks(ids []string) ([][]byte, error) {
	return c.journals.ReadChunks(c.ctx, c.id, ids)
}

// restoreHistory loads the evicted parts of the program's history from the journal into memory.
func (s *shard) restoreHistory(ctx context.Context, tree *program.Tree, id string) *api.Error {
	for range maxRestoreAttempts {
		unloaded := tree.UnloadedHistory(id)
		if unloaded == nil {
			return nil
		}
		messages, err := unloaded.Load(shardChunks{ctx: ctx, journals: s.journals, id: s.id})
		if err != nil {
			return api.Errorf(api.CodeStoreUnavailable, "%v", err)
		}
		if err := tree.Restore(id, messages); err != nil {
			return api.Errorf(api.CodeHistoryGap, "%v", err)
		}
	}
	return api.Errorf(api.CodeStoreUnavailable, "the history of program %s was repeatedly evicted from memory before it was used", id)
}

// history returns the program's whole history. It loads evicted parts from the journal.
func (s *shard) history(ctx context.Context, tree *program.Tree, id string) ([]api.Message, *api.Error) {
	for range maxRestoreAttempts {
		if messages, complete := tree.History(id); complete {
			return messages, nil
		}
		if tree.UnloadedHistory(id) == nil {
			return nil, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", id)
		}
		if err := s.restoreHistory(ctx, tree, id); err != nil {
			return nil, err
		}
	}
	return nil, api.Errorf(api.CodeStoreUnavailable, "the history of program %s was repeatedly evicted from memory before it was used", id)
}
