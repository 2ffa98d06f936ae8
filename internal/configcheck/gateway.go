package configcheck

import (
	"fmt"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// Gateway is the configuration of the process gateway, as it is and with what fleet.Config drops.
type Gateway struct {
	Config   *fleet.Config
	Services []fleet.Service // In the order of the document; may have a name twice.
	Keys     [][]string      // Of each organisation.
	Servers  map[string]int  // Number of servers by service, where the operator gives it; nil: unknown.
	Names    Names
	Secrets  Secrets
}

// Names are the names of the fields in the document, for places.
type Names struct {
	Version, Routes, Services, Organisations, Limits                                               string
	Name, Host, Prefix, Kind, Timeout, Objective, Gap, Attempts, Priority, Service, Target, Weight string
	Sticky, Resumable, Stateful, Retain, Public                                                    string
	MaxConnections, Engine, Slots, CacheTokens, Stride, Keys, Rate, Burst                          string
	HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout                                             string
}

// place returns the place of a field of a list's element.
func place(list string, i int, fields ...string) string {
	return strings.Join(append([]string{fmt.Sprintf("%s[%d]", list, i)}, fields...), ".")
}

// Check returns the findings on the configuration.
func (g *Gateway) Check() []Finding {
	var f findings
	g.checkRoutes(&f)
	g.checkServices(&f)
	g.checkOrganisations(&f)
	l := g.Config.Limits
	if l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		f.error(g.Names.Limits+"."+g.Names.HeaderBytes, "the limit for headers of %d bytes exceeds the limit for bodies of %d bytes",
			l.HeaderBytes, l.BodyBytes)
	}
	return f
}

func (g *Gateway) checkRoutes(f *findings) {
	n := g.Names
	first := make(map[string]int)
	for i := range g.Config.Routes {
		r := &g.Config.Routes[i]
		at := func(field string) string { return place(n.Routes, i, field) }
		if j, taken := first[r.Name]; taken {
			f.error(at(n.Name), "%s is already the name of %s", g.Secrets.quote(r.Name), place(n.Routes, j))
		} else {
			first[r.Name] = i
		}
		g.checkMatch(f, i)
		g.checkTimes(f, i)
		g.checkTargets(f, i)
	}
}

// checkMatch checks that calls can match the route. It asks the lookup that the gateway uses.
func (g *Gateway) checkMatch(f *findings, i int) {
	n, r := g.Names, &g.Config.Routes[i]
	if !strings.HasPrefix(r.Prefix, "/") {
		f.error(place(n.Routes, i, n.Prefix), "can never match: paths begin with a slash, %s does not", g.Secrets.quote(r.Prefix))
		return
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		f.warn(place(n.Routes, i, n.Prefix), "%s does not end with a slash, so it also matches paths that only begin alike", g.Secrets.quote(r.Prefix))
	}
	if r.Host == "" {
		f.error(place(n.Routes, i, n.Host), "is empty: no call names an empty host")
		return
	}
	switch match := g.Config.Match(r.Host, r.Prefix); match {
	case r:
	case nil:
		f.error(place(n.Routes, i, n.Host), "can never match: the port of a call's host is ignored, but %s has one", g.Secrets.quote(r.Host))
	default:
		for j := range g.Config.Routes {
			if match == &g.Config.Routes[j] {
				f.error(place(n.Routes, i), "can never match: %s has the same host and prefix and takes precedence", place(n.Routes, j))
			}
		}
	}
}

// checkTimes checks the route's times and attempts.
func (g *Gateway) checkTimes(f *findings, i int) {
	n, r := g.Names, &g.Config.Routes[i]
	at := func(field string) string { return place(n.Routes, i, field) }
	switch {
	case r.Timeout <= 0: // The caller's time applies.
	case r.Objective > r.Timeout:
		f.error(at(n.Objective), "the objective of %v exceeds the timeout of %v", r.Objective, r.Timeout)
	case r.GapLimit > r.Timeout:
		f.error(at(n.Gap), "the limit of %v for the time between events exceeds the timeout of %v", r.GapLimit, r.Timeout)
	}
	if r.Timeout < 0 || r.Objective < 0 || r.GapLimit < 0 || r.Retain < 0 || r.Attempts < 0 {
		f.error(place(n.Routes, i), "has a negative time or number of attempts")
	}
	servers := 0
	for _, t := range r.Targets {
		count, known := g.Servers[t.Service]
		if !known {
			return
		}
		if t.Weight > 0 {
			servers += count
		}
	}
	if len(r.Targets) > 0 && r.Attempts > servers {
		f.error(at(n.Attempts), "%d attempts, but the route's services have %d servers", r.Attempts, servers)
	}
}

