package program

import (
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// history is the sequence of one program's messages. A leading part may be in stored chunks only; the rest is in
// memory. The tree's lock guards it.
type history struct {
	unloaded    int           // Number of leading messages that are not in memory; all of them are in chunks.
	loaded      []api.Message // The remaining messages.
	hash        string        // Chain hash of all messages.
	bytes       int           // Size of all messages, loaded or not.
	chunks      []chunk       // Chunks with the first storedCount messages, in order.
	storedCount int           // Number of leading messages that are in chunks.
}

// chunk refers to the part of a history in one stored chunk.
type chunk struct {
	ID    string `json:"id"`
	Count int    `json:"n"` // Number of this program's messages in the chunk.
}

// count returns the number of all messages, loaded or not.
func (h *history) count() int { return h.unloaded + len(h.loaded) }

// add appends a message.
func (h *history) add(m api.Message) {
	h.loaded = append(h.loaded, m)
	h.hash = api.HistoryHash(h.hash, m)
	h.bytes += messageBytes(m)
}

// at returns the message with the index in the whole history; false if it is not in memory.
func (h *history) at(index int) (api.Message, bool) {
	if index < h.unloaded || index >= h.count() {
		return api.Message{}, false
	}
	return h.loaded[index-h.unloaded], true
}

// loadedMessages returns the messages in memory. The caller must not modify the slice.
func (h *history) loadedMessages() []api.Message { return h.loaded[:len(h.loaded):len(h.loaded)] }

// unstoredMessages returns the messages that are in no chunk yet.
func (h *history) unstoredMessages() []api.Message {
	return h.loadedMessages()[h.storedCount-h.unloaded:]
}

// addChunk records that the first unstored messages are now in the chunk.
func (h *history) addChunk(c chunk) {
	h.chunks = append(h.chunks, c)
	h.storedCount += c.Count
}

// evict removes the messages that are in chunks from memory and returns their size in bytes.
func (h *history) evict() int {
	evicted := h.storedCount - h.unloaded
	if evicted <= 0 {
		return 0
	}
	freed := 0
	for _, m := range h.loaded[:evicted] {
		freed += messageBytes(m)
	}
	h.loaded = append([]api.Message(nil), h.loaded[evicted:]...)
	h.unloaded = h.storedCount
	return freed
}

// residentBytes returns the size of the messages in memory, in bytes.
func (h *history) residentBytes() int {
	n := 0
	for _, m := range h.loaded {
		n += messageBytes(m)
	}
	return n
}

// UnloadedHistory identifies the leading part of a history that is not in memory.
type UnloadedHistory struct {
	program string
	chunks  []chunk
	count   int // Number of messages that are not in memory.
}

// Load reads the messages from their chunks. Tree.Restore puts them back into memory.
func (u *UnloadedHistory) Load(r ChunkReader) ([]api.Message, error) {
	ids := make([]string, len(u.chunks))
	for i, c := range u.chunks {
		ids[i] = c.ID
	}
	contents, err := r.ReadChunks(ids)
	if err != nil {
		return nil, fmt.Errorf("read history of program %s: %w", u.program, err)
	}
	messages := make([]api.Message, 0, u.count)
	for i, c := range u.chunks {
		part, err := u.decode(c, contents[i])
		if err != nil {
			return nil, err
		}
		messages = append(messages, part...)
	}
	if len(messages) < u.count {
		return nil, fmt.Errorf("history of program %s: chunks contain %d messages, need %d", u.program, len(messages), u.count)
	}
	return messages[:u.count], nil
}

// decode returns the program's messages from the content of a chunk and checks their number.
func (u *UnloadedHistory) decode(c chunk, data []byte) ([]api.Message, error) {
	var content historyChunk
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("decode history chunk %s: %w", c.ID, err)
	}
	messages := content.Programs[u.program]
	if len(messages) != c.Count {
		return nil, fmt.Errorf("history chunk %s contains %d messages of program %s, expected %d", c.ID, len(messages), u.program, c.Count)
	}
	return messages, nil
}

// UnloadedHistory returns the part of the program's history that is not in memory, or nil if all of it is in memory.
func (t *Tree) UnloadedHistory(id string) *UnloadedHistory {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil || p.history.unloaded == 0 {
		return nil
	}
	return &UnloadedHistory{program: id, chunks: p.history.chunks[:len(p.history.chunks):len(p.history.chunks)], count: p.history.unloaded}
}

// Restore puts messages that UnloadedHistory.Load returned back into memory. It returns an error if the resulting
// history does not match the committed hash. It does nothing if the loaded part has changed meanwhile.
func (t *Tree) Restore(id string, messages []api.Message) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil || p.history.unloaded != len(messages) {
		return nil // The loaded part has changed meanwhile; the caller checks again.
	}
	all := append(messages[:len(messages):len(messages)], p.history.loaded...)
	if hash := api.HistoryHashOf(all); hash != p.history.hash {
		return fmt.Errorf("history of program %s: hash %s of the loaded history differs from the committed hash %s", id, hash, p.history.hash)
	}
	p.history.loaded = all
	p.history.unloaded = 0
	return nil
}

// Evict removes parts of histories that are in chunks from memory, in least recently used order of their trees, until
// at most limit bytes are resident. It returns the number of resident bytes.
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

// residentBytes returns the size of the tree's messages in memory, in bytes.
func (t *Tree) residentBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.programs {
		n += p.history.residentBytes()
	}
	return n
}

// evict removes the messages that are in chunks from memory, except those of programs with a running call. It returns
// their size in bytes.
func (t *Tree) evict() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	freed := 0
	for _, p := range t.programs {
		if p.sequencer.running == nil {
			freed += p.history.evict()
		}
	}
	return freed
}
