package policy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	followTick   = 250 * time.Millisecond // How often Follow looks whether it must ask.
	readTimeout  = time.Second            // Of one read of the head or of a configuration.
	minFollowGap = 200 * time.Millisecond // Between failed attempts.
	maxFollowGap = 2 * time.Second
)

// HeadReader reads and watches the head of the chain. Store implements it.
type HeadReader interface {
	Head(ctx context.Context) (Head, error)
	WatchHead(ctx context.Context, after Head) (<-chan ports.WatchEvent, error)
}

// Fetcher gets a configuration that is at least as new as a revision. Store implements it, and so does a client of
// another entry.
type Fetcher interface {
	Fetch(ctx context.Context, atLeast uint64) (Snapshot, error)
}

// Fetchers asks each in turn until one answers.
type Fetchers []Fetcher

// Fetch implements Fetcher.
func (f Fetchers) Fetch(ctx context.Context, atLeast uint64) (Snapshot, error) {
	last := error(api.Errorf(api.CodeUnavailable, "nobody to ask for configuration revision %d", atLeast))
	for _, one := range f {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		snapshot, err := one.Fetch(bounded, atLeast)
		cancel()
		if err == nil {
			return snapshot, nil
		}
		last = err
	}
	return Snapshot{}, last
}

// WatchHead watches the head from the state that was read.
func (s *Store) WatchHead(ctx context.Context, after Head) (<-chan ports.WatchEvent, error) {
	return s.kv.Watch(ctx, keyHead, after.modRevision)
}

// Follow keeps the tracker up to date until ctx ends: one watch on the head, a read of the head when neither the
// key-value service nor a peer has confirmed it for half of maxAge, and a fetch when a newer revision is known.
func (t *Tracker) Follow(ctx context.Context, head HeadReader, fetch Fetcher) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.watch(ctx, head) })
	group.Go(func() error { return t.confirmRegularly(ctx, head) })
	group.Go(func() error { return t.fetchWanted(ctx, fetch) })
	return group.Wait()
}

func (t *Tracker) watch(ctx context.Context, head HeadReader) error {
	for gap := minFollowGap; ; gap = nextGap(gap) {
		h, err := t.readHead(ctx, head)
		if err == nil {
			var events <-chan ports.WatchEvent
			events, err = head.WatchHead(ctx, h)
			if err == nil {
				gap = minFollowGap
				t.drain(events)
			}
		}
		if err != nil {
			slog.Debug("watch of the configuration ended", "error", err)
		}
		if !sleep(ctx, gap) {
			return ctx.Err()
		}
	}
}

func (t *Tracker) drain(events <-chan ports.WatchEvent) {
	for event := range events {
		if event.Deleted || event.Key != keyHead {
			continue
		}
		h, err := decodeHead(event.KeyValue)
		if err != nil {
			slog.Error("unreadable head of the configuration", "error", err)
			continue
		}
		t.Observe(h.Revision, Source{Kind: SourceWatch})
	}
}

func (t *Tracker) readHead(ctx context.Context, head HeadReader) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := t.now()
	h, err := head.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	t.Observe(h.Revision, Source{Kind: SourceStore, Asked: asked})
	return h, nil
}

func (t *Tracker) confirmRegularly(ctx context.Context, head HeadReader) error {
	gap := minFollowGap
	for sleep(ctx, followTick) {
		if !t.mustAsk(t.Age(t.now())) {
			continue
		}
		if _, err := t.readHead(ctx, head); err != nil {
			gap = nextGap(gap)
			sleep(ctx, gap)
			continue
		}
		gap = minFollowGap
	}
	return ctx.Err()
}

// mustAsk reports whether to read the head now. From half of maxAge on about one entry of all does so in each tick and
// tells the others; from three quarters on every entry does.
func (t *Tracker) mustAsk(age time.Duration) bool {
	switch {
	case age < 0 || age >= t.maxAge*3/4:
		return true
	case age < t.maxAge/2:
		return false
	default:
		return rand.N(t.peerCount()+1) == 0
	}
}

func (t *Tracker) fetchWanted(ctx context.Context, fetch Fetcher) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wanted:
		}
		for gap := minFollowGap; t.behind(); gap = nextGap(gap) {
			snapshot, err := fetch.Fetch(ctx, t.Known())
			if err == nil && snapshot.Config != nil {
				t.Install(snapshot)
				continue
			}
			slog.Warn("configuration is known but could not be read", "revision", t.Known(), "error", err)
			if !sleep(ctx, gap) {
				return ctx.Err()
			}
		}
	}
}

func nextGap(gap time.Duration) time.Duration { return min(2*gap, maxFollowGap) }

// sleep waits for about d; false when ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