func (g *Gateway) checkTargets(f *findings, i int) {
	n, r := g.Names, &g.Config.Routes[i]
	if len(r.Targets) == 0 {
		f.error(place(n.Routes, i, n.Service), "the route names no service: its calls cannot be served")
	}
	for _, t := range r.Targets {
		if _, known := g.Config.Services[t.Service]; !known {
			f.error(place(n.Routes, i, n.Service), "service %s is not in %s", g.Secrets.quote(t.Service), n.Services)
		}
		if t.Weight <= 0 {
			f.error(place(n.Routes, i, n.Target), "the target %s has weight %d and never gets a call", g.Secrets.quote(t.Service), t.Weight)
		}
	}
}

func (g *Gateway) checkServices(f *findings) {
	n := g.Names
	named := make(map[string]bool)
	for i := range g.Config.Routes {
		for _, t := range g.Config.Routes[i].Targets {
			named[t.Service] = true
		}
	}
	first := make(map[string]int)
	for i, s := range g.Services {
		if j, taken := first[s.Name]; taken {
			f.error(place(n.Services, i, n.Name), "%s is already the name of %s", g.Secrets.quote(s.Name), place(n.Services, j))
			continue
		}
		first[s.Name] = i
		if !named[s.Name] {
			f.warn(place(n.Services, i), "no route names service %s", g.Secrets.quote(s.Name))
		}
		if s.Engine != nil && s.MaxConnections > 0 && s.Engine.Slots > s.MaxConnections {
			f.error(place(n.Services, i, n.MaxConnections), "an engine with %d slots accepts only %d connections", s.Engine.Slots, s.MaxConnections)
		}
	}
}

func (g *Gateway) checkOrganisations(f *findings) {
	n := g.Names
	private := false
	for i := range g.Config.Routes {
		private = private || !g.Config.Routes[i].Public
	}
	if g.Config.RequiresKeys() && len(g.Config.Organisations) == 0 && private {
		f.warn(n.Organisations, "is empty: all calls on routes that are not public are refused")
	}
	first, holder := make(map[string]int), make(map[string]int)
	for i := range g.Config.Organisations {
		o := &g.Config.Organisations[i]
		if j, taken := first[o.Name]; taken {
			f.error(place(n.Organisations, i, n.Name), "%s is already the name of %s", g.Secrets.quote(o.Name), place(n.Organisations, j))
		} else {
			first[o.Name] = i
		}
		if o.Name == "" {
			f.error(place(n.Organisations, i, n.Name), "is empty")
		}
		g.checkKeys(f, i, holder)
		rate, burst := place(n.Organisations, i, n.Rate), place(n.Organisations, i, n.Burst)
		switch {
		case o.RatePerSecond < 0:
			f.error(rate, "is negative: the organisation has no quota")
		case o.HasQuota() && o.Burst < 1:
			f.error(burst, "a burst of %v is less than one call", o.Burst)
		case !o.HasQuota() && o.Burst != 0:
			f.warn(burst, "a burst of %v has no effect without a rate", o.Burst)
		}
	}
}

// UnknownKind returns the finding for a route whose kind is not one of those known.
func UnknownKind(n Names, route int) Finding {
	return Finding{Severity: Error, Place: place(n.Routes, route, n.Kind), Reason: "unknown kind: the route counts as not idempotent"}
}

// checkKeys checks the keys of an organisation. holder has the index of the organisation that holds each key.
func (g *Gateway) checkKeys(f *findings, i int, holder map[string]int) {
	n := g.Names
	if len(g.Keys[i]) == 0 {
		f.error(place(n.Organisations, i, n.Keys), "the organisation has no key: no call can be its own")
	}
	for k, key := range g.Keys[i] {
		at := place(n.Organisations, i, fmt.Sprintf("%s[%d]", n.Keys, k))
		j, held := holder[key]
		switch {
		case key == "" || key != strings.TrimSpace(key):
			f.error(at, "the key can never match: it is empty or has space around it")
		case held && j == i:
			f.warn(at, "the organisation holds the key twice")
		case held:
			f.error(at, "the key is also held by %s", place(n.Organisations, j))
		default:
			holder[key] = i
		}
	}
}
