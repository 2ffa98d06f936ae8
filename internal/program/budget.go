package program

import "github.com/redwinggauge/redwinggauge/internal/api"

// BytesPerToken is the size of prompt text that is charged as one token.
const BytesPerToken = 4

// PromptTokens returns the tokens charged for messages that a call adds to the history.
func PromptTokens(messages []api.Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += messageBytes(m)
	}
	return (bytes + BytesPerToken - 1) / BytesPerToken
}

// available returns the tokens of the budget that neither calls nor other reservations have taken. The tree's lock is
// held.
func (t *Tree) available(p *Program) int {
	free := t.limits.Tokens - t.tokens - p.inherited
	for _, q := range t.programs {
		if q != p {
			free -= q.reserve + q.inherited
		}
	}
	return free
}

// reserveFor makes the reservation of p cover need tokens. It returns what must be committed before the call is sent;
// nil when what is reserved already suffices. Reservations of programs without a running call are taken back when the
// budget is short. What an earlier owner reserved is charged as spent. The tree's lock is held.
func (t *Tree) reserveFor(p *Program, need int) (*Reserve, *api.Error) {
	if t.limits.Tokens == 0 || (need <= p.reserve && p.inherited == 0) {
		return nil, nil
	}
	change := &Reserve{Tokens: map[string]int{}}
	free := t.available(p)
	for id, q := range t.programs {
		if free >= need {
			break
		}
		if q == p || q.gate.running != nil || q.reserve == 0 {
			continue
		}
		free += q.reserve
		change.Tokens[id] = 0
	}
	if free < need {
		return nil, api.Errorf(api.CodeBudgetTokens,
			"the call needs up to %d tokens and the budget of program %s has %d left", need, t.root, max(free, 0))
	}
	change.Tokens[p.id] = need
	t.applyReserve(change)
	if p.inherited > 0 {
		change.Spent = map[string]int{p.id: p.inherited}
	}
	return change, nil
}

// Inherit marks every reservation as made by an earlier owner. It is called once, after recovery.
func (s *Store) Inherit() {
	for _, tree := range s.Trees() {
		tree.mu.Lock()
		for _, p := range tree.programs {
			p.inherited, p.reserve = p.reserve, 0
		}
		tree.mu.Unlock()
	}
}

// checkLimits refuses a call when the budget of calls or time is spent. The tree's lock is held.
func (t *Tree) checkLimits(nowMS int64) *api.Error {
	if t.limits.Calls > 0 && t.calls+t.runningCalls() >= t.limits.Calls {
		return api.Errorf(api.CodeBudgetCalls, "the budget of %d calls of program %s is spent", t.limits.Calls, t.root)
	}
	if t.limits.TimeMS > 0 && nowMS-t.created > t.limits.TimeMS {
		return api.Errorf(api.CodeBudgetTime, "the budget of %d ms of program %s is spent", t.limits.TimeMS, t.root)
	}
	return nil
}

func (t *Tree) runningCalls() int {
	n := 0
	for _, q := range t.programs {
		if q.gate.running != nil {
			n++
		}
	}
	return n
}

// nextReserve returns what to reserve for the call after one that used need tokens. The tree's lock is held.
func (t *Tree) nextReserve(p *Program, used, need int) int {
	if t.limits.Tokens == 0 {
		return 0
	}
	return max(0, min(need, t.available(p)-used))
}
