package entry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// maxTools is how many tools an entry keeps the pause times of.
const maxTools = 512

// pauses observes how long programs pause between model calls and decides how long their prefixes are held.
type pauses struct {
	byCost   bool // Whether holds are decided by cost; otherwise every hold lasts for the fallback.
	settings schedule.HoldSettings

	mu    sync.Mutex // Guards the fields below.
	stats *schedule.PauseStats
	open  map[string]pause // Programs between two model calls.
}

// pause is a program's time between two model calls.
type pause struct {
	tool  string // Tool that the program waits for; "" when the answer named none.
	began time.Time
}

func newPauses(byCost bool) *pauses {
	return &pauses{
		byCost:   byCost,
		settings: schedule.DefaultHoldSettings(),
		stats:    schedule.NewPauseStats(maxTools),
		open:     make(map[string]pause),
	}
}

// begin notes that the program waits for a tool and returns the hold of its prefix, which cost prefix tokens to compute,
// at a server with the load. Zero means to release it. A server whose rate of prefill is not known yet holds it for the
// fallback.
func (p *pauses) begin(program, tool string, prefix int, load api.Load, fallback time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[program] = pause{tool: tool, began: now}
	if !p.byCost || load.PrefillRate <= 0 {
		return fallback
	}
	decision := p.settings.Decide(schedule.HoldInput{
		Tokens:        prefix,
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

// end notes that the program's pause is over.
func (p *pauses) end(program string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open, ok := p.open[program]; ok {
		p.stats.Observe(open.tool, now.Sub(open.began))
		delete(p.open, program)
	}
}

// forget drops programs that have ended.
func (p *pauses) forget(programs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range programs {
		delete(p.open, id)
	}
}

// forgetShard drops what this entry noted of the programs of a journal that it no longer owns.
func (e *Entry) forgetShard(s *shard) {
	var programs []string
	for _, tree := range s.store.Trees() {
		programs = append(programs, tree.Programs()...)
	}
	e.fleet.forget(programs)
	e.router.forget(programs)
	e.pauses.forget(programs)
}

// adoptHeld takes charge of the prefixes that a sidecar holds of programs which an earlier owner ran: those of programs
// under way are held as after a call, the others released.
func (e *Entry) adoptHeld(id string, held []string) {
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
			known.adopt(p, 0)
			continue
		}
		e.router.place(p, id)
		known.adopt(p, ms(e.settings.HoldMS))
	}
}

// toolOf returns the name of the first tool that a model's answer calls, or "".
func toolOf(calls json.RawMessage) string {
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
