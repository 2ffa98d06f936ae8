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
	confirmCheckInterval = 250 * time.Millisecond // Interval at which Follow checks whether to read the head.
	readTimeout          = time.Second            // Timeout of one read of the head or of a configuration.
	minRetryDelay        = 200 * time.Millisecond // Initial retry delay; doubles with each failure up to maxRetryDelay.
	maxRetryDelay        = 2 * time.Second
)

// HeadReader reads and watches the head of the chain of revisions. Store implements it.
type HeadReader interface {
	Head(ctx context.Context) (Head, error)
	WatchHead(ctx context.Context, after Head) (<-chan ports.WatchEvent, error)
}

// Fetcher reads a configuration whose revision is at least atLeast. Store implements it, and so does
// httpapi.PeerFetcher, which reads from other entries.
type Fetcher interface {
	Fetch(ctx context.Context, atLeast uint64) (Snapshot, error)
}

// Fetchers tries each Fetcher in order until one succeeds, each with a timeout of readTimeout. If all fail, it returns
// the error of the last one.
type Fetchers []Fetcher

// Fetch implements Fetcher.
func (f Fetchers) Fetch(ctx context.Context, atLeast uint64) (Snapshot, error) {
	lastErr := error(api.Errorf(api.CodeUnavailable, "no source to read configuration revision %d from", atLeast))
	for _, fetcher := range f {
		fetchCtx, cancel := context.WithTimeout(ctx, readTimeout)
		snapshot, err := fetcher.Fetch(fetchCtx, atLeast)
		cancel()
		if err == nil {
			return snapshot, nil
		}
		lastErr = err
	}
	return Snapshot{}, lastErr
}

// WatchHead watches the head for changes after the given state.
func (s *Store) WatchHead(ctx context.Context, after Head) (<-chan ports.WatchEvent, error) {
	return s.kv.Watch(ctx, keyHead, after.modRevision)
}

// Follow keeps the tracker up to date until ctx ends. It watches the head, reads the head if neither the key-value
// service nor a peer has confirmed it for half of maxAge, and fetches the configuration if a newer revision is known.
func (t *Tracker) Follow(ctx context.Context, head HeadReader, fetch Fetcher) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.watch(ctx, head) })
	group.Go(func() error { return t.confirmPeriodically(ctx, head) })
	group.Go(func() error { return t.fetchNewer(ctx, fetch) })
	return group.Wait()
}

// watch reads and watches the head until ctx ends, and starts again after each failure or end of the watch.
func (t *Tracker) watch(ctx context.Context, head HeadReader) error {
	for delay := minRetryDelay; ; delay = nextDelay(delay) {
		h, err := t.readHead(ctx, head)
		if err == nil {
			var events <-chan ports.WatchEvent
			events, err = head.WatchHead(ctx, h)
			if err == nil {
				delay = minRetryDelay
				t.consumeEvents(events)
			}
		}
		if err != nil {
			slog.Debug("configuration watch failed", "error", err)
		}
		if !sleepJittered(ctx, delay) {
			return ctx.Err()
		}
	}
}

// consumeEvents observes the revisions in events until the channel is closed.
func (t *Tracker) consumeEvents(events <-chan ports.WatchEvent) {
	for event := range events {
		if event.Deleted || event.Key != keyHead {
			continue
		}
		h, err := decodeHead(event.KeyValue)
		if err != nil {
			slog.Error("configuration head cannot be decoded", "error", err)
			continue
		}
		t.Observe(h.Revision, Source{Kind: SourceWatch})
	}
}

// readHead reads the head and records it as a confirmation as of the time before the read.
func (t *Tracker) readHead(ctx context.Context, head HeadReader) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := t.now()
	h, err := head.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	t.Observe(h.Revision, Source{Kind: SourceStore, RequestedAt: requestedAt})
	return h, nil
}

// confirmPeriodically reads the head whenever mustReadHead requires it, until ctx ends.
func (t *Tracker) confirmPeriodically(ctx context.Context, head HeadReader) error {
	delay := minRetryDelay
	for sleepJittered(ctx, confirmCheckInterval) {
		if !t.mustReadHead(t.Age(t.now())) {
			continue
		}
		if _, err := t.readHead(ctx, head); err != nil {
			delay = nextDelay(delay)
			sleepJittered(ctx, delay)
			continue
		}
		delay = minRetryDelay
	}
	return ctx.Err()
}

// mustReadHead reports whether to read the head now, given the time since the last confirmation. From half of maxAge,
// on average one of all entries does so in each interval and reports the result to the others. From three quarters of
// maxAge, every entry does.
func (t *Tracker) mustReadHead(age time.Duration) bool {
	switch {
	case age < 0 || age >= t.maxAge*3/4:
		return true
	case age < t.maxAge/2:
		return false
	default:
		return rand.N(t.peerCount()+1) == 0
	}
}

// fetchNewer fetches and installs a newer revision whenever one is known, until ctx ends.
func (t *Tracker) fetchNewer(ctx context.Context, fetch Fetcher) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.fetchNeeded:
		}
		for delay := minRetryDelay; t.isBehind(); delay = nextDelay(delay) {
			snapshot, err := fetch.Fetch(ctx, t.Known())
			if err == nil && snapshot.Config != nil {
				t.Install(snapshot)
				continue
			}
			slog.Warn("newer configuration cannot be read", "revision", t.Known(), "error", err)
			if !sleepJittered(ctx, delay) {
				return ctx.Err()
			}
		}
	}
}

// nextDelay doubles the delay between retries, up to maxRetryDelay.
func nextDelay(delay time.Duration) time.Duration { return min(2*delay, maxRetryDelay) }

// sleepJittered waits for a random time between 0.5 and 1.5 times d. It returns false if ctx ends first.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
