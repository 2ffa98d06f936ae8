package schedule

import (
	"cmp"
	"slices"
	"time"
)

// FairQueue is a WaitQueue that divides an engine's capacity between organisations. Its order is: started programs, new programs,
// late ones. New programs are ordered by the organisation's priority, the route's priority, and the organisation's virtual time
// in FairShares, the others by priorities and arrival. Two bounds keep an organisation from being starved by precedence: a
// priority counts only while its organisation is less than priorityLead ahead of its share, and a started program goes before a
// new one only while its organisation is less than startedLead ahead of that of the new one. Without organisations the order is
// that of WaitQueue. It is not safe for concurrent use.
type FairQueue[T any] struct {
	Interval AdmissionInterval // Of all calls.

	shares *FairShares
	others WaitQueue[T]              // All calls except those in first.
	first  map[string]*firstCalls[T] // First calls of programs, by organisation. Organisations without any have no entry.
	count  int                       // Calls in first.
	// firstInterval is the interval between admissions of calls in first, which started programs overtake.
	firstInterval AdmissionInterval
}

// firstCalls holds the waiting first calls of an organisation's programs.
type firstCalls[T any] struct {
	WaitQueue[T]
	cost float64 // Sum over the calls.
}

// NewFairQueue returns an empty queue that uses the shares together with other queues.
func NewFairQueue[T any](shares *FairShares) *FairQueue[T] {
	return &FairQueue[T]{shares: shares, first: make(map[string]*firstCalls[T])}
}

// Push adds a call and returns its handle. cost is 0 if the call does not run at an engine. After giveUpAt the call is not repeated; zero means that it may wait for any time.
func (q *FairQueue[T]) Push(precedence Precedence, cost float64, giveUpAt time.Time, value T) *WaitingCall[T] {
	w := &WaitingCall[T]{Precedence: precedence, Value: value, Cost: cost, GiveUpAt: giveUpAt}
	w.first = q.shares.Enabled() && precedence.Standing == StandingNew
	if !w.first {
		q.others.push(w)
		return w
	}
	w.Cost = max(cost, 1)
	name := precedence.Organisation
	calls := q.first[name]
	if calls == nil {
		calls = &firstCalls[T]{}
		q.first[name] = calls
	}
	calls.push(w)
	calls.cost += w.Cost
	q.count++
	q.shares.enter(name, w.Cost)
	return w
}

// Remove removes a call that is not admitted, and reports whether it was queued.
func (q *FairQueue[T]) Remove(now time.Time, w *WaitingCall[T]) bool {
	if !q.remove(now, w, false) {
		return false
	}
	if q.shares.Enabled() && q.Len() == 0 {
		q.Interval.idle()
	}
	if q.count == 0 {
		q.firstInterval.idle()
	}
	return true
}

// Admit removes a call that is admitted and charges its cost to its organisation.
func (q *FairQueue[T]) Admit(now time.Time, w *WaitingCall[T]) {
	if !q.remove(now, w, true) {
		return
	}
	q.shares.charge(now, w.Precedence.Organisation, w.Cost)
	q.Interval.Admitted(now, q.Len() > 0)
	if w.first {
		q.firstInterval.Admitted(now, q.count > 0)
	}
}

func (q *FairQueue[T]) remove(now time.Time, w *WaitingCall[T], admitted bool) bool {
	if !w.first {
		return q.others.Remove(w)
	}
	name := w.Precedence.Organisation
	calls := q.first[name]
	if calls == nil || !calls.Remove(w) {
		return false
	}
	calls.cost -= w.Cost
	if calls.Len() == 0 {
		delete(q.first, name)
	}
	q.count--
	q.shares.leave(now, name, w.Cost, admitted)
	return true
}

// Len returns the number of waiting calls.
func (q *FairQueue[T]) Len() int { return q.others.Len() + q.count }

// Ahead returns the number of waiting calls that would be admitted before a new call with the precedence, if there are no
// organisations.
func (q *FairQueue[T]) Ahead(precedence Precedence) int { return q.others.Ahead(precedence) }

