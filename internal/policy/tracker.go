package policy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// DefaultMaxAge is how long a process serves without confirmation that its revision is the newest. Together with one
// exchange between entries it stays below the bound on bringing a change into force.
const DefaultMaxAge = 4 * time.Second

// installWait bounds how long Serve waits for a revision that is known but not yet fetched.
const installWait = 2 * time.Second

// spreadTick is how often AwaitSpread looks at what the other entries said.
const spreadTick = 10 * time.Millisecond

// SourceKind says how a process learned of a revision.
type SourceKind int

// Kinds of sources.
const (
	SourceStore SourceKind = iota // A read of the head in the key-value service.
	SourceWatch                   // An event of the watch on the head; it may come late.
	SourcePeer                    // Another process.
)

// Source describes one observation of a revision.
type Source struct {
	Kind SourceKind
	Peer string // Name of the peer, of SourcePeer.
	// Asked is when the question was sent whose answer gave the revision, so that the answer was true later than that.
	// A revision heard otherwise, such as in a peer's own question, is reported as of SourceWatch.
	Asked time.Time
	// Age is what the peer said, of SourcePeer: how long before its answer its revision was confirmed to be the newest.
	// Negative when it never was.
	Age time.Duration
}

// Tracker holds the revision that one process serves under. The revision only rises, and once the process has learned
// that a newer one exists it serves no more under the older one. Safe for concurrent use.
//
// It is fresh for maxAge after the head was confirmed by a read of the key-value service, here or at a peer that says
// so. While it is fresh, answers of every other entry keep it so: only entries accept configurations, and each tells an
// operator so only after every other one knows the revision or has lapsed (AwaitSpread). Once lapsed it needs a
// confirmation again, as it may have missed a revision that its peers have forgotten since.
type Tracker struct {
	maxAge  time.Duration
	now     func() time.Time
	current atomic.Pointer[Snapshot]
	known   atomic.Uint64             // Highest revision known to exist; at least that of current.
	fresh   atomic.Pointer[time.Time] // The process is fresh for maxAge from here; nil before the first confirmation.
	wanted  chan struct{}             // Signals that known is above current.

	mu        sync.Mutex // Guards what follows; whoever sets current, known or fresh holds it.
	confirmed time.Time  // When the head was last known to be at most known.
	peers     map[string]*peerState
	peersAt   time.Time     // When the list of peers was asked for; zero before the first.
	installed chan struct{} // Closed and replaced whenever current rises.
}

// peerState is what a Tracker knows of another entry.
type peerState struct {
	heard    time.Time // When it was asked for its last answer, or first listed.
	revision uint64    // The highest that it said it knows.
}

// NewTracker returns a Tracker that serves under initial until it learns of revision 1. It starts as not fresh.
func NewTracker(initial *Config, maxAge time.Duration, now func() time.Time) *Tracker {
	t := &Tracker{
		maxAge:    maxAge,
		now:       now,
		wanted:    make(chan struct{}, 1),
		installed: make(chan struct{}),
		peers:     make(map[string]*peerState),
	}
	t.current.Store(&Snapshot{Config: initial.Compile()})
	return t
}

// Observe records that a revision exists.
func (t *Tracker) Observe(revision uint64, from Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raise(revision)
	switch from.Kind {
	case SourceStore:
		t.confirm(from.Asked)
	case SourcePeer:
		if from.Age >= 0 {
			t.confirm(from.Asked.Add(-from.Age))
		}
		t.heard(revision, from)
	}
	t.refresh()
}

// heard requires mu.
func (t *Tracker) heard(revision uint64, from Source) {
	peer, listed := t.peers[from.Peer]
	if !listed {
		return
	}
	peer.revision = max(peer.revision, revision)
	if from.Asked.After(peer.heard) {
		peer.heard = from.Asked
	}
}

// SetPeers records the names of the other entries, as the membership list gave them when asked at the time. Entries
// that may still accept a configuration must be among them; one that leaves accepts none and may be left out.
func (t *Tracker) SetPeers(names []string, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peersAt = asked
	for _, name := range names {
		if t.peers[name] == nil {
			t.peers[name] = &peerState{heard: asked}
		}
	}
	for name := range t.peers {
		if !slices.Contains(names, name) {
			delete(t.peers, name)
		}
	}
	t.refresh()
}

func (t *Tracker) peerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Accepted records that this process had a revision accepted, now or before, and returns the time for AwaitSpread.
func (t *Tracker) Accepted(revision uint64) time.Time {
	t.Observe(revision, Source{Kind: SourceWatch})
	return t.now()
}

