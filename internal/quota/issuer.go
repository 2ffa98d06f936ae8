package quota

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
	"github.com/redwinggauge/redwinggauge/internal/window"
)

// Call asks for a permit for one call.
type Call struct {
	Organisation string
	Program      string // Empty if the call belongs to none.
	Route        string
	New          bool          // The call begins its program, unless the program is known.
	FinishIn     time.Duration // Time within which the program should finish; 0 if unknown.
	Held         bool          // It has been told to wait and to ask again.
	Patience     time.Duration // How long the caller can wait, for an answer or to return after a refusal.
}

// Reason says why a call got no permit.
type Reason string

// Reasons.
const (
	ReasonUsedUp   Reason = "used_up"  // The quota is used up.
	ReasonReserved Reason = "reserved" // What is left of the quota is needed by the programs that have begun.
	ReasonParked   Reason = "parked"   // What is left of the quota goes to programs that end earlier.
	ReasonNoShare  Reason = "no_share" // The process may not issue permits, or has issued what it may without the hub.
)

// Decision answers a Call.
type Decision struct {
	Granted bool
	Delay   time.Duration // If granted: the time after which the call may be sent.
	Permit  Permit        // If granted.
	Reason  Reason        // If not granted.
	Retry   time.Duration // If not granted: the time after which the call, or its caller, may ask again.
	// Hold means that the call may wait for Retry and ask again, as the organisation does not exceed its quota for long.
	Hold bool
	// Used and Allowed are the permits that the process has issued in the window, and the calls that are allowed in it.
	Used, Allowed float64
	Age           time.Duration // Time since the start of the term, before which the process knows nothing.
}

// Permit identifies a permit so that it can be returned.
type Permit struct {
	Term  int64         // Term in which it was issued.
	After time.Duration // Time from the start of the term to the issue.
}

// maxDelay is how long a call may wait for a permit that is already promised to it if the organisation exceeds its quota.
const maxDelay = 100 * time.Millisecond

const (
	// patienceShare is the share of a caller's remaining time for which it waits, for a permit or after a refusal: callers return
	// after a third at most.
	patienceShare = 1.0 / 3
	// minRetry is the shortest time after which a call asks again.
	minRetry = 10 * time.Millisecond
	// planInterval is the time between two decisions about which programs of an organisation are parked.
	planInterval = 50 * time.Millisecond
	// shortTime is how long no program is admitted after a call of a program that has begun was refused: more programs have begun
	// than the quota suffices for.
	shortTime = time.Second
	// planHorizon is the time for whose calls the quota must suffice when programs are parked.
	planHorizon = 2 * time.Second
	// retryJitter is the largest change of a time to retry, as a share of it.
	retryJitter = 0.1
	// An organisation's demand exceeds its quota if that is so by shortFactor over shortWindows windows, or by longFactor over
	// longWindows. Programs come at random and make their calls in bursts, so that in a shorter time or by less the demand of an
	// organisation that stays within its quota on average is also higher.
	shortWindows, shortFactor = 2, 1.5
	longWindows, longFactor   = 6, 1.15
	// minPrograms is the number of programs from which on an organisation's demand counts as more than its quota. Two large
	// programs may exceed it for a while although the mean demand does not.
	minPrograms = 3
	// mainShare is the share above which a hub knows whether an organisation's quota is used up: most gateways follow it.
	mainShare = 0.5
	// idleReserve is the share of the bucket above which a program is admitted whatever is reserved: the programs that have begun
	// do not use the quota, such as those whose callers have left.
	idleReserve = 0.75
	// parkedReserve is the share of the bucket that must be full for a call of a parked program to be granted.
	parkedReserve = 0.5
	// sumSlots is the number of slots of a window, to one of which its length is exact.
	sumSlots = 50
)

// mode is how a process issues permits.
type mode int

const (
	following mode = iota // It issues none: the hub does.
	alone                 // It is not the hub, and the hub does not answer it.
	leading               // It is the hub.
)

