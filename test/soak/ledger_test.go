package soak

import (
	"fmt"
	"maps"
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

// Values of sentCall.added in place of the version that added the key.
const (
	keyStays   = -1 // All versions contain the key.
	keyUnknown = -2 // No version ever contains it.
)

// sentCall is a call of a caller.
type sentCall struct {
	id, organisation string
	added            int // Version that added its key.
	gateway          *gateway
	at               time.Time
	ran              time.Time // When it first arrived at a server that ran it; zero if none did.
	announced        time.Time // When its caller had an answer that announces that the server leaves; zero if there was none.
}

// keyText returns the key of an organisation that a version added.
func keyText(organisation string, added int) string {
	return fmt.Sprintf("key:%s:%d", organisation, added)
}

func (c *sentCall) String() string {
	return fmt.Sprintf("request %s, sent at %s with %s to %s", c.id, clock(c.at), keyText(c.organisation, c.added), c.gateway.name)
}

// clock returns the time of day as gateways log it.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// serverStart is one run of a server.
type serverStart struct {
	server string
	born   int64
}

// trouble is what keeps a gateway from working as usual.
type trouble int

const (
	cut       trouble = 1 << iota // The store or the link to it is in trouble.
	paused                        // The process is suspended.
	restarted                     // The process is ended and started again.
)

// troubles says what the faults do to gateways.
var troubles = map[string]trouble{
	"kill": restarted, "kill all": restarted, "term": restarted, "freeze": paused, "long freeze": paused, "long cut": cut,
	"store unavailable": cut, storeBroken: cut, "link delayed": cut, "link dropping data": cut, "link with zero bandwidth": cut, "link reset": cut,
}

// troubleSpan is the time of a trouble of a gateway. It has no end while the trouble lasts.
type troubleSpan struct {
	kind     trouble
	gateway  *gateway // Nil: all.
	from, to time.Time
}

// ledger records what callers and servers see of organisations, and checks it while a deployment runs. A nil ledger does nothing: the
// deployment has no organisations. It is safe for concurrent use.
type ledger struct {
	t       *testing.T
	servers []*standin.Server

	mu            sync.Mutex // Guards all fields below.
	versions      []version
	sent          map[string]*sentCall
	troubles      []*troubleSpan
	announcements map[*gateway][]*sentCall   // Calls whose answers announced that the server leaves.
	announcers    map[string]serverStart     // Server that announced so in its answer to a request; zero if several did.
	checked       map[*standin.Server][2]int // Runs and requests of the server that have been checked.
	exceeded      map[string]bool            // Organisations whose quota was exceeded.
	late, lowered int                        // Calls with keys removed too long ago; windows checked against a lowered limit.
	peak          map[string]float64         // Largest share of the bound that an organisation used.
}

func newLedger(t *testing.T) *ledger {
	return &ledger{
		t: t, sent: make(map[string]*sentCall), announcements: make(map[*gateway][]*sentCall), announcers: make(map[string]serverStart),
		checked: make(map[*standin.Server][2]int), exceeded: make(map[string]bool), peak: make(map[string]float64),
	}
}

// beginVersion notes that a version of the configuration is about to be written, and returns the configuration.
func (l *ledger) beginVersion(quotas map[string]quota) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.versions)
	l.versions = append(l.versions, version{begun: time.Now(), quotas: quotas})
	var list []standin.Organisation
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		o := standin.Organisation{Name: name, RatePerSecond: quotas[name].rate, Burst: quotas[name].burst}
		for _, added := range slices.Compact([]int{keyStays, n - 1, n}) {
			o.Keys = append(o.Keys, keyText(name, added))
		}
		list = append(list, o)
	}
	return standin.WithOrganisations(int64(n+1), list...)
}

// storedVersion notes that the store has acknowledged the last version.
func (l *ledger) storedVersion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[len(l.versions)-1].stored = time.Now()
}