// AwaitSpread returns when every other entry, of a list asked for after the acceptance, has said that it knows the
// revision, or when maxAge has passed: by then an entry that does not know it is no longer fresh. An operator is told
// that a revision is accepted only after that.
func (t *Tracker) AwaitSpread(ctx context.Context, revision uint64, accepted time.Time) {
	ctx, cancel := context.WithTimeout(ctx, t.maxAge)
	defer cancel()
	ticker := time.NewTicker(spreadTick)
	defer ticker.Stop()
	for !t.isSpread(revision, accepted) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) isSpread(revision uint64, accepted time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.peersAt.After(accepted) {
		return false
	}
	for _, peer := range t.peers {
		if peer.revision < revision {
			return false
		}
	}
	return true
}

// Install makes the snapshot current if it is newer.
func (t *Tracker) Install(s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raise(s.Entry.Revision)
	if s.Entry.Revision <= t.current.Load().Entry.Revision {
		return
	}
	t.current.Store(&s)
	close(t.installed)
	t.installed = make(chan struct{})
}

// raise requires mu.
func (t *Tracker) raise(revision uint64) {
	if revision > t.known.Load() {
		t.known.Store(revision)
	}
	if t.known.Load() > t.current.Load().Entry.Revision {
		select {
		case t.wanted <- struct{}{}:
		default:
		}
	}
}

// confirm requires mu.
func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// refresh requires mu.
func (t *Tracker) refresh() {
	if t.confirmed.IsZero() {
		return
	}
	t.freshen(t.confirmed)
	if t.isWithin(t.fresh.Load(), t.now()) {
		t.freshen(t.allHeard())
	}
}

// freshen requires mu.
func (t *Tracker) freshen(at time.Time) {
	before := t.fresh.Load()
	if before == nil || at.After(*before) {
		t.fresh.Store(&at)
	}
}

// isWithin reports whether now is less than maxAge after at, by the wall clock as well as the monotonic one, which
// stands still while a VM is suspended.
func (t *Tracker) isWithin(at *time.Time, now time.Time) bool {
	return at != nil && now.Sub(*at) < t.maxAge && now.Round(0).Sub(at.Round(0)) < t.maxAge
}

// allHeard returns the latest moment by which every other entry had told its revision. It requires mu.
func (t *Tracker) allHeard() time.Time {
	at := t.peersAt
	for _, peer := range t.peers {
		if peer.heard.Before(at) {
			at = peer.heard
		}
	}
	return at
}

// Fresh reports whether the process may serve: it has been in touch recently enough and is not behind.
func (t *Tracker) Fresh(now time.Time) bool {
	return t.isWithin(t.fresh.Load(), now) && !t.behind()
}

func (t *Tracker) behind() bool { return t.known.Load() > t.current.Load().Entry.Revision }

// Age returns how long ago the head was confirmed, which the process tells its peers; negative when it never was.
func (t *Tracker) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(now)
}

// age requires mu.
func (t *Tracker) age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return -1
	}
	return max(0, now.Sub(t.confirmed))
}

// Report returns what the process tells its peers: the highest revision that it knows, and how long ago that was
// confirmed to be the newest (negative: never). Known and Age read one after the other may not belong together.
func (t *Tracker) Report(now time.Time) (revision uint64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known.Load(), t.age(now)
}

// Current returns the newest revision that the process holds, whether or not it may serve under it.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Known returns the highest revision that the process knows to exist.
func (t *Tracker) Known() uint64 { return t.known.Load() }

// Serve returns the revision to serve a new request under. When a newer one is known and on its way it waits for it,
// bounded. Its error has CodeStaleConfig: nothing ran.
func (t *Tracker) Serve(ctx context.Context) (*Snapshot, error) {
	if t.behind() {
		t.awaitInstalled(ctx)
	}
	now := t.now()
	if !t.Fresh(now) {
		return nil, t.staleError(now)
	}
	return t.current.Load(), nil
}

func (t *Tracker) awaitInstalled(ctx context.Context) {
	timer := time.NewTimer(installWait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		installed := t.installed
		t.mu.Unlock()
		if !t.behind() {
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

func (t *Tracker) staleError(now time.Time) error {
	if t.behind() {
		return api.Errorf(api.CodeStaleConfig, "configuration revision %d exists and could not be read yet; this process has %d",
			t.Known(), t.Current().Entry.Revision)
	}
	return api.Errorf(api.CodeStaleConfig, "configuration revision %d has not been confirmed for %v", t.Current().Entry.Revision, t.Age(now))
}
