package engine

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// block is a cached block of blockTokens prompt tokens.
type block struct {
	hash    uint64
	pins    int           // Number of running sequences and holds that keep the block from eviction.
	element *list.Element // Element of the block in cache.lru.
}

// cache is a prefix cache of limited size with LRU eviction. Server.mu guards it.
type cache struct {
	capacity int // In blocks.
	blocks   map[uint64]*block
	lru      *list.List       // Blocks, least recently used first.
	holds    map[string]*hold // By program.
	usage    holdUsage
	logEvent func(kind, program string, hash uint64)
}

// hold keeps the prefix of a program in the cache until the hold expires or is released.
type hold struct {
	hashes  []uint64
	expires time.Time
	lastUse time.Time // When the program last used the prefix, or when the hold began.
}

// holdUsage measures the cache space that holds occupied: tokens multiplied by time, in token-seconds.
type holdUsage struct {
	heldTokenSeconds   float64 // All completed intervals; an interval starts with a use and ends with the next use or the end of the hold.
	wastedTokenSeconds float64 // Those of the intervals that ended with the end of the hold.
}

// newCache returns a cache for the number of tokens. It calls logEvent for each block that it stores or evicts.
func newCache(tokens int, logEvent func(kind, program string, hash uint64)) *cache {
	return &cache{
		capacity: tokens / blockTokens,
		blocks:   make(map[uint64]*block),
		lru:      list.New(),
		holds:    make(map[string]*hold),
		logEvent: logEvent,
	}
}

// hashChain returns the hash of each full block of the prompt. A block's hash also covers all blocks before it.
func hashChain(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var previous [8]byte
	digest := xxhash.New()
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[:blockBytes])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		hashes = append(hashes, hash)
	}
	return hashes
}

// matchPrefix returns how many leading blocks are cached and marks them as recently used.
func (c *cache) matchPrefix(hashes []uint64) int {
	for i, hash := range hashes {
		b := c.blocks[hash]
		if b == nil {
			return i
		}
		c.lru.MoveToBack(b.element)
	}
	return len(hashes)
}

// pin pins the blocks in the cache and adds those that are missing. It stops at the first block for which there is no
// space, and returns the hashes of the pinned blocks.
func (c *cache) pin(hashes []uint64, program string) []uint64 {
	for i, hash := range hashes {
		b := c.blocks[hash]
		if b == nil {
			if b = c.addBlock(hash, program); b == nil {
				return hashes[:i]
			}
		}
		b.pins++
		c.lru.MoveToBack(b.element)
	}
	return hashes
}

// addBlock stores a block, after evicting one if the cache is full. It returns nil if the cache is full and every block is
// pinned.
func (c *cache) addBlock(hash uint64, program string) *block {
	if len(c.blocks) >= c.capacity && !c.evictOne() {
		return nil
	}
	b := &block{hash: hash}
	b.element = c.lru.PushBack(b)
	c.blocks[hash] = b
	c.logEvent(eventStored, program, hash)
	return b
}

// evictOne evicts the least recently used block that is not pinned. It returns false if every block is pinned.
func (c *cache) evictOne() bool {
	for e := c.lru.Front(); e != nil; e = e.Next() {
		b := e.Value.(*block)
		if b.pins > 0 {
			continue
		}
		c.lru.Remove(e)
		delete(c.blocks, b.hash)
		c.logEvent(eventEvicted, "", b.hash)
		return true
	}
	return false
}

// unpin removes one pin from each of the blocks.
func (c *cache) unpin(hashes []uint64) {
	for _, hash := range hashes {
		if b := c.blocks[hash]; b != nil {
			b.pins--
		}
	}
}

// recordUse ends the current interval of a program's hold and starts the next, because a request has used the prefix.
func (c *cache) recordUse(program string, now time.Time) {
	if h := c.holds[program]; h != nil {
		c.usage.heldTokenSeconds += h.tokenSeconds(now)
		h.lastUse = now
	}
}

// tokenSeconds returns the usage of the hold since the last use.
func (h *hold) tokenSeconds(now time.Time) float64 {
	return float64(len(h.hashes)*blockTokens) * now.Sub(h.lastUse).Seconds()
}

// setHold replaces the hold of a program by a hold on the blocks with the hashes. If hashes is nil, it renews the existing
// hold. It returns false if there is no hold to renew.
func (c *cache) setHold(program string, hashes []uint64, now time.Time, ttl time.Duration) bool {
	h := c.holds[program]
	if hashes == nil {
		if h != nil {
			h.expires = now.Add(ttl)
		}
		return h != nil
	}
	pinned := c.pin(hashes, program)
	if h == nil {
		h = &hold{lastUse: now}
		c.holds[program] = h
	} else {
		c.usage.heldTokenSeconds += h.tokenSeconds(now)
		c.unpin(h.hashes)
		h.lastUse = now
	}
	h.hashes, h.expires = pinned, now.Add(ttl)
	return true
}

// releaseHold ends the hold of a program and counts the time since the last use as wasted. It returns false if there is no
// hold.
func (c *cache) releaseHold(program string, now time.Time) bool {
	h := c.holds[program]
	if h == nil {
		return false
	}
	sinceLastUse := h.tokenSeconds(now)
	c.usage.heldTokenSeconds += sinceLastUse
	c.usage.wastedTokenSeconds += sinceLastUse
	c.unpin(h.hashes)
	delete(c.holds, program)
	return true
}

// expireHolds releases the holds that have expired, as of the time of expiry.
func (c *cache) expireHolds(now time.Time) {
	for program, h := range c.holds {
		if now.After(h.expires) {
			c.releaseHold(program, h.expires)
		}
	}
}

// heldTokens returns the number of tokens in held blocks. A block that several holds share counts once.
func (c *cache) heldTokens() int {
	seen := make(map[uint64]struct{})
	for _, h := range c.holds {
		for _, hash := range h.hashes {
			seen[hash] = struct{}{}
		}
	}
	return len(seen) * blockTokens
}