// beginTrouble notes that a fault begins at a gateway. It returns the function that notes its end.
func (l *ledger) beginTrouble(fault string, g *gateway) (end func()) {
	if l == nil {
		return func() {}
	}
	s := &troubleSpan{kind: troubles[fault], gateway: g, from: time.Now()}
	if fault == "kill all" || fault == "store unavailable" {
		s.gateway = nil
	}
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
	s := &sentCall{id: id, organisation: c.organisation, added: keyStays, gateway: g, at: time.Now()}
	switch n := c.random.IntN(30); { // Calls with a key that may be invalid wait for a read of the configuration.
	case n == 0:
		s.added = keyUnknown
	case n <= 4:
		s.added = max(0, len(l.versions)-1-c.random.IntN(7))
	}
	l.sent[id] = s
	if l.isTooLate(s, time.Now()) {
		l.late++
	}
	return keyText(s.organisation, s.added)
}

// isTooLate reports whether a call may not run with its key: it was sent configApplyTime after the store acknowledged the version that
// removed the key, to a gateway that had been in touch with the store for as long. ran is when it arrived at a server. The caller holds mu.
func (l *ledger) isTooLate(c *sentCall, ran time.Time) bool {
	if c.added < 0 || c.added+2 >= len(l.versions) || l.versions[c.added+2].stored.IsZero() {
		return false
	}
	_, wasCut := l.lastTrouble(c.gateway, c.at.Add(-configApplyTime), ran, cut)
	return !wasCut && c.at.After(l.versions[c.added+2].stored.Add(configApplyTime))
}

// isValid reports whether all versions of the configuration since a call was sent contain its key. The caller holds mu.
func (l *ledger) isValid(c *sentCall) bool {
	if c.added < 0 {
		return c.added == keyStays
	}
	stored := l.versions[c.added].stored
	return !stored.IsZero() && stored.Before(c.at) && c.added+2 >= len(l.versions)
}

// answered checks the head of the answer to a request.
func (l *ledger) answered(id string, resp *http.Response) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, now := l.sent[id], time.Now()
	if resp.StatusCode == http.StatusUnauthorized && l.isValid(c) {
		l.t.Errorf("UNAUTHORIZED: %s, got 401 at %s", c, clock(now))
	}
	if standin.AnnouncesLeaving(resp.Header) {
		c.announced = now
		l.announcements[c.gateway] = append(l.announcements[c.gateway], c)
	}
}

// check checks what servers have got since the last check.
func (l *ledger) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		runs, requests, done := s.Runs(), s.Requests(), l.checked[s]
		for _, r := range runs[done[0]:] {
			if c := l.sent[r.ID]; c != nil { // Others: see UNASKED.
				l.checkRun(c, s, r)
			}
		}
		for _, r := range requests[done[1]:] {
			if c := l.sent[r.ID]; c != nil {
				l.checkDeparture(c, serverStart{s.ID, r.Born}, r)
			}
		}
		l.checked[s] = [2]int{len(runs), len(requests)}
	}
	l.checkQuotas()
}

// checkRun checks the key and the organisation of a request that a server ran. The caller holds mu.
func (l *ledger) checkRun(c *sentCall, s *standin.Server, r standin.Run) {
	if c.ran.IsZero() || r.At.Before(c.ran) {
		c.ran = r.At
	}
	if !slices.Equal(r.Organisations(), []string{c.organisation}) {
		l.t.Errorf("ORGANISATION: %s, ran on %s for %q", c, s.ID, r.Organisations())
	}
	if r.Contains(keyText(c.organisation, c.added)) {
		l.t.Errorf("KEY: %s, showed the key to %s: %v", c, s.ID, r.Header)
	}
	if c.added == keyUnknown {
		l.t.Errorf("UNKNOWN: %s, ran on %s at %s, but no configuration ever contained the key", c, s.ID, clock(r.At))
	}
	if l.isTooLate(c, r.At) {
		l.t.Errorf("REMOVED: %s, ran on %s at %s; the key was removed at %s", c, s.ID, clock(r.At), clock(l.versions[c.added+2].stored))
	}
}

