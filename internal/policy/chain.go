package policy

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Keys and key prefixes in the key-value service.
const (
	keyHead             = "config/head"
	keyPrefixSubmission = "config/submission/"
	keyPrefixChunk      = "config/chain/"
)

// Retention of the chain of revisions, and limits on submissions. chunkEntries must never change, because the keys and
// contents of stored chunks depend on it.
const (
	chunkEntries   = 32      // Entries in a chunk. The head moves that many to a chunk together.
	maxRecent      = 64      // The head holds fewer entries than this besides its own.
	keptConfigs    = 2_000   // At least this many of the newest revisions keep their configuration.
	keptEntries    = 200_000 // At least this many of the newest revisions keep their entry.
	maxReasonBytes = 300
	maxAuthorBytes = 100
	maxTrimBatch   = 100 // Maximum number of keys that one call of trimPrefix deletes.
)

// Entry is the metadata of one accepted revision in the chain. It records who changed the configuration, when, why, and
// which submission it replaced.
type Entry struct {
	Revision    uint64 `json:"revision"`
	Submission  string `json:"submission"`            // ID of the accepted submission.
	Predecessor string `json:"predecessor,omitempty"` // Submission ID of the previous revision; empty for revision 1.
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	TimeMS      int64  `json:"time_ms"` // Unix time of the submission in milliseconds.
	Digest      string `json:"digest"`  // SHA-256 of configuration, author and reason.
}

// Head is the newest revision together with the earlier entries that are not yet in a chunk, newest first.
type Head struct {
	Entry
	Recent []Entry `json:"recent,omitempty"`

	modRevision int64 // Modification revision of keyHead in the key-value service; 0 if the key does not exist.
}

// submissionRecord is the value of a submission's key, stored as compressed JSON. It is written only if the key does
// not exist, and is never modified.
type submissionRecord struct {
	Entry
	Config json.RawMessage `json:"config"`
}

// chunk is the value of a chunk's key. It holds chunkEntries consecutive entries, oldest first. Entries older than the
// head never change, so all writers of a chunk write the same bytes.
type chunk struct {
	Entries []Entry `json:"entries"`
}

// next returns the head that replaces h when e is accepted. If h holds too many entries, overflow holds the oldest ones
// in order of revision. They must be stored as a chunk before the new head is written.
func (h Head) next(e Entry) (next Head, overflow []Entry) {
	next.Entry = e
	if h.Revision == 0 {
		return next, nil
	}
	next.Recent = append(append(next.Recent, h.Entry), h.Recent...)
	if len(next.Recent) < maxRecent {
		return next, nil
	}
	kept := len(next.Recent) - chunkEntries
	for i := len(next.Recent) - 1; i >= kept; i-- {
		overflow = append(overflow, next.Recent[i])
	}
	next.Recent = next.Recent[:kept]
	return next, overflow
}

// find returns the entry of a revision if the head holds it.
func (h Head) find(revision uint64) (Entry, bool) {
	if revision == h.Revision {
		return h.Entry, true
	}
	for _, e := range h.Recent {
		if e.Revision == revision {
			return e, true
		}
	}
	return Entry{}, false
}

// chunkStart returns the first revision of the chunk that holds a revision. Chunks start at revisions 1, 1+chunkEntries
// and so on, because the first chunk starts with revision 1.
func chunkStart(revision uint64) uint64 { return (revision-1)/chunkEntries*chunkEntries + 1 }

func chunkKey(start uint64) string { return fmt.Sprintf("%s%012d", keyPrefixChunk, start) }

// submissionID returns a submission's ID. It starts with the revision that the submission would become, so that the
// keys of submissions sort by revision.
func submissionID(base uint64, idempotencyKey string) string {
	return fmt.Sprintf("%012d-%s", base+1, idempotencyKey)
}

// revisionOfKey parses the number after the prefix of a key: the revision of a submission, the first revision of a
// chunk, or the number of an audit block.
func revisionOfKey(prefix, key string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "-")
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// decodeHead returns an empty Head if the key does not exist.
func decodeHead(kv ports.KeyValue) (Head, error) {
	if kv.Revision == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return Head{}, fmt.Errorf("decode %s: %w", keyHead, err)
	}
	h.modRevision = kv.Revision
	return h, nil
}
