package program

import (
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// history is the messages of one program in order. Its first part may be in stored chunks only; the rest is in memory.
// It is guarded by the tree's lock.
type history struct {
	absent   int           // Messages at the beginning that are not in memory. All of them are in chunks.
	messages []api.Message // The messages after those.
	hash     string        // Chain hash of all messages.
	bytes    int           // Size of all messages.
	chunks   []chunk       // Chunks that hold the beginning.
	stored   int           // Messages that chunks hold.
}

// chunk names the part of a history that one stored chunk holds.
type chunk struct {
	ID    string `json:"id"`
	Count int    `json:"n"` // Messages of this program in the chunk.
}

// count returns the number of messages.
func (h *history) count() int { return h.absent + len(h.messages) }

// add appends a message.
func (h *history) add(m api.Message) {
	h.messages = append(h.messages, m)
	h.hash = api.HistoryHash(h.hash, m)
	h.bytes += messageBytes(m)
}

// at returns the message with the index, if it is in memory.
func (h *history) at(index int) (api.Message, bool) {
	if index < h.absent || index >= h.count() {
		return api.Message{}, false
	}
	return h.messages[index-h.absent], true
}

// present returns the messages in memory. The slice must not be changed.
func (h *history) present() []api.Message { return h.messages[:len(h.messages):len(h.messages)] }

// unstored returns the messages that no chunk holds.
func (h *history) unstored() []api.Message { return h.present()[h.stored-h.absent:] }

// keep notes that a chunk holds the next messages.
func (h *history) keep(c chunk) {
	h.chunks = append(h.chunks, c)
	h.stored += c.Count
}

// evict drops from memory what chunks hold and returns the bytes that it freed.
func (h *history) evict() int {
	drop := h.stored - h.absent
	if drop <= 0 {
		return 0
	}
	freed := 0
	for _, m := range h.messages[:drop] {
		freed += messageBytes(m)
	}
	h.messages = append([]api.Message(nil), h.messages[drop:]...)
	h.absent = h.stored
	return freed
}

// residentBytes returns the size of the messages in memory.
func (h *history) residentBytes() int {
	n := 0
	for _, m := range h.messages {
		n += messageBytes(m)
	}
	return n
}

// Absent is the part of a history that is not in memory.
type Absent struct {
	program string
	chunks  []chunk
	count   int
}

// Load reads the messages from their chunks.
func (a *Absent) Load(r ChunkReader) ([]api.Message, error) {
	ids := make([]string, len(a.chunks))
	for i, c := range a.chunks {
		ids[i] = c.ID
	}
	contents, err := r.ReadChunks(ids)
	if err != nil {
		return nil, fmt.Errorf("read history of program %s: %w", a.program, err)
	}
	messages := make([]api.Message, 0, a.count)
	for i, c := range a.chunks {
		part, err := a.decode(c, contents[i])
		if err != nil {
			return nil, err
		}
		messages = append(messages, part...)
	}
	if len(messages) < a.count {
		return nil, fmt.Errorf("history of program %s: chunks hold %d messages, %d are missing from memory", a.program, len(messages), a.count)
	}
	return messages[:a.count], nil
}

// decode returns the program's messages in a chunk.
func (a *Absent) decode(c chunk, data []byte) ([]api.Message, error) {
	var content historyChunk
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("decode history chunk %s: %w", c.ID, err)
	}
	messages := content.Programs[a.program]
	if len(messages) != c.Count {
		return nil, fmt.Errorf("history chunk %s holds %d messages of program %s, %d were committed", c.ID, len(messages), a.program, c.Count)
	}
	return messages, nil
}

// Absent returns the part of the program's history that is not in memory, or nil when all of it is.
func (t *Tree) Absent(id string) *Absent {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil || p.history.absent == 0 {
		return nil
	}
	return &Absent{program: id, chunks: p.history.chunks[:len(p.history.chunks):len(p.history.chunks)], count: p.history.absent}
}

// Restore puts messages that Load returned back into memory. Messages that do not match the committed hash are refused.
func (t *Tree) Restore(id string, messages []api.Message) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil || p.history.absent != len(messages) {
		return nil // The history has changed its place meanwhile; the caller looks again.
	}
	whole := append(messages[:len(messages):len(messages)], p.history.messages...)
	if hash := api.HistoryHashOf(whole); hash != p.history.hash {
		return fmt.Errorf("history of program %s: loaded hash %s differs from committed hash %s", id, hash, p.history.hash)
	}
	p.history.messages = whole
	p.history.absent = 0
	return nil
}

// Evict drops stored parts of histories from memory, those of the trees that were used longest ago first, until at most
// limit bytes are resident. It returns the resident bytes.
func (s *Store) Evict(limit int) int {
	trees := s.byLastUse()
	resident := 0
	sizes := make([]int, len(trees))
	for i, tree := range trees {
		sizes[i] = tree.residentBytes()
		resident += sizes[i]
	}
	for _, tree := range trees {
		if resident <= limit {
			break
		}
		resident -= tree.evict()
	}
	return resident
}

func (t *Tree) residentBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.programs {
		n += p.history.residentBytes()
	}
	return n
}

// evict drops the stored histories of programs that run no call.
func (t *Tree) evict() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	freed := 0
	for _, p := range t.programs {
		if p.gate.running == nil {
			freed += p.history.evict()
		}
	}
	return freed
}
