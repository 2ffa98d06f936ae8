package backend

import (
	"sort"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// unknownJournal stands for the journal of a program that was found on the engine.
const unknownJournal = -1

const (
	releaseRetryMin = 250 * time.Millisecond
	releaseRetryMax = 10 * time.Second
)

// Holds keeps the leases on the prefixes that the engine caches for programs. A lease that nobody renews lapses, and
// the program's memory is then released, again and again until the engine confirms it. It is safe for concurrent use.
type Holds struct {
	mu       sync.Mutex
	programs map[string]*hold // Under mu.
}

// hold is the lease of one program.
type hold struct {
	expires time.Time // The lease lapses then.
	// engineUntil is the end of the engine's own hold, as far as it was asked for.
	engineUntil time.Time
	journal     int  // unknownJournal after a restart, until a call comes.
	cached      bool // The engine may hold memory of the program.
	tokens      int  // Size of the prefix after the last call that ran.
	busy        int  // Calls of the program that are queued or running; memory is never released under them.
	ended       bool // The program has ended: no call of it begins a new lease.
	sending     bool // A release is under way.
	nextTry     time.Time
	failures    int
}

// NewHolds returns an empty Holds.
func NewHolds() *Holds { return &Holds{programs: make(map[string]*hold)} }

// Begin notes a call of the program, whose state is in the journal. Finish ends it.
func (h *Holds) Begin(program string, journal int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		p = &hold{}
		h.programs[program] = p
	}
	p.busy++
	p.journal = journal
}

// Ran notes that a call of the program has run, so that the engine may cache its prefix, and holds that until the given
// time; a time in the past has it released. It returns whether the engine is to be asked for the hold, which lasts until
// engineUntil. The call stays noted until Finish.
func (h *Holds) Ran(program string, until, engineUntil time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return false
	}
	p.cached = true
	p.nextTry, p.failures = time.Time{}, 0
	if p.ended {
		return false
	}
	p.expires, p.engineUntil = until, engineUntil
	return true
}

// SetTokens notes the size of the program's prefix, in tokens.
func (h *Holds) SetTokens(program string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.programs[program]; p != nil {
		p.tokens = tokens
	}
}

// Tokens returns the size of the prefixes of programs that run a call or have a lease, in tokens. An engine's own report
// counts what it keeps only until it needs the memory as well.
func (h *Holds) Tokens(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := 0
	for _, p := range h.programs {
		if p.busy > 0 || now.Before(p.expires) {
			total += p.tokens
		}
	}
	return total
}

// Finish ends what Begin or Renew began. Memory is released only after it.
func (h *Holds) Finish(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return
	}
	p.busy--
	if p.busy == 0 && !p.cached {
		delete(h.programs, program)
	}
}

// Renew extends the leases of the programs that are held here. It returns those for which the engine is to be asked
// again, until engineUntil, as its own hold would end before the lease; the caller calls Finish for each after that.
func (h *Holds) Renew(programs []string, until, engineUntil time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var renew []string
	for _, program := range programs {
		p := h.programs[program]
		if p == nil || p.sending || !p.cached || p.ended {
			continue
		}
		if until.After(p.expires) {
			p.expires = until
		}
		if p.engineUntil.Before(until) {
			p.engineUntil = engineUntil
			p.busy++
			renew = append(renew, program)
		}
	}
	return renew
}

// End lets the leases of ended programs lapse at once.
func (h *Holds) End(programs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, program := range programs {
		if p := h.programs[program]; p != nil {
			p.ended = true
			p.expires = time.Time{}
		}
	}
}

// Observe takes in the programs whose memory the engine reports. A program that is not known here, as after a restart
// of the sidecar, gets a lease until the given time, within which its owner may renew it.
func (h *Holds) Observe(programs []string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, program := range programs {
		if h.programs[program] == nil {
			h.programs[program] = &hold{expires: until, cached: true, journal: unknownJournal}
		}
	}
}

// Due returns the programs whose memory is to be released now and marks their release as under way.
func (h *Holds) Due(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []string
	for program, p := range h.programs {
		if p.busy > 0 || p.sending || !p.cached || now.Before(p.expires) || now.Before(p.nextTry) {
			continue
		}
		p.sending = true
		due = append(due, program)
	}
	return due
}

// Released ends a release that Due handed out. A failed one is due again after a pause that grows.
func (h *Holds) Released(program string, ok bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.programs[program]
	if p == nil {
		return
	}
	p.sending = false
	if p.busy == 0 && (!p.cached || ok) {
		delete(h.programs, program)
		return
	}
	if !ok {
		pause := min(releaseRetryMin<<min(p.failures, 6), releaseRetryMax)
		p.failures++
		p.nextTry = now.Add(pause)
	}
}

// Forget drops all leases of idle programs: the engine has lost its memory.
func (h *Holds) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for program, p := range h.programs {
		p.cached = false
		if p.busy == 0 && !p.sending {
			delete(h.programs, program)
		}
	}
}

// Held returns the programs in the journals, and those whose journal is not known, whose lease has not lapsed, sorted.
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
		if _, ok := wanted[p.journal]; ok && p.cached && !p.ended && (p.busy > 0 || now.Before(p.expires)) {
			held = append(held, program)
		}
	}
	sort.Strings(held)
	return held
}
