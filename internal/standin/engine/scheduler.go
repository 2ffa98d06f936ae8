package engine

import (
	"cmp"
	"slices"
	"time"
)

const (
	prefillChunkTokens = 2048 // Maximum number of prompt tokens computed in one step, over all sequences.
	batchSlowdown      = 0.02 // Fraction by which each further running sequence lengthens a step.
	idlePollInterval   = 200 * time.Millisecond
	minSleep           = 500 * time.Microsecond
	maxCatchUp         = 50 * time.Millisecond // Maximum delay that later steps catch up on.
)

// Finish reasons of a sequence.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishToolCalls = "tool_calls"
	finishAbort     = "abort"
)

// sequence is the processing of one request. Server.mu guards every field except the channel and those set at creation.
type sequence struct {
	id         string
	program    string
	priority   int
	arrival    uint64
	plan       answerPlan
	history    []byte // Canonical encoding of the messages.
	prompt     []byte // The history, followed by the text after which the answer resumes.
	resumeText string

	tokens           chan string // Buffers every token of the answer, so that sending never blocks. Closed when the sequence ends.
	finishReason     string      // Set before tokens is closed.
	emitted          int
	prefillRemaining int // Prompt tokens still to compute.
	cachedTokens     int // Prompt tokens found in the cache.
	pinned           []uint64
	ended            bool
}

// run executes steps until the engine stops.
func (s *Server) run() {
	next := time.Now()
	for {
		if !s.waitWhileFrozen() {
			return
		}
		s.mu.Lock()
		s.cache.expireHolds(time.Now())
		s.admitWaiting()
		crash := slices.ContainsFunc(s.running, func(q *sequence) bool { return q.plan.crashes })
		duration := s.stepDuration()
		s.mu.Unlock()
		if crash {
			s.crash()
			return
		}
		if duration == 0 {
			if !s.waitForWork() {
				return
			}
			next = time.Now()
			continue
		}
		if oldest := time.Now().Add(-maxCatchUp); next.Before(oldest) {
			next = oldest
		}
		next = next.Add(duration)
		if wait := time.Until(next); wait > minSleep {
			time.Sleep(wait)
		}
		s.step()
	}
}

// waitWhileFrozen waits until no freeze is in effect. It returns false if the engine has stopped.
func (s *Server) waitWhileFrozen() bool {
	for {
		left := s.remainingFreeze()
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

// waitForWork waits for a request, or until holds must be checked for expiry again. It returns false if the engine has
// stopped.
func (s *Server) waitForWork() bool {
	select {
	case <-s.stop:
		return false
	case <-s.wake:
	case <-time.After(idlePollInterval):
	}
	return true
}

// admitWaiting moves waiting sequences into free slots, in the order of runsBefore. The caller holds mu.
func (s *Server) admitWaiting() {
	for len(s.running) < s.options.Slots && len(s.waiting) > 0 {
		best := 0
		for i, q := range s.waiting {
			if runsBefore(q, s.waiting[best]) {
				best = i
			}
		}
		q := s.waiting[best]
		s.waiting = slices.Delete(s.waiting, best, best+1)
		s.startSequence(q)
	}
}

// runsBefore orders sequences by descending priority, then by arrival.
func runsBefore(a, b *sequence) bool {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival)) < 0
}

// startSequence looks up the cached prefix of the prompt, pins the blocks of the prompt and starts the sequence. The
// caller holds mu.
func (s *Server) startSequence(q *sequence) {
	hashes := hashChain(q.prompt)
	matched := s.cache.matchPrefix(hashes)
	if matched > 0 {
		s.cache.recordUse(q.program, time.Now())
	}
	total := countTokens(len(q.prompt))
	q.cachedTokens = matched * blockTokens
	q.prefillRemaining = total - q.cachedTokens
	q.pinned = s.cache.pin(hashes, q.program)
	s.totals.PrefillTokens += int64(q.prefillRemaining)
	s.totals.CachedTokens += int64(q.cachedTokens)
	s.running = append(s.running, q)
}

