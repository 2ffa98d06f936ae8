package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Identity identifies the entry that a Node represents, and the current run of its process.
type Identity struct {
	ID            string
	Region        string
	FailureDomain string
	Address       string // Where other entries send packets to this one.
	Incarnation   string // Identifies this run of the process.
}

// Member is an entry on the platform's membership list. The list may be out of date, so it only determines which entries are
// contacted, and not which ones are alive.
type Member struct {
	ID      string
	Region  string
	Address string
}

// Packet is a packet that the caller must send to another entry.
type Packet struct {
	To      string // Id of the receiving entry.
	Address string
	Body    []byte
}

// member is what this node knows about another entry. Facts that the entry itself published are in origin.
type member struct {
	id         string
	region     string
	address    string
	listed     bool      // On the platform's membership list.
	unlistedAt time.Time // When it left the list or, if it never was on it, when it was declared dead; zero before.
	origin     *origin   // State of the newest known run; nil before any is known.
	heardAt    time.Time // Last packet or relayed answer from the entry; zero before the first.
}

// Node holds the view and the protocol state of one entry. It is not safe for concurrent use.
type Node struct {
	cfg        Config
	identity   Identity
	random     *rand.Rand
	local      *origin              // State of the current run of this entry.
	members    map[string]*member   // All other entries, by id.
	regions    map[uint32]*region   // By regionKey.
	byKey      map[uint64]*origin   // All known origins including local, by originKey.
	tombstones map[string]tombstone // By id of the removed entry.
	revision   uint64               // Highest known configuration revision.
	owners     map[int]ownerRecord  // By journal.
	liveness   livenessState

	lastTick     time.Time
	nextProbe    time.Time // When the next entry of the rotation is probed.
	nextCross    time.Time // When the next entry of another region is probed.
	nextRetry    time.Time // When the next dead entry is probed.
	nextSweep    time.Time // When freed watch slots are removed next.
	startedAt    time.Time
	graceOver    bool                   // Config.StartGrace has passed.
	seq          uint64                 // Last sequence number used.
	probes       map[uint64]*probe      // Outstanding probes and pings, by sequence number.
	relayedPings map[uint64]relayedPing // By sequence number of the ping.
	suspicions   map[string]*suspicion  // By id of the suspected entry.
	rotation     []string               // Ids of the entries of the region that are still to be probed before the next shuffle.
	outgoing     []Packet               // To be returned by the current call of Tick or Handle.

	watch             watchState
	crashFingerprints []string // Published fingerprints. The index is the subkey of the fact.
	nextCrash         int      // Next index to overwrite once maxCrashReports are published.
	scratch           []byte   // Buffer for computing hashes.
}

// ownerRecord is the highest known fencing number of a journal and the run of the entry that published it.
type ownerRecord struct {
	number uint64
	entry  string
	epoch  uint64
}

// tombstone prevents a removed entry from being added again by facts of the same or an earlier run.
type tombstone struct {
	epoch uint64
	until time.Time
}

// tombstoneFactor is the lifetime of a tombstone as a multiple of Config.ForgetAfter.
const tombstoneFactor = 30

// epochRandomBits is the number of random low bits of an epoch. They distinguish runs that start within the same second.
const epochRandomBits = 16

// New returns the node of an entry that starts now. random is used for the epoch of the run, the choice of targets and the
// timing of probes.
func New(identity Identity, cfg Config, now time.Time, random *rand.Rand) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("membership of entry %q: %w", identity.ID, err)
	}
	if identity.ID == "" || len(identity.ID) > maxNameBytes || len(identity.Region) > maxNameBytes {
		return nil, fmt.Errorf("entry id %q must not be empty, and neither it nor region %q longer than %d bytes",
			identity.ID, identity.Region, maxNameBytes)
	}
	n := &Node{
		cfg: cfg, identity: identity, random: random,
		members:      make(map[string]*member),
		regions:      make(map[uint32]*region),
		byKey:        make(map[uint64]*origin),
		tombstones:   make(map[string]tombstone),
		owners:       make(map[int]ownerRecord),
		probes:       make(map[uint64]*probe),
		relayedPings: make(map[uint64]relayedPing),
		suspicions:   make(map[string]*suspicion),
		watch:        newWatchState(),
		lastTick:     now, startedAt: now, nextSweep: now.Add(cfg.ForgetAfter), nextProbe: now, nextCross: now, nextRetry: now,
	}
	n.startRun(now, uint64(now.Unix())<<epochRandomBits|random.Uint64N(1<<epochRandomBits))
	return n, nil
}

// startRun starts a run of this entry with the given epoch. Facts of the previous run, if any, are published again.
func (n *Node) startRun(now time.Time, epoch uint64) {
	old := n.local
	n.local = newOrigin(n.identity.ID, n.identity.Region, epoch)
	if old != nil {
		n.removeOrigin(old)
	}
	n.addOrigin(n.local)
	s := selfFact{address: n.identity.Address, domain: n.identity.FailureDomain, incarnation: n.identity.Incarnation}
	n.publish(now, factKey{kind: kindSelf}, s.encode())
	if old == nil {
		return
	}
	for i := range old.streams {
		old.streams[i].since(0, func(f *fact) bool {
			if f.kind != kindSelf {
				n.publish(f.at, f.factKey, f.body)
			}
			return true
		})
	}
	s.leaving = old.self.leaving
	n.publish(now, factKey{kind: kindSelf}, s.encode())
}

