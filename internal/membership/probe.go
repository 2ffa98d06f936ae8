package membership

import (
	"math/bits"
	"time"
)

// probe is an outstanding probe or ping, or a probe whose answer led to pulls that are outstanding.
type probe struct {
	target         string
	sentAt         time.Time
	relayed        bool      // Relays have been asked to ping the target.
	listedOrigins  []*origin // Origins of the region to which listedVersions refer.
	listedVersions []uint64  // Regional versions that were sent.

	answered      bool
	pullsLeft     int      // Number of pulls that may still follow the answer.
	regionsToPull []uint32 // Keys of the regions whose global streams are to be pulled.
	pullByKey     bool     // The regional streams are to be pulled too, by origin key.
}

// relayedPing records on behalf of which entry a target was pinged.
type relayedPing struct {
	sender  string
	address string
	seq     uint64    // Of the sender's message.
	at      time.Time // When the target was pinged.
}

// suspicion is what this entry records about a suspect, an entry that has not answered it.
type suspicion struct {
	since       time.Time
	nextPing    time.Time
	refutations uint64 // Refutation counter of the suspect when the suspicion began.
}

// maxPulls is the maximum number of pulls that follow one probe.
const maxPulls = 8

// Tick performs the actions that are due and returns the packets to send. The caller must call it several times in every
// Config.ProbeTimeout.
func (n *Node) Tick(now time.Time) []Packet {
	n.outgoing = nil
	if now.Sub(n.lastTick) > n.cfg.StallTime {
		n.resetAfterStall(now)
	}
	n.lastTick = now
	n.expireProbes(now)
	n.checkSuspicions(now)
	n.sendDueProbes(now)
	if !n.graceOver && now.Sub(n.startedAt) >= n.cfg.StartGrace {
		n.graceOver, n.watch.dirty = true, true
	}
	n.publishConfirm(now)
	n.updateLiveness(now)
	return n.takeOutgoing()
}

// nextAt returns last+period, or now+period if the former is not after now.
func nextAt(last time.Time, period time.Duration, now time.Time) time.Time {
	next := last.Add(period)
	if next.After(now) {
		return next
	}
	return now.Add(period)
}

// resetAfterStall discards outstanding probes and relayed pings after a pause of this process, and restarts the time of
// suspicions. Answers that arrived during the pause could not be handled in time, so a missing answer is no sign of a
// failure.
func (n *Node) resetAfterStall(now time.Time) {
	clear(n.probes)
	clear(n.relayedPings)
	for _, s := range n.suspicions {
		s.since = now
	}
}

// takeOutgoing returns the packets to send and clears the list.
func (n *Node) takeOutgoing() []Packet {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// send adds the message to the packets to send. It does nothing if the address is not known.
func (n *Node) send(to, address string, m *message) {
	if address == "" {
		return
	}
	m.from.id, m.from.epoch, m.revision = n.identity.ID, n.local.epoch, n.revision
	n.outgoing = append(n.outgoing, Packet{To: to, Address: address, Body: m.encode()})
}

// sendDueProbes sends the probes that are due. The probes of an interval are spread evenly over it, since two at the same
// time would return the same facts twice.
func (n *Node) sendDueProbes(now time.Time) {
	if now.Before(n.nextProbe) {
		return
	}
	n.forgetMembers(now)
	candidates := len(n.regionMemberIDs(func(m *member) bool { return !n.isDead(m) }))
	fanout := n.cfg.Fanout
	if candidates < n.cfg.FullMesh {
		fanout = candidates
	}
	spacing := n.cfg.Interval / time.Duration(max(1, fanout))
	for !now.Before(n.nextProbe) {
		n.nextProbe = nextAt(n.nextProbe, spacing, now.Add(-n.cfg.Interval))
		n.probe(now, n.nextInRotation())
	}
	n.probeOutsideRotation(now)
}

// probeOutsideRotation probes entries that are not in the rotation: those of other regions, and dead ones, which may have
// been restarted or become reachable again.
func (n *Node) probeOutsideRotation(now time.Time) {
	if !now.Before(n.nextCross) {
		n.nextCross = now.Add(n.jitter(n.cfg.CrossEvery))
		n.probeRandom(now, n.memberIDs(func(m *member) bool { return m.region != n.identity.Region && !n.isDead(m) }))
	}
	if !now.Before(n.nextRetry) {
		n.nextRetry = now.Add(n.jitter(n.cfg.RetryDeadEvery))
		n.probeRandom(now, n.memberIDs(n.isDead))
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

func (n *Node) isDead(m *member) bool { return m.origin != nil && n.liveness.dead(m.origin) }

// nextInRotation returns the id of the next entry of the region to probe, or "" if there is none. All entries come once in
// random order before any of them comes again.
func (n *Node) nextInRotation() string {
	for range 2 {
		for len(n.rotation) > 0 {
			id := n.rotation[len(n.rotation)-1]
			n.rotation = n.rotation[:len(n.rotation)-1]
			if m := n.members[id]; m != nil && !n.isDead(m) {
				return id
			}
		}
		n.rotation = n.regionMemberIDs(func(m *member) bool { return !n.isDead(m) })
		n.random.Shuffle(len(n.rotation), func(i, j int) {
			n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i]
		})
	}
	return ""
}

// probeRandom probes one of the entries, chosen at random.
func (n *Node) probeRandom(now time.Time, ids []string) {
	if len(ids) > 0 {
		n.probe(now, ids[n.random.IntN(len(ids))])
	}
}

// probe asks one entry for a sign of life and for facts that this one lacks.
func (n *Node) probe(now time.Time, id string) {
	m := n.members[id]
	if m == nil {
		return
	}
	n.seq++
	p := &probe{target: id, sentAt: now, pullsLeft: maxPulls}
	request := &message{kind: typeProbe, seq: n.seq, requiredRefutations: n.requiredRefutations(m)}
	request.from.region, request.from.address = n.identity.Region, n.identity.Address
	if m.region == n.identity.Region {
		n.addRegionalVersions(request, p)
	}
	for _, r := range n.regionList() {
		request.regionDigests = append(request.regionDigests, regionDigest{region: r.key, hash: n.globalHash(r), age: n.regionAgeUnits(now, r)})
	}
	n.probes[n.seq] = p
	n.send(id, m.address, request)
}

// requiredRefutations returns the value that the target's refutation counter must reach to refute the accusations against
// it, or 0 if it is not accused.
func (n *Node) requiredRefutations(m *member) uint64 {
	if m.origin == nil || !n.liveness.accused(m.origin) {
		return 0
	}
	return m.origin.self.refutations + 1
}

// expireProbes asks relays to ping the targets of probes that were not answered in time. It suspects targets that do not
// answer through relays either. It also discards answered probes and relayed pings that have expired.
func (n *Node) expireProbes(now time.Time) {
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
			n.startSuspicion(now, p.target)
		}
	}
	for seq, r := range n.relayedPings {
		if now.Sub(r.at) > n.cfg.ProbeTimeout+n.cfg.RelayTimeout {
			delete(n.relayedPings, seq)
		}
	}
}

