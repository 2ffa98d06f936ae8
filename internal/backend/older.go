package backend

import (
	"github.com/redwinggauge/redwinggauge/internal/api"
)

// maxOlderCalls bounds the calls that one answer of Older lists.
const maxOlderCalls = 1024

// Older lists the calls that were begun under a lower fencing number than the given ones and that no later owner has
// asked for: queued, running, or ended in an outcome.
func (l *Ledger) Older(fences []api.Fence) []api.CallSummary {
	wanted := make(map[int]uint64)
	for _, f := range fences {
		if l.takeLowest(f) {
			wanted[f.Journal] = f.Number
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	lowest := make(map[int]uint64, len(wanted))
	var out []api.CallSummary
	for i := range l.shards {
		out = l.shards[i].older(wanted, lowest, out)
	}
	for journal, number := range lowest {
		l.noteFence(journal, number)
	}
	return out
}

// older appends the shard's older calls and lowers the lowest numbers seen.
func (s *shard) older(wanted, lowest map[int]uint64, out []api.CallSummary) []api.CallSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, rec := range s.records {
		if rec.call == nil {
			continue
		}
		journal := rec.call.Request.Fence.Journal
		number, ok := wanted[journal]
		if !ok {
			continue
		}
		rec.call.mu.Lock()
		fence, state, code := rec.call.fence, rec.call.state, rec.call.code
		rec.call.mu.Unlock()
		if known, ok := lowest[journal]; !ok || fence < known {
			lowest[journal] = fence
		}
		if fence >= number || len(out) >= maxOlderCalls || state == Ended && code.SafeToResend() {
			continue
		}
		summary := api.CallSummary{CallID: id, Attempt: rec.call.Request.Attempt, State: api.SettleRunning}
		if state == Ended {
			summary.State = api.SettleFinished
		}
		out = append(out, summary)
	}
	return out
}

// takeLowest removes the lowest number known of the fence's journal and reports whether it was below the fence's; it
// stays when it was not. Until the scan that follows is over, another one finds nothing.
func (l *Ledger) takeLowest(f api.Fence) bool {
	l.lowestMu.Lock()
	defer l.lowestMu.Unlock()
	lowest, ok := l.lowest[f.Journal]
	if !ok || lowest >= f.Number {
		return false
	}
	delete(l.lowest, f.Journal)
	return true
}

// noteFence lowers the lowest number known of the journal.
func (l *Ledger) noteFence(journal int, number uint64) {
	l.lowestMu.Lock()
	defer l.lowestMu.Unlock()
	if lowest, ok := l.lowest[journal]; !ok || number < lowest {
		l.lowest[journal] = number
	}
}
