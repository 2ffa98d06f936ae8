package backend

import (
	"github.com/redwinggauge/redwinggauge/internal/api"
)

// maxOlderCalls bounds the number of calls that OlderCalls returns.
const maxOlderCalls = 1024

// OlderCalls returns the calls of the given journals whose fencing number is lower than the given one: an earlier owner
// requested them and no later owner has. It omits calls that ended with a code that proves that they did not run.
func (l *Ledger) OlderCalls(fences []api.Fence) []api.CallSummary {
	wanted := make(map[int]uint64)
	for _, f := range fences {
		if l.takeLowestBelow(f) {
			wanted[f.Journal] = f.Number
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	lowest := make(map[int]uint64, len(wanted))
	var out []api.CallSummary
	for i := range l.shards {
		out = l.shards[i].appendOlder(wanted, lowest, out)
	}
	for journal, number := range lowest {
		l.recordFence(journal, number)
	}
	return out
}

// appendOlder appends the shard's older calls to out. wanted maps each journal to the fencing number below which a call
// is older; lowest is updated with the lowest fencing number of the calls of each of these journals.
func (s *shard) appendOlder(wanted, lowest map[int]uint64, out []api.CallSummary) []api.CallSummary {
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

// takeLowestBelow reports whether the lower bound of the fence's journal is below the fence's number, and removes the
// bound if so. The caller then scans the calls and records a new bound; until then, a concurrent OlderCalls skips the
// journal.
func (l *Ledger) takeLowestBelow(f api.Fence) bool {
	l.lowestFencesMu.Lock()
	defer l.lowestFencesMu.Unlock()
	lowest, ok := l.lowestFences[f.Journal]
	if !ok || lowest >= f.Number {
		return false
	}
	delete(l.lowestFences, f.Journal)
	return true
}

// recordFence lowers the journal's lower bound to the number if that is lower.
func (l *Ledger) recordFence(journal int, number uint64) {
	l.lowestFencesMu.Lock()
	defer l.lowestFencesMu.Unlock()
	if lowest, ok := l.lowestFences[journal]; !ok || number < lowest {
		l.lowestFences[journal] = number
	}
}
