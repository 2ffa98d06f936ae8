package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// Bounds of docs/design/organisations-and-uneven-demand.md, beside configApplyTime.
const (
	drainTime   = 3 * time.Second
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaExtra  = 20
)

// quota is the quota of an organisation; a rate of 0 means none.
type quota struct{ rate, burst float64 }

// bound returns how many requests may run in a window.
func (q quota) bound() float64 {
	return (q.rate*quotaWindow.Seconds()+q.burst)*(1+quotaExcess) + quotaExtra
}

// version is a version of the configuration. Version n contains for each organisation the key that always stays and the keys n and n-1.
type version struct {
	begun, stored time.Time // When it was written, and when the store acknowledged it; zero until then.
	quotas        map[string]quota
}

// Values of apiKey.added in place of the version that added the key.
const (
	keyStays   = -1 // All versions contain the key.
	keyUnknown = -2 // No version ever contains it.
)

// apiKey is a key of an organisation.
type apiKey struct {
	organisation string
	added        int
}

func (k apiKey) String() string { return fmt.Sprintf("key:%s:%d", k.organisation, k.added) }

// sentCall is a call of a caller.
type sentCall struct {
	key     apiKey
	gateway *gateway
	at      time.Time
}

// serverStart is one run of a server, from its start until it is started anew.
type serverStart struct {
	server string
	born   int64
}

// passedOn is an announcement of a server that a caller got from a gateway.
type passedOn struct {
	request string
	at      time.Time
}

// trouble is what keeps a gateway from working as usual.
type trouble int

const (
	cut       trouble = 1 << iota // The store or the link to it is in trouble.
	paused                        // The process is suspended.
	restarted                     // The process is ended and started again.
)

// troubles says what the faults do to gateways, and whether to all of them.
var troubles = map[string]struct {
	kind trouble
	all  bool
}{
	"kill": {kind: restarted}, "kill all": {kind: restarted, all: true}, "term": {kind: restarted},
	"freeze": {kind: paused}, "long freeze": {kind: paused},
	"store unavailable": {kind: cut, all: true}, "link delayed": {kind: cut}, "link dropping data": {kind: cut},
	"link with zero bandwidth": {kind: cut}, "link reset": {kind: cut}, "long cut": {kind: cut},
}

// troubleSpan is the time of a trouble of a gateway. It has no end while the trouble lasts.
type troubleSpan struct {
	kind     trouble
	gateway  *gateway // Nil: all.
	from, to time.Time
}

// span is the time from when a caller sent a request until it arrived at a server that ran it.
type span struct{ sent, ran time.Time }

// ledger records what callers and servers see of organisations, and checks it while a deployment runs. A nil ledger does nothing: the
// deployment has no organisations. It is safe for concurrent use.
type ledger struct {
	t       *testing.T
	servers []*standin.Server

	mu            sync.Mutex // Guards all fields below.
	versions      []version
	sent          map[string]sentCall
	troubles      []*troubleSpan
	announcements map[*gateway][]passedOn
	announcers    map[string]map[serverStart]bool // Servers that announced that they leave, by the request that they answered.
	runs          map[string]map[string]span      // By organisation and request; of requests that ran repeatedly the first.
	checked       map[*standin.Server][2]int      // Runs and requests of the server that have been checked.
	statuses      map[string]int                  // Answers, by organisation and status.
	exceeded      map[string]bool                 // Organisations whose quota was exceeded.
	lateCalls     int                             // Calls with removed keys that may not run.
	afterDrain    int                             // Requests that may not reach servers that leave.
	lowered       int                             // Windows that were checked against a lower limit.
	peak          map[string]float64              // Largest share of the bound that was used, by organisation.
}

func newLedger(t *testing.T) *ledger {
	return &ledger{
		t: t, sent: make(map[string]sentCall), announcements: make(map[*gateway][]passedOn),
		announcers: make(map[string]map[serverStart]bool), runs: make(map[string]map[string]span),
		checked: make(map[*standin.Server][2]int), exceeded: make(map[string]bool), statuses: make(map[string]int), peak: make(map[string]float64),
	}
}

