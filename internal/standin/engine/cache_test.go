package engine

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testCache returns a cache that discards its events.
func testCache(tokens int) *cache {
	return newCache(tokens, func(string, string, uint64) {})
}

// prompt returns a prompt of full blocks.
func prompt(fill byte, blocks int) []byte { return bytes.Repeat([]byte{fill}, blocks*blockBytes) }

func TestHashChainOfALongerPromptBeginsWithThatOfAShorter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		full := rapid.SliceOfN(rapid.Byte(), 0, 20*blockBytes).Draw(r, "prompt")
		cut := rapid.IntRange(0, len(full)).Draw(r, "cut")
		long, short := hashChain(full), hashChain(full[:cut])
		for i, hash := range short {
			if long[i] != hash {
				r.Fatalf("hash of block %d differs", i)
			}
		}
	})
}

func TestEvictionTakesTheLeastRecentlyUsedUnpinnedBlock(t *testing.T) {
	is := is.New(t)
	c := testCache(4 * blockTokens)
	a, b := hashChain(prompt('a', 2)), hashChain(prompt('b', 2))
	c.unpin(c.pin(a, ""))
	c.unpin(c.pin(b, ""))
	is.Equal(c.matchPrefix(a), 2) // makes the blocks of a recently used
	c.unpin(c.pin(hashChain(prompt('c', 2)), ""))
	is.Equal(c.matchPrefix(a), 2)
	is.Equal(c.matchPrefix(b), 0)
	is.True(c.setHold("p", a, time.Now(), time.Hour))
	is.Equal(len(c.pin(hashChain(prompt('d', 9)), "")), 2) // held blocks are not evicted
	is.Equal(c.matchPrefix(a), 2)
}

func TestHeldAndWastedTokenSeconds(t *testing.T) {
	is := is.New(t)
	c := testCache(100 * blockTokens)
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	hashes := hashChain(prompt('a', 2)) // 32 tokens
	c.setHold("reused", hashes, at(0), time.Minute)
	c.recordUse("reused", at(10)) // the 10 s before this use are not wasted
	is.Equal(c.usage, holdUsage{heldTokenSeconds: 320})
	c.releaseHold("reused", at(13)) // the 3 s after the last use are wasted
	is.Equal(c.usage, holdUsage{heldTokenSeconds: 416, wastedTokenSeconds: 96})
	is.True(!c.releaseHold("reused", at(14)))
	is.Equal(c.heldTokens(), 0)

	c.setHold("lapsed", hashes, at(20), 5*time.Second)
	is.True(c.setHold("lapsed", nil, at(24), 5*time.Second)) // expires at 29
	c.expireHolds(at(28))
	is.Equal(c.heldTokens(), 32)
	c.expireHolds(at(100))
	is.Equal(c.heldTokens(), 0)
	is.Equal(c.usage, holdUsage{heldTokenSeconds: 416 + 9*32, wastedTokenSeconds: 96 + 9*32}) // counted up to the expiry, not up to the check
	is.True(!c.setHold("lapsed", nil, at(101), time.Minute))
}

func TestEveryPinIsReleased(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := testCache(6 * blockTokens)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			program := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(r, "program")
			hashes := hashChain(prompt(program[0], rapid.IntRange(1, 5).Draw(r, "blocks")))
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"hold", "release", "lapse", "run"}).Draw(r, "action") {
			case "hold":
				c.setHold(program, hashes, now, 5*time.Second)
			case "release":
				c.releaseHold(program, now)
			case "lapse":
				c.expireHolds(now)
			case "run":
				c.unpin(c.pin(hashes, program))
			}
			if len(c.blocks) > c.capacity || len(c.blocks) != c.lru.Len() {
				r.Fatalf("%d blocks, %d in the LRU list, capacity %d", len(c.blocks), c.lru.Len(), c.capacity)
			}
		}
		c.expireHolds(now.Add(time.Hour))
		for _, b := range c.blocks {
			if b.pins != 0 {
				r.Fatalf("block has %d pins after every hold expired", b.pins)
			}
		}
	})
}

func TestSlotsGoToHigherPriorityThenEarlierArrival(t *testing.T) {
	is := is.New(t)
	s := &Server{options: Options{Slots: 2}, cache: testCache(1024), lastPrefixes: make(map[string][]uint64)}
	for i, priority := range []int{1, 5, 3, 5} {
		s.waiting = append(s.waiting, &sequence{priority: priority, arrival: uint64(i), tokens: make(chan string)})
	}
	s.admitWaiting()
	is.Equal(len(s.running), 2)
	is.Equal([]uint64{s.running[0].arrival, s.running[1].arrival}, []uint64{1, 3})
	s.finish(s.running[0], finishStop)
	s.admitWaiting()
	is.Equal(s.running[1].arrival, uint64(2))
	is.Equal(len(s.waiting), 1)
}
