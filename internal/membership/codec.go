package membership

import (
	"encoding/binary"
	"fmt"
	"time"
)

// messageType names a message. The value is part of the protocol.
type messageType byte

const (
	typeProbe    messageType = 1 // Asks for life and for what the sender lacks; answered by typeAnswer.
	typeAnswer   messageType = 2
	typePull     messageType = 3 // Asks for streams that the probe only summed up; answered by typeFacts.
	typeFacts    messageType = 4
	typeRelay    messageType = 5 // Asks the receiver to ping the target; answered by typeAlive when it answers.
	typePing     messageType = 6 // Asks for life only; answered by typeAlive.
	typeAlive    messageType = 7
	protocolByte             = 1
)

// ageUnit is the resolution of a fact's age on the wire.
const ageUnit = 50 * time.Millisecond

// message is any packet between two entries. Which fields are sent depends on the type.
type message struct {
	kind     messageType
	seq      uint64
	from     identity
	revision uint64 // Highest configuration revision that the sender knows.
	accused  uint64 // Answer: refutations of the receiver that the sender holds accused, plus one; 0: none.
	target   string // Relay.

	set      uint64       // Probe: sum of the sender's list of origins of its region.
	versions []uint64     // Probe: the regional versions in the order of that list.
	sums     []regionSum  // Probe: sums over the global streams.
	explicit bool         // Answer: the lists of origins differ, regional versions must be pulled by key.
	wanted   []uint32     // Answer: regions whose sums differ.
	vectors  []vector     // Pull.
	blocks   []originPart // Answer, Facts.

	size int // Of the received packet, in bytes.
}

// identity names one run of an entry.
type identity struct {
	id      string
	region  string
	address string
	epoch   uint64 // Higher runs replace lower ones.
}

// regionSum sums up the global streams of a region's origins.
type regionSum struct {
	region uint32
	sum    uint64
	age    uint64 // Since any entry of it was heard, in ageUnit.
}

// vector lists the versions of one stream that the sender holds of a region's origins with keys in [low, high].
type vector struct {
	stream    streamID
	region    uint32
	low, high uint64
	entries   []vectorEntry
}

type vectorEntry struct{ key, version uint64 }

// originPart carries facts of one origin's stream above a version that the receiver is known to hold.
type originPart struct {
	index  int      // Position in the probe's list plus one; 0: origin is given in full.
	origin identity // Without address.
	stream streamID
	base   uint64 // All facts above base up to the last one here are included or were replaced.
	facts  []wireFact
}

type wireFact struct {
	key   factKey
	delta uint64 // Version above the one before.
	age   uint64 // In ageUnit.
	body  []byte
}

const (
	maxListed = 1 << 14 // Elements of any list in a message.
	maxBody   = 1 << 11
)

func (m *message) encode() []byte {
	b := []byte{protocolByte, byte(m.kind)}
	b = binary.AppendUvarint(b, m.seq)
	b = appendString(b, m.from.id)
	b = binary.AppendUvarint(b, m.from.epoch)
	b = binary.AppendUvarint(b, m.revision)
	switch m.kind {
	case typeProbe:
		b = m.encodeProbe(b)
	case typeAnswer:
		b = m.encodeAnswer(b)
	case typePull:
		b = appendString(b, m.from.region)
		b = m.encodeVectors(b)
	case typeFacts:
		b = encodeBlocks(b, m.blocks)
	case typeRelay:
		b = appendString(b, m.from.address)
		b = appendString(b, m.target)
	case typePing:
		b = appendString(b, m.from.address)
		b = binary.AppendUvarint(b, m.accused)
	case typeAlive:
	}
	return b
}

func (m *message) encodeProbe(b []byte) []byte {
	b = appendString(b, m.from.region)
	b = appendString(b, m.from.address)
	b = binary.AppendUvarint(b, m.accused)
	b = binary.LittleEndian.AppendUint64(b, m.set)
	b = appendCount(b, len(m.versions))
	for _, v := range m.versions {
		b = binary.AppendUvarint(b, v)
	}
	b = appendCount(b, len(m.sums))
	for _, s := range m.sums {
		b = binary.LittleEndian.AppendUint32(b, s.region)
		b = binary.LittleEndian.AppendUint64(b, s.sum)
		b = binary.AppendUvarint(b, s.age)
	}
	return b
}

func (m *message) encodeAnswer(b []byte) []byte {
	b = binary.AppendUvarint(b, m.accused)
	b = append(b, flag(m.explicit, 1))
	b = appendCount(b, len(m.wanted))
	for _, r := range m.wanted {
		b = binary.LittleEndian.AppendUint32(b, r)
	}
	return encodeBlocks(b, m.blocks)
}

func (m *message) encodeVectors(b []byte) []byte {
	b = appendCount(b, len(m.vectors))
	for i := range m.vectors {
		v := &m.vectors[i]
		b = append(b, byte(v.stream))
		b = binary.LittleEndian.AppendUint32(b, v.region)
		b = binary.LittleEndian.AppendUint64(b, v.low)
		b = binary.LittleEndian.AppendUint64(b, v.high)
		b = appendCount(b, len(v.entries))
		for _, e := range v.entries {
			b = binary.LittleEndian.AppendUint64(b, e.key)
			b = binary.AppendUvarint(b, e.version)
		}
	}
	return b
}

