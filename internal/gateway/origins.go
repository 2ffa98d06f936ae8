package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/streams"
)

// origins keeps which software version began the stream of a call, so that a caller that takes its stream up, at any gateway, gets
// the rest from the same version. The gateway that forwards the first event tells the hub and stores the origin in the key-value
// service, from which gateways learn it that were not there. No event waits for that: a stream whose origin is not known is not
// taken up.
type origins struct {
	ledger *streams.Ledger
	access *storeAccess
	log    *slog.Logger
	ctx    context.Context // Ends with the process.

	announcing sync.WaitGroup // Announcements under way.
}

func newOrigins(ctx context.Context, access *storeAccess, log *slog.Logger) *origins {
	return &origins{ledger: streams.NewLedger(), access: access, log: log, ctx: ctx}
}

const (
	announceTimeout       = 10 * time.Second // For which a gateway tries to store the origin of a stream.
	announceRetryInterval = 500 * time.Millisecond
	flushTimeout          = time.Second // For announcements under way when the process stops.
)

// add records that a call of the organisation has begun a stream, and announces it in the background.
func (o *origins) add(organisation, call string, origin streams.Origin) {
	value, err := o.ledger.Add(organisation, call, origin, time.Now())
	if err != nil {
		o.log.Error("origin of stream not announced", "request", call, "error", err)
		return
	}
	o.announcing.Add(1)
	go func() {
		defer o.announcing.Done()
		ctx, cancel := context.WithTimeout(o.ctx, announceTimeout)
		defer cancel()
		if err := o.announce(ctx, streamPrefix+call, value); err != nil && o.ctx.Err() == nil {
			o.log.Warn("origin of stream not announced", "request", call, "version", origin.Version, "error", err)
		}
	}()
}

// announce tells the hub the origin of a stream and stores it. It retries while the key-value service does not answer, until ctx
// ends.
func (o *origins) announce(ctx context.Context, key string, value []byte) error {
	return repeatDuringOutage(ctx, announceRetryInterval, func() error { return o.announceOnce(ctx, key, value) })
}

// announceOnce is one attempt of announce. The hub is told also while the service does not answer it. It stores what it is told, so
// this process does so only if that fails.
func (o *origins) announceOnce(ctx context.Context, key string, value []byte) error {
	if hub := o.access.group.Hub(); hub.ID != o.access.group.Self().ID {
		_, _, err := o.access.client.Write(ctx, hub, peers.Operation{Key: key, Value: value})
		if err == nil {
			return nil
		}
	}
	return o.access.putOnce(ctx, key, value)
}

// flush waits until the origins of all streams so far are announced, for at most flushTimeout, or until ctx ends.
func (o *origins) flush(ctx context.Context) {
	awaitGroup(ctx, &o.announcing, flushTimeout)
}

