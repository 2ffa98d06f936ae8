package membership

import (
	"fmt"
	"slices"
	"time"
)

const (
	headRoom = 64      // What the numbers in front of a packet's facts take at most, in bytes.
	maxAge   = 1 << 24 // Older facts count as this old, in ageUnit.
)

// Handle takes a packet of another entry and returns the packets that answer it.
func (n *Node) Handle(now time.Time, packet []byte) ([]Packet, error) {
	m, err := decodeMessage(packet)
	if err != nil {
		return nil, err
	}
	if m.from.id == n.identity.ID {
		return nil, fmt.Errorf("packet of this entry's own id %q", m.from.id)
	}
	n.out = nil
	n.revision = max(n.revision, m.revision)
	from := n.sender(m)
	if from == nil {
		return nil, nil
	}
	if from.origin == nil || from.origin.epoch == m.from.epoch {
		n.alive(now, from)
	}
	n.refute(now, m.accused)
	n.dispatch(now, from, m)
	n.judge(now)
	return n.take(), nil
}

// sender returns the member that sent the message. Those that name their region and address become known by it.
func (n *Node) sender(m *message) *member {
	from := n.members[m.from.id]
	if from == nil && m.kind == typeProbe && n.forgot[m.from.id].epoch < m.from.epoch {
		from = &member{id: m.from.id, region: m.from.region, address: m.from.address}
		n.members[m.from.id] = from
	}
	if from != nil && m.from.address != "" {
		from.address = m.from.address
	}
	return from
}

func (n *Node) dispatch(now time.Time, from *member, m *message) {
	switch m.kind {
	case typeProbe:
		n.answerProbe(now, from, m)
	case typeAnswer:
		n.takeAnswer(now, from, m)
	case typePull:
		n.answerPull(now, from, m)
	case typeFacts:
		n.takeFacts(now, from, m)
	case typeRelay:
		n.relay(now, from, m)
	case typePing:
		n.send(from.id, from.address, &message{kind: typeAlive, seq: m.seq})
	case typeAlive:
		n.takeAlive(now, from, m)
	}
}

func (n *Node) relay(now time.Time, from *member, m *message) {
	target := n.members[m.target]
	if target == nil {
		return
	}
	n.seq++
	n.relayed[n.seq] = relayedPing{requester: from.id, address: from.address, seq: m.seq, at: now}
	ping := &message{kind: typePing, seq: n.seq, accused: n.accusedOf(target)}
	ping.from.address = n.identity.Address
	n.send(target.id, target.address, ping)
}

// takeAlive ends the question, or passes the answer on to the entry that had it asked.
func (n *Node) takeAlive(now time.Time, from *member, m *message) {
	if r, ok := n.relayed[m.seq]; ok {
		delete(n.relayed, m.seq)
		n.send(r.requester, r.address, &message{kind: typeAlive, seq: r.seq})
		return
	}
	p := n.probes[m.seq]
	if p == nil {
		return
	}
	delete(n.probes, m.seq)
	if target := n.members[p.target]; target != nil {
		n.alive(now, target)
	}
}

func (n *Node) answerProbe(now time.Time, from *member, m *message) {
	answer := &message{kind: typeAnswer, seq: m.seq, accused: n.accusedOf(from)}
	mine := make(map[uint32]uint64, len(n.regions))
	for _, r := range n.regionList() {
		mine[r.key] = n.sum(r)
	}
	for _, s := range m.sums {
		n.noteRegionAge(now, s)
		if sum, ok := mine[s.region]; ok && sum != s.sum {
			answer.wanted = append(answer.wanted, s.region)
		}
		delete(mine, s.region)
	}
	for _, r := range n.regionList() {
		if _, missing := mine[r.key]; missing {
			answer.wanted = append(answer.wanted, r.key)
		}
	}
	if from.region == n.identity.Region {
		n.addRegional(now, answer, m)
	}
	n.send(from.id, from.address, answer)
}

// noteRegionAge takes another entry's word of when a region was last heard of.
func (n *Node) noteRegionAge(now time.Time, s regionSum) {
	r := n.regions[s.region]
	if r != nil && s.age < maxAge {
		r.heardAt = later(r.heardAt, now.Add(-time.Duration(s.age)*ageUnit))
	}
}

// regionList returns the regions in the order of their keys.
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

func (n *Node) sum(r *region) uint64 {
	sum, buffer := r.sum(n.scratch)
	n.scratch = buffer
	return sum
}

// room returns how many bytes of facts or versions a packet can take.
func (n *Node) room() int {
	return n.cfg.MaxPacket - headRoom - len(n.identity.ID) - len(n.identity.Region)
}