// First returns the call that is admitted next, or nil if no call waits.
func (q *FairQueue[T]) First() *WaitingCall[T] {
	if q.count == 0 {
		return q.others.First()
	}
	heads := make([]head[T], 0, len(q.first))
	for name, calls := range q.first {
		heads = append(heads, head[T]{calls.First(), q.shares.timeOf(name)})
	}
	other := q.others.First()
	if best := q.choose(other, heads); best >= 0 {
		return heads[best].call
	}
	return other
}

// Next returns the call that may be sent next to an engine with the given usage and slots, or nil. While calls wait, the calls that
// an engine gets beyond its slots delay all others at the engine itself, where the order is fixed. Organisations that are ahead of
// their share get none of that room.
func (q *FairQueue[T]) Next(limits EngineLimits, used EngineUsage, slots int) *WaitingCall[T] {
	switch {
	case q.Len() == 0 || !limits.Allows(used, slots):
		return nil
	case q.shares.Enabled() && !limits.withoutRoom().Allows(used, slots):
		return q.firstWithinShare()
	}
	return q.First()
}

// firstWithinShare returns the call that is admitted next of those whose organisations are not ahead of their shares, or nil.
func (q *FairQueue[T]) firstWithinShare() *WaitingCall[T] {
	var other *WaitingCall[T]
	for _, w := range q.others.heap {
		if (other == nil || w.Precedence.compare(other.Precedence) < 0) && !q.shares.isAhead(w.Precedence.Organisation) {
			other = w
		}
	}
	heads := make([]head[T], 0, len(q.first))
	for name, calls := range q.first {
		if !q.shares.isAhead(name) {
			heads = append(heads, head[T]{calls.First(), q.shares.timeOf(name)})
		}
	}
	if best := q.choose(other, heads); best >= 0 {
		return heads[best].call
	}
	return other
}

// head is the first of an organisation's waiting first calls.
type head[T any] struct {
	call  *WaitingCall[T]
	start float64 // Virtual start time.
}

// choose returns the index of the head that is admitted next, or -1 if other goes before all of them.
func (q *FairQueue[T]) choose(other *WaitingCall[T], heads []head[T]) int {
	if len(heads) == 0 {
		return -1
	}
	lowest := heads[0].start
	for i := range heads {
		lowest = min(lowest, heads[i].start)
	}
	best := 0
	for i := range heads[1:] {
		if q.compare(&heads[i+1], &heads[best], lowest) < 0 {
			best = i + 1
		}
	}
	if other == nil || other.Precedence.Standing == StandingLate {
		return best
	}
	if other.Precedence.Standing == StandingStarted &&
		q.shares.timeOf(other.Precedence.Organisation)-heads[best].start > startedLead*q.shares.averageCost {
		return best
	}
	return -1
}

