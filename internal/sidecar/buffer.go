package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Limits of a buffer.
const (
	bufferBytes = 16 << 20         // Entries of all journals together.
	bufferAge   = 30 * time.Minute // Age at which the entries of an ownership are given up.
)

// Buffer holds entries of journals in memory while the key-value service is away. It is safe for concurrent use.
type Buffer struct {
	incarnation string
	limit       int // Bytes.

	mu       sync.Mutex // Guards the fields below.
	bytes    int
	journals map[int]*journalBuffer
}

// journalBuffer holds the entries of one ownership of one journal. The buffer's lock guards it.
type journalBuffer struct {
	sealed  uint64 // Ownerships up to this fencing number hold no more entries. It only rises.
	lost    uint64 // Highest ownership whose entries were given up.
	fence   uint64 // Ownership of entries. It only rises.
	entries map[uint64]heldEntry
}

type heldEntry struct {
	data []byte
	at   time.Time
}

// NewBuffer returns an empty buffer of a process's incarnation that holds at most limit bytes.
func NewBuffer(incarnation string, limit int) *Buffer {
	return &Buffer{incarnation: incarnation, limit: limit, journals: make(map[int]*journalBuffer)}
}

// journal returns the buffer of the journal. Called with mu held.
func (b *Buffer) journal(id int) *journalBuffer {
	j := b.journals[id]
	if j == nil {
		j = &journalBuffer{entries: make(map[uint64]heldEntry)}
		b.journals[id] = j
	}
	return j
}

// Hold holds an entry. The first entry of an ownership ends those of earlier ones: whoever opened the journal has
// collected them.
func (b *Buffer) Hold(r *api.HoldRequest, now time.Time) api.HoldState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Incarnation != b.incarnation {
		return api.HoldGone
	}
	j := b.journal(r.Fence.Journal)
	if r.Fence.Number <= j.sealed || r.Fence.Number < j.fence {
		return api.HoldSealed
	}
	if r.Fence.Number == j.lost {
		return api.HoldGone
	}
	if r.Fence.Number > j.fence {
		b.forget(j, func(uint64) bool { return true })
		j.fence = r.Fence.Number
	}
	if _, held := j.entries[r.Number]; held {
		return api.HoldDone
	}
	if b.bytes+len(r.Data) > b.limit {
		return api.HoldFull
	}
	j.entries[r.Number] = heldEntry{data: r.Data, at: now}
	b.bytes += len(r.Data)
	return api.HoldDone
}

// Seal seals an ownership and returns the entries that it holds.
func (b *Buffer) Seal(r *api.SealRequest) api.SealResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Incarnation != b.incarnation {
		return api.SealResponse{State: api.HoldGone}
	}
	j := b.journal(r.Fence.Journal)
	j.sealed = max(j.sealed, r.Fence.Number)
	if j.lost == r.Fence.Number {
		return api.SealResponse{State: api.HoldGone}
	}
	answer := api.SealResponse{State: api.HoldDone}
	if j.fence != r.Fence.Number {
		return answer
	}
	for _, number := range slices.Sorted(maps.Keys(j.entries)) {
		if number > r.After {
			answer.Entries = append(answer.Entries, api.BufferEntry{Number: number, Data: j.entries[number].data})
		}
	}
	return answer
}

// Drop forgets entries that the journal contains.
func (b *Buffer) Drop(r *api.DropRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.journal(r.Fence.Journal)
	switch {
	case j.fence < r.Fence.Number:
		b.forget(j, func(uint64) bool { return true })
	case j.fence == r.Fence.Number:
		b.forget(j, func(number uint64) bool { return number <= r.Through })
	}
}

// forget removes entries by their number. Called with mu held.
func (b *Buffer) forget(j *journalBuffer, remove func(number uint64) bool) {
	for number, e := range j.entries {
		if remove(number) {
			b.bytes -= len(e.data)
			delete(j.entries, number)
		}
	}
}

// Expire gives up the entries of ownerships that nobody has flushed or collected for bufferAge. A successor that asks
// for them is told that they are gone.
func (b *Buffer) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.journals {
		for _, e := range j.entries {
			if now.Sub(e.at) < bufferAge {
				continue
			}
			j.lost = j.fence
			b.forget(j, func(uint64) bool { return true })
			break
		}
	}
}

// Bytes returns the size of the entries held.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// handleHold holds an entry for the owner of a journal.
func (s *Sidecar) handleHold(ctx *fasthttp.RequestCtx) {
	var req api.HoldRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, &api.HoldResponse{State: s.buffer.Hold(&req, time.Now())})
}

// handleSeal gives a successor what an ownership left here.
func (s *Sidecar) handleSeal(ctx *fasthttp.RequestCtx) {
	var req api.SealRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	answer := s.buffer.Seal(&req)
	s.log.Info("journal buffer sealed", "journal", req.Fence.Journal, "fence", req.Fence.Number, "state", answer.State, "entries", len(answer.Entries))
	transport.WriteJSON(ctx, fasthttp.StatusOK, &answer)
}

// handleDrop forgets entries that are stored.
func (s *Sidecar) handleDrop(ctx *fasthttp.RequestCtx) {
	var req api.DropRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	s.buffer.Drop(&req)
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}
