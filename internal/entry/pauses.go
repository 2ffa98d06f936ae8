package entry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// maxTools is the number of tools for which an entry keeps pause statistics.
const maxTools = 512

// pauseTracker measures how long programs pause between model calls and decides how long their cached prefixes are held.
type pauseTracker struct {
	byCost   bool // Whether hold times are decided by cost; otherwise every hold lasts for the fallback time.
	settings schedule.HoldSettings

	mu      sync.Mutex // Guards the fields below.
	stats   *schedule.PauseStats
	current map[string]pause // By program: the pause that it is in.
}

// pause is the time of a program between two model calls.
type pause struct {
	tool  string // Tool that the program waits for; "" if the answer named none.
	start time.Time
}

func newPauseTracker(byCost bool) *pauseTracker {
	return &pauseTracker{
		byCost:   byCost,
		settings: schedule.DefaultHoldSettings(),
		stats:    schedule.NewPauseStats(maxTools),
		current:  make(map[string]pause),
	}
}

// begin records the start of the program's pause for the tool. It returns how long the program's prefix of the given
// number of tokens is to be held at a server with the given load; zero means to release it. While the server's prefill
// rate is not known, the prefix is held for the fallback time.
func (p *pauseTracker) begin(program, tool string, prefixTokens int, load api.Load, fallback time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current[program] = pause{tool: tool, start: now}
	if !p.byCost || load.PrefillRate <= 0 {
		return fallback
	}
	decision := p.settings.Decide(schedule.HoldInput{
		Tokens:        prefixTokens,
		PrefillRate:   load.PrefillRate,
		CacheUsed:     load.CacheHeld,
		CacheCapacity: load.CacheCapacity,
		Pause:         p.stats.Forecast(tool),
	})
	if decision.Action != schedule.ActionHold {
		return 0
	}
	return decision.Hold
}

// end records the end of the program's pause in the tool's statistics.
func (p *pauseTracker) end(program string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended, ok := p.current[program]; ok {
		p.stats.Observe(ended.tool, now.Sub(ended.start))
		delete(p.current, program)
	}
}

// forget discards the pauses of programs that have ended or are no longer owned.
func (p *pauseTracker) forget(programs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range programs {
		delete(p.current, id)
	}
}

// forgetShardPrograms discards this entry's state of the programs in a journal that it no longer owns.
func (e *Entry) forgetShardPrograms(s *shard) {
	var programs []string
	for _, tree := range s.store.Trees() {
		programs = append(programs, tree.Programs()...)
	}
	e.fleet.forgetPrograms(programs)
	e.router.forget(programs)
	e.pauseTracker.forget(programs)
}

// adoptHeldPrefixes takes over the prefixes that a sidecar holds for programs which an earlier owner ran. Prefixes of active
// programs are held for the default time, as after a call. The others are released.
func (e *Entry) adoptHeldPrefixes(id string, held []string) {
	known := e.fleet.get(id)
	if known == nil {
		return
	}
	for _, p := range held {
		s := e.ownership.shard(program.JournalOf(p, e.settings.Journals))
		if s == nil || e.router.placement(p) != "" {
			continue
		}
		if !s.store.Active(p) {
			known.setHold(p, 0)
			continue
		}
		e.router.setPlacement(p, id)
		known.setHold(p, ms(e.settings.HoldMS))
	}
}

// firstToolName returns the name of the first tool that a model's answer calls, or "".
func firstToolName(calls json.RawMessage) string {
	var decoded []struct {
		Function struct {
			Name string `json:"name"`
		} `json:"function"`
	}
	if len(calls) == 0 || json.Unmarshal(calls, &decoded) != nil || len(decoded) == 0 {
		return ""
	}
	return decoded[0].Function.Name
}