// beginVersion notes that a version of the configuration is about to be written, and returns its number and the configuration.
func (l *ledger) beginVersion(quotas map[string]quota) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.versions)
	l.versions = append(l.versions, version{begun: time.Now(), quotas: quotas})
	var list []standin.Organisation
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		o := standin.Organisation{Name: name, RatePerSecond: quotas[name].rate, Burst: quotas[name].burst}
		for _, added := range slices.Compact([]int{keyStays, n - 1, n}) {
			o.Keys = append(o.Keys, apiKey{name, added}.String())
		}
		list = append(list, o)
	}
	return n, standin.WithOrganisations(int64(n+1), list...)
}

// storedVersion notes that the store has acknowledged a version.
func (l *ledger) storedVersion(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[n].stored = time.Now()
}

// beginTrouble notes that a fault begins at a gateway. It returns the function that notes its end.
func (l *ledger) beginTrouble(fault string, g *gateway) (end func()) {
	t, ok := troubles[fault]
	if l == nil || !ok {
		return func() {}
	}
	if t.all {
		g = nil
	}
	s := &troubleSpan{kind: t.kind, gateway: g, from: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubles = append(l.troubles, s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// lastTrouble returns the end of the last trouble of the kinds that the gateway had between two times, or some gateway if it is nil. It
// reports false if there was none. A trouble that lasts ends in the far future. The caller holds mu.
func (l *ledger) lastTrouble(g *gateway, from, to time.Time, kinds trouble) (end time.Time, found bool) {
	for _, s := range l.troubles {
		until := s.to
		if until.IsZero() {
			until = s.from.Add(time.Hour)
		}
		affects := s.kind&kinds != 0 && (g == nil || s.gateway == nil || s.gateway == g)
		if affects && s.from.Before(to) && until.After(from) && until.After(end) {
			end, found = until, true
		}
	}
	return end, found
}

// begin notes that a caller sends a request to a gateway, and returns the key to send.
func (l *ledger) begin(c *caller, id string, g *gateway) string {
	if l == nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := apiKey{c.organisation, keyStays}
	switch n := c.random.IntN(30); { // Calls with a key that may be invalid wait for a read of the configuration.
	case n == 0:
		key.added = keyUnknown
	case n <= 4:
		key.added = max(0, len(l.versions)-1-c.random.IntN(7))
	}
	l.sent[id] = sentCall{key: key, gateway: g, at: time.Now()}
	if removed, ok := l.removedAt(key); ok && l.isTooLate(l.sent[id], removed, time.Now()) {
		l.lateCalls++
	}
	return key.String()
}

// removedAt returns when the store acknowledged the version that removed the key. It reports false if the key is not removed. The
// caller holds mu.
func (l *ledger) removedAt(k apiKey) (time.Time, bool) {
	if k.added < 0 || k.added+2 >= len(l.versions) || l.versions[k.added+2].stored.IsZero() {
		return time.Time{}, false
	}
	return l.versions[k.added+2].stored, true
}

// isTooLate reports whether a call may not run with a key that was removed: it was sent configApplyTime after that to a gateway that has
// been in touch with the store for as long. ran is when it arrived at a server. The caller holds mu.
func (l *ledger) isTooLate(c sentCall, removed, ran time.Time) bool {
	_, wasCut := l.lastTrouble(c.gateway, c.at.Add(-configApplyTime), ran, cut)
	return !wasCut && c.at.After(removed.Add(configApplyTime))
}

// isValid reports whether all versions of the configuration between two times contain the key. The caller holds mu.
func (l *ledger) isValid(k apiKey, from, to time.Time) bool {
	if k.added < 0 {
		return k.added == keyStays
	}
	stored, removing := l.versions[k.added].stored, k.added+2
	return !stored.IsZero() && stored.Before(from) && (removing >= len(l.versions) || l.versions[removing].begun.After(to))
}

// answered checks the head of the answer to a request.
func (l *ledger) answered(id string, resp *http.Response) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, now := l.sent[id], time.Now()
	l.statuses[fmt.Sprint(c.key.organisation, " ", resp.StatusCode)]++
	if resp.StatusCode == http.StatusUnauthorized && l.isValid(c.key, c.at, now) {
		l.t.Errorf("UNAUTHORIZED: request %s to %s with %s got 401 %v after it was sent at %s", id, c.gateway.name, c.key, now.Sub(c.at), clock(c.at))
	}
	if standin.AnnouncesLeaving(resp.Header) {
		l.announcements[c.gateway] = append(l.announcements[c.gateway], passedOn{request: id, at: now})
	}
}

// check checks what servers have got since the last check.
func (l *ledger) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		runs, requests, done := s.Runs(), s.Requests(), l.checked[s]
		for _, r := range runs[done[0]:] {
			l.checkRun(s, r)
		}
		for _, r := range requests[done[1]:] {
			l.checkDeparture(s, r)
		}
		l.checked[s] = [2]int{len(runs), len(requests)}
	}
	l.checkQuotas()
}

