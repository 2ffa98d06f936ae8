package entry

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// maxRestores bounds how often a history is read again because it left memory meanwhile.
const maxRestores = 5

// shardChunks reads the chunks of one journal.
type shardChunks struct {
	ctx      context.Context
	journals Journals
	id       int
}

// ReadChunks implements program.ChunkReader.
func (c shardChunks) ReadChunks(ids []string) ([][]byte, error) {
	return c.journals.ReadChunks(c.ctx, c.id, ids)
}

// restoreHistory brings the program's whole history into memory.
func (s *shard) restoreHistory(ctx context.Context, tree *program.Tree, id string) *api.Error {
	for range maxRestores {
		absent := tree.UnloadedHistory(id)
		if absent == nil {
			return nil
		}
		messages, err := absent.Load(shardChunks{ctx: ctx, journals: s.journals, id: s.id})
		if err != nil {
			return api.Errorf(api.CodeStoreUnavailable, "%v", err)
		}
		if err := tree.Restore(id, messages); err != nil {
			return api.Errorf(api.CodeHistoryGap, "%v", err)
		}
	}
	return api.Errorf(api.CodeStoreUnavailable, "the history of program %s left memory again and again", id)
}

// history returns the program's whole history.
func (s *shard) history(ctx context.Context, tree *program.Tree, id string) ([]api.Message, *api.Error) {
	for range maxRestores {
		if messages, whole := tree.History(id); whole {
			return messages, nil
		}
		if tree.UnloadedHistory(id) == nil {
			return nil, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", id)
		}
		if err := s.restoreHistory(ctx, tree, id); err != nil {
			return nil, err
		}
	}
	return nil, api.Errorf(api.CodeStoreUnavailable, "the history of program %s left memory again and again", id)
}
