package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable snapshot of the configuration and the backend servers as known to the process.
type View struct {
	Config    *Config // nil until the first configuration arrives.
	byID      map[string]*BackendServer
	byService map[string][]*BackendServer // Without draining servers, sorted by id.
	addresses map[string]bool             // Addresses of all servers, draining ones included.
	withdrawn map[string]Withdrawal       // See Withdrawal.
}

// Server returns the backend server with the id, or nil.
func (v *View) Server(id string) *BackendServer { return v.byID[id] }

// Withdrawal returns since when the server takes no new calls by the list: it drains, or has left. It reports false if the server takes
// calls, or has left too long ago.
func (v *View) Withdrawal(id string) (Withdrawal, bool) {
	w, ok := v.withdrawn[id]
	return w, ok
}

// WithConfig returns a view of the same servers with another configuration.
func (v *View) WithConfig(c *Config) *View {
	if v.Config == c {
		return v
	}
	other := *v
	other.Config = c
	return &other
}

// Len returns the number of backend servers, draining ones included.
func (v *View) Len() int { return len(v.byID) }

// Usable returns the backend servers of a service that take new calls, sorted by id. The caller must not modify the slice.
func (v *View) Usable(service string) []*BackendServer { return v.byService[service] }

// Directory holds the newest view. Reading it never blocks. It is safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]

	mu         sync.Mutex                // Serialises changes.
	servers    map[string]*BackendServer // Guarded by mu.
	graceUntil map[string]time.Time      // Guarded by mu. Until when servers that left the list are kept, by id.
	departure  Departures                // Guarded by mu. nil: no server leaves other than by its entry.
	withdrawn  map[string]Withdrawal     // Guarded by mu. See View.Withdrawal.
	dirty      bool                      // Guarded by mu. withdrawn has changed since the view was published.
	confirmed  time.Time                 // Guarded by mu. See Confirm.
}

// Withdrawal tells that a server takes no new calls by the list.
type Withdrawal struct {
	Since time.Time // The key-value service has not acknowledged it earlier; zero: unknown. It may have done so up to Known.
	Known time.Time // When it became known here.

	born   int64 // Start of the run that drains; 0 if none is known to.
	drains bool  // The entry has said so. It holds for the whole run: an entry that says otherwise was written late.
}

// Departure tells whether a server that is not draining by its entry takes new calls.
type Departure int

// Values of Departure.
const (
	Staying Departure = iota
	Leaving           // It takes calls only while its service has no server that stays.
	Left              // It takes no calls.
)

// Departures returns the departure of a server. It must not use the Directory.
type Departures func(s *BackendServer) Departure

// SetDepartures makes views hide servers that leave. It must be called before the first server is added.
func (d *Directory) SetDepartures(f Departures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departure = f
}

// Refresh replaces the view after the departure of a server has changed.
func (d *Directory) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish()
}

// NewDirectory returns a directory without a configuration or backend servers.
func NewDirectory() *Directory {
	d := &Directory{servers: make(map[string]*BackendServer)}
	d.view.Store(&View{})
	d.graceUntil, d.withdrawn = make(map[string]time.Time), make(map[string]Withdrawal)
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Configure applies a configuration if its version is higher than that of the current one, and reports whether it did.
func (d *Directory) Configure(c *Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	if old.Config != nil && old.Config.Version >= c.Version {
		return false
	}
	next := *old
	next.Config = c
	d.view.Store(&next)
	return true
}

// Replace applies the complete list of backend servers as of a revision. Servers with a later revision are kept. Servers
// that are missing from the list are kept until keepUntil, or removed immediately if keepUntil is zero. It returns the ids
// of the added and the removed servers.
func (d *Directory) Replace(list []*BackendServer, revision int64, keepUntil time.Time) (added, removed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]*BackendServer, len(list))
	for _, s := range list {
		listed[s.ID] = s
	}
	for id, known := range d.servers {
		if listed[id] == nil && known.Revision <= revision && d.removeOrDefer(id, keepUntil) {
			removed = append(removed, id)
		}
	}
	for id, s := range listed {
		known := d.servers[id]
		if known != nil && known.Revision >= s.Revision {
			continue
		}
		if known == nil {
			added = append(added, id)
		}
		d.put(s)
	}
	d.publish()
	return added, removed
}

// Upsert adds or replaces a backend server unless a revision at least as new is known, and reports whether it did.
func (d *Directory) Upsert(s *BackendServer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.servers[s.ID]; known != nil && known.Revision >= s.Revision {
		return false
	}
	d.put(s)
	d.publish()
	return true
}

// put adds or replaces a backend server. A run of a server that has drained goes on draining. The caller holds mu.
func (d *Directory) put(s *BackendServer) {
	if w := d.withdrawn[s.ID]; w.drains && s.Born != 0 && w.born == s.Born && !s.Draining {
		draining := *s
		draining.Draining = true
		s = &draining
	}
	d.servers[s.ID] = s
	delete(d.graceUntil, s.ID)
	if !s.Draining {
		if _, ok := d.withdrawn[s.ID]; ok {
			delete(d.withdrawn, s.ID)
			d.dirty = true
		}
		return
	}
	d.withdraw(s.ID)
	w := d.withdrawn[s.ID]
	w.drains, w.born = true, s.Born
	d.withdrawn[s.ID], d.dirty = w, true
}

