package program

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// ChunkWriter stores the immutable chunks of a snapshot.
type ChunkWriter interface {
	// Capture runs f between two commits. The snapshot contains exactly the records committed before.
	Capture(f func()) error
	// WriteHead stores a head chunk: a part of the state that every snapshot writes again.
	WriteHead(data []byte) error
	// WriteChunk stores an immutable chunk that later snapshots may keep, and returns its id.
	WriteChunk(data []byte) (string, error)
	// Keep makes a chunk of an earlier snapshot part of this one.
	Keep(id string) error
}

// ChunkReader reads chunks by id.
type ChunkReader interface {
	// ReadChunks returns the chunks in the order of ids.
	ReadChunks(ids []string) ([][]byte, error)
}

const (
	// maxHeadBytes limits the encoded size of the trees in one head chunk, before compression.
	maxHeadBytes = 512 << 10
	// maxChunkBytes limits the size of the messages in one history chunk, before compression.
	maxChunkBytes = 768 << 10
)

// treeHead is the stored form of a tree without its messages.
type treeHead struct {
	Root         string        `json:"root"`
	Limits       Limits        `json:"limits"`
	Created      int64         `json:"created"`
	LastRecordAt int64         `json:"last"`
	Calls        int           `json:"calls"`
	Tokens       int           `json:"tokens"`
	Programs     []programHead `json:"programs"`
}

// programHead is the stored form of a program without its messages.
type programHead struct {
	ID           string     `json:"id"`
	Parent       string     `json:"parent,omitempty"`
	Organisation string     `json:"org"`
	Class        string     `json:"class"`
	Created      int64      `json:"created"`
	Ended        bool       `json:"ended,omitempty"`
	Reason       string     `json:"reason,omitempty"`
	NextSeq      uint64     `json:"next"`
	Calls        int        `json:"calls"`
	Tokens       int        `json:"tokens"`
	Reserve      int        `json:"reserve,omitempty"`
	Hash         string     `json:"hash,omitempty"`
	Bytes        int        `json:"bytes,omitempty"` // Size of the history.
	Chunks       []chunk    `json:"chunks,omitempty"`
	Kept         []keptCall `json:"kept,omitempty"`
	Intent       *Intent    `json:"intent,omitempty"`
	Attempt      int        `json:"attempt,omitempty"`
}

// headChunk is the content of one head chunk.
type headChunk struct {
	Trees      []treeHead       `json:"trees"`
	Tombstones map[string]int64 `json:"tombstones,omitempty"`
}

// historyChunk is the content of one history chunk: the messages of several programs.
type historyChunk struct {
	Programs map[string][]api.Message `json:"programs"`
}

// segment is a contiguous part of a program's history that is in no chunk yet.
type segment struct {
	tree     *Tree
	program  string
	messages []api.Message
}

// capturedState is the state between two commits. It shares the messages with the trees, which only append to them.
type capturedState struct {
	heads      []treeHead
	tombstones map[string]int64
	segments   []segment
}

// WriteSnapshot writes the state as of one moment between two commits. It first writes new chunks with the messages
// that are in no chunk yet, and then the head chunks with all trees.
func (s *Store) WriteSnapshot(w ChunkWriter) error {
	var c capturedState
	if err := w.Capture(func() { c = s.capture() }); err != nil {
		return err
	}
	added, err := writeHistories(w, c.segments)
	if err != nil {
		return err
	}
	head := headChunk{Tombstones: c.tombstones}
	size := 0
	for _, th := range c.heads {
		if err := th.addChunks(w, added); err != nil {
			return err
		}
		encoded, err := json.Marshal(th)
		if err != nil {
			return fmt.Errorf("encode tree %s: %w", th.Root, err)
		}
		if size+len(encoded) > maxHeadBytes {
			if err := writeHead(w, head); err != nil {
				return err
			}
			head, size = headChunk{}, 0
		}
		head.Trees = append(head.Trees, th)
		size += len(encoded)
	}
	return writeHead(w, head)
}

// capture returns the trees' heads and their unstored segments.
func (s *Store) capture() capturedState {
	c := capturedState{tombstones: s.copyTombstones()}
	for _, tree := range s.Trees() {
		tree.mu.Lock()
		c.heads = append(c.heads, tree.head())
		for _, p := range tree.programs {
			c.segments = append(c.segments, tree.unstoredSegments(p)...)
		}
		tree.mu.Unlock()
	}
	return c
}

// addChunks keeps the earlier chunks of the tree's programs and adds the new ones to their heads.
func (th *treeHead) addChunks(w ChunkWriter, added map[string][]chunk) error {
	for i := range th.Programs {
		p := &th.Programs[i]
		for _, c := range p.Chunks {
			if err := w.Keep(c.ID); err != nil {
				return err
			}
		}
		p.Chunks = append(p.Chunks, added[p.ID]...)
	}
	return nil
}

func writeHead(w ChunkWriter, head headChunk) error {
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode snapshot head: %w", err)
	}
	return w.WriteHead(data)
}

func (s *Store) copyTombstones() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.tombstones)
}

