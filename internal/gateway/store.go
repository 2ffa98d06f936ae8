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

// monitoredStore is a ports.Store that tracks whether the key-value service answers and how fast, and limits the time of
// commits accordingly.
type monitoredStore struct {
	ports.Store
	log      *slog.Logger
	metrics  *metrics
	probeKey string // Key that is read to check whether the service answers.
	onChange func(storeChange)
	wake     chan struct{} // Holds a token when the service is to be probed immediately.

	mu           sync.Mutex
	failures     int           // Guarded by mu. Consecutive calls without an answer.
	lastAnswer   time.Time     // Guarded by mu. Time of the last answer.
	lastOther    time.Time     // Guarded by mu. Time of the last answer to a call that is no watch.
	firstFailure time.Time     // Guarded by mu. Time of the first of the failures.
	recovered    chan struct{} // Guarded by mu. Closed when an outage ends; nil while there is none.
	latency      time.Duration // Guarded by mu. Moving average of a commit.
	unconfirmed  bool          // Guarded by mu. It must be checked whether the service still answers this process.
}

// storeChange is a change of whether the service answers this process.
type storeChange int

// Values of storeChange.
const (
	storeLost      storeChange = iota // An outage has begun.
	storeRegained                     // An outage has ended.
	storeConfirmed                    // The service was unconfirmed, and has answered.
)

func newMonitoredStore(s ports.Store, probeKey string, log *slog.Logger, m *metrics) *monitoredStore {
	return &monitoredStore{Store: s, probeKey: probeKey, log: log, metrics: m, latency: initialCommitLatency, wake: make(chan struct{}, 1)}
}

const (
	failuresBeforeOutage = 2                      // Consecutive failed calls after which the service counts as away.
	initialCommitLatency = 5 * time.Millisecond   // Assumed before the first commit.
	latencyWeight        = 0.2                    // Weight of one commit in the moving average.
	minCommitTimeout     = 250 * time.Millisecond // The shortest time after which an answer counts as lost.
	maxCommitTimeout     = 1200 * time.Millisecond
	commitTimeoutFactor  = 4 // Multiple of the average latency after which a commit's answer counts as lost.
	probeInterval        = 200 * time.Millisecond
	probeTimeout         = 400 * time.Millisecond
	maxOutagePause       = 2 * time.Second        // Between attempts of a watch during an outage.
	maxAnswerAge         = 500 * time.Millisecond // Time without an answer after which the hub probes the service.
	watchOperation       = "watch"
)

// isOutage reports whether the error means that the service did not answer.
func isOutage(err error) bool {
	return errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrAmbiguous)
}

// recordResult records whether a call was answered, and calls onChange and logs when an outage begins or ends. onChange is
// called with mu held.
func (s *monitoredStore) recordResult(operation string, err error) {
	s.metrics.storeCall(operation).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isOutage(err) {
		s.failures, s.lastAnswer = 0, time.Now()
		if operation != watchOperation {
			s.lastOther = s.lastAnswer
		}
		if s.unconfirmed {
			s.unconfirmed = false
			s.onChange(storeConfirmed)
		}
		if s.recovered != nil {
			close(s.recovered)
			s.recovered = nil
			s.onChange(storeRegained)
			s.log.Info("dependency regained", "dependency", "store", "after_ms", time.Since(s.firstFailure).Milliseconds())
		}
		return
	}
	s.metrics.storeFailures.Inc()
	if s.failures == 0 {
		s.firstFailure = time.Now()
	}
	s.failures++
	if s.failures >= failuresBeforeOutage && s.recovered == nil {
		s.recovered = make(chan struct{})
		s.unconfirmed = false
		s.onChange(storeLost)
		s.log.Warn("dependency lost", "dependency", "store", "failures", s.failures, "error", err)
	}
}

// requestProbe probes the service immediately, because it does not answer another gateway. It does nothing during an
// outage.
func (s *monitoredStore) requestProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered != nil {
		return
	}
	s.unconfirmed = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// isUnconfirmed reports whether a probe was requested and neither an answer nor an outage has been seen since.
func (s *monitoredStore) isUnconfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unconfirmed
}

// sinceLastAnswer returns the time since the service last answered.
func (s *monitoredStore) sinceLastAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastAnswer)
}

// lastReply returns the time of the last answer to a call that is no watch. While it answers such calls, the link to it works.
func (s *monitoredStore) lastReply() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastOther
}

// awayFor returns the duration of the current outage, or 0 if there is none.
func (s *monitoredStore) awayFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered == nil {
		return 0
	}
	return time.Since(s.firstFailure)
}

// outage returns a channel that closes when the current outage ends, or nil if there is none.
func (s *monitoredStore) outage() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// pauseAfterFailure waits before a failed call is repeated. During an outage it waits until the outage ends, for at most
// maxOutagePause.
func (s *monitoredStore) pauseAfterFailure(ctx context.Context) {
	recovered := s.outage()
	if recovered == nil {
		pause.For(ctx, storeRetryDelay)
		return
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	case <-time.After(maxOutagePause):
	}
}

// probe reads probeKey at intervals until ctx ends, to learn whether the service answers: during an outage, after
// requestProbe, and when isReliedOn returns true and the service has not answered for maxAnswerAge.
func (s *monitoredStore) probe(ctx context.Context, isReliedOn func() bool) {
	for ctx.Err() == nil {
		wait := probeInterval
		if isReliedOn() && s.outage() == nil { // Others rely on what is heard of the outage, so it must be noticed soon.
			wait = min(max(maxAnswerAge-s.sinceLastAnswer(), 0), probeInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(wait):
		}
		if s.outage() == nil && !s.isUnconfirmed() && !(isReliedOn() && s.sinceLastAnswer() >= maxAnswerAge) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := s.Read(limited, s.probeKey, ports.Stale)
		cancel()
		if err != nil && !isOutage(err) {
			s.log.Warn("probe of the store failed", "error", err)
		}
	}
}

// Read implements ports.Store.
func (s *monitoredStore) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	item, err := s.Store.Read(ctx, key, fresh)
	s.recordResult("read", err)
	return item, err
}

// ReadRange implements ports.Store.
func (s *monitoredStore) ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	page, err := s.Store.ReadRange(ctx, prefix, after, fresh)
	s.recordResult("range", err)
	return page, err
}

// Await implements ports.Store.
func (s *monitoredStore) Await(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]ports.WatchEvent, int64, error) {
	events, revision, err := s.Store.Await(ctx, prefix, after, wait)
	if !errors.Is(err, ports.ErrCompacted) {
		s.recordResult(watchOperation, err)
	}
	return events, revision, err
}

// Commit implements ports.Store. An answer that takes much longer than the average counts as lost.
func (s *monitoredStore) Commit(ctx context.Context, t ports.Transaction) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.commitTimeout())
	defer cancel()
	start := time.Now()
	revision, err := s.Store.Commit(ctx, t)
	s.recordResult("commit", err)
	s.updateLatency(time.Since(start), err)
	return revision, err
}

// commitTimeout returns the time after which the answer to a commit counts as lost.
func (s *monitoredStore) commitTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(s.latency*commitTimeoutFactor, minCommitTimeout), maxCommitTimeout)
}

// updateLatency adds the time of a commit to the average. A lost answer counts as a slow one, so that the timeout grows when
// the service becomes slow.
func (s *monitoredStore) updateLatency(elapsed time.Duration, err error) {
	if errors.Is(err, ports.ErrUnavailable) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(float64(elapsed-s.latency) * latencyWeight)
}
