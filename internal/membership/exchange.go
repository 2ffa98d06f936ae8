package membership

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxHeaderBytes = 64      // Maximum size in bytes of the numbers that precede the facts of a packet.
	maxAgeUnits    = 1 << 24 // Maximum age in messages, in units of ageUnit. Older facts count as this old.
)

// Handle handles a packet from another entry and returns the packets to send as a result. It returns an error if the packet
// cannot be decoded or its sender has the id of this entry.
func (n *Node) Handle(now time.Time, packet []byte) ([]Packet, error) {
	m, err := decodeMessage(packet)
	if err != nil {
		return nil, err
	}
	if m.from.id == n.identity.ID {
		return nil, fmt.Errorf("the packet's sender has the id of this entry, %q", m.from.id)
	}
	n.outgoing = nil
	n.revision = max(n.revision, m.revision)
	from := n.sender(m)
	if from == nil {
		return nil, nil
	}
	// A packet of any other run than the newest known one is no sign of life of that run.
	if from.origin == nil || from.origin.epoch == m.from.epoch {
		n.recordContact(now, from)
	}
	n.refute(now, m.requiredRefutations)
	n.dispatch(now, from, m)
	n.updateLiveness(now)
	return n.takeOutgoing(), nil
}

// sender returns the member that sent the message, or nil if it is not known and cannot be added. Only a probe contains
// both region and address, so only a probe adds an unknown sender. Any message with an address updates it.
func (n *Node) sender(m *message) *member {
	from := n.members[m.from.id]
	if from == nil && m.kind == typeProbe && n.tombstones[m.from.id].epoch < m.from.epoch {
		from = &member{id: m.from.id, region: m.from.region, address: m.from.address}
		n.members[m.from.id] = from
	}
	if from != nil && m.from.address != "" {
		from.address = m.from.address
	}
	return from
}

// dispatch calls the handler for the type of the message.
func (n *Node) dispatch(now time.Time, from *member, m *message) {
	switch m.kind {
	case typeProbe:
		n.handleProbe(now, from, m)
	case typeAnswer:
		n.handleAnswer(now, from, m)
	case typePull:
		n.handlePull(now, from, m)
	case typeFacts:
		n.handleFacts(now, from, m)
	case typeRelay:
		n.handleRelay(now, from, m)
	case typePing:
		n.send(from.id, from.address, &message{kind: typeAlive, seq: m.seq})
	case typeAlive:
		n.handleAlive(now, from, m)
	}
}

// handleRelay pings the target on behalf of the sender.
func (n *Node) handleRelay(now time.Time, from *member, m *message) {
	target := n.members[m.target]
	if target == nil {
		return
	}
	n.seq++
	n.relayedPings[n.seq] = relayedPing{sender: from.id, address: from.address, seq: m.seq, at: now}
	ping := &message{kind: typePing, seq: n.seq, requiredRefutations: n.requiredRefutations(target)}
	ping.from.address = n.identity.Address
	n.send(target.id, target.address, ping)
}

// handleAlive passes the answer to a relayed ping on to the sender of the request. Any other answer ends the outstanding probe of the
// target and counts as contact with it.
func (n *Node) handleAlive(now time.Time, from *member, m *message) {
	if r, ok := n.relayedPings[m.seq]; ok {
		delete(n.relayedPings, m.seq)
		n.send(r.sender, r.address, &message{kind: typeAlive, seq: r.seq})
		return
	}
	p := n.probes[m.seq]
	if p == nil {
		return
	}
	delete(n.probes, m.seq)
	if target := n.members[p.target]; target != nil {
		n.recordContact(now, target)
	}
}

// handleProbe answers with the regions whose global streams differ from the prober's and, if the prober is in the same
// region, with the regional facts that it lacks.
func (n *Node) handleProbe(now time.Time, from *member, m *message) {
	answer := &message{kind: typeAnswer, seq: m.seq, requiredRefutations: n.requiredRefutations(from)}
	hashes := make(map[uint32]uint64, len(n.regions))
	for _, r := range n.regionList() {
		hashes[r.key] = n.globalHash(r)
	}
	for _, digest := range m.regionDigests {
		n.updateRegionAge(now, digest)
		if hash, ok := hashes[digest.region]; ok && hash != digest.hash {
			answer.regionsToPull = append(answer.regionsToPull, digest.region)
		}
		delete(hashes, digest.region)
	}
	for _, r := range n.regionList() {
		if _, missing := hashes[r.key]; missing {
			answer.regionsToPull = append(answer.regionsToPull, r.key)
		}
	}
	if from.region == n.identity.Region {
		n.addRegionalFacts(now, answer, m)
	}
	n.send(from.id, from.address, answer)
}

