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
	reportHoldTime        = 250 * time.Millisecond // How long the hub delays its answer to a report while it has no updates.
	reportInterval        = 250 * time.Millisecond // Between checks which gateway is the hub, while it is this process. A quarter of it after a failed report.
	startupReportInterval = 20 * time.Millisecond  // The same during startupTime, when other gateways may also have just started.
	startupTime           = 2 * time.Second        // After the start of the process.
	memberReadInterval    = 10 * time.Second       // Between reads of the registered members, to find unknown ones.
	// firstMemberReadInterval is the first such interval; it doubles up to memberReadInterval. It is short so that gateways
	// that start together find each other quickly.
	firstMemberReadInterval = 300 * time.Millisecond
)

// register writes the process into the key-value service, so that other gateways find it, and introduces it to the
// registered ones. Until ctx ends it then reads the registrations again at intervals, while it is the hub or knows no other
// member.
func (g *Gateway) register(ctx context.Context) {
	self := g.group.Self()
	value, err := json.Marshal(self)
	if err != nil {
		g.log.Error("cannot encode registration of the process", "error", err)
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
	for wait := firstMemberReadInterval; ctx.Err() == nil; wait = min(2*wait, memberReadInterval) {
		pause.For(ctx, wait)
		if g.isHub() || g.group.Len() == 1 {
			g.mergeRegistered(g.readMembers(ctx, ports.Stale))
		}
	}
}

// readMembers reads the registered members. Registrations of processes that have ended are included until the hub removes
// them.
func (g *Gateway) readMembers(ctx context.Context, fresh ports.Freshness) []peers.Member {
	page, err := g.store.ReadRange(ctx, memberPrefix, "", fresh)
	if err != nil {
		g.log.Warn("cannot read registered gateways", "error", err)
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

// maxIntroductions bounds the members that a new process contacts concurrently. Further members may be as likely to
// be the hub; the current hub then names them.
const maxIntroductions = 24

// introduce makes a new process known to the members that are most likely to be the hub, and learns the members from them.
// All are contacted at the same time: registrations outlive their processes, and if they were contacted one after the other,
// each member that is gone would in turn be considered the hub.
func (g *Gateway) introduce(ctx context.Context, registered []peers.Member) {
	others := slices.DeleteFunc(slices.Clone(registered), func(m peers.Member) bool { return m.ID == g.settings.ID })
	likely := peers.LikelyHubs(others, maxIntroductions)
	var group errgroup.Group
	for _, m := range likely {
		group.Go(func() error {
			if err := g.introduceTo(ctx, m); err != nil {
				g.group.AddFailed(time.Now(), m)
			}
			return nil // Some registered members are expected to be gone.
		})
	}
	_ = group.Wait()
	g.mergeRegistered(registered)
	g.log.Info("introduced", "registered", len(registered), "asked", len(likely), "hub", g.group.Hub().ID)
}

// introduceTo makes the process known to a member and learns the members that it knows.
func (g *Gateway) introduceTo(ctx context.Context, m peers.Member) error {
	digest, err := g.client.Report(ctx, m, peers.Report{From: g.group.Self(), Greeting: true}, 0)
	if err != nil {
		return err
	}
	g.group.Merge(time.Now(), peers.SourceMember, digest.From)
	g.group.Merge(time.Now(), peers.SourceHub, digest.Members...)
	return nil
}

// sweepMembers removes members that have ended from the group. At the hub it also deletes their registrations.
func (g *Gateway) sweepMembers(now time.Time) {
	for _, id := range g.group.Sweep(now) {
		g.log.Info("ended gateway removed", "gateway", id)
		if g.isHub() {
			g.batcher.Delete(memberPrefix + id)
		}
	}
}

// isHub reports whether the process is the hub, which writes to the service and watches it for the other gateways.
func (g *Gateway) isHub() bool {
	return g.group.Hub().ID == g.settings.ID
}

// reportLoop reports to the hub until ctx ends. While the process is the hub itself, it introduces itself to members
// that have not sent it a message recently.
func (g *Gateway) reportLoop(ctx context.Context) {
	startupEnd := time.Now().Add(startupTime)
	var lastHub peers.Member
	var roster peers.Roster
	for ctx.Err() == nil {
		hub := g.group.Hub()
		g.limiter.SetShare(g.group.Share(time.Now()))
		g.updateIssuer(time.Now())
		if hub.ID != lastHub.ID {
			g.log.Info("hub chosen", "hub", hub.ID, "members", g.group.Len())
		}
		if hub.ID != lastHub.ID || hub.Incarnation != lastHub.Incarnation {
			g.suspects.requeueAll()
		}
		lastHub = hub
		if hub.ID == g.settings.ID {
			g.following.Store(false)
			g.loads.setOtherLoads(g.memberLoads.total(""), nil)
			g.serviceShares.addOutcomes(g.directory.View(), g.loads.takeOutcomes())
			g.limits.TakeUnreported()
			g.becomeSpeedSource()
			g.introduceToSilentMember(ctx)
			if time.Now().Before(startupEnd) {
				pause.For(ctx, startupReportInterval)
			} else {
				pause.For(ctx, reportInterval)
			}
			continue
		}
		if !g.reportToHub(ctx, hub, &roster) {
			pause.For(ctx, reportInterval/4)
		}
	}
}

// introduceToSilentMember makes the process known to a member that has not sent it a message recently.
func (g *Gateway) introduceToSilentMember(ctx context.Context) {
	m, ok := g.group.SilentMember(time.Now(), rand.IntN)
	if !ok {
		return
	}
	if err := g.introduceTo(ctx, m); err != nil {
		g.group.MarkFailed(m.ID)
	}
}

// ownReport returns the report of this process to the hub. The outcomes and crash records in it count as reported.
func (g *Gateway) ownReport() peers.Report {
	r := peers.Report{From: g.group.Self(), Loads: g.loads.ownLoads(), Outcomes: g.loads.takeOutcomes(), Suspects: g.suspects.takeUnreported()}
	for _, f := range g.followers {
		r.Revisions = append(r.Revisions, f.feed.Revision())
	}
	return r
}

// reportToHub sends the process's report to the hub and applies the answer. It reports whether the hub can be followed. roster
// is the one of the last answer.
func (g *Gateway) reportToHub(ctx context.Context, hub peers.Member, roster *peers.Roster) bool {
	own := g.ownReport()
	sent := g.limits.TakeUnreported()
	own.Limits = encodeLimits(sent)
	own.Roster = roster.Hash()
	own.Leaving = g.leavingMessage(g.hubLeaving)
	sentAt := time.Now()
	own.Speeds = g.speedReport()
	digest, err := g.client.Report(ctx, hub, own, reportHoldTime)
	if err != nil {
		g.suspects.requeueReports(own.Suspects)
		g.limits.Requeue(sent)
		g.following.Store(false)
		if g.group.MarkFailed(hub.ID) {
			g.log.Warn("dependency lost", "dependency", "gateway "+hub.ID, "error", err)
		}
		return false
	}
	now := time.Now()
	g.group.Merge(now, peers.SourceMember, digest.From)
	g.group.Merge(now, peers.SourceHub, roster.Update(digest)...)
	g.loads.setOtherLoads(digest.Loads, digest.Ejected)
	g.acceptSpeeds(digest.Speeds)
	g.loads.setDomainLoads(digest.Domains)
	g.suspects.merge(digest.Refused, hub.ID)
	g.limits.Merge(decodeLimits(digest.Limits))
	g.mergeLeaving(digest.Leaving, hub.ID)
	g.hubLeaving = digest.Leaving.Known()
	g.limiter.Clear()
	g.followHub(now)
	g.learnPrograms(digest.Programs)
	if hub.StoreFresh && !digest.From.StoreFresh {
		g.group.ClearStoreFresh(now)
		g.store.requestProbe()
	}
	if !digest.From.StoreFresh || len(digest.Updates) != len(g.followers) {
		g.following.Store(false)
		return false
	}
	if digest.ReturnedMS >= 0 {
		g.extendGrace(time.Duration(digest.ReturnedMS) * time.Millisecond)
	}
	for i, f := range g.followers {
		f.applyUpdate(digest.Updates[i])
	}
	if digest.Listed != nil {
		g.directory.Confirm(digest.Listed.At(sentAt))
	}
	g.acceptConfirmation(digest.Confirmed, sentAt)
	g.following.Store(true)
	return true
}

// peerService implements peers.Service: it serves the requests of other gateways.
type peerService struct{ g *Gateway }

// Report implements peers.Service. The answer to a report without updates is delayed until there is one, for at most
// reportHoldTime.
func (s peerService) Report(ctx context.Context, r peers.Report) peers.Digest {
	g := s.g
	received := time.Now()
	g.group.Merge(received, peers.SourceMember, r.From)
	g.assignments.endEarlierRuns(r.From.ID, r.From.Incarnation)
	if r.Greeting {
		return peers.Digest{From: g.group.Self(), Members: g.group.AliveAndHub(time.Now())}
	}
	g.memberLoads.set(r.From.ID, r.Loads)
	g.recordDomainCalls(r)
	g.serviceShares.addOutcomes(g.directory.View(), r.Outcomes)
	g.loads.addOutcomes(r.From.FailureDomain, r.Outcomes)
	g.learnSpeeds(r.Speeds)
	g.suspects.merge(r.Suspects, r.From.ID)
	g.limits.Merge(decodeLimits(r.Limits))
	g.mergeLeaving(r.Leaving, r.From.ID)
	confirmed, listed := g.confirmation(received), g.listConfirmation(received) // Before the updates, so that these are as recent.
	updates, changes := g.updatesSince(r.Revisions)
	if !hasChanges(updates) {
		awaitChange(ctx, reportHoldTime, changes)
		confirmed, listed = g.confirmation(received), g.listConfirmation(received)
		updates, _ = g.updatesSince(r.Revisions)
	}
	sending, ok := g.sending.Reserve(ctx, updates)
	if !ok {
		g.metrics.updatesDeferred.Inc()
		g.log.Debug("update deferred", "gateway", r.From.ID, "revisions", r.Revisions)
		updates, listed = noUpdates(r.Revisions, len(updates)), nil
	}
	digest := peers.Digest{
		Sending:    sending,
		From:       g.group.Self(),
		Confirmed:  confirmed,
		Listed:     listed,
		Updates:    updates,
		Loads:      g.memberLoads.total(r.From.ID, g.loads.ownLoads()...),
		ReturnedMS: g.msSinceOutage(),
		Ejected:    g.loads.failing(g.directory.View(), r.From.FailureDomain),
		Refused:    g.suspects.refused(),
		Limits:     encodeLimits(g.limits.All()),
		Leaving:    g.leavingMessage(r.Leaving.Known()),
		Programs:   g.learnedPrograms(),
		Speeds:     g.speedDigest(r.Speeds),
		Domains:    g.domainLoads(r.From.ID),
	}
	digest.SetRoster(g.group.Alive(time.Now()), r)
	return digest
}

// msSinceOutage returns the milliseconds since the last outage of the service ended, or -1 when the grace after it is over.
func (g *Gateway) msSinceOutage() int64 {
	left := time.Until(time.Unix(0, g.graceUntil.Load()))
	if left <= 0 {
		return -1
	}
	return (reregistrationGrace - left).Milliseconds()
}

// updatesSince returns for each follower the update since the given revision, and a channel that closes at the next change.
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

// noUpdates returns updates that leave a follower at the given revisions.
func noUpdates(revisions []int64, count int) []peers.Update {
	updates := make([]peers.Update, count)
	for i := range min(count, len(revisions)) {
		updates[i].Revision = revisions[i]
	}
	return updates
}

// hasChanges reports whether one of the updates replaces all keys or holds events.
func hasChanges(updates []peers.Update) bool {
	for _, u := range updates {
		if u.Whole || len(u.Events) > 0 {
			return true
		}
	}
	return false
}

// awaitChange waits until one of the two channels of changes closes, for at most d.
func awaitChange(ctx context.Context, d time.Duration, changes []<-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changes[0]:
	case <-changes[1]:
	}
}

// Write implements peers.Service. It accepts only the gateways' own keys.
func (s peerService) Write(ctx context.Context, op peers.Operation) (int64, *ports.KeyValue, error) {
	if !strings.HasPrefix(op.Key, keyPrefix) {
		return 0, nil, errors.Join(errors.New("the key is outside the gateways' prefix"), ports.ErrUnavailable)
	}
	s.g.origins.learn(op)
	s.g.transcripts.learn(op.Key)
	if s.g.store.outage() != nil {
		return 0, nil, errStoreUnavailable
	}
	if op.Conditional {
		return s.g.batcher.CompareAndSwap(ctx, op.Key, op.Value, op.Expected)
	}
	err := s.g.batcher.Put(ctx, op.Key, op.Value)
	if err == nil {
		s.g.turns.CacheValue(op.Key, op.Value)
	}
	return 0, nil, err
}

// Read implements peers.Service. A turn or the origin of a stream that is known here is answered without the service: its record
// never changes.
func (s peerService) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	value, known := s.g.turns.CachedValue(key)
	if !known {
		value, known = s.g.origins.known(key)
	}
	if known {
		return ports.KeyValue{Key: key, Value: value, Revision: 1}, nil
	}
	if s.g.store.outage() != nil {
		return ports.KeyValue{}, errStoreUnavailable
	}
	return s.g.store.Read(ctx, key, fresh)
}

// ReadRange implements peers.Service.
func (s peerService) ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	if s.g.store.outage() != nil {
		return ports.Page{}, errStoreUnavailable
	}
	return s.g.store.ReadRange(ctx, prefix, after, fresh)
}
