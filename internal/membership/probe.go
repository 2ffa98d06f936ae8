package membership

import (
	"math/bits"
	"time"
)

// probe is a question on its way.
type probe struct {
	target  string
	sentAt  time.Time
	relayed bool
	order   []*origin // The list that the regional versions refer to.
	bases   []uint64  // The versions sent.

	answered bool
	pulls    int      // Further questions that its answer may still bring about.
	wanted   []uint32 // Regions to pull.
	explicit bool     // Whether the regional streams are to be pulled by key.
}

// relayedPing remembers for whom a target was pinged.
type relayedPing struct {
	requester string
	address   string
	seq       uint64
	at        time.Time
}

// suspect is an entry that this one has found silent.
type suspect struct {
	since       time.Time
	nextPing    time.Time
	refutations uint64 // Of the suspect when the suspicion began.
}

// maxPulls bounds the follow-up questions of one probe.
const maxPulls = 8

// Tick does what is due and returns the packets to send. It is called several times per Config.ProbeTimeout.
func (n *Node) Tick(now time.Time) []Packet {
	n.out = nil
	if now.Sub(n.lastTick) > n.cfg.StallTime {
		n.resume(now)
	}
	n.lastTick = now
	n.expire(now)
	n.pressSuspects(now)
	n.probeDue(now)
	if !n.grown && now.Sub(n.startedAt) >= n.cfg.StartGrace {
		n.grown, n.watching.dirty = true, true
	}
	n.confirm(now)
	n.judge(now)
	return n.take()
}

// nextAt returns the next moment of a period that lies after now.
func nextAt(last time.Time, period time.Duration, now time.Time) time.Time {
	next := last.Add(period)
	if next.After(now) {
		return next
	}
	return now.Add(period)
}

// resume drops the judgements that a pause of this process has made worthless.
func (n *Node) resume(now time.Time) {
	clear(n.probes)
	clear(n.relayed)
	for _, s := range n.suspects {
		s.since = now
	}
}

func (n *Node) take() []Packet {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) send(to, address string, m *message) {
	if address == "" {
		return
	}
	m.from.id, m.from.epoch, m.revision = n.identity.ID, n.me.epoch, n.revision
	n.out = append(n.out, Packet{To: to, Address: address, Body: m.encode()})
}

// probeDue probes the entries whose turn it is. The probes of an interval are spread over it: two at once would bring
// the same news twice.
func (n *Node) probeDue(now time.Time) {
	if now.Before(n.nextProbe) {
		return
	}
	n.forget(now)
	near := len(n.inRegion(func(m *member) bool { return !n.isDead(m) }))
	fanout := n.cfg.Fanout
	if near < n.cfg.FullMesh {
		fanout = near
	}
	spacing := n.cfg.Interval / time.Duration(max(1, fanout))
	for !now.Before(n.nextProbe) {
		n.nextProbe = nextAt(n.nextProbe, spacing, now.Add(-n.cfg.Interval))
		n.probe(now, n.nextInTurn())
	}
	n.probeFar(now)
}

// probeFar probes entries that the turns leave out: those of other regions, and dead ones, which may be back.
func (n *Node) probeFar(now time.Time) {
	if !now.Before(n.nextCross) {
		n.nextCross = now.Add(n.spread(n.cfg.CrossEvery))
		n.probeOne(now, n.ids(func(m *member) bool { return m.region != n.identity.Region && !n.isDead(m) }))
	}
	if !now.Before(n.nextRetry) {
		n.nextRetry = now.Add(n.spread(n.cfg.RetryDeadEvery))
		n.probeOne(now, n.ids(n.isDead))
	}
}

// spread returns a random time between half and one and a half of d.
func (n *Node) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

func (n *Node) isDead(m *member) bool { return m.origin != nil && n.verdicts.dead(m.origin) }

// nextInTurn returns an entry of the region, each once before any comes again.
func (n *Node) nextInTurn() string {
	for range 2 {
		for len(n.rotation) > 0 {
			id := n.rotation[len(n.rotation)-1]
			n.rotation = n.rotation[:len(n.rotation)-1]
			if m := n.members[id]; m != nil && !n.isDead(m) {
				return id
			}
		}
		n.rotation = n.inRegion(func(m *member) bool { return !n.isDead(m) })
		n.random.Shuffle(len(n.rotation), func(i, j int) {
			n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i]
		})
	}
	return ""
}

func (n *Node) probeOne(now time.Time, ids []string) {
	if len(ids) > 0 {
		n.probe(now, ids[n.random.IntN(len(ids))])
	}
}

// probe asks one entry for life and news.
func (n *Node) probe(now time.Time, id string) {
	m := n.members[id]
	if m == nil {
		return
	}
	n.seq++
	p := &probe{target: id, sentAt: now, pulls: maxPulls}
	question := &message{kind: typeProbe, seq: n.seq, accused: n.accusedOf(m)}
	question.from.region, question.from.address = n.identity.Region, n.identity.Address
	if m.region == n.identity.Region {
		n.addVersions(question, p)
	}
	for _, r := range n.regionList() {
		question.sums = append(question.sums, regionSum{region: r.key, sum: n.sum(r), age: n.ageOf(now, r)})
	}
	n.probes[n.seq] = p
	n.send(id, m.address, question)
}