// updateRegionAge updates when a region was last heard from, by the age that another entry reports.
func (n *Node) updateRegionAge(now time.Time, digest regionDigest) {
	r := n.regions[digest.region]
	if r != nil && digest.age < maxAgeUnits {
		r.heardAt = later(r.heardAt, now.Add(-time.Duration(digest.age)*ageUnit))
	}
}

// regionList returns the regions that have origins, sorted by key.
func (n *Node) regionList() []*region {
	out := make([]*region, 0, len(n.regions))
	for _, r := range n.regions {
		if len(r.origins) > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *region) int { return int(int64(a.key) - int64(b.key)) })
	return out
}

// globalHash returns the hash of the global streams of the region's origins.
func (n *Node) globalHash(r *region) uint64 {
	hash, buffer := r.globalHash(n.scratch)
	n.scratch = buffer
	return hash
}

// payloadLimit returns the maximum size in bytes of the facts or versions in one packet.
func (n *Node) payloadLimit() int {
	return n.cfg.MaxPacket - maxHeaderBytes - len(n.identity.ID) - len(n.identity.Region)
}

// addRegionalFacts adds the regional facts that the prober lacks according to its versions, as far as they fit. If the lists
// of origins differ, the versions cannot be assigned to origins and the answer asks for a pull by key instead. It starts at
// a random origin, so that no origin is always left out of full packets.
func (n *Node) addRegionalFacts(now time.Time, answer, m *message) {
	r := n.regionOf(n.identity.Region)
	if m.originsHash != r.originsHash || len(m.regionalVersions) != len(r.origins) {
		answer.pullByKey = true
		return
	}
	remaining := n.payloadLimit() - 4*len(answer.regionsToPull)
	first := n.random.IntN(len(r.origins))
	for i := range r.origins {
		index := (first + i) % len(r.origins)
		o := r.origins[index]
		block := factBlock{index: index + 1, stream: streamRegional, base: m.regionalVersions[index]}
		if o.id != m.from.id && !n.appendFacts(now, o, &block, &remaining) {
			appendBlock(answer, &block)
			return
		}
		appendBlock(answer, &block)
	}
}

// appendBlock adds the block to the message unless it is empty.
func appendBlock(m *message, block *factBlock) {
	if len(block.facts) > 0 {
		m.blocks = append(m.blocks, *block)
	}
}

// appendFacts adds the origin's facts above the block's base and reduces remaining, the space left in bytes. It returns
// false if not all of them fit.
func (n *Node) appendFacts(now time.Time, o *origin, block *factBlock, remaining *int) bool {
	*remaining -= block.headerSize()
	last := block.base
	complete := true
	o.streams[block.stream].since(block.base, func(f *fact) bool {
		w := wireFact{key: f.factKey, delta: f.version - last, age: uint64(max(0, now.Sub(f.at)) / ageUnit), body: f.body}
		if *remaining < w.size() {
			complete = false
			return false
		}
		*remaining -= w.size()
		last = f.version
		block.facts = append(block.facts, w)
		return true
	})
	if len(block.facts) == 0 {
		*remaining += block.headerSize()
	}
	return complete
}

// headerSize returns the maximum encoded size of the block without its facts.
func (block *factBlock) headerSize() int {
	if block.index > 0 {
		return uvarintLen(uint64(block.index)) + 2
	}
	return len(block.origin.id) + len(block.origin.region) + 10 + 10 + 8
}

// size returns the encoded size of the fact.
func (f *wireFact) size() int {
	return uvarintLen(f.delta) + 1 + uvarintLen(f.key.subkey) + uvarintLen(f.age) + uvarintLen(uint64(len(f.body))) + len(f.body)
}

// handleAnswer applies the facts of the answer to a probe and pulls what it shows to be missing.
func (n *Node) handleAnswer(now time.Time, from *member, m *message) {
	p := n.probes[m.seq]
	if p == nil || p.target != from.id {
		return
	}
	for i := range m.blocks {
		n.applyIndexedBlock(now, p, &m.blocks[i])
	}
	p.answered = true
	p.regionsToPull, p.pullByKey = m.regionsToPull, m.pullByKey
	n.pull(from, m.seq, p)
}

