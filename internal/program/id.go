package program

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// childSeparator stands between a root's id and the rest of a descendant's id.
const childSeparator = "~"

const (
	rootIDBytes  = 10
	childIDBytes = 6
)

// NewID returns the id of a new program. The same organisation, parent and non-empty idempotency key give the same id,
// so that a resent creation meets the program that the first one made.
func NewID(organisation, parent, idempotencyKey string) string {
	size := rootIDBytes
	if parent != "" {
		size = childIDBytes
	}
	raw := make([]byte, size)
	if idempotencyKey == "" {
		_, _ = rand.Read(raw) // Never fails.
	} else {
		sum := sha256.Sum256([]byte(organisation + "\x00" + parent + "\x00" + idempotencyKey))
		copy(raw, sum[:])
	}
	if parent == "" {
		return "p" + hex.EncodeToString(raw)
	}
	return RootOf(parent) + childSeparator + hex.EncodeToString(raw)
}

// RootOf returns the id of the root of the program's tree.
func RootOf(id string) string {
	root, _, _ := strings.Cut(id, childSeparator)
	return root
}

// JournalOf returns the journal, of the given number of journals, that holds the program's tree.
func JournalOf(id string, journals int) int {
	return int(xxhash.Sum64String(RootOf(id)) % uint64(journals))
}