// publish adds a fact of this entry to its stream, in place of any fact with the same key.
func (n *Node) publish(now time.Time, key factKey, body []byte) {
	f := &fact{factKey: key, version: n.local.streams[key.kind.stream()].version + 1, at: now, body: body}
	_ = n.local.apply(f) // Fails only if the body does not decode, and it was just encoded.
	n.updateDerived(n.local, f)
}

// addOrigin adds the origin to the indexes.
func (n *Node) addOrigin(o *origin) {
	n.byKey[o.key] = o
	n.regionOf(o.region).add(o)
	n.liveness.dirty = true
}

// removeOrigin removes the origin from the indexes, together with the accusations against it.
func (n *Node) removeOrigin(o *origin) {
	delete(n.byKey, o.key)
	n.regionOf(o.region).remove(o)
	for _, other := range n.byKey {
		other.streams[streamGlobal].drop(factKey{kind: kindAccuse, subkey: o.key})
		delete(other.accusations, o.key)
	}
	n.watch.removeOrigin(o)
	n.liveness.dirty = true
}

// regionOf returns the region with the name and creates it if necessary.
func (n *Node) regionOf(name string) *region {
	key := regionKey(name)
	r := n.regions[key]
	if r == nil {
		r = &region{name: name, key: key}
		n.regions[key] = r
	}
	return r
}

// SetMembers applies the platform's membership list. The list provides region and address only of entries that have not
// published facts yet.
func (n *Node) SetMembers(now time.Time, list []Member) {
	listed := make(map[string]struct{}, len(list))
	for _, m := range list {
		listed[m.ID] = struct{}{}
		if m.ID == n.identity.ID {
			continue
		}
		known := n.members[m.ID]
		if known == nil {
			known = &member{id: m.ID, region: m.Region}
			n.members[m.ID] = known
		}
		known.listed = true
		if known.origin == nil {
			known.region, known.address = m.Region, m.Address
		}
	}
	for id, m := range n.members {
		if _, ok := listed[id]; !ok && m.listed {
			m.listed, m.unlistedAt = false, now
		}
	}
}

// forgetMembers removes entries that have been off the list for Config.ForgetAfter and are dead or have no known run. It
// also removes expired tombstones and, once in Config.ForgetAfter, facts about watch slots that are no longer in use.
func (n *Node) forgetMembers(now time.Time) {
	for id, t := range n.tombstones {
		if now.After(t.until) {
			delete(n.tombstones, id)
		}
	}
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(n.cfg.ForgetAfter)
		for _, o := range n.regionOf(n.identity.Region).origins {
			o.dropFreedSlots(now.Add(-n.cfg.ForgetAfter))
		}
	}
	for id, m := range n.members {
		if m.listed || now.Sub(m.unlistedAt) < n.cfg.ForgetAfter || (m.origin != nil && !n.isDead(m)) {
			continue
		}
		if m.origin != nil {
			n.tombstones[id] = tombstone{epoch: m.origin.epoch, until: now.Add(tombstoneFactor * n.cfg.ForgetAfter)}
			n.removeOrigin(m.origin)
		}
		delete(n.members, id)
		delete(n.suspicions, id)
	}
}

// regionMemberIDs returns the sorted ids of the other entries of this region for which accept returns true.
func (n *Node) regionMemberIDs(accept func(*member) bool) []string {
	return n.memberIDs(func(m *member) bool { return m.region == n.identity.Region && accept(m) })
}

// memberIDs returns the sorted ids of the other entries for which accept returns true.
func (n *Node) memberIDs(accept func(*member) bool) []string {
	var out []string
	for id, m := range n.members {
		if accept(m) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// SetLeaving publishes whether this entry is shutting down and takes no more work.
func (n *Node) SetLeaving(now time.Time, leaving bool) {
	if n.local.self.leaving == leaving {
		return
	}
	s := n.local.self
	s.leaving = leaving
	n.publish(now, factKey{kind: kindSelf}, s.encode())
	n.watch.dirty = true
}

// refute raises this entry's refutation counter to the required value, which voids the accusations made under a lower one.
// A lower required value has no effect.
func (n *Node) refute(now time.Time, required uint64) {
	if required <= n.local.self.refutations {
		return
	}
	s := n.local.self
	s.refutations = required
	n.publish(now, factKey{kind: kindSelf}, s.encode())
}

// SetRevision records that a configuration revision exists. A revision lower than the highest known one has no effect.
func (n *Node) SetRevision(revision uint64) { n.revision = max(n.revision, revision) }

// Revision returns the highest configuration revision that this node or another one has reported.
func (n *Node) Revision() uint64 { return n.revision }
