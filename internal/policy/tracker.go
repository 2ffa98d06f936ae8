package policy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// DefaultMaxAge is how long a process may serve without confirmation that its revision is the newest. DefaultMaxAge and
// the time of one exchange between entries together must stay below the time in which a change must be in force.
const DefaultMaxAge = 4 * time.Second

// installTimeout is the maximum time that AwaitFresh waits for a revision that is known but not yet fetched.
const installTimeout = 2 * time.Second

// propagationPollInterval is the interval at which AwaitPropagation checks the revisions that other entries reported.
const propagationPollInterval = 10 * time.Millisecond

// SourceKind is the channel through which a process learned of a revision.
type SourceKind int

// Kinds of sources.
const (
	SourceStore SourceKind = iota // A read of the head in the key-value service.
	SourceWatch                   // An event of the watch on the head, which may be delayed.
	SourcePeer                    // A response from another entry process.
)

// Source describes one observation of a revision.
type Source struct {
	Kind SourceKind
	Peer string // Name of the peer, for SourcePeer.
	// RequestedAt is when the request was sent whose response contained the revision. The response reflects a state at or
	// after that time. A revision that was not requested, such as one in a peer's own request, has SourceWatch.
	RequestedAt time.Time
	// Age is set for SourcePeer. It is the time between the last confirmation that the peer's revision was the newest and
	// the peer's response, as reported by the peer. It is negative if there was no confirmation.
	Age time.Duration
}

// Tracker holds the configuration revision that one process uses. The revision never decreases. Once the process learns
// that a newer revision exists, it stops serving under the older one. A Tracker is safe for concurrent use.
//
// A Tracker is fresh for maxAge after a read of the key-value service confirmed the head. The read can be its own or
// one that a peer reports. While a Tracker is fresh, responses from all other entries extend its freshness. This is
// safe because only entries accept configurations, and an entry confirms an acceptance to the operator only after every
// other entry knows the revision or is no longer fresh (AwaitPropagation). A Tracker whose freshness has expired needs
// a new confirmation, because it may have missed a revision that its peers no longer know.
type Tracker struct {
	maxAge      time.Duration
	now         func() time.Time
	current     atomic.Pointer[Snapshot]
	known       atomic.Uint64             // Highest revision known to exist; never below the revision of current.
	freshSince  atomic.Pointer[time.Time] // The process is fresh until maxAge after this time; nil before the first confirmation.
	fetchNeeded chan struct{}             // Signals that known is above the revision of current.

	mu            sync.Mutex            // Guards the fields below. Must also be held to store current, known or freshSince.
	confirmedAt   time.Time             // Latest time at which the head was confirmed to be at most known.
	peers         map[string]*peerState // Other entries by name.
	peersListedAt time.Time             // When the list of peers was requested; zero before the first list.
	installed     chan struct{}         // Closed and replaced whenever current changes.
}

// peerState is the state of another entry as a Tracker knows it.
type peerState struct {
	requestedAt time.Time // When the request for its last response was sent, or when it was first listed.
	revision    uint64    // Highest revision that it reported.
}

// NewTracker returns a Tracker that uses the configuration initial until it learns of revision 1. It is not fresh until
// the first confirmation.
func NewTracker(initial *Config, maxAge time.Duration, now func() time.Time) *Tracker {
	t := &Tracker{
		maxAge:      maxAge,
		now:         now,
		fetchNeeded: make(chan struct{}, 1),
		installed:   make(chan struct{}),
		peers:       make(map[string]*peerState),
	}
	t.current.Store(&Snapshot{Config: initial.Compile()})
	return t
}

// Observe records that a revision exists, and what the source implies about freshness.
func (t *Tracker) Observe(revision uint64, from Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseKnown(revision)
	switch from.Kind {
	case SourceStore:
		t.recordConfirmation(from.RequestedAt)
	case SourcePeer:
		if from.Age >= 0 {
			t.recordConfirmation(from.RequestedAt.Add(-from.Age))
		}
		t.recordPeer(revision, from)
	}
	t.updateFreshness()
}

// recordPeer records a response from a listed peer. It requires mu.
func (t *Tracker) recordPeer(revision uint64, from Source) {
	peer, listed := t.peers[from.Peer]
	if !listed {
		return
	}
	peer.revision = max(peer.revision, revision)
	if from.RequestedAt.After(peer.requestedAt) {
		peer.requestedAt = from.RequestedAt
	}
}

// SetPeers sets the names of the other entries. They come from the membership list, which was requested at listedAt.
// All entries that can still accept a configuration must be included. An entry that is shutting down accepts none and
// may be omitted.
func (t *Tracker) SetPeers(names []string, listedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peersListedAt = listedAt
	for _, name := range names {
		if t.peers[name] == nil {
			t.peers[name] = &peerState{requestedAt: listedAt}
		}
	}
	for name := range t.peers {
		if !slices.Contains(names, name) {
			delete(t.peers, name)
		}
	}
	t.updateFreshness()
}

// peerCount returns the number of other entries.
func (t *Tracker) peerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// RecordAccepted records that a submission through this process was accepted, now or earlier. It returns the time to
// pass to AwaitPropagation.
func (t *Tracker) RecordAccepted(revision uint64) time.Time {
	t.Observe(revision, Source{Kind: SourceWatch})
	return t.now()
}