// stepDuration returns the simulated duration of the next step, or 0 if no sequence is running. The caller holds mu.
func (s *Server) stepDuration() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	seconds := (1 + batchSlowdown*float64(len(s.running)-1)) / s.options.DecodeTokensPerSecond
	left := prefillChunkTokens
	for _, q := range s.running {
		n := min(left, q.prefillRemaining)
		left -= n
	}
	seconds += float64(prefillChunkTokens-left) / s.options.PrefillTokensPerSecond
	faults, _ := s.faults.Get()
	if faults.SlowFactor > 0 {
		seconds *= faults.SlowFactor
	}
	return time.Duration(seconds / s.options.TimeScale * float64(time.Second))
}

// step computes part of the prompt of each running sequence, up to prefillChunkTokens in total, or generates its next
// token if its prompt is computed.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := prefillChunkTokens
	for _, q := range slices.Clone(s.running) {
		if q.prefillRemaining > 0 {
			n := min(left, q.prefillRemaining)
			left -= n
			q.prefillRemaining -= n
			continue
		}
		s.emit(q)
	}
}

// emit sends the next token and ends the sequence after the last one. The caller holds mu.
func (s *Server) emit(q *sequence) {
	if q.emitted < len(q.plan.tokens) {
		q.tokens <- q.plan.tokens[q.emitted]
		q.emitted++
		s.totals.DecodedTokens++
	}
	if q.emitted == len(q.plan.tokens) {
		s.finish(q, q.completedReason())
	}
}

// completedReason returns the finish reason of a sequence that generated its whole answer.
func (q *sequence) completedReason() string {
	switch {
	case q.plan.toolName != "":
		return finishToolCalls
	case q.plan.truncated:
		return finishLength
	default:
		return finishStop
	}
}

// finish ends a sequence: it removes the sequence from the engine and leaves its prefix in the cache. The caller holds
// mu.
func (s *Server) finish(q *sequence, reason string) {
	if q.ended {
		return
	}
	q.ended, q.finishReason = true, reason
	remove := func(other *sequence) bool { return other == q }
	s.running = slices.DeleteFunc(s.running, remove)
	s.waiting = slices.DeleteFunc(s.waiting, remove)
	s.cachePrefix(q)
	close(q.tokens)
}

// cachePrefix unpins the blocks of a sequence that ended. Unless it was aborted or called a tool, cachePrefix first caches
// the prompt followed by the answer, as the next turn will send them, and extends the program's hold to them. The caller
// holds mu.
func (s *Server) cachePrefix(q *sequence) {
	if q.finishReason != finishAbort && q.plan.toolName == "" {
		turn := append([]byte(nil), q.history...)
		turn = append(turn, "assistant\x00"...)
		turn = append(turn, q.resumeText...)
		for _, token := range q.plan.tokens {
			turn = append(turn, token...)
		}
		s.extendPrefix(q, hashChain(append(turn, 1)))
	}
	s.cache.unpin(q.pinned)
	q.pinned = nil
}

// extendPrefix pins a longer prefix in place of the pinned blocks of the sequence and records it as the prefix of its
// program. The caller holds mu.
func (s *Server) extendPrefix(q *sequence, hashes []uint64) {
	pinned := s.cache.pin(hashes, q.program)
	s.cache.unpin(q.pinned)
	q.pinned = pinned
	if q.program == "" {
		return
	}
	s.recordPrefix(q.program, pinned)
	now := time.Now()
	if h := s.cache.holds[q.program]; h != nil {
		s.cache.setHold(q.program, pinned, now, h.expires.Sub(now))
	}
}

// recordPrefix records the prefix of a program for holds and exports. It first discards the prefix of an arbitrary program
// if maxRecordedPrefixes are recorded. The caller holds mu.
func (s *Server) recordPrefix(program string, hashes []uint64) {
	if len(s.lastPrefixes) >= maxRecordedPrefixes {
		for other := range s.lastPrefixes {
			delete(s.lastPrefixes, other)
			break
		}
	}
	s.lastPrefixes[program] = hashes
}
