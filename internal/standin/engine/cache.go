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

// block is one block of cached prefix.
type block struct {
	hash  uint64
	pins  int           // Running sequences and holds that need it.
	place *list.Element // In the cache's order of use.
}

// cache is a prefix cache of limited size. The engine's lock guards it.
type cache struct {
	capacity int // Blocks.
	blocks   map[uint64]*block
	order    *list.List // Blocks, the least recently used first.
	holds    map[string]*hold
	usage    usage
	log      func(kind, program string, hash uint64)
}

// hold keeps a program's prefix in memory until it lapses or is released.
type hold struct {
	hashes []uint64
	until  time.Time
	since  time.Time // When the program last used the prefix.
}

// usage is memory multiplied by time, in token seconds.
type usage struct {
	held   float64 // Closed intervals between uses of held prefixes.
	wasted float64 // Of these, intervals that ended without another use.
}

func newCache(tokens int, log func(kind, program string, hash uint64)) *cache {
	return &cache{
		capacity: tokens / blockTokens,
		blocks:   make(map[uint64]*block),
		order:    list.New(),
		holds:    make(map[string]*hold),
		log:      log,
	}
}

// hashChain returns the hash of each full block of the prompt; each covers everything before it.
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

// match returns how many leading blocks are cached and marks them as used.
func (c *cache) match(hashes []uint64) int {
	for i, hash := range hashes {
		b := c.blocks[hash]
		if b == nil {
			return i
		}
		c.order.MoveToBack(b.place)
	}
	return len(hashes)
}

// pin adds the blocks, keeps them in memory and returns those that fit.
func (c *cache) pin(hashes []uint64, program string) []uint64 {
	for i, hash := range hashes {
		b := c.blocks[hash]
		if b == nil {
			if b = c.add(hash, program); b == nil {
				return hashes[:i]
			}
		}
		b.pins++
		c.order.MoveToBack(b.place)
	}
	return hashes
}

// add stores a block after making room. It returns nil when every block is pinned.
func (c *cache) add(hash uint64, program string) *block {
	if len(c.blocks) >= c.capacity && !c.evict() {
		return nil
	}
	b := &block{hash: hash}
	b.place = c.order.PushBack(b)
	c.blocks[hash] = b
	c.log(eventStored, program, hash)
	return b
}

// evict removes the least recently used block that is not pinned.
func (c *cache) evict() bool {
	for e := c.order.Front(); e != nil; e = e.Next() {
		b := e.Value.(*block)
		if b.pins > 0 {
			continue
		}
		c.order.Remove(e)
		delete(c.blocks, b.hash)
		c.log(eventEvicted, "", b.hash)
		return true
	}
	return false
}

func (c *cache) unpin(hashes []uint64) {
	for _, hash := range hashes {
		if b := c.blocks[hash]; b != nil {
			b.pins--
		}
	}
}

// used closes the interval of a program's hold because a call uses it again.
func (c *cache) used(program string, now time.Time) {
	if h := c.holds[program]; h != nil {
		c.usage.held += h.tokenSeconds(now)
		h.since = now
	}
}

func (h *hold) tokenSeconds(now time.Time) float64 {
	return float64(len(h.hashes)*blockTokens) * now.Sub(h.since).Seconds()
}

// hold replaces a program's hold by one of the hashes; nil hashes renew the hold of what is held.
func (c *cache) hold(program string, hashes []uint64, now time.Time, ttl time.Duration) bool {
	h := c.holds[program]
	if hashes == nil {
		if h != nil {
			h.until = now.Add(ttl)
		}
		return h != nil
	}
	pinned := c.pin(hashes, program)
	if h == nil {
		h = &hold{since: now}
		c.holds[program] = h
	} else {
		c.usage.held += h.tokenSeconds(now)
		c.unpin(h.hashes)
		h.since = now
	}
	h.hashes, h.until = pinned, now.Add(ttl)
	return true
}

// release ends a program's hold: the memory since its last use was wasted.
func (c *cache) release(program string, now time.Time) bool {
	h := c.holds[program]
	if h == nil {
		return false
	}
	spent := h.tokenSeconds(now)
	c.usage.held += spent
	c.usage.wasted += spent
	c.unpin(h.hashes)
	delete(c.holds, program)
	return true
}

// lapse ends the holds whose time is over.
func (c *cache) lapse(now time.Time) {
	for program, h := range c.holds {
		if now.After(h.until) {
			c.release(program, h.until)
		}
	}
}

// heldTokens returns the tokens of all blocks that holds keep in memory, shared ones once.
func (c *cache) heldTokens() int {
	seen := make(map[uint64]struct{})
	for _, h := range c.holds {
		for _, hash := range h.hashes {
			seen[hash] = struct{}{}
		}
	}
	return len(seen) * blockTokens
}
