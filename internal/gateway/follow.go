package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	watchTimeout       = 2500 * time.Millisecond // Bounds how long a connection that no longer delivers events goes unnoticed.
	storeRetryDelay    = 150 * time.Millisecond  // After a failed call to the service.
	followPollInterval = 50 * time.Millisecond   // Between checks of the loops that poll, such as whether a hub is still followed.
	// serverHistoryBytes limits what is kept of replaced entries of the list of servers. An entry tells of the server's run what the
	// next one may no longer say, such as that it drains.
	serverHistoryBytes = 1 << 20
)

// follower keeps a copy of the keys with a prefix up to date, from the hub's updates or by watching the service itself.
type follower struct {
	g      *Gateway
	prefix string
	feed   *peers.Feed
	// replace applies the complete set of keys as of a revision, and apply one change. They may remove values that cannot be used, which
	// may be large, so that they are not sent to the processes that follow this one.
	replace func(items []ports.KeyValue, revision int64)
	apply   func(*ports.WatchEvent)
	// confirm is called when all changes up to the given time have been read from the service and applied. It may be nil.
	confirm func(at time.Time)
	// watching means that the service has answered the last watch, so that the current one delivers each change at once.
	watching atomic.Bool
}

// Indices in Gateway.followers.
const (
	configFollowerIndex = iota
	serverFollowerIndex
)

// newFollowers returns the followers of the configuration and of the list of backend servers. Revisions and updates in the
// messages between gateways are in the same order.
func (g *Gateway) newFollowers() []*follower {
	config := &follower{
		g: g, prefix: g.catalogue.ConfigPrefix, feed: peers.NewFeed(0), apply: g.applyConfig, confirm: g.confirmFollowed,
	}
	config.replace = func(items []ports.KeyValue, _ int64) {
		g.keys.followed.Store(unknownVersion)
		for _, item := range items {
			g.applyConfig(&ports.WatchEvent{KeyValue: item})
		}
	}
	servers := &follower{
		g: g, prefix: g.catalogue.ServerPrefix, feed: peers.NewFeed(serverHistoryBytes), apply: g.applyServer, replace: g.replaceServers,
		confirm: g.directory.Confirm,
	}
	return []*follower{config, servers}
}

// run watches the service until ctx ends. It pauses while a hub is followed.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.g.following.Load() {
			f.watching.Store(false)
			pause.For(ctx, followPollInterval)
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

// list reads all keys.
func (f *follower) list(ctx context.Context) error {
	began := time.Now()
	page, err := ports.ReadAll(ctx, f.g.store, f.prefix, ports.Linearizable)
	if err != nil {
		return err
	}
	f.replaceAll(page.Items, page.Revision)
	if f.confirm != nil {
		f.confirm(began)
	}
	return nil
}

// replaceAll applies the complete set of keys as of a revision, and passes it on to the processes that follow this one.
func (f *follower) replaceAll(items []ports.KeyValue, revision int64) {
	f.replace(items, revision)
	f.feed.Replace(items, revision)
}

// applyAll applies changes up to a revision, and passes them on to the processes that follow this one.
func (f *follower) applyAll(events []ports.WatchEvent, revision int64) {
	for i := range events {
		f.apply(&events[i])
	}
	f.feed.Apply(events, revision)
}

// watch waits once for changes and applies them. After a failure the next call continues from the same revision. All keys
// are listed again only if the service has compacted the history since that revision.
func (f *follower) watch(ctx context.Context) {
	began := time.Now()
	events, revision, err := f.g.store.Await(ctx, f.prefix, f.feed.Revision(), watchTimeout)
	switch {
	case errors.Is(err, ports.ErrCompacted):
		f.watching.Store(false)
		f.g.log.Info("history is compacted, listing all keys", "prefix", f.prefix, "revision", f.feed.Revision())
		if err := f.list(ctx); err != nil {
			f.g.store.pauseAfterFailure(ctx)
		}
	case err != nil:
		f.watching.Store(false)
		f.g.store.pauseAfterFailure(ctx)
	default:
		f.g.confirmList() // First: the changes are later than what is confirmed.
		f.applyAll(events, revision)
		f.watching.Store(true)
		if f.confirm != nil {
			f.confirm(began)
		}
	}
}

// confirmList confirms the list of servers for the last answer of the service, if this process watches the list: an earlier change would
// have been delivered.
func (g *Gateway) confirmList() {
	if g.followers[serverFollowerIndex].watching.Load() {
		g.directory.Confirm(g.store.lastReply())
	}
}

// listConfirmation returns for when the list is confirmed, for another gateway whose request this process got at received; nil if it is not.
func (g *Gateway) listConfirmation(received time.Time) *peers.Confirmation {
	g.confirmList()
	at := g.directory.ConfirmedAt()
	if at.IsZero() {
		return nil
	}
	c := peers.NewConfirmation(g.followers[serverFollowerIndex].feed.Revision(), at, received)
	return &c
}

