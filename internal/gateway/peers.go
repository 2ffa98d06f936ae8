package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	reportHold     = 250 * time.Millisecond // How long the hub holds a report without news.
	reportPause    = 250 * time.Millisecond // Between two looks for a hub when there is none.
	settlePause    = 20 * time.Millisecond  // The same while the process is new, and others may just have started too.
	settleTime     = 2 * time.Second        // How long a process is new.
	memberInterval = 10 * time.Second       // Between two looks for members that were not heard of.
	// memberFirstLook is the first such interval; it doubles. Gateways that start together find each other soon.
	memberFirstLook = 300 * time.Millisecond
)

// register enters the process in the service, so that others find it, and reads who is there.
func (g *Gateway) register(ctx context.Context) {
	self := g.group.Self()
	value, err := json.Marshal(self)
	if err != nil {
		g.log.Error("the process cannot be registered", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := g.store.Commit(ctx, ports.Transaction{Writes: []ports.Write{{Key: memberPrefix + self.ID, Value: value}}})
		if err == nil {
			break
		}
		g.log.Warn("registration failed", "error", err)
		g.store.pauseAfterFailure(ctx)
	}
	g.introduce(ctx, g.readMembers(ctx, ports.Linearizable))
	for wait := memberFirstLook; ctx.Err() == nil; wait = min(2*wait, memberInterval) {
		pause.For(ctx, wait)
		if g.isHub() || g.group.Len() == 1 {
			g.group.Hear(time.Now(), peers.Registration, g.readMembers(ctx, ports.Stale)...)
		}
	}
}

// readMembers reads the registered members. Those of ended processes are removed by the hub.
func (g *Gateway) readMembers(ctx context.Context, fresh ports.Freshness) []peers.Member {
	page, err := g.store.ReadRange(ctx, memberPrefix, "", fresh)
	if err != nil {
		g.log.Warn("registered gateways cannot be read", "error", err)
		return nil
	}
	var members []peers.Member
	for _, item := range page.Items {
		var m peers.Member
		if err := json.Unmarshal(item.Value, &m); err != nil {
			g.log.Warn("registration of a gateway ignored", "key", item.Key, "revision", item.Revision, "error", err)
			continue
		}
		members = append(members, m)
	}
	return members
}

// maxIntroductions bounds the members that a new process speaks to at once. More may be as likely to be the hub; the hub
// then names them.
const maxIntroductions = 24

// introduce makes a new process known to the members that are the likeliest to be the hub, all at once, and takes over who
// there is. Registrations outlive their processes: one after the other, those that are gone would each be taken for the hub.
func (g *Gateway) introduce(ctx context.Context, registered []peers.Member) {
	likely := peers.Likely(slices.DeleteFunc(registered, func(m peers.Member) bool { return m.ID == g.settings.ID }), maxIntroductions)
	var group errgroup.Group
	for _, m := range likely {
		group.Go(func() error {
			if err := g.introduceTo(ctx, m); err != nil {
				g.group.Miss(time.Now(), m)
			}
			return nil // Members that are gone are expected.
		})
	}
	_ = group.Wait()
	g.group.Hear(time.Now(), peers.Registration, registered...)
	g.log.Info("introduced", "registered", len(registered), "asked", len(likely), "hub", g.group.Hub().ID)
}

// introduceTo makes the process known to a member and takes over whom it knows.
func (g *Gateway) introduceTo(ctx context.Context, m peers.Member) error {
	digest, err := g.client.Report(ctx, m, peers.Report{From: g.group.Self(), Greeting: true}, 0)
	if err != nil {
		return err
	}
	g.group.Hear(time.Now(), peers.Itself, digest.From)
	g.group.Hear(time.Now(), peers.HubsWord, digest.Members...)
	return nil
}

// sweepMembers forgets members that have ended.
func (g *Gateway) sweepMembers(now time.Time) {
	for _, id := range g.group.Sweep(now) {
		g.log.Info("gateway forgotten", "gateway", id)
		if g.isHub() {
			g.batcher.Delete(memberPrefix + id)
		}
	}
}

// isHub reports whether the process writes and watches for the others.
func (g *Gateway) isHub() bool {
	return g.group.Hub().ID == g.settings.ID
}

// reportLoop reports to the hub until ctx ends.
func (g *Gateway) reportLoop(ctx context.Context) {
	last, settled := "", time.Now().Add(settleTime)
	for ctx.Err() == nil {
		hub := g.group.Hub()
		if hub.ID != last {
			g.log.Info("hub chosen", "hub", hub.ID, "members", g.group.Len())
			last = hub.ID
		}
		if hub.ID == g.settings.ID {
			g.following.Store(false)
			g.loads.setOthers(g.hubLoads.total(""), nil)
			g.loads.takeOutcomes()
			g.greet(ctx)
			if time.Now().Before(settled) {
				pause.For(ctx, settlePause)
			} else {
				pause.For(ctx, reportPause)
			}
			continue
		}
		if !g.report(ctx, hub) {
			pause.For(ctx, reportPause/4)
		}
	}
}

// greet makes the process known to a member that has not spoken lately.
func (g *Gateway) greet(ctx context.Context) {
	m, ok := g.group.Unheard(time.Now(), rand.IntN)
	if !ok {
		return
	}
	if err := g.introduceTo(ctx, m); err != nil {
		g.group.Fail(m.ID)
	}
}

// ownReport returns what the hub is to know of the process.
func (g *Gateway) ownReport() peers.Report {
	r := peers.Report{From: g.group.Self(), Loads: g.loads.own(), Outcomes: g.loads.takeOutcomes(), Suspects: g.suspects.takeNews()}
	for _, f := range g.followers {
		r.Revisions = append(r.Revisions, f.feed.Revision())
	}
	return r
}

// report tells the hub about the process and takes over its answer. It reports whether the hub can be followed.
func (g *Gateway) report(ctx context.Context, hub peers.Member) bool {
	own := g.ownReport()
	digest, err := g.client.Report(ctx, hub, own, reportHold)
	if err != nil {
		g.suspects.renew(own.Suspects)
		g.following.Store(false)
		if g.group.Fail(hub.ID) {
			g.log.Warn("dependency lost", "dependency", "gateway "+hub.ID, "error", err)
		}
		return false
	}
	now := time.Now()
	g.group.Hear(now, peers.Itself, digest.From)
	g.group.Hear(now, peers.HubsWord, digest.Members...)
	g.loads.setOthers(digest.Loads, digest.Ejected)
	g.suspects.learn(digest.Refused)
	if hub.StoreFresh && !digest.From.StoreFresh {
		g.group.Doubt(now)
		g.store.doubt()
	}
	if !digest.From.StoreFresh || len(digest.Updates) != len(g.followers) {
		g.following.Store(false)
		return false
	}
	if digest.ReturnedMS >= 0 {
		g.noteReturn(time.Duration(digest.ReturnedMS) * time.Millisecond)
	}
	for i, f := range g.followers {
		f.take(digest.Updates[i])
	}
	g.following.Store(true)
	return true
}

// peerService is what the process does for its peers.
type peerService struct{ g *Gateway }

// Report implements peers.Service.
func (s peerService) Report(ctx context.Context, r peers.Report) peers.Digest {
	g := s.g
	g.group.Hear(time.Now(), peers.Itself, r.From)
	if r.Greeting {
		return peers.Digest{From: g.group.Self(), Members: g.group.Acquaintances(time.Now())}
	}
	g.hubLoads.set(r.From.ID, r.Loads)
	g.loads.addOutcomes(r.Outcomes)
	g.suspects.learn(r.Suspects)
	updates, changes := g.updatesSince(r.Revisions)
	if !hasNews(updates) {
		waitAny(ctx, reportHold, changes)
		updates, _ = g.updatesSince(r.Revisions)
	}
	return peers.Digest{
		From:       g.group.Self(),
		Members:    g.group.Alive(time.Now()),
		Updates:    updates,
		Loads:      g.hubLoads.total(r.From.ID, g.loads.own()...),
		ReturnedMS: g.returnedMS(),
		Ejected:    g.loads.failing(g.directory.View()),
		Refused:    g.suspects.refused(),
	}
}

// returnedMS returns how long ago the service came back from an outage, in milliseconds; -1 when that no longer matters.
func (g *Gateway) returnedMS() int64 {
	left := time.Until(time.Unix(0, g.graceUntil.Load()))
	if left <= 0 {
		return -1
	}
	return (returnGrace - left).Milliseconds()
}

func (g *Gateway) updatesSince(revisions []int64) ([]peers.Update, []<-chan struct{}) {
	var updates []peers.Update
	var changes []<-chan struct{}
	for i, f := range g.followers {
		revision := int64(0)
		if i < len(revisions) {
			revision = revisions[i]
		}
		update, changed := f.feed.Since(revision)
		updates, changes = append(updates, update), append(changes, changed)
	}
	return updates, changes
}

func hasNews(updates []peers.Update) bool {
	for _, u := range updates {
		if u.Whole || len(u.Events) > 0 {
			return true
		}
	}
	return false
}

// waitAny waits until one of two channels closes, for at most d.
func waitAny(ctx context.Context, d time.Duration, changes []<-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changes[0]:
	case <-changes[1]:
	}
}

// Write implements peers.Service.
func (s peerService) Write(ctx context.Context, op peers.Operation) (int64, *ports.KeyValue, error) {
	if !strings.HasPrefix(op.Key, ownPrefix) {
		return 0, nil, errors.Join(errors.New("the key is not one of the gateways'"), ports.ErrUnavailable)
	}
	if s.g.store.outage() != nil {
		return 0, nil, errAway
	}
	if op.Conditional {
		return s.g.batcher.CompareAndSwap(ctx, op.Key, op.Value, op.Expected)
	}
	err := s.g.batcher.Put(ctx, op.Key, op.Value)
	if err == nil {
		s.g.turns.Observe(op.Key, op.Value)
	}
	return 0, nil, err
}

// Read implements peers.Service.
func (s peerService) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	if value, ok := s.g.turns.Stored(key); ok {
		return ports.KeyValue{Key: key, Value: value, Revision: 1}, nil
	}
	if s.g.store.outage() != nil {
		return ports.KeyValue{}, errAway
	}
	return s.g.store.Read(ctx, key, fresh)
}
