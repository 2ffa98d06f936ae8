package program

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// childSeparator separates the root's id from the rest of a descendant's id.
const childSeparator = "~"

// Numbers of random or hashed bytes in the ids of roots and of their descendants.
const (
	rootIDBytes  = 10
	childIDBytes = 6
)

// NewID returns the id of a new program. With a non-empty idempotency key, the id is determined by the organisation,
// the parent and the key, so that a resent request to create a program finds the one that the first request created.
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

// RootOf returns the id of the root program of the program's tree.
func RootOf(id string) string {
	root, _, _ := strings.Cut(id, childSeparator)
	return root
}

// JournalOf returns the number of the journal, out of the given count of journals, that stores the program's tree.
func JournalOf(id string, journals int) int {
	return int(xxhash.Sum64String(RootOf(id)) % uint64(journals))
}