// checkRun checks the key and the organisation of a request that a server ran, and adds it to the use of the quota. The caller holds mu.
func (l *ledger) checkRun(s *standin.Server, r standin.Run) {
	c, ok := l.sent[r.ID]
	if !ok {
		return // See UNASKED.
	}
	where := fmt.Sprintf("request %s, sent at %s with %s to %s, ran at %s on %s", r.ID, clock(c.at), c.key, c.gateway.name, clock(r.At), s.ID)
	if !slices.Equal(r.Organisations(), []string{c.key.organisation}) {
		l.t.Errorf("ORGANISATION: %s for %q", where, r.Organisations())
	}
	if r.Contains(c.key.String()) {
		l.t.Errorf("KEY: %s and contains the key: %v", where, r.Header)
	}
	if c.key.added == keyUnknown {
		l.t.Errorf("UNKNOWN: %s, but no configuration ever contained the key", where)
	}
	if removed, ok := l.removedAt(c.key); ok && l.isTooLate(c, removed, r.At) {
		l.t.Errorf("REMOVED: %s, %v after the key was removed", where, c.at.Sub(removed))
	}
	if l.runs[c.key.organisation] == nil {
		l.runs[c.key.organisation] = make(map[string]span)
	}
	if known, ok := l.runs[c.key.organisation][r.ID]; !ok || r.At.Before(known.ran) {
		l.runs[c.key.organisation][r.ID] = span{sent: c.at, ran: r.At}
	}
}

// checkDeparture checks that a request did not reach a server of which the gateway had passed on that it leaves. The caller holds mu.
func (l *ledger) checkDeparture(s *standin.Server, r standin.Request) {
	start := serverStart{s.ID, r.Born}
	if r.Leaving && r.ID != "" {
		if l.announcers[r.ID] == nil {
			l.announcers[r.ID] = make(map[serverStart]bool)
		}
		l.announcers[r.ID][start] = true
	}
	c, ok := l.sent[r.ID]
	if !ok {
		return
	}
	for _, p := range l.announcements[c.gateway] {
		if l.bindsGateway(p, start, c, r.At) {
			l.t.Errorf("LEAVING: request %s, sent at %s, reached %s at %s by way of %s, which had passed on the announcement with request %s at %s",
				r.ID, clock(c.at), s.ID, clock(r.At), c.gateway.name, p.request, clock(p.at))
			return
		}
	}
}

// bindsGateway reports whether an announcement forbids a call to reach the server. An answer after several announcements, which may be
// of any of the servers, forbids nothing. The caller holds mu.
func (l *ledger) bindsGateway(p passedOn, start serverStart, c sentCall, arrived time.Time) bool {
	if announcers := l.announcers[p.request]; len(announcers) != 1 || !announcers[start] || !c.at.After(p.at.Add(drainTime)) {
		return false
	}
	_, exempt := l.lastTrouble(c.gateway, l.sent[p.request].at, arrived, paused|restarted)
	return !exempt
}

