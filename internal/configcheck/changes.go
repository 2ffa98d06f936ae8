package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// Reasons why a change can do harm.
const (
	harmFewer     = "calls that were accepted are refused"
	harmSlower    = "calls that were answered in time end before their answer"
	harmTwice     = "calls of the route may now be executed more than once"
	harmState     = "stored turns that callers name are unknown"
	harmOpen      = "calls without a key are accepted"
	harmClosed    = "callers without a key are refused on routes that are not public"
	harmKeys      = "calls with a key that is gone are refused"
	harmOwner     = "the organisation's calls count for another, which cannot use its stored turns"
	harmVersion   = "gateways that know the other version ignore this one"
	harmCapacity  = "the same servers take fewer calls"
	harmNoService = "calls have fewer servers"
)

// differences collects differences.
type differences []Difference

// add adds a difference, with its harm if harmful.
func (d *differences) add(place string, harmful bool, harm, format string, args ...any) {
	if !harmful {
		harm = ""
	}
	*d = append(*d, Difference{Place: place, Change: fmt.Sprintf(format, args...), Harm: harm})
}

// changed adds a difference if the values differ. harmful tells whether a change from a to b can do harm.
func changed[T comparable](d *differences, place string, a, b T, harmful func(a, b T) bool, harm string) {
	if a != b {
		d.add(place, harmful(a, b), harm, "%v becomes %v", a, b)
	}
}

func never[T any](T, T) bool           { return false }
func always[T any](T, T) bool          { return true }
func lower[T cmp.Ordered](a, b T) bool { return b < a }

// lowerLimit reports whether the limit b is lower than a. A limit of 0 or less is none.
func lowerLimit[T int | int64 | float64 | time.Duration](a, b T) bool {
	return b > 0 && (a <= 0 || b < a)
}

// Against returns the differences from the other version to g. The places are those of g, or of the other version for what is
// gone, with names in place of indexes.
func (g *Gateway) Against(old *Gateway) []Difference {
	n := g.Names
	s := slices.Concat(g.Secrets, old.Secrets)
	var d differences
	if g.Config.Version <= old.Config.Version {
		d.add(n.Version, true, harmVersion, "%d does not follow %d", g.Config.Version, old.Config.Version)
	}
	named := func(list, name string) string { return fmt.Sprintf("%s[%s]", list, s.quote(name)) }
	compare(&d, old.Config.Routes, g.Config.Routes, func(r *fleet.Route) string { return r.Name },
		func(r *fleet.Route) string { return g.droppedRoute(s, r) }, func(name string) string { return named(n.Routes, name) },
		func(at string, a, b *fleet.Route) { g.routeChanges(&d, s, at, a, b) })
	compare(&d, old.Services, g.Services, func(r *fleet.Service) string { return r.Name },
		func(*fleet.Service) string { return harmNoService }, func(name string) string { return named(n.Services, name) },
		func(at string, a, b *fleet.Service) { g.serviceChanges(&d, at, a, b) })
	a, b := old.Config.Limits, g.Config.Limits
	changed(&d, n.Limits+"."+n.HeaderBytes, a.HeaderBytes, b.HeaderBytes, lowerLimit, harmFewer)
	changed(&d, n.Limits+"."+n.BodyBytes, a.BodyBytes, b.BodyBytes, lowerLimit, harmFewer)
	changed(&d, n.Limits+"."+n.HeaderTimeout, a.HeaderTimeout, b.HeaderTimeout, lowerLimit, harmFewer)
	changed(&d, n.Limits+"."+n.IdleTimeout, a.IdleTimeout, b.IdleTimeout, never, "")
	g.organisationChanges(&d, old, func(name string) string { return named(n.Organisations, name) })
	return d
}

// compare reports what was added to and removed from a list whose elements have names, and calls both for the rest.
func compare[T any](
	d *differences, a, b []T, name, harm func(*T) string, at func(string) string, both func(at string, a, b *T),
) {
	for i := range a {
		j := slices.IndexFunc(b, func(e T) bool { return name(&e) == name(&a[i]) })
		if j < 0 {
			d.add(at(name(&a[i])), true, harm(&a[i]), "removed")
			continue
		}
		both(at(name(&a[i])), &a[i], &b[j])
	}
	for i := range b {
		if !slices.ContainsFunc(a, func(e T) bool { return name(&e) == name(&b[i]) }) {
			d.add(at(name(&b[i])), false, "", "added")
		}
	}
}

// droppedRoute returns the harm of removing the route r.
func (g *Gateway) droppedRoute(s Secrets, r *fleet.Route) string {
	if match := g.Config.Match(r.Host, r.Prefix); match != nil {
		return fmt.Sprintf("its calls match route %s and follow its rules", s.quote(match.Name))
	}
	return "its calls match no route"
}