// addRegional adds the facts that the prober's versions show it to lack.
func (n *Node) addRegional(now time.Time, answer, m *message) {
	r := n.regionOf(n.identity.Region)
	if m.set != r.set || len(m.versions) != len(r.origins) {
		answer.explicit = true
		return
	}
	room := n.room() - 4*len(answer.wanted)
	first := n.random.IntN(len(r.origins))
	for i := range r.origins {
		at := (first + i) % len(r.origins)
		o := r.origins[at]
		part := originPart{index: at + 1, stream: streamRegional, base: m.versions[at]}
		if o.id != m.from.id && !n.fill(now, o, &part, &room) {
			appendPart(answer, &part)
			return
		}
		appendPart(answer, &part)
	}
}

func appendPart(m *message, p *originPart) {
	if len(p.facts) > 0 {
		m.blocks = append(m.blocks, *p)
	}
}

// fill adds the origin's facts above the part's base while there is room. It returns false when room ran out.
func (n *Node) fill(now time.Time, o *origin, part *originPart, room *int) bool {
	*room -= part.headSize()
	last := part.base
	whole := true
	o.streams[part.stream].since(part.base, func(f *fact) bool {
		w := wireFact{key: f.factKey, delta: f.version - last, age: uint64(max(0, now.Sub(f.at)) / ageUnit), body: f.body}
		if *room < w.size() {
			whole = false
			return false
		}
		*room -= w.size()
		last = f.version
		part.facts = append(part.facts, w)
		return true
	})
	if len(part.facts) == 0 {
		*room += part.headSize()
	}
	return whole
}

func (p *originPart) headSize() int {
	if p.index > 0 {
		return uvarintLen(uint64(p.index)) + 2
	}
	return len(p.origin.id) + len(p.origin.region) + 10 + 10 + 8
}

func (f *wireFact) size() int {
	return uvarintLen(f.delta) + 1 + uvarintLen(f.key.sub) + uvarintLen(f.age) + uvarintLen(uint64(len(f.body))) + len(f.body)
}

func (n *Node) takeAnswer(now time.Time, from *member, m *message) {
	p := n.probes[m.seq]
	if p == nil || p.target != from.id {
		return
	}
	for i := range m.blocks {
		n.takeIndexed(now, p, &m.blocks[i])
	}
	p.answered = true
	p.wanted, p.explicit = m.wanted, m.explicit
	n.pull(from, m.seq, p)
}

// takeIndexed applies facts of an origin that the probe listed.
func (n *Node) takeIndexed(now time.Time, p *probe, part *originPart) {
	if part.index < 1 || part.index > len(p.order) {
		return
	}
	o := p.order[part.index-1]
	if o == n.me || n.byKey[o.key] != o {
		return
	}
	part.base = p.bases[part.index-1]
	n.applyPart(now, o, part)
}

// pull asks for what the answer showed to be missing, or ends the probe.
func (n *Node) pull(from *member, seq uint64, p *probe) {
	question := &message{kind: typePull, seq: seq}
	question.from.region = n.identity.Region
	room := n.room()
	for _, key := range p.wanted {
		question.vectors = append(question.vectors, n.vector(streamGlobal, key, &room))
	}
	if p.explicit {
		question.vectors = append(question.vectors, n.vector(streamRegional, regionKey(n.identity.Region), &room))
	}
	if len(question.vectors) == 0 || p.pulls == 0 {
		delete(n.probes, seq)
		return
	}
	p.pulls--
	n.probes[seq] = p
	n.send(from.id, from.address, question)
}

// vector lists the versions held of the region, or of as many of its origins as there is room for.
func (n *Node) vector(stream streamID, key uint32, room *int) vector {
	v := vector{stream: stream, region: key, high: ^uint64(0)}
	*room -= 24
	r := n.regions[key]
	if r == nil || len(r.origins) == 0 {
		return v
	}
	const entryBytes = 8 + 5
	count := min(len(r.origins), max(1, *room/entryBytes))
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
	*room -= count * entryBytes
	return v
}

func (n *Node) answerPull(now time.Time, from *member, m *message) {
	answer := &message{kind: typeFacts, seq: m.seq}
	room := n.room()
	for i := range m.vectors {
		if !n.addVector(now, m, from, answer, &m.vectors[i], &room) {
			break
		}
	}
	n.send(from.id, from.address, answer)
}

// addVector adds what the vector lacks. It returns false when room ran out.
func (n *Node) addVector(now time.Time, m *message, from *member, answer *message, v *vector, room *int) bool {
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
		part := originPart{origin: identity{id: o.id, region: o.region, epoch: o.epoch}, stream: v.stream, base: held[o.key]}
		whole := n.fill(now, o, &part, room)
		appendPart(answer, &part)
		if !whole {
			return false
		}
	}
	return true
}

func (n *Node) takeFacts(now time.Time, from *member, m *message) {
	p := n.probes[m.seq]
	if p == nil || p.target != from.id {
		return
	}
	delete(n.probes, m.seq)
	for i := range m.blocks {
		part := &m.blocks[i]
		if o := n.originFor(now, &part.origin); o != nil {
			n.applyPart(now, o, part)
		}
	}
	if m.size > n.cfg.MaxPacket/2 {
		n.pull(from, m.seq, p)
	}
}
