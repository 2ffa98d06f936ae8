package engine

import (
	"cmp"
	"slices"
	"time"
)

const (
	prefillChunkTokens = 2048 // Tokens of prefill in one step.
	batchSlowdown      = 0.02 // Share by which each further sequence lengthens a step.
	idlePoll           = 200 * time.Millisecond
	minSleep           = 500 * time.Microsecond
	maxDebt            = 50 * time.Millisecond // Lateness that later steps make up for.
)

// Finish reasons of a sequence.
const (
	finishStop   = "stop"
	finishLength = "length"
	finishTools  = "tool_calls"
	finishAbort  = "abort"
)

// sequence is one request. The engine's lock guards every field but those set at creation and the channel.
type sequence struct {
	id       string
	program  string
	priority int
	arrival  uint64
	plan     plan
	history  []byte // Canonical form of the messages.
	prompt   []byte // The history, followed by the text that the answer resumes.
	resumed  string

	tokens  chan string // Closed at the end; roomy enough for every token.
	finish  string      // Set before tokens is closed.
	emitted int
	prefill int // Tokens of prompt still to compute.
	cached  int // Tokens of prompt found in the cache.
	pinned  []uint64
	ended   bool
}

// run steps the engine until it stops.
func (s *Server) run() {
	next := time.Now()
	for {
		if !s.awaitThaw() {
			return
		}
		s.mu.Lock()
		s.cache.lapse(time.Now())
		s.admit()
		crash := slices.ContainsFunc(s.running, func(q *sequence) bool { return q.plan.crash })
		cost := s.stepCost()
		s.mu.Unlock()
		if crash {
			s.crash()
			return
		}
		if cost == 0 {
			if !s.awaitWork() {
				return
			}
			next = time.Now()
			continue
		}
		if oldest := time.Now().Add(-maxDebt); next.Before(oldest) {
			next = oldest
		}
		next = next.Add(cost)
		if wait := time.Until(next); wait > minSleep {
			time.Sleep(wait)
		}
		s.step()
	}
}

// awaitThaw waits out a freeze. False means that the engine has stopped.
func (s *Server) awaitThaw() bool {
	for {
		left := s.frozenFor()
		if left <= 0 {
			break
		}
		select {
		case <-s.stop:
			return false
		case <-time.After(left):
		}
	}
	select {
	case <-s.stop:
		return false
	default:
		return true
	}
}

// awaitWork waits for a request, or until holds must be looked at again. False means that the engine has stopped.
func (s *Server) awaitWork() bool {
	select {
	case <-s.stop:
		return false
	case <-s.wake:
	case <-time.After(idlePoll):
	}
	return true
}

// admit moves waiting sequences into free slots, those of higher priority first. The caller holds mu.
func (s *Server) admit() {
	for len(s.running) < s.options.Slots && len(s.waiting) > 0 {
		best := 0
		for i, q := range s.waiting {
			if before(q, s.waiting[best]) {
				best = i
			}
		}
		q := s.waiting[best]
		s.waiting = slices.Delete(s.waiting, best, best+1)
		s.startSequence(q)
	}
}

func before(a, b *sequence) bool {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival)) < 0
}

// startSequence looks up the prompt's cached prefix and begins its prefill. The caller holds mu.
func (s *Server) startSequence(q *sequence) {
	hashes := hashChain(q.prompt)
	matched := s.cache.match(hashes)
	if matched > 0 {
		s.cache.used(q.program, time.Now())
	}
	total := countTokens(len(q.prompt))
	q.cached = matched * blockTokens
	q.prefill = total - q.cached
	q.pinned = s.cache.pin(hashes, q.program)
	s.totals.PrefillTokens += int64(q.prefill)
	s.totals.CachedTokens += int64(q.cached)
	s.running = append(s.running, q)
}

// stepCost returns how long the next step takes; 0 means that nothing runs. The caller holds mu.
func (s *Server) stepCost() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	seconds := (1 + batchSlowdown*float64(len(s.running)-1)) / s.options.DecodeTokensPerSecond
	left := prefillChunkTokens
	for _, q := range s.running {
		n := min(left, q.prefill)
		left -= n
	}
	seconds += float64(prefillChunkTokens-left) / s.options.PrefillTokensPerSecond
	faults, _ := s.faults.Get()
	if faults.SlowFactor > 0 {
		seconds *= faults.SlowFactor
	}
	return time.Duration(seconds / s.options.TimeScale * float64(time.Second))
}

// step gives each running sequence its share of the prefill or its next token.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := prefillChunkTokens
	for _, q := range slices.Clone(s.running) {
		if q.prefill > 0 {
			n := min(left, q.prefill)
			left -= n
			q.prefill -= n
			continue
		}
		s.emit(q)
	}
}

// emit sends one token and ends the sequence after its last. The caller holds mu.
func (s *Server) emit(q *sequence) {
	if q.emitted < len(q.plan.words) {
		q.tokens <- q.plan.words[q.emitted]
		q.emitted++
		s.totals.DecodedTokens++
	}
	if q.emitted == len(q.plan.words) {
		s.end(q, q.naturalFinish())
	}
}

func (q *sequence) naturalFinish() string {
	switch {
	case q.plan.tool != "":
		return finishTools
	case q.plan.cut:
		return finishLength
	default:
		return finishStop
	}
}

// end takes a sequence out of the engine and keeps its prefix in the cache. The caller holds mu.
func (s *Server) end(q *sequence, finish string) {
	if q.ended {
		return
	}
	q.ended, q.finish = true, finish
	remove := func(other *sequence) bool { return other == q }
	s.running = slices.DeleteFunc(s.running, remove)
	s.waiting = slices.DeleteFunc(s.waiting, remove)
	s.keepPrefix(q)
	close(q.tokens)
}

// keepPrefix caches the prompt with the answer as the next turn will send them, and extends the program's hold to
// them. The caller holds mu.
func (s *Server) keepPrefix(q *sequence) {
	if q.finish != finishAbort && q.plan.tool == "" {
		whole := append([]byte(nil), q.history...)
		whole = append(whole, "assistant\x00"...)
		whole = append(whole, q.resumed...)
		for _, word := range q.plan.words {
			whole = append(whole, word...)
		}
		s.extend(q, hashChain(append(whole, 1)))
	}
	s.cache.unpin(q.pinned)
	q.pinned = nil
}

// extend pins a longer prefix in place of the sequence's and remembers it as its program's. The caller holds mu.
func (s *Server) extend(q *sequence, hashes []uint64) {
	pinned := s.cache.pin(hashes, q.program)
	s.cache.unpin(q.pinned)
	q.pinned = pinned
	if q.program == "" {
		return
	}
	s.remember(q.program, pinned)
	now := time.Now()
	if h := s.cache.holds[q.program]; h != nil {
		s.cache.hold(q.program, pinned, now, h.until.Sub(now))
	}
}

// remember keeps the prefix of a program for holds and exports, and forgets another when there are many. The caller
// holds mu.
func (s *Server) remember(program string, hashes []uint64) {
	if len(s.prefixes) >= maxKnownPrefixes {
		for other := range s.prefixes {
			delete(s.prefixes, other)
			break
		}
	}
	s.prefixes[program] = hashes
}