// checkDeparture checks that a request did not reach a server long after the gateway had passed on that the server leaves, unless the
// gateway was restarted or suspended since. Answers that may be of one of several leaving servers bind nobody. The caller holds mu.
func (l *ledger) checkDeparture(c *sentCall, start serverStart, r standin.Request) {
	if known, ok := l.announcers[r.ID]; r.Leaving && ok && known != start {
		l.announcers[r.ID] = serverStart{}
	} else if r.Leaving {
		l.announcers[r.ID] = start
	}
	for _, a := range l.announcements[c.gateway] {
		if l.announcers[a.id] != start || !c.at.After(a.announced.Add(drainTime)) {
			continue
		}
		if _, exempt := l.lastTrouble(c.gateway, a.at, r.At, paused|restarted); !exempt {
			l.t.Errorf("LEAVING: %s, reached %s at %s; the gateway passed on its announcement with %s at %s", c, start.server, clock(r.At), a.id, clock(a.announced))
			return
		}
	}
}

// boundSince returns from when on windows are bound by a version: all gateways have been reachable for configApplyTime since it was
// acknowledged. It reports false if that is not so yet. The caller holds mu.
func (l *ledger) boundSince(v version) (time.Time, bool) {
	for from := v.stored; !from.IsZero() && time.Since(from) >= configApplyTime; {
		until := from.Add(configApplyTime)
		end, found := l.lastTrouble(nil, from, until, cut|paused|restarted)
		if !found {
			return until, true
		}
		from = end
	}
	return time.Time{}, false
}

// checkQuotas checks the use of each quota in each window that begins when a request was sent. The caller holds mu.
func (l *ledger) checkQuotas() {
	bound := make([]time.Time, len(l.versions)) // From when on the version binds; far future: not yet.
	for i, v := range l.versions {
		var ok bool
		if bound[i], ok = l.boundSince(v); !ok {
			bound[i] = time.Now().Add(time.Hour)
		}
	}
	ran := make(map[string][]*sentCall)
	for _, c := range l.sent {
		if !c.ran.IsZero() && l.versions[0].quotas[c.organisation].rate > 0 {
			ran[c.organisation] = append(ran[c.organisation], c)
		}
	}
	for name, list := range ran {
		slices.SortFunc(list, func(a, b *sentCall) int { return a.at.Compare(b.at) })
		for i, first := range list {
			end, n := first.at.Add(quotaWindow), 0.0
			for _, c := range list[i:] {
				if c.at.After(end) {
					break
				}
				if !c.ran.After(end) {
					n++
				}
			}
			limit := l.limit(name, first.at, bound)
			l.peak[name] = max(l.peak[name], n/limit)
			if n > limit && !l.exceeded[name] {
				l.exceeded[name] = true
				l.t.Errorf("QUOTA: %.0f requests of %s ran in the window from %s, bound %.1f", n, name, clock(first.at), limit)
			}
		}
	}
}

// limit returns how many requests of an organisation may run in the window from a time. A version may allow them if it was written
// before the end of the window, and no later one was binding at its beginning. The caller holds mu.
func (l *ledger) limit(name string, from time.Time, bound []time.Time) float64 {
	limit, highest := 0.0, 0.0
	for i, v := range l.versions {
		if !bound[i].After(from) {
			limit = 0
		}
		if v.begun.Before(from.Add(quotaWindow)) {
			limit = max(limit, v.quotas[name].bound())
			highest = max(highest, limit)
		}
	}
	if limit < highest {
		l.lowered++
	}
	return limit
}

// report logs how much was checked.
func (l *ledger) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.t.Logf("%d versions, %d calls with keys removed too long ago, %d checks of lowered quotas, use of bounds %v, %d requests got announcements",
		len(l.versions), l.late, l.lowered, l.peak, len(l.announcers))
}
