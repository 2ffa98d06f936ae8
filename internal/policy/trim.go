package policy

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// trim deletes what is older than the retention: configurations, among them those of refused submissions, and chunks.
// It runs once per chunk of revisions and does a bounded part of the work; the rest, or all of it when the key-value
// service fails, is left to a later submission. A refused submission cannot win later: its base is not the head.
func (s *Store) trim(ctx context.Context, revision uint64) {
	if revision%chunkEntries != 0 {
		return
	}
	s.trimPrefix(ctx, keyPrefixSubmission, revision, keptBodies)
	s.trimPrefix(ctx, keyPrefixChunk, revision, keptEntries+chunkEntries)
}

func (s *Store) trimPrefix(ctx context.Context, prefix string, revision, kept uint64) {
	if revision <= kept {
		return
	}
	keys, err := s.kv.List(ctx, prefix, maxTrimmedAtOne, true)
	if err != nil {
		return
	}
	old := olderThan(keys, prefix, revision-kept)
	if len(old) > 0 {
		_ = s.kv.Delete(ctx, old...) // Tried again by a later submission.
	}
}

func olderThan(keys []ports.KeyValue, prefix string, floor uint64) []string {
	var out []string
	for _, kv := range keys {
		if n, ok := revisionOfKey(prefix, kv.Key); ok && n <= floor {
			out = append(out, kv.Key)
		}
	}
	return out
}
