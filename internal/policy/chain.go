package policy

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Keys in the key-value service.
const (
	keyHead             = "config/head"
	keyPrefixSubmission = "config/submission/"
	keyPrefixChunk      = "config/chain/"
)

// Retention of the chain of revisions. The layout of stored chunks depends on chunkEntries: it never changes.
const (
	chunkEntries    = 32      // Entries that move from the head to one chunk.
	maxRecent       = 64      // Entries that the head holds besides its own.
	keptBodies      = 2_000   // Revisions whose configuration can be read.
	keptEntries     = 200_000 // Revisions whose entry can be read.
	maxReasonBytes  = 300
	maxAuthorBytes  = 100
	maxTrimmedAtOne = 100 // Keys that one submission deletes at most.
)

// Entry is one accepted revision in the chain: who changed the configuration, when, why and from what.
type Entry struct {
	Revision    uint64 `json:"revision"`
	Submission  string `json:"submission"`            // ID of the accepted submission.
	Predecessor string `json:"predecessor,omitempty"` // ID of the submission of the revision before; empty for revision 1.
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	TimeMS      int64  `json:"time_ms"` // Unix time of the submission in milliseconds.
	Digest      string `json:"digest"`  // SHA-256 of configuration, author and reason.
}

// Head is the newest revision with the entries before it that no chunk holds, newest first.
type Head struct {
	Entry
	Recent []Entry `json:"recent,omitempty"`

	modRevision int64 // Of the key in the key-value service; 0 when there is no head yet.
}

// submissionRecord is the value under a submission's key, compressed. Its first writer wins and it never changes.
type submissionRecord struct {
	Entry
	Config json.RawMessage `json:"config"`
}

// chunk is the value under a chunk's key: chunkEntries consecutive entries, oldest first. All writers of a chunk
// write the same bytes, as the entries below the head never change.
type chunk struct {
	Entries []Entry `json:"entries"`
}

// next returns the head that follows h when e is accepted. spill is the chunk that must be written before, if any.
func (h Head) next(e Entry) (next Head, spill []Entry) {
	next.Entry = e
	if h.Revision == 0 {
		return next, nil
	}
	next.Recent = append(append(next.Recent, h.Entry), h.Recent...)
	if len(next.Recent) < maxRecent {
		return next, nil
	}
	cut := len(next.Recent) - chunkEntries
	for i := len(next.Recent) - 1; i >= cut; i-- {
		spill = append(spill, next.Recent[i])
	}
	next.Recent = next.Recent[:cut]
	return next, spill
}

// find returns the entry of the revision if the head holds it.
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

// Chunks begin at revisions 1, 1+chunkEntries, ... because the first spill begins with revision 1.
func chunkStart(revision uint64) uint64 { return (revision-1)/chunkEntries*chunkEntries + 1 }

func chunkKey(start uint64) string { return fmt.Sprintf("%s%012d", keyPrefixChunk, start) }

// submissionID orders the keys of submissions by the revision that they aim at.
func submissionID(base uint64, idempotencyKey string) string {
	return fmt.Sprintf("%012d-%s", base+1, idempotencyKey)
}

// revisionOfKey returns the revision in the key of a submission or chunk.
func revisionOfKey(prefix, key string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "-")
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

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