// accusedOf returns what the target must refute: its refutations plus one, or 0.
func (n *Node) accusedOf(m *member) uint64 {
	if m.origin == nil || !n.verdicts.accused(m.origin) {
		return 0
	}
	return m.origin.self.refutations + 1
}

// expire asks relays about probes without an answer, and gives those up that relays could not mend.
func (n *Node) expire(now time.Time) {
	for seq, p := range n.probes {
		waited := now.Sub(p.sentAt)
		if p.answered {
			if waited >= time.Duration(maxPulls)*n.cfg.ProbeTimeout {
				delete(n.probes, seq)
			}
			continue
		}
		if waited >= n.cfg.ProbeTimeout && !p.relayed {
			p.relayed = true
			n.askRelays(p.target, seq)
		}
		if waited >= n.cfg.ProbeTimeout+n.cfg.RelayTimeout {
			delete(n.probes, seq)
			n.suspect(now, p.target)
		}
	}
	for seq, r := range n.relayed {
		if now.Sub(r.at) > n.cfg.ProbeTimeout+n.cfg.RelayTimeout {
			delete(n.relayed, seq)
		}
	}
}

// askRelays has a few other entries ping the target. Only entries of its region judge it.
func (n *Node) askRelays(target string, seq uint64) {
	m := n.members[target]
	if m == nil || m.region != n.identity.Region || n.isDead(m) {
		return
	}
	relays := n.inRegion(func(r *member) bool { return r.id != target && !n.isDead(r) && n.suspects[r.id] == nil })
	n.random.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, id := range relays[:min(n.cfg.Relays, len(relays))] {
		question := &message{kind: typeRelay, seq: seq, target: target}
		question.from.address = n.identity.Address
		n.send(id, n.members[id].address, question)
	}
}

// suspect begins to suspect an entry of this region that has not answered.
func (n *Node) suspect(now time.Time, id string) {
	m := n.members[id]
	if m == nil || m.origin == nil || m.region != n.identity.Region || n.isDead(m) || n.suspects[id] != nil {
		return
	}
	n.suspects[id] = &suspect{since: now, nextPing: now, refutations: m.origin.self.refutations}
	n.accuse(now, m.origin, accusation{refutations: m.origin.self.refutations})
}

func (n *Node) accuse(now time.Time, o *origin, a accusation) {
	n.publish(now, factKey{kind: kindAccuse, sub: o.key}, a.encode())
}

// pressSuspects asks the suspects again, and asserts the death of those that stayed silent.
func (n *Node) pressSuspects(now time.Time) {
	for id, s := range n.suspects {
		m := n.members[id]
		if m == nil || m.origin == nil || n.isDead(m) || m.origin.self.refutations > s.refutations {
			delete(n.suspects, id)
			continue
		}
		if now.Sub(s.since) >= n.cfg.SuspicionTime {
			n.assertDead(now, m.origin)
			continue
		}
		if !now.Before(s.nextPing) {
			s.nextPing = now.Add(n.cfg.ProbeTimeout + n.cfg.RelayTimeout)
			n.pingSuspect(now, m)
		}
	}
}

func (n *Node) assertDead(now time.Time, o *origin) {
	wanted := accusation{refutations: o.self.refutations, dead: true}
	if n.me.accused[o.key] != wanted {
		n.accuse(now, o, wanted)
	}
}

func (n *Node) pingSuspect(now time.Time, m *member) {
	n.seq++
	n.probes[n.seq] = &probe{target: m.id, sentAt: now, relayed: true}
	ping := &message{kind: typePing, seq: n.seq, accused: m.origin.self.refutations + 1}
	ping.from.address = n.identity.Address
	n.send(m.id, m.address, ping)
	n.askRelays(m.id, n.seq)
}

// alive notes a sign of life of an entry, and withdraws what this entry holds against it.
func (n *Node) alive(now time.Time, m *member) {
	m.heardAt = now
	n.regionOf(m.region).heardAt = now
	if n.suspects[m.id] == nil || m.origin == nil {
		return
	}
	delete(n.suspects, m.id)
	a := n.me.accused[m.origin.key]
	if !a.withdrawn {
		a.withdrawn = true
		n.accuse(now, m.origin, a)
	}
}

// addVersions fills in the regional versions that this entry holds.
func (n *Node) addVersions(question *message, p *probe) {
	r := n.regionOf(n.identity.Region)
	question.set = r.set
	size := 0
	for _, o := range r.origins {
		version := o.streams[streamRegional].version
		question.versions = append(question.versions, version)
		size += uvarintLen(version)
	}
	if size > n.cfg.MaxPacket/2 {
		question.set, question.versions = 0, nil // The answer asks to pull by key.
		return
	}
	p.order = append(p.order, r.origins...)
	p.bases = question.versions
}

// uvarintLen returns the encoded length of v in bytes.
func uvarintLen(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// ageOf returns how long ago the region was heard of, in ageUnit.
func (n *Node) ageOf(now time.Time, r *region) uint64 {
	age := n.RegionAge(now, r.name)
	return min(uint64(max(0, age)/ageUnit), maxAge)
}