// applyUpdate applies an update from the hub.
func (f *follower) applyUpdate(u peers.Update) {
	if u.Whole {
		items := make([]ports.KeyValue, len(u.Events))
		for i, e := range u.Events {
			items[i] = e.KeyValue
		}
		f.replaceAll(items, u.Revision)
		return
	}
	f.applyAll(u.Events, u.Revision)
}

// applyConfig applies a new version of the configuration. A configuration that cannot be decoded is logged and ignored; the
// current one stays in force.
func (g *Gateway) applyConfig(e *ports.WatchEvent) {
	if e.Key != g.catalogue.ConfigKey {
		return
	}
	g.keys.followed.Store(unknownVersion)
	if e.Deleted {
		return
	}
	config, err := g.catalogue.DecodeConfig(e.Value)
	if err != nil {
		g.log.Error("cannot decode configuration", "revision", e.Revision, "error", err)
		return
	}
	g.configure(config, e.KeyValue)
	g.keys.followed.Store(config.Version)
}

// applyServer applies a change of one entry of the list of backend servers. It removes a server whose entry cannot be decoded.
func (g *Gateway) applyServer(e *ports.WatchEvent) {
	id := g.catalogue.ServerIDOfKey(e.Key)
	if e.Deleted {
		g.ignoredEntries.Delete(e.Key)
		g.leaving.ObserveDeletion(id, e.Revision)
		if g.directory.Remove(id, e.Revision, g.graceDeadline()) {
			g.log.Info("backend server left the list", "server", id, "revision", e.Revision)
		}
		return
	}
	server, err := g.catalogue.DecodeServer(e.KeyValue)
	if err != nil {
		g.logIgnoredEntry(e.KeyValue, err)
		e.Value = nil
		g.directory.Remove(id, e.Revision, time.Time{})
		return
	}
	g.observeEntry(server)
	if g.directory.Upsert(server) {
		g.log.Info("backend server listed", "server", id, "service", server.Service, "address", server.Address,
			"version", server.Version, "draining", server.Draining, "born", server.Born, "revision", e.Revision)
		if known := g.directory.View().Server(id); known != nil && known.Draining && !server.Draining {
			g.log.Info("server goes on draining, its entry was written late", "server", id, "born", server.Born, "revision", e.Revision)
		}
	}
}

// reregistrationGrace is how long after an outage of the service a backend server may take to register again. Its entry may
// have expired during the outage.
const reregistrationGrace = 2200 * time.Millisecond

// graceDeadline returns the time until which a server that is missing from the list is kept. It returns the zero time when
// such a server is removed immediately.
func (g *Gateway) graceDeadline() time.Time {
	until := time.Unix(0, g.graceUntil.Load())
	if !time.Now().Before(until) {
		return time.Time{}
	}
	return until
}

// extendGrace starts the grace for backend servers after an outage of the service that ended the given time ago.
func (g *Gateway) extendGrace(sinceOutage time.Duration) {
	until := time.Now().Add(reregistrationGrace - sinceOutage).UnixNano()
	if sinceOutage < reregistrationGrace && until > g.graceUntil.Load() {
		g.graceUntil.Store(until)
	}
}

// expireLoop removes the servers that did not register again after an outage, until ctx ends.
func (g *Gateway) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, followPollInterval)
		g.refreshEndedDrains()
		for _, id := range g.directory.Expire(time.Now()) {
			g.log.Info("backend server did not register again after the outage", "server", id)
		}
	}
}

// replaceServers applies the complete list of backend servers as of a revision. Entries that cannot be decoded are logged
// and left out.
func (g *Gateway) replaceServers(items []ports.KeyValue, revision int64) {
	servers := make([]*fleet.BackendServer, 0, len(items))
	for i, item := range items {
		server, err := g.catalogue.DecodeServer(item)
		if err != nil {
			g.logIgnoredEntry(item, err)
			items[i].Value = nil
			continue
		}
		servers = append(servers, server)
	}
	g.observeList(servers, items, revision)
	joined, left := g.directory.Replace(servers, revision, g.graceDeadline())
	if len(joined)+len(left) > 0 {
		g.log.Info("backend servers read", "servers", len(servers), "joined", len(joined), "left", left, "revision", revision)
	}
}

// maxLoggedError is the length to which the reason is cut why an entry is ignored: it may quote the entry.
const maxLoggedError = 300

// logIgnoredEntry logs once for each revision that an entry of the list of backend servers is ignored.
func (g *Gateway) logIgnoredEntry(item ports.KeyValue, err error) {
	if last, ok := g.ignoredEntries.Swap(item.Key, item.Revision); ok && last == item.Revision {
		return
	}
	reason := err.Error()
	g.log.Warn("entry of the list of backend servers ignored", "key", item.Key, "revision", item.Revision,
		"error", reason[:min(len(reason), maxLoggedError)])
}
