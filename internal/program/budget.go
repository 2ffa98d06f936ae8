package program

import "github.com/redwinggauge/redwinggauge/internal/api"

// BytesPerToken is the number of bytes of prompt text that are charged as one token.
const BytesPerToken = 4

// PromptTokens returns the tokens charged for the messages that a call adds to the history, rounded up.
func PromptTokens(messages []api.Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += messageBytes(m)
	}
	return (bytes + BytesPerToken - 1) / BytesPerToken
}

// available returns the tokens of the tree's budget that are neither charged nor reserved, counting p's own reservation
// as free unless it is inherited. The caller must hold the tree's lock.
func (t *Tree) available(p *Program) int {
	free := t.limits.Tokens - t.chargedTokens - p.inheritedReserve
	for _, q := range t.programs {
		if q != p {
			free -= q.reserve + q.inheritedReserve
		}
	}
	return free
}

// reserveFor makes sure that p has at least need tokens reserved. It returns the change that must be committed before
// the call is sent, or nil if the present reservation suffices. If the budget is short, it releases reservations of
// programs without a running call. An inherited reservation of p is charged as spent. The caller must hold the tree's
// lock.
func (t *Tree) reserveFor(p *Program, need int) (*Reserve, *api.Error) {
	if t.limits.Tokens == 0 || (need <= p.reserve && p.inheritedReserve == 0) {
		return nil, nil
	}
	change := &Reserve{Tokens: map[string]int{}}
	free := t.available(p)
	for id, q := range t.programs {
		if free >= need {
			break
		}
		if q == p || q.sequencer.running != nil || q.reserve == 0 {
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
	if p.inheritedReserve > 0 {
		change.SpentByPriorOwner = map[string]int{p.id: p.inheritedReserve}
	}
	return change, nil
}

// InheritReservations marks every reservation as made by an earlier owner. It must be called once, after recovery.
func (s *Store) InheritReservations() {
	for _, tree := range s.Trees() {
		tree.mu.Lock()
		for _, p := range tree.programs {
			p.inheritedReserve, p.reserve = p.reserve, 0
		}
		tree.mu.Unlock()
	}
}

// checkLimits returns an error if the budget of calls or of time is spent. The caller must hold the tree's lock.
func (t *Tree) checkLimits(nowMS int64) *api.Error {
	if t.limits.Calls > 0 && t.calls+t.runningCalls() >= t.limits.Calls {
		return api.Errorf(api.CodeBudgetCalls, "the budget of %d calls of program %s is spent", t.limits.Calls, t.root)
	}
	if t.limits.TimeMS > 0 && nowMS-t.created > t.limits.TimeMS {
		return api.Errorf(api.CodeBudgetTime, "the budget of %d ms of program %s is spent", t.limits.TimeMS, t.root)
	}
	return nil
}

// runningCalls returns the number of running calls in the tree. The caller must hold the tree's lock.
func (t *Tree) runningCalls() int {
	n := 0
	for _, q := range t.programs {
		if q.sequencer.running != nil {
			n++
		}
	}
	return n
}

// nextReserve returns the tokens to reserve for the call after one that reserved need tokens and is charged used
// tokens. The caller must hold the tree's lock.
func (t *Tree) nextReserve(p *Program, used, need int) int {
	if t.limits.Tokens == 0 {
		return 0
	}
	return max(0, min(need, t.available(p)-used))
}
