package peers

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	aliveTimeout  = 800 * time.Millisecond // Counts from a member's last message; members report several times a second.
	forgetTimeout = 30 * time.Second       // A member that was last seen longer ago is removed.
)

// Group holds what a process knows about the gateways of its deployment, and chooses the hub among them. It is safe for
// concurrent use.
type Group struct {
	mu      sync.Mutex
	self    memberState             // Guarded by mu. The process itself.
	members map[string]*memberState // Guarded by mu. Other members by id.
}

// memberState is a member with what this process has observed of it.
type memberState struct {
	Member
	lastSeen     time.Time // Time at which a message from the member was last received or reported, or at which it was added.
	lastMessage  time.Time // Time of the last message from the member itself.
	failed       bool      // It did not answer, and no message from it was received or reported since.
	freshChanged time.Time // When this process learned of the last change of StoreFresh; zero if it has not changed.
}

// setStoreFresh records whether the key-value service answers the member.
func (m *memberState) setStoreFresh(now time.Time, fresh bool) {
	if m.StoreFresh != fresh {
		m.StoreFresh, m.freshChanged = fresh, now
	}
}

// storeStatus tells whether the key-value service answers a member.
type storeStatus int

// Values of storeStatus. A change becomes known to the members at different times, so a recent one is storeUnsettled and does
// not yet influence the choice of the hub.
const (
	storeUnsettled storeStatus = iota
	storeReachable
	storeUnreachable
)

// freshSettleTime is how long a change is unsettled: two reports whose answers the hub delays, by which the change reaches
// all members, and a probe of the service.
const freshSettleTime = 600 * time.Millisecond

// storeStatus returns whether the key-value service answers the member, as far as that is settled.
func (m *memberState) storeStatus(now time.Time) storeStatus {
	switch {
	case now.Sub(m.freshChanged) < freshSettleTime:
		return storeUnsettled
	case m.StoreFresh:
		return storeReachable
	}
	return storeUnreachable
}

// NewGroup returns a group that holds only the process itself.
func NewGroup(self Member) *Group {
	return &Group{self: memberState{Member: self}, members: make(map[string]*memberState)}
}

// Self returns the process itself as a member.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.Member
}

// SetStoreFresh records whether the key-value service answers the process.
func (g *Group) SetStoreFresh(now time.Time, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.setStoreFresh(now, fresh)
}

// ClearStoreFresh records for the process and all members that the key-value service does not answer them. It is called when
// the service does not answer the hub: the hub calls it most often, so what other members reported is older. Each member then
// probes the service itself and reports the result.
func (g *Group) ClearStoreFresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.setStoreFresh(now, false)
	for _, m := range g.members {
		m.setStoreFresh(now, false)
	}
}

// Source tells where information about a member comes from.
type Source int

// Sources, from the least to the most reliable.
const (
	SourceRegistration Source = iota // Its registration in the key-value service, which outlives the process.
	SourceHub                        // Another member, usually the hub, that recently got a message from it.
	SourceMember                     // The member itself.
)

// MarkLeaving records that the process is about to stop.
func (g *Group) MarkLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
}

// Merge adds information about members from the source. Information about an earlier incarnation of a member is ignored. A
// member that failed to answer is used again once this process or the hub has got a message from it.
func (g *Group) Merge(now time.Time, source Source, members ...Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		if m.ID == g.self.ID {
			continue
		}
		known := g.members[m.ID]
		if known == nil || known.Incarnation != m.Incarnation && known.StartMS < m.StartMS {
			known = &memberState{Member: m, lastSeen: now}
			g.members[m.ID] = known
		}
		if known.Incarnation != m.Incarnation {
			continue
		}
		switch source {
		case SourceMember:
			known.setStoreFresh(now, m.StoreFresh)
			known.Member, known.lastSeen, known.lastMessage, known.failed = m, now, now, false
		case SourceHub:
			known.lastSeen, known.failed = now, false
			known.setStoreFresh(now, m.StoreFresh)
			known.Leaving = m.Leaving
		case SourceRegistration:
		}
	}
}

// MarkFailed records that a member did not answer. It reports false if the member was already marked or is unknown.
func (g *Group) MarkFailed(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return false
	}
	first := !m.failed
	m.failed = true
	return first
}

// AddFailed adds a registered member that did not answer. It does nothing if the member is already known.
func (g *Group) AddFailed(now time.Time, m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[m.ID] == nil && m.ID != g.self.ID {
		g.members[m.ID] = &memberState{Member: m, lastSeen: now, failed: true}
	}
}

// Hub returns the hub: the member that writes to the key-value service, watches it and places calls for all members. Among the
// members that answer, it is the one with the most capacity, and of equals the one that started first. Members that are
// leaving rank last. If the service is known to answer some member, members that it is known not to answer rank after the
// others. If it answers none, the hub stays, because it still places calls.
func (g *Group) Hub() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, compare := g.candidates(time.Now())
	return slices.MinFunc(candidates, compare).Member
}