func encodeBlocks(b []byte, blocks []originPart) []byte {
	b = appendCount(b, len(blocks))
	for i := range blocks {
		b = blocks[i].encodeHead(b)
		b = appendCount(b, len(blocks[i].facts))
		for _, f := range blocks[i].facts {
			b = f.encode(b)
		}
	}
	return b
}

func (p *originPart) encodeHead(b []byte) []byte {
	b = appendCount(b, p.index)
	if p.index > 0 {
		return b
	}
	b = appendString(b, p.origin.id)
	b = appendString(b, p.origin.region)
	b = binary.AppendUvarint(b, p.origin.epoch)
	b = append(b, byte(p.stream))
	return binary.AppendUvarint(b, p.base)
}

func (f *wireFact) encode(b []byte) []byte {
	b = binary.AppendUvarint(b, f.delta)
	b = append(b, byte(f.key.kind))
	b = binary.AppendUvarint(b, f.key.sub)
	b = binary.AppendUvarint(b, f.age)
	b = appendCount(b, len(f.body))
	return append(b, f.body...)
}

func decodeMessage(packet []byte) (*message, error) {
	r := reader{b: packet}
	if v := r.byte(); v != protocolByte {
		r.fail("protocol %d is not %d", v, protocolByte)
	}
	m := &message{kind: messageType(r.byte()), seq: r.uvarint(), size: len(packet)}
	m.from.id = r.string()
	m.from.epoch = r.uvarint()
	m.revision = r.uvarint()
	switch m.kind {
	case typeProbe:
		m.decodeProbe(&r)
	case typeAnswer:
		m.decodeAnswer(&r)
	case typePull:
		m.from.region = r.string()
		m.decodeVectors(&r)
	case typeFacts:
		m.blocks = decodeBlocks(&r)
	case typeRelay:
		m.from.address, m.target = r.string(), r.string()
	case typePing:
		m.from.address, m.accused = r.string(), r.uvarint()
	case typeAlive:
	default:
		r.fail("message type %d does not exist", m.kind)
	}
	if m.from.id == "" {
		r.fail("the sender's id is empty")
	}
	if len(r.b) > 0 {
		r.fail("%d bytes follow the message", len(r.b))
	}
	if r.err != nil {
		return nil, fmt.Errorf("decode a packet of %d bytes: %w", len(packet), r.err)
	}
	return m, nil
}

func (m *message) decodeProbe(r *reader) {
	m.from.region, m.from.address = r.string(), r.string()
	m.accused, m.set = r.uvarint(), r.fixed64()
	for range r.length(1) {
		m.versions = append(m.versions, r.uvarint())
	}
	for range r.length(13) {
		m.sums = append(m.sums, regionSum{region: r.fixed32(), sum: r.fixed64(), age: r.uvarint()})
	}
}

func (m *message) decodeAnswer(r *reader) {
	m.accused = r.uvarint()
	m.explicit = r.byte() == 1
	for range r.length(4) {
		m.wanted = append(m.wanted, r.fixed32())
	}
	m.blocks = decodeBlocks(r)
}

func (m *message) decodeVectors(r *reader) {
	for range r.length(22) {
		v := vector{stream: r.streamID(), region: r.fixed32(), low: r.fixed64(), high: r.fixed64()}
		for range r.length(9) {
			v.entries = append(v.entries, vectorEntry{key: r.fixed64(), version: r.uvarint()})
		}
		m.vectors = append(m.vectors, v)
	}
}

func decodeBlocks(r *reader) []originPart {
	var blocks []originPart
	for range r.length(2) {
		p := originPart{index: r.count(maxListed)}
		if p.index == 0 {
			p.origin = identity{id: r.string(), region: r.string(), epoch: r.uvarint()}
			p.stream, p.base = r.streamID(), r.uvarint()
		} else {
			p.stream = streamRegional
		}
		for range r.length(5) {
			p.facts = append(p.facts, r.fact())
		}
		blocks = append(blocks, p)
	}
	return blocks
}

func (r *reader) fact() wireFact {
	f := wireFact{delta: r.uvarint()}
	f.key = factKey{kind: factKind(r.byte()), sub: r.uvarint()}
	f.age = r.uvarint()
	f.body = r.bytes(r.count(maxBody))
	return f
}

// length returns the length of a list whose elements have at least size bytes each.
func (r *reader) length(size int) int {
	n := r.count(maxListed)
	if n*size > len(r.b) {
		r.fail("%d bytes are too few for a list of %d", len(r.b), n)
		return 0
	}
	return n
}

func (r *reader) streamID() streamID {
	v := r.byte()
	if v >= streamCount {
		r.fail("stream %d does not exist", v)
	}
	return streamID(v)
}

func (r *reader) fixed32() uint32 {
	if len(r.b) < 4 {
		r.fail("%d bytes are left of a number of 4", len(r.b))
		return 0
	}
	v := binary.LittleEndian.Uint32(r.b)
	r.b = r.b[4:]
	return v
}
