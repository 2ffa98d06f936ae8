package sidecar

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// histories keeps the messages of the programs whose prefix is cached on the engine, so that an entry need not resend
// them. It is bounded in bytes; the programs used longest ago go first. It is safe for concurrent use.
type histories struct {
	limit int64

	mu       sync.Mutex
	programs map[string]*history // Under mu, as all below.
	bytes    int64
	clock    uint64 // Counts uses.
}

// history is the text of one program.
type history struct {
	messages []api.Message
	hashes   []string // Of the history up to each message.
	bytes    int64
	used     uint64
}

func newHistories(limit int64) *histories {
	return &histories{limit: limit, programs: make(map[string]*history)}
}

// Find returns the messages whose hash is given; false when they are not held.
func (h *histories) Find(program, hash string) ([]api.Message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return nil, false
	}
	for i := len(p.hashes) - 1; i >= 0; i-- {
		if p.hashes[i] == hash {
			h.clock++
			p.used = h.clock
			return p.messages[: i+1 : i+1], true
		}
	}
	return nil, false
}

// Store keeps base followed by added as the program's history. hash is that of base; when it was found here before,
// only the added messages are hashed.
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
	h.clock++
	p.used = h.clock
	h.programs[program] = p
	h.bytes += p.bytes
	for h.bytes > h.limit && len(h.programs) > 0 {
		h.evict()
	}
}

// hashes returns the hash after each message of base.
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

// Remove forgets a program's history.
func (h *histories) Remove(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(program)
}

// remove does the work of Remove. The caller holds mu.
func (h *histories) remove(program string) {
	if p := h.programs[program]; p != nil {
		h.bytes -= p.bytes
		delete(h.programs, program)
	}
}

// evict removes the program used longest ago. The caller holds mu.
func (h *histories) evict() {
	var oldest string
	least := h.clock + 1
	for program, p := range h.programs {
		if p.used < least {
			oldest, least = program, p.used
		}
	}
	h.remove(oldest)
}

// Bytes returns the bytes of text held.
func (h *histories) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// messageOverheadBytes is the memory that a message takes beside its text.
const messageOverheadBytes = 160

func messageBytes(m api.Message) int64 {
	return int64(len(m.Content) + len(m.ToolCalls) + len(m.Name) + len(m.ToolCallID) + messageOverheadBytes)
}