// Issuer issues the permits of all organisations in one process. It is safe for concurrent use.
type Issuer struct {
	limits Limits

	mu            sync.Mutex
	now           time.Time // Guarded by mu. Latest time of a decision.
	mode          mode      // Guarded by mu.
	share         float64   // Guarded by mu. Part of each quota that the process may use.
	maxShare      float64   // Guarded by mu. Largest share in the term.
	term          int64     // Guarded by mu. Identifies the term: a time for which the process issues permits in one mode.
	since         time.Time // Guarded by mu. Start of the term.
	mayStart      bool      // Guarded by mu. The process has the permits that a new hub may issue at once.
	hub           string    // Guarded by mu. Hub by the latest ObserveHub.
	hubChanges    []time.Time
	organisations map[string]*organisation // Guarded by mu. By name.
	known         profiles                 // Guarded by mu.
	swept         time.Time                // Guarded by mu.
}

// organisation is the state of one organisation in a term.
type organisation struct {
	bucket     *ratelimit.Bucket
	rate       float64       // Permits a second that the process may issue,
	size       float64       // and those that it may issue at once.
	promised   float64       // Permits that it may promise before it has them. Calls within the quota may wait for these.
	longest    time.Duration // How long a call may wait for a permit that is promised to it.
	started    float64       // Permits that were added to the bucket as those that a new hub may issue at once.
	programs   map[string]*program
	used       window.Sum // Permits issued.
	longDemand window.Sum // The same over more windows.
	demand     window.Sum // Calls that the programs that came are expected to make, or have made beyond that.
	arrivals   window.Sum // Programs that came.
	short      time.Time  // When a call of a program that has begun was last refused.
	planned    time.Time  // When it was last decided which programs are parked.
	// Latest times at which a caller was told to return: of a program refused at its first call, of a call of a parked program, and
	// of another call.
	nextAdmission, nextParked, nextCall time.Time
}

// NewIssuer returns an issuer that issues no permits until Lead or Alone is called.
func NewIssuer(limits Limits) *Issuer {
	return &Issuer{limits: limits, organisations: make(map[string]*organisation), known: make(profiles)}
}

// Lead makes the process issue permits as the hub. share is the part of each quota that it may use: the part of the gateways that
// follow it.
func (i *Issuer) Lead(now time.Time, share float64) { i.setMode(now, leading, share) }

// Alone makes the process issue permits without the hub. share is the part of each quota that a gateway has.
func (i *Issuer) Alone(now time.Time, share float64) { i.setMode(now, alone, share) }

// Follow makes the process issue no permits. It is called whenever the hub answers.
func (i *Issuer) Follow(now time.Time) { i.setMode(now, following, 0) }

// ObserveHub records which process is the hub. When the hub changes again and again, as when all gateways start, the permits
// that each new hub may issue at once would add up.
func (i *Issuer) ObserveHub(now time.Time, hub string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if hub == i.hub {
		return
	}
	if i.hub != "" {
		i.noteHubChange(now)
	}
	i.hub = hub
}

// noteHubChange records a change of the hub. The caller holds mu.
func (i *Issuer) noteHubChange(now time.Time) {
	i.hubChanges = append(i.hubChanges, now)
	for len(i.hubChanges) > 0 && now.Sub(i.hubChanges[0]) > i.limits.Window {
		i.hubChanges = i.hubChanges[1:]
	}
}

const (
	// maxChangesWithStart is the number of changes of the hub in a window up to which a new hub issues permits at once.
	maxChangesWithStart = 1
	// overlapTime is the time for which a hub that is cut off may still issue permits after the next one has begun. Beyond
	// maxChangesWithStart a new hub issues none for that time.
	overlapTime = 200 * time.Millisecond
	// regainTime is how long after the start of its term it counts as a change of the hub that most gateways begin to follow a
	// process. A hub that is new is followed by most within less time.
	regainTime = time.Second
)

// setMode changes the mode and the share. The permits of an earlier term are lost: other processes may have issued permits since.
func (i *Issuer) setMode(now time.Time, m mode, share float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	regained := m == leading && i.share <= mainShare && share > mainShare // Another process may have been the hub meanwhile.
	if regained && i.mode == leading && now.Sub(i.since) > regainTime {
		i.noteHubChange(now)
	}
	if m != i.mode || regained {
		i.mode, i.share, i.maxShare, i.since = m, 0, 0, now
		i.term = max(i.term+1, now.UnixNano()) // Differs from the terms of earlier runs of the process.
		i.mayStart = m == leading && len(i.hubChanges) <= maxChangesWithStart
		if m == leading && !i.mayStart {
			i.since = now.Add(overlapTime)
		}
		clear(i.organisations)
	}
	i.share, i.maxShare = share, max(i.maxShare, share)
}

