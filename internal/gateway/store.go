package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// watchedStore notes whether the key-value service answers and how fast, and bounds calls by that.
type watchedStore struct {
	ports.Store
	log      *slog.Logger
	metrics  *metrics
	probed   string // Key that is read to see whether the service is back.
	onChange func(storeChange)
	wake     chan struct{} // Holds a token when the service is to be asked at once.

	mu       sync.Mutex
	failures int           // Guarded by mu. Calls in a row that got no answer.
	answered time.Time     // Guarded by mu. Last answer.
	lost     time.Time     // Guarded by mu. When the first of them failed.
	back     chan struct{} // Guarded by mu. Closed when an outage ends; nil while there is none.
	latency  time.Duration // Guarded by mu. Average of a commit.
	doubted  bool          // Guarded by mu. Whether the service answers is to be seen anew.
}

// storeChange is news of whether the service answers this process.
type storeChange int

// Changes.
const (
	storeLost      storeChange = iota // An outage begins.
	storeRegained                     // An outage ends.
	storeConfirmed                    // There was doubt, and it answers.
)

func newWatchedStore(s ports.Store, probed string, log *slog.Logger, m *metrics) *watchedStore {
	return &watchedStore{Store: s, probed: probed, log: log, metrics: m, latency: usualLatency, wake: make(chan struct{}, 1)}
}

const (
	failuresOfOutage  = 2                      // Calls in a row that fail before the service counts as away.
	usualLatency      = 5 * time.Millisecond   // Of a commit, before one was measured.
	latencyWeight     = 0.2                    // Of one commit in the average.
	minCommitPatience = 250 * time.Millisecond // A lost answer is noticed after this time at the earliest.
	maxCommitPatience = 1200 * time.Millisecond
	patienceFactor    = 4 // Times the average that a commit may take before its answer counts as lost.
	probeInterval     = 200 * time.Millisecond
	probePatience     = 400 * time.Millisecond
	maxOutagePause    = 2 * time.Second        // Between two tries of a watch in an outage.
	maxQuiet          = 400 * time.Millisecond // Time without an answer after which a process that others rely on asks.
)

// isOutage reports whether the error says that the service could not be asked.
func isOutage(err error) bool {
	return errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrAmbiguous)
}

// observe notes the outcome of a call.
func (s *watchedStore) observe(operation string, err error) {
	s.metrics.storeCall(operation).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isOutage(err) {
		s.failures, s.answered = 0, time.Now()
		if s.doubted {
			s.doubted = false
			s.onChange(storeConfirmed)
		}
		if s.back != nil {
			close(s.back)
			s.back = nil
			s.onChange(storeRegained)
			s.log.Info("dependency regained", "dependency", "store", "after_ms", time.Since(s.lost).Milliseconds())
		}
		return
	}
	s.metrics.storeFailures.Inc()
	if s.failures == 0 {
		s.lost = time.Now()
	}
	s.failures++
	if s.failures >= failuresOfOutage && s.back == nil {
		s.back = make(chan struct{})
		s.doubted = false
		s.onChange(storeLost)
		s.log.Warn("dependency lost", "dependency", "store", "failures", s.failures, "error", err)
	}
}

// doubt has the service asked at once whether it answers this process, as it does not answer another.
func (s *watchedStore) doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.back != nil {
		return
	}
	s.doubted = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *watchedStore) isDoubted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doubted
}

// quietFor returns how long ago the service last answered.
func (s *watchedStore) quietFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.answered)
}

// awayFor returns for how long the service has been away; 0 when it is not.
func (s *watchedStore) awayFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.back == nil {
		return 0
	}
	return time.Since(s.lost)
}

// outage returns a channel that closes when the service is back, or nil when it is not away.
func (s *watchedStore) outage() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

// pauseAfterFailure waits before a failed watch is tried again: in an outage until the service is back.
func (s *watchedStore) pauseAfterFailure(ctx context.Context) {
	back := s.outage()
	if back == nil {
		pause.For(ctx, retryPause)
		return
	}
	select {
	case <-back:
	case <-ctx.Done():
	case <-time.After(maxOutagePause):
	}
}

// probe asks the service whether it is there, until ctx ends: in an outage, and when others rely on this process and the
// service has not answered for a while.
func (s *watchedStore) probe(ctx context.Context, isReliedOn func() bool) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(probeInterval):
		}
		if s.outage() == nil && !s.isDoubted() && !(isReliedOn() && s.quietFor() > maxQuiet) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, probePatience)
		_, err := s.Read(limited, s.probed, ports.Stale)
		cancel()
		if err != nil && !isOutage(err) {
			s.log.Warn("probe of the store failed", "error", err)
		}
	}
}

// Read implements ports.Store.
func (s *watchedStore) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	item, err := s.Store.Read(ctx, key, fresh)
	s.observe("read", err)
	return item, err
}

// ReadRange implements ports.Store.
func (s *watchedStore) ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	page, err := s.Store.ReadRange(ctx, prefix, after, fresh)
	s.observe("range", err)
	return page, err
}

// Await implements ports.Store.
func (s *watchedStore) Await(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]ports.WatchEvent, int64, error) {
	events, revision, err := s.Store.Await(ctx, prefix, after, wait)
	if !errors.Is(err, ports.ErrCompacted) {
		s.observe("watch", err)
	}
	return events, revision, err
}

// Commit implements ports.Store. An answer that takes much longer than usual counts as lost.
func (s *watchedStore) Commit(ctx context.Context, t ports.Transaction) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.commitPatience())
	defer cancel()
	began := time.Now()
	revision, err := s.Store.Commit(ctx, t)
	s.observe("commit", err)
	s.learn(time.Since(began), err)
	return revision, err
}

func (s *watchedStore) commitPatience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(s.latency*patienceFactor, minCommitPatience), maxCommitPatience)
}

// learn takes the time of a commit into the average. A lost answer counts as a long one, so that patience grows when the
// service turns slow.
func (s *watchedStore) learn(took time.Duration, err error) {
	if errors.Is(err, ports.ErrUnavailable) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(float64(took-s.latency) * latencyWeight)
}
