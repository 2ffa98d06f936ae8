package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Identity names the entry that a Node stands for.
type Identity struct {
	ID            string
	Region        string
	FailureDomain string
	Address       string // Where the other entries send their packets.
	Incarnation   string // Of this run of the process.
}

// Member is an entry named by the platform's membership list, which lags: it only says whom to ask.
type Member struct {
	ID      string
	Region  string
	Address string
}

// Packet is to be sent to the entry at the address.
type Packet struct {
	To      string // Id of the entry.
	Address string
	Body    []byte
}

// member is what a node knows of another entry beside what that entry has said.
type member struct {
	id         string
	region     string
	address    string
	listed     bool
	unlistedAt time.Time
	origin     *origin // Nil before the first fact.
	heardAt    time.Time
}

// Node is the view and the protocol state of one entry. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	identity Identity
	random   *rand.Rand
	me       *origin
	members  map[string]*member // Without this entry.
	regions  map[uint32]*region
	byKey    map[uint64]*origin
	forgot   map[string]tombstone
	revision uint64
	owners   map[int]ownerRecord
	verdicts verdicts

	lastTick  time.Time
	nextProbe time.Time
	nextCross time.Time
	nextRetry time.Time
	nextSweep time.Time
	startedAt time.Time
	grown     bool // Config.StartGrace is over.
	seq       uint64
	probes    map[uint64]*probe // By sequence number.
	relayed   map[uint64]relayedPing
	suspects  map[string]*suspect
	rotation  []string // Entries of the region left to probe in this turn.
	out       []Packet

	watching watching
	crashes  []string // Fingerprints told; the position is the sub of the fact.
	nextTold int      // Position to use again once all are used.
	scratch  []byte
}

// ownerRecord is the highest fencing number heard of a journal.
type ownerRecord struct {
	number uint64
	entry  string
	epoch  uint64
}

// tombstone keeps the facts of a forgotten entry from coming back.
type tombstone struct {
	epoch uint64
	until time.Time
}

// tombstoneTimes is how long a tombstone is kept, in times of Config.ForgetAfter.
const tombstoneTimes = 30

// epochRandomBits distinguishes runs that begin within the same second.
const epochRandomBits = 16

// New returns the node of an entry that starts now. The random numbers spread its probes.
func New(identity Identity, cfg Config, now time.Time, random *rand.Rand) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("membership of entry %q: %w", identity.ID, err)
	}
	if identity.ID == "" || len(identity.ID) > maxNameBytes || len(identity.Region) > maxNameBytes {
		return nil, fmt.Errorf("id %q and region %q must have up to %d bytes", identity.ID, identity.Region, maxNameBytes)
	}
	n := &Node{
		cfg: cfg, identity: identity, random: random,
		members:  make(map[string]*member),
		regions:  make(map[uint32]*region),
		byKey:    make(map[uint64]*origin),
		forgot:   make(map[string]tombstone),
		owners:   make(map[int]ownerRecord),
		probes:   make(map[uint64]*probe),
		relayed:  make(map[uint64]relayedPing),
		suspects: make(map[string]*suspect),
		watching: newWatching(),
		lastTick: now, startedAt: now, nextSweep: now.Add(cfg.ForgetAfter), nextProbe: now, nextCross: now, nextRetry: now,
	}
	n.begin(now, uint64(now.Unix())<<epochRandomBits|random.Uint64N(1<<epochRandomBits))
	return n, nil
}

// begin starts a run of this entry with the epoch.
func (n *Node) begin(now time.Time, epoch uint64) {
	old := n.me
	n.me = newOrigin(n.identity.ID, n.identity.Region, epoch)
	if old != nil {
		n.detach(old)
	}
	n.attach(n.me)
	s := self{address: n.identity.Address, domain: n.identity.FailureDomain, incarnation: n.identity.Incarnation}
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

// publish puts a fact of this entry.
func (n *Node) publish(now time.Time, key factKey, body []byte) {
	f := &fact{factKey: key, version: n.me.streams[key.kind.stream()].version + 1, at: now, body: body}
	_ = n.me.apply(f) // Only fails to decode what was just encoded.
	n.noteFact(n.me, f)
}

// attach makes the origin known.
func (n *Node) attach(o *origin) {
	n.byKey[o.key] = o
	n.regionOf(o.region).add(o)
	n.verdicts.dirty = true
}

func (n *Node) detach(o *origin) {
	delete(n.byKey, o.key)
	n.regionOf(o.region).remove(o)
	for _, other := range n.byKey {
		other.streams[streamGlobal].drop(factKey{kind: kindAccuse, sub: o.key})
		delete(other.accused, o.key)
	}
	n.watching.forget(o)
	n.verdicts.dirty = true
}

func (n *Node) regionOf(name string) *region {
	key := regionKey(name)
	r := n.regions[key]
	if r == nil {
		r = &region{name: name, key: key}
		n.regions[key] = r
	}
	return r
}

// SetMembers takes the platform's list of entries.
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

// forget drops entries that are off the list and dead, or that were never heard.
func (n *Node) forget(now time.Time) {
	for id, t := range n.forgot {
		if now.After(t.until) {
			delete(n.forgot, id)
		}
	}
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(n.cfg.ForgetAfter)
		for _, o := range n.regionOf(n.identity.Region).origins {
			o.sweep(now.Add(-n.cfg.ForgetAfter))
		}
	}
	for id, m := range n.members {
		if m.listed || now.Sub(m.unlistedAt) < n.cfg.ForgetAfter || (m.origin != nil && !n.isDead(m)) {
			continue
		}
		if m.origin != nil {
			n.forgot[id] = tombstone{epoch: m.origin.epoch, until: now.Add(tombstoneTimes * n.cfg.ForgetAfter)}
			n.detach(m.origin)
		}
		delete(n.members, id)
		delete(n.suspects, id)
	}
}

// inRegion returns the ids of the entries of this region, in order, that accept holds for.
func (n *Node) inRegion(accept func(*member) bool) []string {
	return n.ids(func(m *member) bool { return m.region == n.identity.Region && accept(m) })
}

func (n *Node) ids(accept func(*member) bool) []string {
	var out []string
	for id, m := range n.members {
		if accept(m) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// SetLeaving tells the others whether this entry takes no more work.
func (n *Node) SetLeaving(now time.Time, leaving bool) {
	if n.me.self.leaving == leaving {
		return
	}
	s := n.me.self
	s.leaving = leaving
	n.publish(now, factKey{kind: kindSelf}, s.encode())
	n.watching.dirty = true
}

// refute raises this entry's refutations above those that it is accused under.
func (n *Node) refute(now time.Time, accused uint64) {
	if accused <= n.me.self.refutations {
		return
	}
	s := n.me.self
	s.refutations = accused
	n.publish(now, factKey{kind: kindSelf}, s.encode())
}

// SetRevision notes a configuration revision that exists. Revisions only rise.
func (n *Node) SetRevision(revision uint64) { n.revision = max(n.revision, revision) }

// Revision returns the highest configuration revision heard of.
func (n *Node) Revision() uint64 { return n.revision }
