package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	watchWait  = 2500 * time.Millisecond // A connection that fell silent is noticed this long after.
	retryPause = 150 * time.Millisecond  // After a call to the service failed.
	followStep = 50 * time.Millisecond   // Between two looks at whether a hub is still followed.
)

// follower keeps a copy of the keys with a prefix up to date, by the hub's word or by watching the service itself.
type follower struct {
	g      *Gateway
	prefix string
	feed   *peers.Feed
	// replace applies all keys as of a revision.
	replace func(items []ports.KeyValue, revision int64)
	apply   func(ports.WatchEvent)
}

// serverFollower is the position of the follower of the list of backend servers.
const serverFollower = 1

// newFollowers returns the followers of the configuration and of the list of backend servers. Their order is that of the
// revisions in reports between gateways.
func (g *Gateway) newFollowers() []*follower {
	config := &follower{g: g, prefix: g.catalogue.ConfigPrefix, feed: peers.NewFeed(), apply: g.applyConfig}
	config.replace = func(items []ports.KeyValue, _ int64) {
		for _, item := range items {
			g.applyConfig(ports.WatchEvent{KeyValue: item})
		}
	}
	servers := &follower{g: g, prefix: g.catalogue.ServerPrefix, feed: peers.NewFeed(), apply: g.applyServer, replace: g.replaceServers}
	return []*follower{config, servers}
}

// run watches the service until ctx ends, while no hub is followed.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.g.following.Load() {
			pause.For(ctx, followStep)
			continue
		}
		if f.feed.Revision() == 0 {
			if err := f.list(ctx); err != nil {
				f.g.store.pauseAfterFailure(ctx)
				continue
			}
		}
		f.watch(ctx)
	}
}

// list reads all keys. It goes on from the revision of the first page, since pages are not one moment.
func (f *follower) list(ctx context.Context) error {
	var items []ports.KeyValue
	first, after := int64(0), ""
	for {
		page, err := f.g.store.ReadRange(ctx, f.prefix, after, ports.Linearizable)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.feed.Replace(items, first)
	f.replace(items, first)
	return nil
}

// watch waits for changes once. A failed wait is repeated from where it was: only lost history needs a new list.
func (f *follower) watch(ctx context.Context) {
	events, revision, err := f.g.store.Await(ctx, f.prefix, f.feed.Revision(), watchWait)
	switch {
	case errors.Is(err, ports.ErrCompacted):
		f.g.log.Info("history is gone", "prefix", f.prefix, "revision", f.feed.Revision())
		if err := f.list(ctx); err != nil {
			f.g.store.pauseAfterFailure(ctx)
		}
	case err != nil:
		f.g.store.pauseAfterFailure(ctx)
	default:
		f.feed.Apply(events, revision)
		for _, e := range events {
			f.apply(e)
		}
	}
}

// take applies what the hub says.
func (f *follower) take(u peers.Update) {
	if u.Whole {
		items := make([]ports.KeyValue, len(u.Events))
		for i, e := range u.Events {
			items[i] = e.KeyValue
		}
		f.feed.Replace(items, u.Revision)
		f.replace(items, u.Revision)
		return
	}
	f.feed.Apply(u.Events, u.Revision)
	for _, e := range u.Events {
		f.apply(e)
	}
}

func (g *Gateway) applyConfig(e ports.WatchEvent) {
	if e.Key != g.catalogue.ConfigKey || e.Deleted {
		return
	}
	config, err := g.catalogue.DecodeConfig(e.Value)
	if err != nil {
		g.log.Error("configuration cannot be read", "revision", e.Revision, "error", err)
		return
	}
	if g.directory.Configure(config) {
		g.log.Info("configuration in force", "version", config.Version, "revision", e.Revision, "routes", len(config.Routes))
	}
}

func (g *Gateway) applyServer(e ports.WatchEvent) {
	id := g.catalogue.ServerIDOfKey(e.Key)
	if e.Deleted {
		if g.directory.Remove(id, e.Revision, g.grace()) {
			g.log.Info("backend server left the list", "server", id, "revision", e.Revision)
		}
		return
	}
	server, err := g.catalogue.DecodeServer(e.KeyValue)
	if err != nil {
		g.log.Warn("entry of the list of backend servers ignored", "key", e.Key, "revision", e.Revision, "error", err)
		g.directory.Remove(id, e.Revision, time.Time{})
		return
	}
	if g.directory.Upsert(server) {
		g.log.Info("backend server listed", "server", id, "service", server.Service, "address", server.Address,
			"draining", server.Draining, "born", server.Born, "revision", e.Revision)
	}
}

// returnGrace is how long after an outage of the service backend servers whose entries lapsed in it may take to come back.
const returnGrace = 2200 * time.Millisecond

// grace returns until when a server that is missing in the list may still come back; zero when it is gone at once.
func (g *Gateway) grace() time.Time {
	until := time.Unix(0, g.graceUntil.Load())
	if !time.Now().Before(until) {
		return time.Time{}
	}
	return until
}

// noteReturn notes that the service has come back from an outage some time ago.
func (g *Gateway) noteReturn(ago time.Duration) {
	until := time.Now().Add(returnGrace - ago).UnixNano()
	if ago < returnGrace && until > g.graceUntil.Load() {
		g.graceUntil.Store(until)
	}
}

// expireLoop drops the servers that did not come back after an outage, until ctx ends.
func (g *Gateway) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, followStep)
		for _, id := range g.directory.Expire(time.Now()) {
			g.log.Info("backend server did not come back after the outage", "server", id)
		}
	}
}

func (g *Gateway) replaceServers(items []ports.KeyValue, revision int64) {
	servers := make([]*fleet.BackendServer, 0, len(items))
	for _, item := range items {
		server, err := g.catalogue.DecodeServer(item)
		if err != nil {
			g.log.Warn("entry of the list of backend servers ignored", "key", item.Key, "revision", item.Revision, "error", err)
			continue
		}
		servers = append(servers, server)
	}
	joined, left := g.directory.Replace(servers, revision, g.grace())
	if len(joined)+len(left) > 0 {
		g.log.Info("backend servers read", "servers", len(servers), "joined", len(joined), "left", left, "revision", revision)
	}
}