// askRelays asks a few other entries to ping the target. It does so only within this entry's region, since only entries of
// the target's region can assert its death.
func (n *Node) askRelays(target string, seq uint64) {
	m := n.members[target]
	if m == nil || m.region != n.identity.Region || n.isDead(m) {
		return
	}
	relays := n.regionMemberIDs(func(r *member) bool { return r.id != target && !n.isDead(r) && n.suspicions[r.id] == nil })
	n.random.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, id := range relays[:min(n.cfg.Relays, len(relays))] {
		request := &message{kind: typeRelay, seq: seq, target: target}
		request.from.address = n.identity.Address
		n.send(id, n.members[id].address, request)
	}
}

// startSuspicion starts to suspect an entry of this region that has not answered, and publishes the accusation.
func (n *Node) startSuspicion(now time.Time, id string) {
	m := n.members[id]
	if m == nil || m.origin == nil || m.region != n.identity.Region || n.isDead(m) || n.suspicions[id] != nil {
		return
	}
	n.suspicions[id] = &suspicion{since: now, nextPing: now, refutations: m.origin.self.refutations}
	n.publishAccusation(now, m.origin, accusation{refutations: m.origin.self.refutations})
}

// publishAccusation publishes the accusation against the origin in place of an earlier one.
func (n *Node) publishAccusation(now time.Time, o *origin, a accusation) {
	n.publish(now, factKey{kind: kindAccuse, subkey: o.key}, a.encode())
}

// checkSuspicions pings the suspects again, and asserts the death of those that have not answered for Config.SuspicionTime.
// It ends suspicions that the suspect has refuted and those of entries that are declared dead.
func (n *Node) checkSuspicions(now time.Time) {
	for id, s := range n.suspicions {
		m := n.members[id]
		if m == nil || m.origin == nil || n.isDead(m) || m.origin.self.refutations > s.refutations {
			delete(n.suspicions, id)
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

// assertDead publishes that this entry asserts the death of the origin, unless that is published already.
func (n *Node) assertDead(now time.Time, o *origin) {
	assertion := accusation{refutations: o.self.refutations, dead: true}
	if n.local.accusations[o.key] != assertion {
		n.publishAccusation(now, o, assertion)
	}
}

// pingSuspect pings the suspect directly and through relays.
func (n *Node) pingSuspect(now time.Time, m *member) {
	n.seq++
	n.probes[n.seq] = &probe{target: m.id, sentAt: now, relayed: true}
	ping := &message{kind: typePing, seq: n.seq, requiredRefutations: m.origin.self.refutations + 1}
	ping.from.address = n.identity.Address
	n.send(m.id, m.address, ping)
	n.askRelays(m.id, n.seq)
}

// recordContact records a sign of life of the member. It withdraws this entry's accusation if it suspects the member.
func (n *Node) recordContact(now time.Time, m *member) {
	m.heardAt = now
	n.regionOf(m.region).heardAt = now
	if n.suspicions[m.id] == nil || m.origin == nil {
		return
	}
	delete(n.suspicions, m.id)
	a := n.local.accusations[m.origin.key]
	if !a.withdrawn {
		a.withdrawn = true
		n.publishAccusation(now, m.origin, a)
	}
}

// addRegionalVersions adds the regional versions that this entry holds to the request, or none if they need more than half
// of a packet.
func (n *Node) addRegionalVersions(request *message, p *probe) {
	r := n.regionOf(n.identity.Region)
	request.originsHash = r.originsHash
	size := 0
	for _, o := range r.origins {
		version := o.streams[streamRegional].version
		request.regionalVersions = append(request.regionalVersions, version)
		size += uvarintLen(version)
	}
	if size > n.cfg.MaxPacket/2 {
		request.originsHash, request.regionalVersions = 0, nil // The receiver then asks for a pull by key.
		return
	}
	p.listedOrigins = append(p.listedOrigins, r.origins...)
	p.listedVersions = request.regionalVersions
}

// uvarintLen returns the length in bytes of v in varint encoding.
func uvarintLen(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// regionAgeUnits returns RegionAge in units of ageUnit, at most maxAgeUnits.
func (n *Node) regionAgeUnits(now time.Time, r *region) uint64 {
	age := n.RegionAge(now, r.name)
	return min(uint64(max(0, age)/ageUnit), maxAgeUnits)
}