// Share returns the part of what the deployment may use together that this process may use on its own: all of it as the hub of
// more than half of the members, as the hub of fewer their part, and its own part if it is not the hub. So a process that is cut
// off from the hub, and the members that then follow it, do not use again what the hub uses.
func (g *Group) Share(now time.Time) float64 {
	isHub := g.Hub().ID == g.Self().ID
	g.mu.Lock()
	defer g.mu.Unlock()
	known, following := 1, 1
	for _, m := range g.members {
		if m.Leaving {
			continue
		}
		known++
		if now.Sub(m.lastMessage) < aliveTimeout {
			following++
		}
	}
	switch {
	case !isHub:
		return 1 / float64(known)
	case 2*following > known:
		return 1
	}
	return float64(following) / float64(known)
}

// Relays returns up to limit other members that the key-value service answers, through which the process can reach it. The
// best candidates for the hub come first.
func (g *Group) Relays(limit int) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, compare := g.candidates(time.Now())
	candidates = slices.DeleteFunc(candidates, func(m *memberState) bool { return m == &g.self || !m.StoreFresh })
	slices.SortFunc(candidates, compare)
	var out []Member
	for _, m := range candidates[:min(limit, len(candidates))] {
		out = append(out, m.Member)
	}
	return out
}

// Find returns the member with the id. It reports false if the member is unknown or failed to answer.
func (g *Group) Find(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil || m.failed {
		return Member{}, false
	}
	return m.Member, true
}

// Others returns the other members, without those that failed to answer.
func (g *Group) Others() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Member
	for _, m := range g.members {
		if !m.failed {
			out = append(out, m.Member)
		}
	}
	return out
}

// IsInMajority reports whether more than half of the members, including the process itself, answer it. The others may be cut off
// from it and in touch with each other.
func (g *Group) IsInMajority() bool { return 2*(len(g.Others())+1) > g.Len() }

// candidates returns the process itself and the members that answer, and a function that compares two of them: the better
// candidate for the hub is lower. The caller holds mu.
func (g *Group) candidates(now time.Time) (list []*memberState, compare func(a, b *memberState) int) {
	list = []*memberState{&g.self}
	for _, m := range g.members {
		if !m.failed {
			list = append(list, m)
		}
	}
	anyReachable := slices.ContainsFunc(list, func(m *memberState) bool { return m.storeStatus(now) == storeReachable })
	return list, func(a, b *memberState) int {
		return cmp.Or(
			compareBool(a.Leaving, b.Leaving),
			compareBool(anyReachable && a.storeStatus(now) == storeUnreachable, anyReachable && b.storeStatus(now) == storeUnreachable),
			compareRank(a.Member, b.Member))
	}
}

// LikelyHubs returns up to limit of the members, those that are the most likely to be the hub according to their
// registrations.
func LikelyHubs(members []Member, limit int) []Member {
	sorted := slices.SortedFunc(slices.Values(members), compareRank)
	return sorted[:min(limit, len(sorted))]
}

// compareRank orders members by their suitability as the hub, the best first: members that are leaving come last, then the
// one with more capacity, the one that started earlier and the one with the lower id comes first.
func compareRank(a, b Member) int {
	return cmp.Or(
		compareBool(a.Leaving, b.Leaving),
		-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.StartMS, b.StartMS), strings.Compare(a.ID, b.ID))
}

// Len returns the number of members, including the process itself.
func (g *Group) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// Alive returns the process itself and the members that have sent it a message within aliveTimeout.
func (g *Group) Alive(now time.Time) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Member{g.self.Member}
	for _, m := range g.members {
		if now.Sub(m.lastMessage) < aliveTimeout {
			out = append(out, m.Member)
		}
	}
	return out
}

// AliveAndHub returns the members that the process names to another one: those that have sent it a message within
// aliveTimeout, and its hub, which sends it messages only as answers.
func (g *Group) AliveAndHub(now time.Time) []Member {
	out := g.Alive(now)
	hub := g.Hub()
	if !slices.ContainsFunc(out, func(m Member) bool { return m.ID == hub.ID }) {
		out = append(out, hub)
	}
	return out
}

// SilentMember returns a member that has not sent a message within aliveTimeout, so that the process can introduce itself
// to it. pick chooses one of n such members. There is none if all members report to this process. A hub that was
// partitioned, suspended or too busy to answer learns in this way that the others have chosen another hub, even while some
// members still follow it.
func (g *Group) SilentMember(now time.Time, pick func(n int) int) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent []Member
	for _, m := range g.members {
		if now.Sub(m.lastMessage) >= aliveTimeout {
			silent = append(silent, m.Member)
		}
	}
	if len(silent) == 0 {
		return Member{}, false
	}
	slices.SortFunc(silent, compareRank)
	return silent[pick(len(silent))], true
}

// Sweep removes the members that were last seen more than forgetTimeout ago, and returns their ids.
func (g *Group) Sweep(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var removed []string
	for id, m := range g.members {
		if now.Sub(m.lastSeen) > forgetTimeout {
			delete(g.members, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
