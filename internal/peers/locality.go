package peers

import "slices"

// DomainCalls is the number of calls of a service in progress between two failure domains, which may be the same.
type DomainCalls struct {
	Service string
	From    string // Of the gateway that serves the callers.
	To      string // Of the servers.
	Calls   int
}

// DomainLoads holds the calls of plain services of all members except one. It is missing in the digest of a hub that does not
// collect them.
type DomainLoads struct {
	Domains []string         `json:"d,omitempty"`
	Calls   map[string][]int `json:"c,omitempty"` // By service: for each domain of the callers, the calls to each of Domains.
}

// NewDomainLoads returns the message for the calls.
func NewDomainLoads(list []DomainCalls) *DomainLoads {
	l := &DomainLoads{Calls: make(map[string][]int)}
	for _, c := range list {
		l.Domains = append(l.Domains, c.From, c.To)
	}
	slices.Sort(l.Domains)
	l.Domains = slices.Compact(l.Domains)
	n := len(l.Domains)
	for _, c := range list {
		if l.Calls[c.Service] == nil {
			l.Calls[c.Service] = make([]int, n*n)
		}
		l.Calls[c.Service][slices.Index(l.Domains, c.From)*n+slices.Index(l.Domains, c.To)] += c.Calls
	}
	return l
}

// List returns the calls of the message. It ignores services with a wrong number of values.
func (l *DomainLoads) List() []DomainCalls {
	var list []DomainCalls
	n := len(l.Domains)
	for service, calls := range l.Calls {
		if len(calls) != n*n {
			continue
		}
		for i, c := range calls {
			if c != 0 {
				list = append(list, DomainCalls{Service: service, From: l.Domains[i/n], To: l.Domains[i%n], Calls: c})
			}
		}
	}
	return list
}