// boundSince returns from when on windows are bound by a version: all gateways have been reachable for configApplyTime since it was
// acknowledged. It reports false if that is not so yet. The caller holds mu.
func (l *ledger) boundSince(v version) (time.Time, bool) {
	if v.stored.IsZero() {
		return time.Time{}, false
	}
	from := v.stored
	for {
		until := from.Add(configApplyTime)
		if until.After(time.Now()) {
			return time.Time{}, false
		}
		end, found := l.lastTrouble(nil, from, until, cut|paused|restarted)
		if !found {
			return until, true
		}
		from = end
	}
}

// checkQuotas checks the use of each quota in each window that begins when a request was sent. The caller holds mu.
func (l *ledger) checkQuotas() {
	bound := make([]time.Time, len(l.versions)) // From when on the version, or a later one, binds; zero: not yet.
	for i := len(l.versions) - 1; i >= 0; i-- {
		if since, ok := l.boundSince(l.versions[i]); ok {
			bound[i] = since
		}
		if later := i + 1; later < len(bound) && !bound[later].IsZero() && (bound[i].IsZero() || bound[later].Before(bound[i])) {
			bound[i] = bound[later]
		}
	}
	for name, runs := range l.runs {
		list := slices.SortedFunc(maps.Values(runs), func(a, b span) int { return a.sent.Compare(b.sent) })
		for i, first := range list {
			end, n := first.sent.Add(quotaWindow), 0
			for _, r := range list[i:] {
				if r.sent.After(end) {
					break
				}
				if !r.ran.After(end) {
					n++
				}
			}
			l.checkWindow(name, first.sent, n, bound)
		}
	}
}

// checkWindow checks the use of a quota in one window. Each version whose successors did not bind yet may allow it. bound says from when
// on a version, or a later one, binds. The caller holds mu.
func (l *ledger) checkWindow(name string, from time.Time, n int, bound []time.Time) {
	limit, highest := 0.0, 0.0
	for i, v := range l.versions {
		q := v.quotas[name]
		if q.rate == 0 {
			return
		}
		highest = max(highest, q.bound())
		isReplaced := i+1 < len(bound) && !bound[i+1].IsZero() && !from.Before(bound[i+1])
		if !isReplaced && v.begun.Before(from.Add(quotaWindow)) {
			limit = max(limit, q.bound())
		}
	}
	if limit < highest {
		l.lowered++
	}
	l.peak[name] = max(l.peak[name], float64(n)/limit)
	if float64(n) > limit && !l.exceeded[name] {
		l.exceeded[name] = true
		l.t.Errorf("QUOTA: %d requests of %s ran in the window from %s, bound %.1f", n, name, clock(from), limit)
	}
}

// report logs how much was checked.
func (l *ledger) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.announcements {
		for _, c := range l.sent {
			if slices.ContainsFunc(list, func(p passedOn) bool { return c.at.After(p.at.Add(drainTime)) }) {
				l.afterDrain++
			}
		}
	}
	l.t.Logf("%d versions, %d calls with keys removed too long ago, %d calls after a drain, %d windows under a lowered limit, use of bounds %v, answers %v",
		len(l.versions), l.lateCalls, l.afterDrain, l.lowered, l.peak, l.statuses)
}

// clock returns the time of day as gateways log it, up to the time zone.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// randomQuotas returns quotas for the organisations of a deployment: steady has none, flood needs much more than its own.
func randomQuotas(random *rand.Rand) map[string]quota {
	return map[string]quota{
		"steady": {},
		"small":  {rate: 20 + 60*random.Float64(), burst: 40 * random.Float64()},
		"flood":  {rate: 10 + 30*random.Float64(), burst: 40 * random.Float64()},
	}
}

// lowestQuotas are below all of randomQuotas.
var lowestQuotas = map[string]quota{"steady": {}, "small": {rate: 15, burst: 10}, "flood": {rate: 4, burst: 2}}