// compare returns a negative number if a goes before b. lowest is the lowest virtual start time of the waiting organisations.
func (q *FairQueue[T]) compare(a, b *head[T], lowest float64) int {
	limit := lowest + priorityLead*q.shares.averageCost
	p, r := &a.call.Precedence, &b.call.Precedence
	if aheadA, aheadB := a.start > limit, b.start > limit; aheadA != aheadB {
		if aheadA {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(p.OrganisationPriority, r.OrganisationPriority), cmp.Compare(p.Priority, r.Priority),
		cmp.Compare(a.start, b.start), p.Since.Compare(r.Since), cmp.Compare(p.Organisation, r.Organisation))
}

// expected is a waiting call in the order in which calls are expected to be admitted.
type expected[T any] struct {
	call  *WaitingCall[T]
	start float64 // Virtual start time at which it is expected to be admitted; for started and late calls the present one.
}

// order returns the waiting calls in the order in which they are expected to be admitted if no further call arrives. While an
// engine admits the calls in this queue, others admit the same organisations' calls, so that the virtual time of an organisation
// advances by the cost of its calls in all queues.
func (q *FairQueue[T]) order() []expected[T] {
	others := slices.Clone(q.others.heap)
	slices.SortFunc(others, func(a, b *WaitingCall[T]) int { return a.Precedence.compare(b.Precedence) })
	heads := make([]head[T], 0, len(q.first))
	rest := make(map[string][]*WaitingCall[T], len(q.first))
	for name, calls := range q.first {
		list := slices.Clone(calls.heap)
		slices.SortFunc(list, func(a, b *WaitingCall[T]) int { return a.Precedence.compare(b.Precedence) })
		heads = append(heads, head[T]{list[0], q.shares.timeOf(name)})
		rest[name] = list[1:]
	}
	out := make([]expected[T], 0, q.Len())
	for len(others)+len(heads) > 0 {
		var other *WaitingCall[T]
		if len(others) > 0 {
			other = others[0]
		}
		i := q.choose(other, heads)
		if i < 0 {
			out = append(out, expected[T]{other, q.shares.timeOf(other.Precedence.Organisation)})
			others = others[1:]
			continue
		}
		h := &heads[i]
		out = append(out, expected[T]{h.call, h.start})
		name := h.call.Precedence.Organisation
		share := q.shares.share(name)
		h.start += h.call.Cost / share.weight * max(share.waitingCost/q.first[name].cost, 1)
		if len(rest[name]) == 0 {
			heads = slices.Delete(heads, i, i+1)
			continue
		}
		h.call, rest[name] = rest[name][0], rest[name][1:]
	}
	return out
}

// Refusal is a call that can no longer be admitted in time.
type Refusal[T any] struct {
	Call        *WaitingCall[T]
	Wait        time.Duration // Its expected wait.
	BeyondShare bool          // Its organisation has had its share of the capacity, for which others wait.
	Lead        float64       // How far its organisation is ahead of its share, in calls of average cost.
}

// RefuseLate removes and returns the calls that can no longer be admitted before they give up: of the waiting calls, first calls
// of programs, and the arriving call. limitWait returns how long a call waits at least that is preceded by the given number of
// calls. The refusal of one call shortens the wait of those behind it, so calls are refused one after the other, of the organisation
// that is furthest ahead of its share first.
func (q *FairQueue[T]) RefuseLate(now time.Time, arriving *WaitingCall[T], limitWait func(ahead int) time.Duration) []Refusal[T] {
	var refused []Refusal[T]
	wait := func(ahead, firstAhead int) time.Duration { return max(limitWait(ahead), q.wait(ahead, firstAhead)) }
	for q.Len() > 0 && q.mayBeLate(now, wait(q.Len()-1, q.count-1)) {
		victim := Refusal[T]{}
		furthest, firstAhead := 0.0, 0
		for i, e := range q.order() {
			expectedWait := wait(i, firstAhead)
			if e.call.first {
				firstAhead++
			}
			if !e.call.first && e.call != arriving || !e.call.isLate(now, expectedWait) {
				continue
			}
			name := e.call.Precedence.Organisation
			if ahead := q.shares.timeOf(name); victim.Call == nil || ahead >= furthest {
				furthest = ahead
				victim = Refusal[T]{e.call, expectedWait, q.shares.isBeyondShare(name, e.start), q.shares.Lead(name)}
			}
		}
		if victim.Call == nil {
			break
		}
		q.Remove(now, victim.Call)
		refused = append(refused, victim)
	}
	return refused
}

// wait returns the expected wait of a call that is preceded by the given numbers of calls and, among them, of calls in first.
func (q *FairQueue[T]) wait(ahead, firstAhead int) (wait time.Duration) {
	if ahead > 0 {
		wait = q.Interval.Wait(ahead)
	}
	if firstAhead > 0 {
		wait = max(wait, q.firstInterval.Wait(firstAhead))
	}
	return wait
}

// mayBeLate reports whether one of the calls may be late if the longest of their expected waits is the given one.
func (q *FairQueue[T]) mayBeLate(now time.Time, longest time.Duration) bool {
	isLate := func(w *WaitingCall[T]) bool { return w.isLate(now, longest) }
	if slices.ContainsFunc(q.others.heap, isLate) {
		return true
	}
	for _, calls := range q.first {
		if slices.ContainsFunc(calls.heap, isLate) {
			return true
		}
	}
	return false
}

// isLate reports whether the call gives up before it is admitted, if it is expected to wait for the given time.
func (w *WaitingCall[T]) isLate(now time.Time, wait time.Duration) bool {
	return wait > 0 && !w.GiveUpAt.IsZero() && now.Add(wait).After(w.GiveUpAt)
}
