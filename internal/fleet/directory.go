package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// View is one moment of what the process believes. It does not change.
type View struct {
	Config    *Config // nil until the first configuration arrived.
	byID      map[string]*BackendServer
	byService map[string][]*BackendServer // Without draining servers, by id.
	addresses map[string]bool
}

// Server returns the backend server with the id, or nil.
func (v *View) Server(id string) *BackendServer { return v.byID[id] }

// Len returns the number of backend servers, draining ones included.
func (v *View) Len() int { return len(v.byID) }

// Usable returns the backend servers of a service that take new calls, ordered by id. The slice must not be changed.
func (v *View) Usable(service string) []*BackendServer { return v.byService[service] }

// Directory keeps the newest view. Reading never waits.
type Directory struct {
	view atomic.Pointer[View]

	mu      sync.Mutex // Serialises changes. Guards servers.
	servers map[string]*BackendServer
	lapsed  map[string]time.Time // Guarded by mu. Servers that left the list and may come back until then.
}

// NewDirectory returns a directory that knows nothing.
func NewDirectory() *Directory {
	d := &Directory{servers: make(map[string]*BackendServer)}
	d.view.Store(&View{})
	d.lapsed = make(map[string]time.Time)
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Configure takes a configuration unless a newer one is in force, and reports whether it did. Versions never go back.
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

// Replace takes the whole list of backend servers as of a revision. Servers that were heard of later stay, and until grace
// (zero: not at all) those that are missing. It returns the ids that came and went.
func (d *Directory) Replace(list []*BackendServer, revision int64, grace time.Time) (joined, left []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]*BackendServer, len(list))
	for _, s := range list {
		listed[s.ID] = s
	}
	for id, have := range d.servers {
		if listed[id] == nil && have.Revision <= revision && d.leave(id, grace) {
			left = append(left, id)
		}
	}
	for id, s := range listed {
		have := d.servers[id]
		if have != nil && have.Revision >= s.Revision {
			continue
		}
		if have == nil {
			joined = append(joined, id)
		}
		d.servers[id] = s
		delete(d.lapsed, id)
	}
	d.publish()
	return joined, left
}

// Upsert takes one backend server unless something newer is known of it, and reports whether it did.
func (d *Directory) Upsert(s *BackendServer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if have := d.servers[s.ID]; have != nil && have.Revision >= s.Revision {
		return false
	}
	d.servers[s.ID] = s
	delete(d.lapsed, s.ID)
	d.publish()
	return true
}

// leave drops a backend server, or lets it stay until grace: entries that lapsed while the service was away come back soon
// after it. It reports whether the server is gone. The caller holds mu.
func (d *Directory) leave(id string, grace time.Time) bool {
	if grace.IsZero() {
		delete(d.servers, id)
		delete(d.lapsed, id)
		return true
	}
	if _, ok := d.lapsed[id]; !ok {
		d.lapsed[id] = grace
	}
	return false
}

// Expire drops the servers that left the list and did not come back in time, and returns their ids.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []string
	for id, grace := range d.lapsed {
		if now.After(grace) {
			delete(d.servers, id)
			delete(d.lapsed, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.publish()
	}
	return gone
}

// Remove drops a backend server that was gone at the revision, or lets it stay until grace (zero: not at all). It reports
// whether the server is gone.
func (d *Directory) Remove(id string, revision int64, grace time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	have := d.servers[id]
	if have == nil || have.Revision > revision || !d.leave(id, grace) {
		return false
	}
	d.publish()
	return true
}

// publish makes a view of the servers. The caller holds mu.
func (d *Directory) publish() {
	next := &View{
		Config:    d.view.Load().Config,
		byID:      make(map[string]*BackendServer, len(d.servers)),
		byService: make(map[string][]*BackendServer),
		addresses: make(map[string]bool, len(d.servers)),
	}
	for id, s := range d.servers {
		next.byID[id] = s
		next.addresses[s.Address] = true
		if !s.Draining {
			next.byService[s.Service] = append(next.byService[s.Service], s)
		}
	}
	for _, list := range next.byService {
		slices.SortFunc(list, func(a, b *BackendServer) int { return strings.Compare(a.ID, b.ID) })
	}
	d.view.Store(next)
}

// Services returns the names of the services that have usable backend servers.
func (v *View) Services() []string { return slices.Collect(maps.Keys(v.byService)) }

// Engines returns the usable backend servers that are engines, by service and id.
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