// awaitGroup waits for the group for at most limit, or until ctx ends.
func awaitGroup(ctx context.Context, group *sync.WaitGroup, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// learn records the origin that another gateway announces, if the operation is such an announcement.
func (o *origins) learn(op peers.Operation) {
	call, ok := strings.CutPrefix(op.Key, streamPrefix)
	if !ok {
		return
	}
	if err := o.ledger.AddValue(call, op.Value); err != nil {
		o.log.Warn("origin of stream ignored", "request", call, "error", err)
	}
}

// known returns the stored value of a stream's origin if this process knows it.
func (o *origins) known(key string) ([]byte, bool) {
	call, ok := strings.CutPrefix(key, streamPrefix)
	if !ok {
		return nil, false
	}
	return o.ledger.Value(call)
}

const (
	// announceTime is how long the origin of a stream may take to be known at the hub and stored. A caller whose connection breaks
	// after the first event may be back sooner.
	announceTime         = 200 * time.Millisecond
	announcePollInterval = 40 * time.Millisecond
)

// find returns the origin of the organisation's stream that the call has begun. streams.ErrUnknown means that nobody knows of one after
// announceTime. While the key-value service does not answer, the hub is asked again until the deadline.
func (o *origins) find(ctx context.Context, organisation, call string, deadline time.Time) (*streams.Origin, error) {
	unknownAt := time.Now().Add(announceTime)
	for {
		origin, err := o.lookUp(ctx, organisation, call)
		giveUpAt := deadline
		if errors.Is(err, streams.ErrUnknown) {
			giveUpAt = unknownAt
		}
		if err == nil || ctx.Err() != nil || !time.Now().Before(giveUpAt) {
			return origin, err
		}
		pause.For(ctx, announcePollInterval)
	}
}

// lookUp returns the origin of the stream that the call has begun: from this process, from the hub, which may know it without the
// key-value service, or from the service. streams.ErrUnknown means that none of them has one, or that the stream belongs to another
// organisation.
func (o *origins) lookUp(ctx context.Context, organisation, call string) (*streams.Origin, error) {
	if origin, err := o.ledger.Find(organisation, call); origin != nil || err != nil {
		return origin, err
	}
	key := streamPrefix + call
	var item ports.KeyValue
	err := errStoreUnavailable
	if hub := o.access.group.Hub(); hub.ID != o.access.group.Self().ID {
		item, err = o.access.client.Read(ctx, hub, key, ports.Linearizable)
	}
	if err != nil {
		item, err = o.access.Read(ctx, key, ports.Linearizable)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("read origin of the stream of call %q: %w", call, err)
	case item.Revision == 0:
		return nil, fmt.Errorf("stream of call %q: %w", call, streams.ErrUnknown)
	}
	if err := o.ledger.AddValue(call, item.Value); err != nil {
		return nil, err
	}
	return o.ledger.Find(organisation, call)
}

// versionReadTimeout limits the read of a server's entry before a stream goes on there.
const versionReadTimeout = 400 * time.Millisecond

// refreshServers reads the entries of servers from the key-value service: one may have started anew under its id, with another version.
// If no gateway reaches the service, what is known here applies, unless this process is cut off from the other gateways, which may know
// more; only then there is an error.
func (s *stream) refreshServers(ctx context.Context, ids ...string) error {
	ctx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	var group errgroup.Group
	for _, id := range ids {
		group.Go(func() error {
			item, err := s.g.storeAccess.Read(ctx, s.g.catalogue.ServerPrefix+id, ports.Linearizable)
			switch {
			case err != nil && !s.g.group.IsInMajority():
				return fmt.Errorf("version of server %s not confirmed: %w", id, err)
			case err != nil, item.Revision == 0:
				return nil
			}
			s.g.applyServer(&ports.WatchEvent{KeyValue: item})
			return nil
		})
	}
	return group.Wait()
}

// confirmVersion returns an error if a stream that has begun must not go on at the placed server, because that has another version than
// this process knew, or must not go on at all, because the version that began it is not certain.
func (s *stream) confirmVersion(ctx context.Context, p placement) error {
	if s.origin == nil || s.lastEventID == "" {
		return nil
	}
	ids := []string{p.server.ID}
	if first := s.origin.Server; first != "" && first != p.server.ID { // Earlier builds record no server.
		ids = append(ids, first)
	}
	if err := s.refreshServers(ctx, ids...); err != nil {
		return &notRunError{err}
	}
	view := s.g.directory.View()
	if err := s.checkOrigin(view); err != nil {
		return err
	}
	server := view.Server(p.server.ID)
	if server == nil || s.origin.MayGoOnAt(server) {
		return nil
	}
	s.g.log.Info("stream kept from server of another version", "request", s.call.ID, "server", server.ID, "born", server.Born,
		"version", server.Version, "revision", server.Revision, "stream_version", s.origin.Version)
	return &notRunError{fmt.Errorf("server %s is not of version %s any more", server.ID, s.origin.Version)}
}

// checkOrigin returns a *notRunError if the version that began the stream may not be the recorded one, by what is listed now.
func (s *stream) checkOrigin(view *fleet.View) error {
	if !s.origin.IsDoubtful(view) {
		return nil
	}
	now := view.Server(s.origin.Server)
	s.g.log.Info("version of stream is doubtful", "request", s.call.ID, "resumes", s.call.Resumes, "server", now.ID, "born", s.origin.Born,
		"stream_version", s.origin.Version, "listed_born", now.Born, "listed_version", now.Version)
	return &notRunError{api.Errorf(api.CodeStreamUnknown, "server %s may have begun the stream as version %s or %s", now.ID, s.origin.Version, now.Version)}
}
