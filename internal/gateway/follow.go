package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	watchWait  = 2500 * time.Millisecond // A connection that fell silent is noticed this long after.
	retryPause = 150 * time.Millisecond  // After a call to the service failed.
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
			f.g.store.pauseAfterFailure(ctx)
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
			f.g.store.pauseAfterFailure(ctx)
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