// applyIndexedBlock applies facts of an origin that the block identifies by its index among the versions of the probe.
func (n *Node) applyIndexedBlock(now time.Time, p *probe, block *factBlock) {
	if block.index < 1 || block.index > len(p.listedOrigins) {
		return
	}
	o := p.listedOrigins[block.index-1]
	if o == n.local || n.byKey[o.key] != o {
		return
	}
	block.base = p.listedVersions[block.index-1]
	n.applyBlock(now, o, block)
}

// pull requests the streams that the answer showed to differ, or ends the probe if there are none or the limit of pulls is
// reached.
func (n *Node) pull(from *member, seq uint64, p *probe) {
	request := &message{kind: typePull, seq: seq}
	request.from.region = n.identity.Region
	remaining := n.payloadLimit()
	for _, key := range p.regionsToPull {
		request.vectors = append(request.vectors, n.versionVector(streamGlobal, key, &remaining))
	}
	if p.pullByKey {
		request.vectors = append(request.vectors, n.versionVector(streamRegional, regionKey(n.identity.Region), &remaining))
	}
	if len(request.vectors) == 0 || p.pullsLeft == 0 {
		delete(n.probes, seq)
		return
	}
	p.pullsLeft--
	n.probes[seq] = p
	n.send(from.id, from.address, request)
}

// versionVector returns the versions of the region's streams that this entry holds. If not all fit, it returns those of a
// random range of consecutive origin keys.
func (n *Node) versionVector(stream streamID, key uint32, remaining *int) versionVector {
	v := versionVector{stream: stream, region: key, high: ^uint64(0)}
	*remaining -= 24
	r := n.regions[key]
	if r == nil || len(r.origins) == 0 {
		return v
	}
	const entryBytes = 8 + 5
	count := min(len(r.origins), max(1, *remaining/entryBytes))
	first := 0
	if count < len(r.origins) {
		first = n.random.IntN(len(r.origins))
		count = min(count, len(r.origins)-first)
	}
	if first > 0 {
		v.low = r.origins[first-1].key + 1
	}
	if first+count < len(r.origins) {
		v.high = r.origins[first+count].key - 1
	}
	for _, o := range r.origins[first : first+count] {
		v.entries = append(v.entries, vectorEntry{key: o.key, version: o.streams[stream].version})
	}
	*remaining -= count * entryBytes
	return v
}

// handlePull answers with the facts that the sender lacks according to its version vectors, as far as they fit.
func (n *Node) handlePull(now time.Time, from *member, m *message) {
	answer := &message{kind: typeFacts, seq: m.seq}
	remaining := n.payloadLimit()
	for i := range m.vectors {
		if !n.addMissingFacts(now, m, from, answer, &m.vectors[i], &remaining) {
			break
		}
	}
	n.send(from.id, from.address, answer)
}

// addMissingFacts adds the facts that the sender lacks according to the vector. Regional streams are sent only to entries
// of the same region. It returns false if not all facts fit.
func (n *Node) addMissingFacts(now time.Time, m *message, from *member, answer *message, v *versionVector, remaining *int) bool {
	r := n.regions[v.region]
	if r == nil || (v.stream == streamRegional && from.region != r.name) {
		return true
	}
	held := make(map[uint64]uint64, len(v.entries))
	for _, e := range v.entries {
		held[e.key] = e.version
	}
	first := n.random.IntN(max(1, len(r.origins)))
	for i := range r.origins {
		o := r.origins[(first+i)%len(r.origins)]
		if o.id == from.id && o.epoch == m.from.epoch || o.key < v.low || o.key > v.high {
			continue
		}
		block := factBlock{origin: runIdentity{id: o.id, region: o.region, epoch: o.epoch}, stream: v.stream, base: held[o.key]}
		complete := n.appendFacts(now, o, &block, remaining)
		appendBlock(answer, &block)
		if !complete {
			return false
		}
	}
	return true
}

// handleFacts applies the facts that answer a pull. It pulls again if the packet is more than half full, since more facts
// may be missing.
func (n *Node) handleFacts(now time.Time, from *member, m *message) {
	p := n.probes[m.seq]
	if p == nil || p.target != from.id {
		return
	}
	delete(n.probes, m.seq)
	for i := range m.blocks {
		block := &m.blocks[i]
		if o := n.originFor(now, &block.origin); o != nil {
			n.applyBlock(now, o, block)
		}
	}
	if m.size > n.cfg.MaxPacket/2 {
		n.pull(from, m.seq, p)
	}
}
