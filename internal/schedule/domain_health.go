package schedule

import "time"

// DomainHealth counts the outcomes of calls at a server by the failure domain of the gateway that sent them. A server may fail for
// the callers of one failure domain only, for example when a link between two domains is broken. It must then not be ejected for
// the others, whose calls it serves, nor stay in use for the one because the others dilute its failures.
type DomainHealth struct {
	all      outcomes
	byDomain map[string]*outcomes
}

// outcomes are the outcomes of some of a server's calls.
type outcomes struct {
	health         Health
	failures       int // Consecutive failed calls.
	suspendedUntil time.Time
}

const (
	// minDomainCalls is the decayed number of calls from a domain below which its outcomes are too few to judge a server.
	minDomainCalls = 2
	maxDomains     = 64 // Failure domains that are told apart.

	initialSuspension = 400 * time.Millisecond // After the first failure; doubles with each further one.
	maxSuspension     = 4 * time.Second
	maxDoublings      = 8
)

// Add counts calls from a domain that have ended.
func (d *DomainHealth) Add(now time.Time, domain string, served, failed float64) {
	d.all.health.Add(now, served, failed)
	if o := d.domain(domain); o != nil {
		o.health.Add(now, served, failed)
	}
}

// Ended counts a call of this process, or one that it has placed. A failure suspends the server for a while.
func (d *DomainHealth) Ended(now time.Time, domain string, failed bool) {
	if failed {
		d.Add(now, domain, 0, 1)
	} else {
		d.Add(now, domain, 1, 0)
	}
	d.all.ended(now, failed)
	if o := d.domain(domain); o != nil {
		o.ended(now, failed)
	}
}

// ended updates the suspension.
func (o *outcomes) ended(now time.Time, failed bool) {
	if !failed {
		o.failures = 0
		return
	}
	o.suspendedUntil = now.Add(min(initialSuspension<<min(o.failures, maxDoublings), maxSuspension))
	o.failures++
}

// domain returns the outcomes of a domain, or nil if there are too many domains.
func (d *DomainHealth) domain(name string) *outcomes {
	o := d.byDomain[name]
	if o == nil && len(d.byDomain) < maxDomains {
		if d.byDomain == nil {
			d.byDomain = make(map[string]*outcomes)
		}
		o = &outcomes{}
		d.byDomain[name] = o
	}
	return o
}

// judgedBy returns the outcomes by which the server is judged for callers of the domain: those of the domain, or those of all domains
// if there are too few.
func (d *DomainHealth) judgedBy(now time.Time, domain string) *outcomes {
	o := d.byDomain[domain]
	if o == nil {
		return &d.all
	}
	o.health.decay(now)
	if o.health.served+o.health.failed < minDomainCalls {
		return &d.all
	}
	return o
}

// For returns the outcomes by which Eject judges the server for callers of the domain.
func (d *DomainHealth) For(now time.Time, domain string) *Health {
	return &d.judgedBy(now, domain).health
}

// Suspended reports whether the server has failed recently, by the outcomes that count for callers of the domain. A failure of a
// call of the domain itself always counts.
func (d *DomainHealth) Suspended(now time.Time, domain string) bool {
	if o := d.byDomain[domain]; o != nil && now.Before(o.suspendedUntil) {
		return true
	}
	return now.Before(d.judgedBy(now, domain).suspendedUntil)
}