// writeHistories packs the segments into chunks and returns the new chunks by program.
func writeHistories(w ChunkWriter, segments []segment) (map[string][]chunk, error) {
	added := make(map[string][]chunk)
	var pending []segment
	size := 0
	flush := func() error {
		err := writeSegments(w, pending, added)
		pending, size = nil, 0
		return err
	}
	for _, seg := range segments {
		bytes := seg.bytes()
		full := size+bytes > maxChunkBytes || endsWithProgram(pending, seg.program)
		if size > 0 && full {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		pending = append(pending, seg)
		size += bytes
	}
	return added, flush()
}

// endsWithProgram reports whether the last pending segment belongs to the program. A chunk has at most one segment of
// each program.
func endsWithProgram(pending []segment, id string) bool {
	return len(pending) > 0 && pending[len(pending)-1].program == id
}

// writeSegments stores the segments in one chunk and records the chunk in added and in the programs' histories.
func writeSegments(w ChunkWriter, segments []segment, added map[string][]chunk) error {
	if len(segments) == 0 {
		return nil
	}
	content := historyChunk{Programs: make(map[string][]api.Message, len(segments))}
	for _, seg := range segments {
		content.Programs[seg.program] = seg.messages
	}
	data, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("encode history chunk: %w", err)
	}
	id, err := w.WriteChunk(data)
	if err != nil {
		return err
	}
	for _, seg := range segments {
		c := chunk{ID: id, Count: len(seg.messages)}
		added[seg.program] = append(added[seg.program], c)
		seg.tree.markStored(seg, c)
	}
	return nil
}

// bytes returns the size of the segment's messages.
func (s segment) bytes() int {
	n := 0
	for _, m := range s.messages {
		n += messageBytes(m)
	}
	return n
}

// unstoredSegments splits the unstored part of a history into segments of at most maxChunkBytes, or of one larger
// message. The caller must hold the tree's lock.
func (t *Tree) unstoredSegments(p *Program) []segment {
	var out []segment
	unstored := p.history.unstoredMessages()
	start, size := 0, 0
	for i := range unstored {
		bytes := messageBytes(unstored[i])
		if size > 0 && size+bytes > maxChunkBytes {
			out = append(out, segment{tree: t, program: p.id, messages: unstored[start:i:i]})
			start, size = i, 0
		}
		size += bytes
	}
	if start < len(unstored) {
		out = append(out, segment{tree: t, program: p.id, messages: unstored[start:]})
	}
	return out
}

// markStored records that the segment's messages are in the chunk. If the snapshot fails later, the next one keeps the
// chunk.
func (t *Tree) markStored(seg segment, c chunk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[seg.program]
	if p == nil {
		return
	}
	p.history.addChunk(c)
}

// head returns the stored form of the tree without its messages. The caller must hold the tree's lock.
func (t *Tree) head() treeHead {
	out := treeHead{
		Root: t.root, Limits: t.limits, Created: t.created, LastRecordAt: t.lastRecordAt, Calls: t.calls, Tokens: t.chargedTokens,
	}
	for _, p := range t.programs {
		out.Programs = append(out.Programs, programHead{
			ID: p.id, Parent: p.parent, Organisation: p.organisation, Class: p.class, Created: p.created,
			Ended: p.ended, Reason: p.reason, NextSeq: p.nextSeq, Calls: p.callsUsed, Tokens: p.tokensUsed,
			Reserve: p.reserve + p.inheritedReserve, Hash: p.history.hash, Bytes: p.history.bytes,
			Chunks: slices.Clone(p.history.chunks), Kept: slices.Clone(p.kept),
			Intent: p.intent, Attempt: p.attempt,
		})
	}
	return out
}

// RestoreSnapshot restores the state from the head chunks of a snapshot. The store must be empty. Messages stay in
// their chunks until they are needed.
func (s *Store) RestoreSnapshot(heads [][]byte) error {
	for _, data := range heads {
		var head headChunk
		if err := json.Unmarshal(data, &head); err != nil {
			return fmt.Errorf("decode snapshot head of journal %d: %w", s.journal, err)
		}
		for root, at := range head.Tombstones {
			s.tombstones[root] = at
		}
		for _, th := range head.Trees {
			s.trees[th.Root] = restoreTree(th)
		}
	}
	return nil
}

func restoreTree(th treeHead) *Tree {
	tree := &Tree{
		root: th.Root, limits: th.Limits, created: th.Created, lastRecordAt: th.LastRecordAt, calls: th.Calls, chargedTokens: th.Tokens,
		programs: make(map[string]*Program, len(th.Programs)),
	}
	for _, ph := range th.Programs {
		tree.programs[ph.ID] = &Program{
			id: ph.ID, parent: ph.Parent, organisation: ph.Organisation, class: ph.Class, created: ph.Created,
			ended: ph.Ended, reason: ph.Reason, nextSeq: ph.NextSeq, callsUsed: ph.Calls, tokensUsed: ph.Tokens,
			reserve: ph.Reserve, kept: ph.Kept, intent: ph.Intent, attempt: ph.Attempt, history: restoreHistory(ph),
		}
	}
	return tree
}

// restoreHistory returns a history with all of its messages in chunks and none in memory.
func restoreHistory(ph programHead) history {
	h := history{hash: ph.Hash, bytes: ph.Bytes}
	for _, c := range ph.Chunks {
		h.addChunk(c)
	}
	h.unloaded = h.storedCount
	return h
}
