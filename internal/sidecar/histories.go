package sidecar

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// histories stores the messages of the programs whose prefix is cached on the engine, so that an entry need not resend
// them. When the limit in bytes is exceeded, the least recently used programs are evicted. It is safe for concurrent use.
type histories struct {
	limit int64

	mu       sync.Mutex
	programs map[string]*history // Under mu, like all below.
	bytes    int64
	useCount uint64 // Number of uses so far; serves as a logical clock for eviction.
}

// history holds the messages of one program.
type history struct {
	messages []api.Message
	hashes   []string // Hash of the history up to and including each message.
	bytes    int64
	lastUse  uint64
}

func newHistories(limit int64) *histories {
	return &histories{limit: limit, programs: make(map[string]*history)}
}

// Find returns the program's messages up to the one at which the history has the given hash. It returns false when no
// such history is stored.
func (h *histories) Find(program, hash string) ([]api.Message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return nil, false
	}
	for i := len(p.hashes) - 1; i >= 0; i-- {
		if p.hashes[i] == hash {
			h.useCount++
			p.lastUse = h.useCount
			return p.messages[: i+1 : i+1], true
		}
	}
	return nil, false
}

// Store stores base followed by added as the program's history. hash is the hash of base. If base is already stored, only
// the added messages are hashed.
func (h *histories) Store(program, hash string, base, added []api.Message) {
	p := &history{hashes: h.hashes(program, hash, base)}
	p.messages = append(base[:len(base):len(base)], added...)
	for _, m := range added {
		p.hashes = append(p.hashes, api.HistoryHash(hash, m))
		hash = p.hashes[len(p.hashes)-1]
	}
	for _, m := range p.messages {
		p.bytes += messageBytes(m)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(program)
	h.useCount++
	p.lastUse = h.useCount
	h.programs[program] = p
	h.bytes += p.bytes
	for h.bytes > h.limit && len(h.programs) > 0 {
		h.evict()
	}
}

// hashes returns the hash of the history up to and including each message of base.
func (h *histories) hashes(program, hash string, base []api.Message) []string {
	h.mu.Lock()
	if p := h.programs[program]; p != nil && len(base) > 0 && len(p.hashes) >= len(base) && p.hashes[len(base)-1] == hash {
		defer h.mu.Unlock()
		return p.hashes[:len(base):len(base)]
	}
	h.mu.Unlock()
	out := make([]string, 0, len(base)+2)
	chain := ""
	for _, m := range base {
		chain = api.HistoryHash(chain, m)
		out = append(out, chain)
	}
	return out
}

// Remove removes a program's history.
func (h *histories) Remove(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(program)
}

// remove implements Remove. The caller holds mu.
func (h *histories) remove(program string) {
	if p := h.programs[program]; p != nil {
		h.bytes -= p.bytes
		delete(h.programs, program)
	}
}

// evict removes the history of the least recently used program. The caller holds mu.
func (h *histories) evict() {
	var oldest string
	least := h.useCount + 1
	for program, p := range h.programs {
		if p.lastUse < least {
			oldest, least = program, p.lastUse
		}
	}
	h.remove(oldest)
}

// Bytes returns the estimated memory of all histories, in bytes.
func (h *histories) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// messageOverheadBytes is the estimated memory that a message uses in addition to its text.
const messageOverheadBytes = 160

// messageBytes estimates the memory of a message, in bytes.
func messageBytes(m api.Message) int64 {
	return int64(len(m.Content) + len(m.ToolCalls) + len(m.Name) + len(m.ToolCallID) + messageOverheadBytes)
}
