package peers

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	aliveTime   = 800 * time.Millisecond // A member that has spoken within this time is alive; it reports several times a second.
	forgetAfter = 30 * time.Second       // A member that nobody hears of is forgotten.
)

// Group is what a process believes about the gateways of its deployment. It is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	self    contact             // Guarded by mu. The process itself.
	members map[string]*contact // Guarded by mu. By id, without the process itself.
}

// contact is a member with what is known of it at first hand.
type contact struct {
	Member
	heard  time.Time // Last sign of life, by itself or by another member's word.
	spoke  time.Time // Last time that it spoke for itself.
	failed bool      // It did not answer, and no sign of life has come since.
	turned time.Time // When StoreFresh last changed, as heard here; zero: long ago.
}

// setFresh notes what is heard of the service's answers to the member.
func (c *contact) setFresh(now time.Time, fresh bool) {
	if c.StoreFresh != fresh {
		c.StoreFresh, c.turned = fresh, now
	}
}

// reach says whether the key-value service answers a member.
type reach int

// Reaches. Word of a change arrives at different times, so that a new one is not believed at once.
const (
	reachUnsure reach = iota
	reachSure
	reachNone
)

// freshSettle is how long word of a change is unsure: two held reports, by which it reaches all, and a probe.
const freshSettle = 600 * time.Millisecond

func (c *contact) reach(now time.Time) reach {
	switch {
	case now.Sub(c.turned) < freshSettle:
		return reachUnsure
	case c.StoreFresh:
		return reachSure
	}
	return reachNone
}

// NewGroup returns a group with only the process itself.
func NewGroup(self Member) *Group {
	return &Group{self: contact{Member: self}, members: make(map[string]*contact)}
}

// Self returns the process's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.Member
}

// SetFresh notes whether the key-value service answers the process.
func (g *Group) SetFresh(now time.Time, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.setFresh(now, fresh)
}

// Doubt notes that the service does not answer the hub, which asks it most: what the others have said of it is older. Each
// asks for itself and says so anew.
func (g *Group) Doubt(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.setFresh(now, false)
	for _, c := range g.members {
		c.setFresh(now, false)
	}
}

// Source says who speaks of a member.
type Source int

// Sources, from the weakest to the strongest.
const (
	Registration Source = iota // Its entry in the key-value service, which outlives it.
	HubsWord                   // The hub, which has heard it lately.
	Itself
)

// Leave notes that the process is about to stop.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
}

// Hear takes members over. A member that did not answer is asked again once it has spoken, to this process or to the hub.
func (g *Group) Hear(now time.Time, source Source, members ...Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		if m.ID == g.self.ID {
			continue
		}
		have := g.members[m.ID]
		if have == nil || have.Incarnation != m.Incarnation && have.StartMS < m.StartMS {
			have = &contact{Member: m, heard: now}
			g.members[m.ID] = have
		}
		if have.Incarnation != m.Incarnation {
			continue
		}
		switch source {
		case Itself:
			have.setFresh(now, m.StoreFresh)
			have.Member, have.heard, have.spoke, have.failed = m, now, now, false
		case HubsWord:
			have.heard, have.failed = now, false
			have.setFresh(now, m.StoreFresh)
			have.Leaving = m.Leaving
		case Registration:
		}
	}
}

// Fail notes that a member did not answer, and reports whether it did so far.
func (g *Group) Fail(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.members[id]
	if c == nil {
		return false
	}
	first := !c.failed
	c.failed = true
	return first
}

// Miss notes a registered member that did not answer, unless it has been heard of by itself.
func (g *Group) Miss(now time.Time, m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[m.ID] == nil && m.ID != g.self.ID {
		g.members[m.ID] = &contact{Member: m, heard: now, failed: true}
	}
}

// Hub returns the member that writes, watches and places for all: the one with the most capacity, and of equals the oldest,
// among those that answer. One that the service surely does not answer is passed over if it surely answers another; when it
// answers none, the hub still places.
func (g *Group) Hub() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, compare := g.candidates(time.Now())
	return slices.MinFunc(candidates, compare).Member
}

// Helpers returns up to limit other members that the service answers, the most suitable first.
func (g *Group) Helpers(limit int) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, compare := g.candidates(time.Now())
	candidates = slices.DeleteFunc(candidates, func(c *contact) bool { return c == &g.self || !c.StoreFresh })
	slices.SortFunc(candidates, compare)
	var out []Member
	for _, c := range candidates[:min(limit, len(candidates))] {
		out = append(out, c.Member)
	}
	return out
}

// Find returns the member with the id, if it has answered so far.
func (g *Group) Find(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.members[id]
	if c == nil || c.failed {
		return Member{}, false
	}
	return c.Member, true
}

// Others returns the other members that have answered so far.
func (g *Group) Others() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Member
	for _, c := range g.members {
		if !c.failed {
			out = append(out, c.Member)
		}
	}
	return out
}

// candidates returns the process itself and the members that answer, and how they rank as the hub: the first is lower. The
// caller holds mu.
func (g *Group) candidates(now time.Time) (list []*contact, compare func(a, b *contact) int) {
	list = []*contact{&g.self}
	for _, c := range g.members {
		if !c.failed {
			list = append(list, c)
		}
	}
	answered := slices.ContainsFunc(list, func(c *contact) bool { return c.reach(now) == reachSure })
	return list, func(a, b *contact) int {
		return cmp.Or(
			compareBool(a.Leaving, b.Leaving),
			compareBool(answered && a.reach(now) == reachNone, answered && b.reach(now) == reachNone),
			compareRank(a.Member, b.Member))
	}
}

// Likely returns up to limit of the members that are the likeliest to be the hub, as far as their entries tell.
func Likely(members []Member, limit int) []Member {
	sorted := slices.SortedFunc(slices.Values(members), compareRank)
	return sorted[:min(limit, len(sorted))]
}

// compareRank puts the member that should be the hub first.
func compareRank(a, b Member) int {
	return cmp.Or(
		compareBool(a.Leaving, b.Leaving),
		-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.StartMS, b.StartMS), strings.Compare(a.ID, b.ID))
}

// Len returns the number of members, the process itself included.
func (g *Group) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// Alive returns the process itself and the members that have spoken to it lately.
func (g *Group) Alive(now time.Time) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Member{g.self.Member}
	for _, c := range g.members {
		if now.Sub(c.spoke) < aliveTime {
			out = append(out, c.Member)
		}
	}
	return out
}

// Acquaintances returns the members that the process vouches for to another: those that have spoken to it lately, and its
// hub, which does not speak to it unasked.
func (g *Group) Acquaintances(now time.Time) []Member {
	out := g.Alive(now)
	hub := g.Hub()
	if !slices.ContainsFunc(out, func(m Member) bool { return m.ID == hub.ID }) {
		out = append(out, hub)
	}
	return out
}

// Unheard returns a member to greet that has not spoken lately, drawn by pick. A hub to which all others speak finds none.
// One that was cut off, suspended or too busy to answer does not know that the others have another hub, even while some
// still follow it.
func (g *Group) Unheard(now time.Time, pick func(n int) int) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Member
	for _, c := range g.members {
		if now.Sub(c.spoke) >= aliveTime {
			all = append(all, c.Member)
		}
	}
	if len(all) == 0 {
		return Member{}, false
	}
	slices.SortFunc(all, compareRank)
	return all[pick(len(all))], true
}

// Sweep forgets members that were not heard of for long, and returns their ids.
func (g *Group) Sweep(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var gone []string
	for id, c := range g.members {
		if now.Sub(c.heard) > forgetAfter {
			delete(g.members, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