// Decide decides about a call under the organisation's quota.
func (i *Issuer) Decide(now time.Time, q Quota, call Call) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	now = later(i.now, now) // The caller may have read the clock before another one that was faster.
	i.now = now
	i.sweep(now)
	if i.mode == following || i.share <= 0 || now.Before(i.since) {
		return Decision{Reason: ReasonNoShare, Hold: true, Retry: planInterval, Allowed: i.limits.Allowed(q)}
	}
	o := i.organisation(now, call.Organisation, q)
	p, arrived := o.find(now, call)
	if arrived {
		i.countArrival(now, o, p, call)
	}
	d := i.decide(now, o, p, call)
	if p != nil {
		p.last, p.refused = now, !d.Granted && !d.Hold
	}
	if d.Granted {
		o.used.Add(now, 1)
		d.Permit = Permit{Term: i.term, After: now.Sub(i.since)}
		i.countGranted(now, o, p)
	}
	d.Age = now.Sub(i.since)
	d.Used, d.Allowed = o.used.Total(now), i.limits.Allowed(q)
	return d
}

// organisation returns the state of an organisation, with the bucket at the current quota and share. The caller holds mu.
func (i *Issuer) organisation(now time.Time, name string, q Quota) *organisation {
	rate, size, promised := i.limits.rate(q)*i.share, i.limits.size(q)*i.share, i.limits.promised()*i.share
	longest := maxDelay
	if i.share <= mainShare || now.Sub(i.since) < i.limits.Window {
		// The calls by which the quota may be exceeded are for a hub that most gateways follow. In the first window of a term its
		// predecessors may have used them: hubs can change more than once in a window.
		rate = q.RatePerSecond * i.share
		longest, promised = min(maxDelay, seconds(promised/rate)), 0
	}
	o := i.organisations[name]
	if o == nil {
		o = &organisation{
			bucket: ratelimit.NewBucket(i.since, rate, size), programs: make(map[string]*program),
			used: window.NewSum(i.limits.Window, sumSlots), demand: window.NewSum(shortWindows*i.limits.Window, sumSlots),
			longDemand: window.NewSum(longWindows*i.limits.Window, sumSlots),
			arrivals:   window.NewSum(shortWindows*i.limits.Window, sumSlots),
		}
		i.organisations[name] = o
	}
	o.rate, o.size, o.promised, o.longest = rate, size, promised, longest
	o.bucket.Set(now, rate, size)
	if allowed := i.limits.start(q) * i.maxShare; i.mayStart && i.share > mainShare && allowed-o.started >= 1 {
		n := int(allowed - o.started)
		o.bucket.Add(now, n)
		o.started += float64(n)
	}
	return o
}

// Return puts back the permit of a call that ran at no server, and reports whether it did: permits of an earlier term are lost.
func (i *Issuer) Return(now time.Time, name string, p Permit) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	o := i.organisations[name]
	if o == nil || p.Term != i.term || i.mode == following {
		return false
	}
	i.now = later(i.now, now)
	return o.bucket.Return(i.now, i.since.Add(p.After))
}

// sweepInterval is the time between two sweeps.
const sweepInterval = 500 * time.Millisecond

// sweep learns from the programs that have ended, and forgets them. The caller holds mu.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.swept) < sweepInterval {
		return
	}
	i.swept = now
	for _, o := range i.organisations {
		for id, p := range o.programs {
			idle := now.Sub(p.last)
			if idle > idleTime && p.whole && p.admitted && !p.refused && !p.sampled {
				i.known.add(p.route, p.calls, p.last.Sub(p.first))
				p.sampled = true
			}
			if idle > forgetTime || idle > idleTime && p.isTooLate(now) {
				delete(o.programs, id)
			}
		}
	}
}

// Profiles returns what is known of the programs of each route, so that the next hub knows it.
func (i *Issuer) Profiles() []RouteProfile {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []RouteProfile
	for _, r := range i.known {
		if r.Samples >= minSamples {
			list = append(list, *r)
		}
	}
	return list
}

// Learn takes over what the hub knows of the programs of each route.
func (i *Issuer) Learn(list []RouteProfile) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range list {
		i.known[r.Route] = &r
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