// AwaitPropagation waits until every other entry has reported that it knows the revision, according to a list of
// entries that was requested after the acceptance. It returns after maxAge at the latest, because an entry that does
// not know the revision is no longer fresh by then. The acceptance must not be confirmed to the operator earlier, so ctx
// must not end before.
func (t *Tracker) AwaitPropagation(ctx context.Context, revision uint64, accepted time.Time) {
	ctx, cancel := context.WithTimeout(ctx, t.maxAge)
	defer cancel()
	ticker := time.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for !t.isPropagated(revision, accepted) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isPropagated reports whether all entries of a list requested after the acceptance know the revision.
func (t *Tracker) isPropagated(revision uint64, accepted time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.peersListedAt.After(accepted) {
		return false
	}
	for _, peer := range t.peers {
		if peer.revision < revision {
			return false
		}
	}
	return true
}

// Install makes the snapshot current if it is newer than the current one.
func (t *Tracker) Install(s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseKnown(s.Entry.Revision)
	if s.Entry.Revision <= t.current.Load().Entry.Revision {
		return
	}
	t.current.Store(&s)
	close(t.installed)
	t.installed = make(chan struct{})
}

// raiseKnown raises known to the revision, and signals fetchNeeded if known is above current. It requires mu.
func (t *Tracker) raiseKnown(revision uint64) {
	if revision > t.known.Load() {
		t.known.Store(revision)
	}
	if t.known.Load() > t.current.Load().Entry.Revision {
		select {
		case t.fetchNeeded <- struct{}{}:
		default:
		}
	}
}

// recordConfirmation records that the head was confirmed at a time. It requires mu.
func (t *Tracker) recordConfirmation(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// updateFreshness extends the freshness by the last confirmation and, if the process is fresh then, by the responses of
// the peers. It requires mu.
func (t *Tracker) updateFreshness() {
	if t.confirmedAt.IsZero() {
		return
	}
	t.extendFreshness(t.confirmedAt)
	if t.withinMaxAge(t.freshSince.Load(), t.now()) {
		t.extendFreshness(t.oldestPeerReport())
	}
}

// extendFreshness makes the process fresh until maxAge after a time, unless it already is for longer. It requires mu.
func (t *Tracker) extendFreshness(at time.Time) {
	before := t.freshSince.Load()
	if before == nil || at.After(*before) {
		t.freshSince.Store(&at)
	}
}

// withinMaxAge reports whether now is less than maxAge after at, by both the monotonic and the wall clock. The
// monotonic clock alone is not enough, because it stops while a VM is suspended.
func (t *Tracker) withinMaxAge(at *time.Time, now time.Time) bool {
	return at != nil && now.Sub(*at) < t.maxAge && now.Round(0).Sub(at.Round(0)) < t.maxAge
}

// oldestPeerReport returns a time such that every other entry has reported its revision as of that time or later. It is
// the oldest of the times of the list of peers and of the peers' responses. It requires mu.
func (t *Tracker) oldestPeerReport() time.Time {
	at := t.peersListedAt
	for _, peer := range t.peers {
		if peer.requestedAt.Before(at) {
			at = peer.requestedAt
		}
	}
	return at
}

// Fresh reports whether the process may serve requests: its freshness has not expired, and it has installed the highest
// revision that it knows of.
func (t *Tracker) Fresh(now time.Time) bool {
	return t.withinMaxAge(t.freshSince.Load(), now) && !t.isBehind()
}

// isBehind reports whether a newer revision than the current one is known to exist.
func (t *Tracker) isBehind() bool { return t.known.Load() > t.current.Load().Entry.Revision }

// Age returns the time since the head was last confirmed; negative if it never was.
func (t *Tracker) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(now)
}

// age implements Age. It requires mu.
func (t *Tracker) age(now time.Time) time.Duration {
	if t.confirmedAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(t.confirmedAt))
}

// Report returns the state that the process reports to its peers: the highest revision that it knows, and the time
// since that revision was confirmed to be the newest (negative if never). Both are read under one lock. Separate calls
// of Known and Age could return values that do not belong together.
func (t *Tracker) Report(now time.Time) (revision uint64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known.Load(), t.age(now)
}

// Current returns the newest revision that the process has installed, even if it is not fresh.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Known returns the highest revision that the process knows to exist.
func (t *Tracker) Known() uint64 { return t.known.Load() }

// AwaitFresh returns the revision to use for a new request. If a newer revision is known but not yet installed, it
// waits for up to installTimeout. Its error has CodeStaleConfig, which states that the request was not executed.
func (t *Tracker) AwaitFresh(ctx context.Context) (*Snapshot, error) {
	if t.isBehind() {
		t.awaitInstalled(ctx)
	}
	now := t.now()
	if !t.Fresh(now) {
		return nil, t.staleError(now)
	}
	return t.current.Load(), nil
}

// awaitInstalled waits until the highest known revision is installed, but not longer than installTimeout.
func (t *Tracker) awaitInstalled(ctx context.Context) {
	timer := time.NewTimer(installTimeout)
	defer timer.Stop()
	for {
		t.mu.Lock()
		installed := t.installed
		t.mu.Unlock()
		if !t.isBehind() {
			return
		}
		select {
		case <-installed:
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		}
	}
}

// staleError explains why the process may not serve requests.
func (t *Tracker) staleError(now time.Time) error {
	if t.isBehind() {
		return api.Errorf(api.CodeStaleConfig, "configuration revision %d exists but has not been read yet; this process has revision %d",
			t.Known(), t.Current().Entry.Revision)
	}
	return api.Errorf(api.CodeStaleConfig, "configuration revision %d has not been confirmed for %v", t.Current().Entry.Revision, t.Age(now))
}