func (g *Gateway) routeChanges(d *differences, s Secrets, at string, a, b *fleet.Route) {
	n := g.Names
	at += "."
	if a.Host != b.Host || a.Prefix != b.Prefix {
		d.add(at+n.Prefix, true, harmFewer, "%s becomes %s", s.quote(a.Host+a.Prefix), s.quote(b.Host+b.Prefix))
	}
	changed(d, at+n.Kind, a.Kind, b.Kind, func(a, b fleet.Kind) bool { return b == fleet.Idempotent || a == fleet.Stream || b == fleet.Stream }, harmTwice)
	changed(d, at+n.Timeout, a.Timeout, b.Timeout, lowerLimit, harmSlower)
	changed(d, at+n.Objective, a.Objective, b.Objective, never, "")
	changed(d, at+n.Gap, a.GapLimit, b.GapLimit, never, "")
	changed(d, at+n.Attempts, a.Attempts, b.Attempts, lower, "calls that fail at a server are tried at fewer others")
	changed(d, at+n.Priority, a.Priority, b.Priority, func(a, b int) bool { return b > a }, "the route's calls wait behind more others")
	changed(d, at+n.Sticky, a.Sticky, b.Sticky, never, "")
	changed(d, at+n.Resumable, a.Resumable, b.Resumable, always, "streams may run twice if it is set, and cannot be continued if it is not")
	changed(d, at+n.Stateful, a.Stateful, b.Stateful, always, harmState)
	changed(d, at+n.Retain, a.Retain, b.Retain, lower, harmState)
	if g.Config.RequiresKeys() {
		harm := harmOpen
		if a.Public {
			harm = harmClosed
		}
		changed(d, at+n.Public, a.Public, b.Public, always, harm)
	} else {
		changed(d, at+n.Public, a.Public, b.Public, never, "")
	}
	compare(d, a.Targets, b.Targets, func(t *fleet.Target) string { return t.Service },
		func(*fleet.Target) string { return harmNoService }, func(name string) string { return fmt.Sprintf("%s%s[%s]", at, n.Target, s.quote(name)) },
		func(at string, a, b *fleet.Target) {
			changed(d, at+"."+n.Weight, a.Weight, b.Weight, func(_, b int) bool { return b <= 0 }, harmNoService)
		})
}

func (g *Gateway) serviceChanges(d *differences, at string, a, b *fleet.Service) {
	n := g.Names
	changed(d, at+"."+n.MaxConnections, a.MaxConnections, b.MaxConnections, lowerLimit, harmCapacity)
	switch {
	case (a.Engine == nil) != (b.Engine == nil):
		d.add(at+"."+n.Engine, true, harmNoService, "the service's servers change between engines and plain servers")
	case a.Engine != nil:
		engine := at + "." + n.Engine + "."
		changed(d, engine+n.Slots, a.Engine.Slots, b.Engine.Slots, lower, harmCapacity)
		changed(d, engine+n.CacheTokens, a.Engine.CacheTokens, b.Engine.CacheTokens, lower, harmCapacity)
		changed(d, engine+n.Stride, a.Engine.TokensPerEvent, b.Engine.TokensPerEvent, never, "")
	}
}

// organisationChanges reports changed organisations, quotas and keys.
func (g *Gateway) organisationChanges(d *differences, old *Gateway, at func(string) string) {
	n := g.Names
	before, after := old.Config.RequiresKeys(), g.Config.RequiresKeys()
	if before != after {
		harm := harmClosed
		if before {
			harm = harmOpen
		}
		d.add(n.Organisations, true, harm, "callers need a key: %t becomes %t", before, after)
	}
	compare(d, old.Config.Organisations, g.Config.Organisations, func(o *fleet.Organisation) string { return o.Name },
		func(*fleet.Organisation) string { return harmFewer }, at, func(at string, a, b *fleet.Organisation) {
			changed(d, at+"."+n.Priority, a.Priority, b.Priority, func(a, b int) bool { return b > a }, "the organisation's calls wait behind more others")
			changed(d, at+"."+n.Rate, a.RatePerSecond, b.RatePerSecond, lowerLimit, harmFewer)
			changed(d, at+"."+n.Burst, a.Burst, b.Burst, func(x, y float64) bool { return b.HasQuota() && y < x }, harmFewer)
		})
	if !before || !after {
		return
	}
	gone, moved, added := make(map[string]int), make(map[string]int), make(map[string]int)
	count(old, func(key, name string) {
		switch o := g.Config.OrganisationOfKey(key); {
		case o == nil:
			gone[name]++
		case o.Name != name:
			moved[name]++
		}
	})
	count(g, func(key, name string) {
		if old.Config.OrganisationOfKey(key) == nil {
			added[name]++
		}
	})
	for _, part := range []struct {
		keys map[string]int
		verb string
		harm string
	}{{gone, "removed", harmKeys}, {moved, "moved to another organisation", harmOwner}, {added, "added", ""}} {
		for _, name := range sortedNames(part.keys) {
			d.add(at(name)+"."+n.Keys, part.harm != "", part.harm, "number of keys %s: %d", part.verb, part.keys[name])
		}
	}
}

// count calls f with each key and the name of the organisation that holds it.
func count(g *Gateway, f func(key, name string)) {
	for i, keys := range g.Keys {
		for _, key := range keys {
			if key != "" {
				f(key, g.Config.Organisations[i].Name)
			}
		}
	}
}

func sortedNames(m map[string]int) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