// delete removes a backend server. The caller holds mu.
func (d *Directory) delete(id string) {
	delete(d.servers, id)
	delete(d.graceUntil, id)
	d.withdraw(id)
	if len(d.withdrawn) > maxWithdrawn+len(d.servers) {
		d.forgetWithdrawn()
	}
}

// forgetWithdrawn forgets the older half of the servers that have left. The caller holds mu.
func (d *Directory) forgetWithdrawn() {
	left := make([]time.Time, 0, len(d.withdrawn))
	for id, w := range d.withdrawn {
		if d.servers[id] == nil {
			left = append(left, w.Known)
		}
	}
	slices.SortFunc(left, time.Time.Compare)
	middle := left[len(left)/2]
	d.dirty = true
	maps.DeleteFunc(d.withdrawn, func(id string, w Withdrawal) bool { return d.servers[id] == nil && w.Known.Before(middle) })
}

// withdraw records that a server takes no new calls from now on, unless that is known. The caller holds mu.
func (d *Directory) withdraw(id string) {
	if _, known := d.withdrawn[id]; !known {
		d.withdrawn[id], d.dirty = Withdrawal{Since: d.confirmed, Known: time.Now()}, true
	}
}

// Confirm records that the list holds all changes that the key-value service acknowledged before the given time.
func (d *Directory) Confirm(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.confirmed) {
		d.confirmed = at
	}
}

// ConfirmedAt returns the latest time that was passed to Confirm.
func (d *Directory) ConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// withdrawnRetention is how long it is known that a server has left. It is longer than any call takes.
const withdrawnRetention = 5 * time.Minute

// maxWithdrawn bounds the servers of which it is known that they have left, as each view has a copy. It is far more than leave while
// a call lasts.
const maxWithdrawn = 1000

// removeOrDefer removes a backend server if keepUntil is zero, and otherwise keeps it until then: registrations that expired
// during an outage of the key-value service are renewed soon after it. It reports whether the server was removed. The
// caller holds mu.
func (d *Directory) removeOrDefer(id string, keepUntil time.Time) bool {
	if keepUntil.IsZero() {
		d.delete(id)
		return true
	}
	if _, ok := d.graceUntil[id]; !ok {
		d.graceUntil[id] = keepUntil
	}
	return false
}

// Expire removes the servers that left the list and did not return within their grace time, and returns their ids.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []string
	for id, keepUntil := range d.graceUntil {
		if now.After(keepUntil) {
			d.delete(id)
			expired = append(expired, id)
		}
	}
	known := len(d.withdrawn)
	maps.DeleteFunc(d.withdrawn, func(id string, w Withdrawal) bool {
		return d.servers[id] == nil && now.Sub(w.Known) > withdrawnRetention
	})
	d.dirty = d.dirty || len(d.withdrawn) != known
	if len(expired) > 0 {
		d.publish()
	}
	return expired
}

// Remove removes a backend server that was deleted at the revision. If keepUntil is not zero, the server is kept until
// then. It reports whether the server was removed.
func (d *Directory) Remove(id string, revision int64, keepUntil time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.servers[id]
	if known == nil || known.Revision > revision || !d.removeOrDefer(id, keepUntil) {
		return false
	}
	d.publish()
	return true
}

// publish replaces the view by one of the current servers. The caller holds mu.
func (d *Directory) publish() {
	current := d.view.Load()
	next := &View{
		Config:    current.Config,
		byID:      make(map[string]*BackendServer, len(d.servers)),
		byService: make(map[string][]*BackendServer),
		addresses: make(map[string]bool, len(d.servers)),
		withdrawn: current.withdrawn,
	}
	if d.dirty {
		next.withdrawn, d.dirty = maps.Clone(d.withdrawn), false
	}
	leaving := make(map[string][]*BackendServer)
	for id, s := range d.servers {
		next.byID[id] = s
		next.addresses[s.Address] = true
		if s.Draining {
			continue
		}
		switch d.departureOf(s) {
		case Staying:
			next.byService[s.Service] = append(next.byService[s.Service], s)
		case Leaving:
			leaving[s.Service] = append(leaving[s.Service], s)
		}
	}
	for service, list := range leaving {
		if len(next.byService[service]) == 0 {
			next.byService[service] = list
		}
	}
	for _, list := range next.byService {
		slices.SortFunc(list, func(a, b *BackendServer) int { return strings.Compare(a.ID, b.ID) })
	}
	d.view.Store(next)
}

// departureOf returns the departure of a server. The caller holds mu.
func (d *Directory) departureOf(s *BackendServer) Departure {
	if d.departure == nil {
		return Staying
	}
	return d.departure(s)
}

// Services returns the names of the services that have usable backend servers, in any order.
func (v *View) Services() []string { return slices.Collect(maps.Keys(v.byService)) }

// Engines returns the usable backend servers that are engines, sorted by service and id.
func (v *View) Engines() []*BackendServer {
	if v.Config == nil {
		return nil
	}
	var engines []*BackendServer
	for _, service := range slices.Sorted(maps.Keys(v.byService)) {
		if v.Config.Services[service].Engine != nil {
			engines = append(engines, v.byService[service]...)
		}
	}
	return engines
}

// HasAddress reports whether a backend server has the address.
func (v *View) HasAddress(address string) bool { return v.addresses[address] }
