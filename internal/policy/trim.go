package policy

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// trim deletes configurations and chunks that exceed the retention limits. The configurations include those of rejected
// submissions. It runs once every chunkEntries revisions and deletes a bounded number of keys. The remainder, or all of
// them if the key-value service fails, is left to a later submission. A rejected submission can be deleted because it
// cannot be accepted later: its base is no longer the head.
func (s *Store) trim(ctx context.Context, revision uint64) {
	if revision%chunkEntries != 0 {
		return
	}
	s.trimPrefix(ctx, keyPrefixSubmission, revision, keptConfigs)
	s.trimPrefix(ctx, keyPrefixChunk, revision, keptEntries+chunkEntries)
}

// trimPrefix deletes up to maxTrimBatch keys under the prefix whose number is at most revision-kept. It ignores errors.
func (s *Store) trimPrefix(ctx context.Context, prefix string, revision, kept uint64) {
	if revision <= kept {
		return
	}
	keys, err := s.kv.List(ctx, prefix, maxTrimBatch, true)
	if err != nil {
		return
	}
	expired := keysUpTo(keys, prefix, revision-kept)
	if len(expired) > 0 {
		_ = s.kv.Delete(ctx, expired...) // A later call tries again.
	}
}

// keysUpTo returns the keys whose number after the prefix is at most maxRevision.
func keysUpTo(keys []ports.KeyValue, prefix string, maxRevision uint64) []string {
	var out []string
	for _, kv := range keys {
		if n, ok := revisionOfKey(prefix, kv.Key); ok && n <= maxRevision {
			out = append(out, kv.Key)
		}
	}
	return out
}
