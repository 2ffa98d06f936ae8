package backend

import (
	"sort"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// unknownJournal is the journal of a program that is known only from the engine's report.
const unknownJournal = -1

// Limits of the exponential backoff between attempts to release a program's memory.
const (
	releaseRetryMin = 250 * time.Millisecond
	releaseRetryMax = 10 * time.Second
)

// Holds manages the leases on the prompt prefixes that the engine caches for programs. When a lease expires without
// renewal, the program's cache memory is due for release, and the release is retried until the engine confirms it. It is
// safe for concurrent use.
type Holds struct {
	mu       sync.Mutex
	programs map[string]*hold // Under mu.
}

// hold is the lease on the cached prefix of one program.
type hold struct {
	expires time.Time // End of the lease.
	// engineExpires is the end of the hold that was last requested from the engine.
	engineExpires   time.Time
	journal         int       // Journal of the program; unknownJournal after a restart, until the program's next call.
	cached          bool      // The engine may have a cached prefix of the program.
	tokens          int       // Size of the prefix after the last call that ran, in tokens.
	pins            int       // Queued or running calls, and hold requests to the engine. Pinned memory is never released.
	ended           bool      // The program has ended: its calls start no new lease.
	releasing       bool      // A release is in progress.
	retryAt         time.Time // Earliest time of the next release attempt after a failed one.
	releaseFailures int       // Failed releases in a row.
}

// NewHolds returns a Holds without leases.
func NewHolds() *Holds { return &Holds{programs: make(map[string]*hold)} }

// Pin prevents the release of the program's memory until the matching Unpin, for the time that a call of the program is
// queued or runs. journal is the number of the journal that stores the program's state.
func (h *Holds) Pin(program string, journal int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		p = &hold{}
		h.programs[program] = p
	}
	p.pins++
	p.journal = journal
}

// RecordRun records that a call of the program has run, so the engine may have cached its prefix. It sets the lease to
// end at expires; a time in the past makes the memory due for release. It returns whether the caller should request a
// hold from the engine that lasts until engineExpires. The call's pin stays until Unpin.
func (h *Holds) RecordRun(program string, expires, engineExpires time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return false
	}
	p.cached = true
	p.retryAt, p.releaseFailures = time.Time{}, 0
	if p.ended {
		return false
	}
	p.expires, p.engineExpires = expires, engineExpires
	return true
}

// SetTokens sets the size of the program's prefix, in tokens.
func (h *Holds) SetTokens(program string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.programs[program]; p != nil {
		p.tokens = tokens
	}
}

// Tokens returns the total size of the prefixes of programs that are pinned or have a lease, in tokens. The engine's own
// report also counts prefixes that it keeps only until it needs the memory.
func (h *Holds) Tokens(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := 0
	for _, p := range h.programs {
		if p.pins > 0 || now.Before(p.expires) {
			total += p.tokens
		}
	}
	return total
}

// Unpin removes a pin that Pin or Renew set. The program's memory is released only after its last pin is removed.
func (h *Holds) Unpin(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return
	}
	p.pins--
	if p.pins == 0 && !p.cached {
		delete(h.programs, program)
	}
}

// Renew extends the leases of the programs whose prefix is cached here until expires. It returns the programs for which
// the caller must request a hold until engineExpires from the engine, because the engine's hold would otherwise end
// before the lease. Renew pins each of these; the caller calls Unpin after its request to the engine. Programs that
// have ended or are being released are not renewed.
func (h *Holds) Renew(programs []string, expires, engineExpires time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var renew []string
	for _, program := range programs {
		p := h.programs[program]
		if p == nil || p.releasing || !p.cached || p.ended {
			continue
		}
		if expires.After(p.expires) {
			p.expires = expires
		}
		if p.engineExpires.Before(expires) {
			p.engineExpires = engineExpires
			p.pins++
			renew = append(renew, program)
		}
	}
	return renew
}

// EndPrograms records that the given programs have ended and ends their leases, which cannot be renewed afterwards.
func (h *Holds) EndPrograms(programs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, program := range programs {
		if p := h.programs[program]; p != nil {
			p.ended = true
			p.expires = time.Time{}
		}
	}
}

// AddUnknown adds the programs that are not known yet, from the engine's report of the programs whose prefix it caches.
// Programs are unknown after a restart of the sidecar. Each gets a lease until expires, which the owner of its journal
// can renew.
func (h *Holds) AddUnknown(programs []string, expires time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, program := range programs {
		if h.programs[program] == nil {
			h.programs[program] = &hold{expires: expires, cached: true, journal: unknownJournal}
		}
	}
}

// StartReleases returns the programs whose memory is to be released now, and marks them as being released. The caller
// reports each result with FinishRelease.
func (h *Holds) StartReleases(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []string
	for program, p := range h.programs {
		if p.pins > 0 || p.releasing || !p.cached || now.Before(p.expires) || now.Before(p.retryAt) {
			continue
		}
		p.releasing = true
		due = append(due, program)
	}
	return due
}

// FinishRelease reports the result of a release that StartReleases returned; ok means that the engine confirmed it. A
// failed release is retried with exponential backoff.
func (h *Holds) FinishRelease(program string, ok bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return
	}
	p.releasing = false
	if p.pins == 0 && (!p.cached || ok) {
		delete(h.programs, program)
		return
	}
	if !ok {
		backoff := min(releaseRetryMin<<min(p.releaseFailures, 6), releaseRetryMax)
		p.releaseFailures++
		p.retryAt = now.Add(backoff)
	}
}

// Invalidate records that the engine has lost its cache. It marks all prefixes as not cached, and drops the leases of the
// programs that are neither pinned nor being released.
func (h *Holds) Invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for program, p := range h.programs {
		p.cached = false
		if p.pins == 0 && !p.releasing {
			delete(h.programs, program)
		}
	}
}

// Held returns the programs with a cached prefix that are pinned or have a lease and have not ended, sorted. It includes
// only programs in the given journals and those whose journal is unknown.
func (h *Holds) Held(now time.Time, journals []api.Fence) []string {
	wanted := make(map[int]struct{}, len(journals)+1)
	wanted[unknownJournal] = struct{}{}
	for _, f := range journals {
		wanted[f.Journal] = struct{}{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var held []string
	for program, p := range h.programs {
		if _, ok := wanted[p.journal]; ok && p.cached && !p.ended && (p.pins > 0 || now.Before(p.expires)) {
			held = append(held, program)
		}
	}
	sort.Strings(held)
	return held
}
