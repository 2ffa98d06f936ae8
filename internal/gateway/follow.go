package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	watchWait  = 2500 * time.Millisecond // A connection that fell silent is noticed this long after.
	retryPause = 150 * time.Millisecond  // After a call to the service failed.
	// returnGrace is how long after an outage servers that lapsed in it may take to come back to the list.
	returnGrace = 2200 * time.Millisecond
)

// followConfig keeps the configuration up to date until ctx ends.
func (g *Gateway) followConfig(ctx context.Context) {
	f := follower{g: g, prefix: g.catalogue.ConfigPrefix, apply: func(e ports.WatchEvent) {
		if e.Key == g.catalogue.ConfigKey && !e.Deleted {
			g.configure(e.KeyValue)
		}
	}}
	f.list = func(ctx context.Context) (int64, error) {
		page, err := g.store.ReadRange(ctx, g.catalogue.ConfigPrefix, "", ports.Linearizable)
		for _, item := range page.Items {
			f.apply(ports.WatchEvent{KeyValue: item})
		}
		return page.Revision, err
	}
	f.run(ctx)
}

func (g *Gateway) configure(item ports.KeyValue) {
	config, err := g.catalogue.DecodeConfig(item.Value)
	if err != nil {
		g.log.Error("configuration cannot be read", "revision", item.Revision, "error", err)
		return
	}
	if g.directory.Configure(config) {
		g.log.Info("configuration in force", "version", config.Version, "revision", item.Revision, "routes", len(config.Routes))
	}
}

// followServers keeps the list of backend servers up to date until ctx ends.
func (g *Gateway) followServers(ctx context.Context) {
	f := follower{g: g, prefix: g.catalogue.ServerPrefix, apply: g.applyServer, list: g.listServers}
	f.run(ctx)
}

func (g *Gateway) applyServer(e ports.WatchEvent) {
	id := g.catalogue.ServerIDOfKey(e.Key)
	if e.Deleted {
		if g.directory.Remove(id, e.Revision) {
			g.log.Info("backend server left the list", "server", id, "revision", e.Revision)
		}
		return
	}
	server, err := g.catalogue.DecodeServer(e.KeyValue)
	if err != nil {
		g.log.Warn("entry of the list of backend servers ignored", "key", e.Key, "revision", e.Revision, "error", err)
		g.directory.Remove(id, e.Revision)
		return
	}
	if g.directory.Upsert(server) {
		g.log.Info("backend server listed", "server", id, "service", server.Service, "address", server.Address,
			"draining", server.Draining, "born", server.Born, "revision", e.Revision)
	}
}

// listServers reads the whole list. It goes on from the revision of the first page, since pages are not one moment.
func (g *Gateway) listServers(ctx context.Context) (int64, error) {
	var servers []*fleet.BackendServer
	first, after := int64(0), ""
	for {
		page, err := g.store.ReadRange(ctx, g.catalogue.ServerPrefix, after, ports.Linearizable)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, item := range page.Items {
			after = item.Key
			server, err := g.catalogue.DecodeServer(item)
			if err != nil {
				g.log.Warn("entry of the list of backend servers ignored", "key", item.Key, "revision", item.Revision, "error", err)
				continue
			}
			servers = append(servers, server)
		}
		if !page.More {
			break
		}
	}
	joined, left := g.directory.Replace(servers, first)
	if len(joined)+len(left) > 0 {
		g.log.Info("backend servers read", "servers", len(servers), "joined", len(joined), "left", left, "revision", first)
	}
	return first, nil
}

// follower keeps a copy of the keys with a prefix: it lists them and then waits for changes.
type follower struct {
	g      *Gateway
	prefix string
	list   func(ctx context.Context) (revision int64, err error)
	apply  func(ports.WatchEvent)
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err == nil {
			err = f.watch(ctx, revision)
		}
		if !errors.Is(err, ports.ErrCompacted) {
			pause(ctx, retryPause)
		}
	}
}

// watch applies changes after the revision. A failed wait is repeated from where it was: only lost history needs a new
// list.
func (f *follower) watch(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		events, next, err := f.g.store.Await(ctx, f.prefix, revision, watchWait)
		switch {
		case errors.Is(err, ports.ErrCompacted):
			return err
		case err != nil:
			pause(ctx, retryPause)
			continue
		}
		for _, e := range events {
			f.apply(e)
		}
		revision = next
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchedStore notes whether the key-value service answers, and since when.
type watchedStore struct {
	ports.Store
	log     *slog.Logger
	metrics *metrics

	mu       sync.Mutex
	failures int       // Guarded by mu. Calls in a row that got no answer.
	lost     time.Time // Guarded by mu. When the first of them failed.
	down     bool      // Guarded by mu.
	back     time.Time // Guarded by mu. End of the last outage.
}

func newWatchedStore(s ports.Store, log *slog.Logger, m *metrics) *watchedStore {
	return &watchedStore{Store: s, log: log, metrics: m}
}

// failuresOfOutage is how many calls in a row must fail before the service counts as away.
const failuresOfOutage = 2

// observe notes the outcome of a call.
func (s *watchedStore) observe(err error) {
	s.metrics.storeCalls.Inc()
	failed := errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrAmbiguous)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case failed:
		s.metrics.storeFailures.Inc()
		if s.failures == 0 {
			s.lost = time.Now()
		}
		s.failures++
		if s.failures >= failuresOfOutage && !s.down {
			s.down = true
			s.log.Warn("dependency lost", "dependency", "store", "failures", s.failures, "error", err)
		}
	case s.down:
		s.down, s.failures, s.back = false, 0, time.Now()
		s.log.Info("dependency regained", "dependency", "store", "after_ms", time.Since(s.lost).Milliseconds())
	default:
		s.failures = 0
	}
}

// isDown reports whether the service is believed to be away.
func (s *watchedStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Read implements ports.Store.
func (s *watchedStore) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	item, err := s.Store.Read(ctx, key, fresh)
	s.observe(err)
	return item, err
}

// ReadRange implements ports.Store.
func (s *watchedStore) ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	page, err := s.Store.ReadRange(ctx, prefix, after, fresh)
	s.observe(err)
	return page, err
}

// Await implements ports.Store.
func (s *watchedStore) Await(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]ports.WatchEvent, int64, error) {
	events, revision, err := s.Store.Await(ctx, prefix, after, wait)
	s.observe(err)
	return events, revision, err
}

// Commit implements ports.Store.
func (s *watchedStore) Commit(ctx context.Context, t ports.Transaction) (int64, error) {
	revision, err := s.Store.Commit(ctx, t)
	s.observe(err)
	return revision, err
}
