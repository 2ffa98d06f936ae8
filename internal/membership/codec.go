package membership

import (
	"encoding/binary"
	"fmt"
	"time"
)

// messageType is the type of a message. The values are part of the protocol.
type messageType byte

const (
	typeProbe       messageType = 1 // Asks for a sign of life and for facts that the sender lacks; answered by typeAnswer.
	typeAnswer      messageType = 2 // Answers typeProbe with facts and with the regions to pull.
	typePull        messageType = 3 // Asks for the facts that its version vectors show to be missing; answered by typeFacts.
	typeFacts       messageType = 4 // Answers typePull.
	typeRelay       messageType = 5 // Asks the receiver to ping the target; answered by typeAlive if the target answers.
	typePing        messageType = 6 // Asks only for a sign of life; answered by typeAlive.
	typeAlive       messageType = 7 // Sign of life; answers typePing and typeRelay.
	protocolVersion             = 1 // First byte of every packet.
)

// ageUnit is the unit of ages in messages.
const ageUnit = 50 * time.Millisecond

// message is a decoded packet between two entries. Which fields are sent depends on the type.
type message struct {
	kind                messageType
	seq                 uint64
	from                runIdentity
	revision            uint64 // Highest configuration revision that the sender knows.
	requiredRefutations uint64 // Probe, Answer, Ping: result of Node.requiredRefutations for the receiver.
	target              string // Relay: id of the entry to ping.

	originsHash      uint64          // Probe: hash of the sender's list of origins of its region.
	regionalVersions []uint64        // Probe: versions of the regional streams, in the order of that list.
	regionDigests    []regionDigest  // Probe: digests of the global streams, one for each region.
	pullByKey        bool            // Answer: the lists of origins differ, so regional streams must be pulled by origin key.
	regionsToPull    []uint32        // Answer: keys of the regions whose digests differ.
	vectors          []versionVector // Pull: versions that the sender holds.
	blocks           []factBlock     // Answer, Facts: facts that the receiver lacks.

	size int // Size of the received packet in bytes. It is not sent.
}

// runIdentity identifies one run of an entry.
type runIdentity struct {
	id      string
	region  string
	address string
	epoch   uint64 // A run with a higher epoch replaces earlier ones.
}

// regionDigest summarizes the global streams of a region's origins, so that differences are detected without listing all
// versions.
type regionDigest struct {
	region uint32
	hash   uint64
	age    uint64 // RegionAge at the sender, in units of ageUnit.
}

// versionVector lists the versions that the sender holds of one stream of each of a region's origins with keys in
// [low, high].
type versionVector struct {
	stream    streamID
	region    uint32
	low, high uint64
	entries   []vectorEntry
}

type vectorEntry struct{ key, version uint64 }

// factBlock contains facts from one stream of an origin, starting above a version that the receiver holds.
type factBlock struct {
	index  int         // Index of the origin in the probe's list plus one; 0: origin, stream and base are sent instead.
	origin runIdentity // Its address is not sent.
	stream streamID
	base   uint64 // Version that the facts follow. A version missing between base and the last fact was replaced by a later one.
	facts  []wireFact
}

// wireFact is a fact as it is sent. Its version is delta above that of the previous fact of the block or, for the first fact,
// above the block's base.
type wireFact struct {
	key   factKey
	delta uint64 // Difference to the previous version.
	age   uint64 // In units of ageUnit.
	body  []byte
}

const (
	maxListLength = 1 << 14 // Maximum number of elements of any list in a message.
	maxFactBody   = 1 << 11 // Maximum size of the body of a fact in bytes.
)

// encode returns the packet that contains the message.
func (m *message) encode() []byte {
	b := []byte{protocolVersion, byte(m.kind)}
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
		b = binary.AppendUvarint(b, m.requiredRefutations)
	case typeAlive:
	}
	return b
}

func (m *message) encodeProbe(b []byte) []byte {
	b = appendString(b, m.from.region)
	b = appendString(b, m.from.address)
	b = binary.AppendUvarint(b, m.requiredRefutations)
	b = binary.LittleEndian.AppendUint64(b, m.originsHash)
	b = appendCount(b, len(m.regionalVersions))
	for _, v := range m.regionalVersions {
		b = binary.AppendUvarint(b, v)
	}
	b = appendCount(b, len(m.regionDigests))
	for _, digest := range m.regionDigests {
		b = binary.LittleEndian.AppendUint32(b, digest.region)
		b = binary.LittleEndian.AppendUint64(b, digest.hash)
		b = binary.AppendUvarint(b, digest.age)
	}
	return b
}

func (m *message) encodeAnswer(b []byte) []byte {
	b = binary.AppendUvarint(b, m.requiredRefutations)
	b = append(b, flag(m.pullByKey, 1))
	b = appendCount(b, len(m.regionsToPull))
	for _, r := range m.regionsToPull {
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

func encodeBlocks(b []byte, blocks []factBlock) []byte {
	b = appendCount(b, len(blocks))
	for i := range blocks {
		b = blocks[i].encodeHeader(b)
		b = appendCount(b, len(blocks[i].facts))
		for _, f := range blocks[i].facts {
			b = f.encode(b)
		}
	}
	return b
}

func (block *factBlock) encodeHeader(b []byte) []byte {
	b = appendCount(b, block.index)
	if block.index > 0 {
		return b
	}
	b = appendString(b, block.origin.id)
	b = appendString(b, block.origin.region)
	b = binary.AppendUvarint(b, block.origin.epoch)
	b = append(b, byte(block.stream))
	return binary.AppendUvarint(b, block.base)
}

func (f *wireFact) encode(b []byte) []byte {
	b = binary.AppendUvarint(b, f.delta)
	b = append(b, byte(f.key.kind))
	b = binary.AppendUvarint(b, f.key.subkey)
	b = binary.AppendUvarint(b, f.age)
	b = appendCount(b, len(f.body))
	return append(b, f.body...)
}

// decodeMessage decodes a packet. It checks that lists and fields do not exceed the packet.
func decodeMessage(packet []byte) (*message, error) {
	r := reader{b: packet}
	if v := r.byte(); v != protocolVersion {
		r.fail("protocol version %d is not supported, expected %d", v, protocolVersion)
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
		m.from.address, m.requiredRefutations = r.string(), r.uvarint()
	case typeAlive:
	default:
		r.fail("unknown message type %d", m.kind)
	}
	if m.from.id == "" {
		r.fail("sender id is empty")
	}
	if len(r.b) > 0 {
		r.fail("%d unexpected bytes follow the message", len(r.b))
	}
	if r.err != nil {
		return nil, fmt.Errorf("decode packet of %d bytes: %w", len(packet), r.err)
	}
	return m, nil
}

func (m *message) decodeProbe(r *reader) {
	m.from.region, m.from.address = r.string(), r.string()
	m.requiredRefutations, m.originsHash = r.uvarint(), r.fixed64()
	for range r.length(1) {
		m.regionalVersions = append(m.regionalVersions, r.uvarint())
	}
	for range r.length(13) {
		m.regionDigests = append(m.regionDigests, regionDigest{region: r.fixed32(), hash: r.fixed64(), age: r.uvarint()})
	}
}

func (m *message) decodeAnswer(r *reader) {
	m.requiredRefutations = r.uvarint()
	m.pullByKey = r.byte() == 1
	for range r.length(4) {
		m.regionsToPull = append(m.regionsToPull, r.fixed32())
	}
	m.blocks = decodeBlocks(r)
}

func (m *message) decodeVectors(r *reader) {
	for range r.length(22) {
		v := versionVector{stream: r.streamID(), region: r.fixed32(), low: r.fixed64(), high: r.fixed64()}
		for range r.length(9) {
			v.entries = append(v.entries, vectorEntry{key: r.fixed64(), version: r.uvarint()})
		}
		m.vectors = append(m.vectors, v)
	}
}

func decodeBlocks(r *reader) []factBlock {
	var blocks []factBlock
	for range r.length(2) {
		block := factBlock{index: r.count(maxListLength)}
		if block.index == 0 {
			block.origin = runIdentity{id: r.string(), region: r.string(), epoch: r.uvarint()}
			block.stream, block.base = r.streamID(), r.uvarint()
		} else {
			block.stream = streamRegional
		}
		for range r.length(5) {
			block.facts = append(block.facts, r.fact())
		}
		blocks = append(blocks, block)
	}
	return blocks
}

func (r *reader) fact() wireFact {
	f := wireFact{delta: r.uvarint()}
	f.key = factKey{kind: factKind(r.byte()), subkey: r.uvarint()}
	f.age = r.uvarint()
	f.body = r.bytes(r.count(maxFactBody))
	return f
}

// length reads the length of a list whose elements need at least size bytes each.
func (r *reader) length(size int) int {
	n := r.count(maxListLength)
	if n*size > len(r.b) {
		r.fail("unexpected end: %d bytes are left for a list of %d elements", len(r.b), n)
		return 0
	}
	return n
}

func (r *reader) streamID() streamID {
	v := r.byte()
	if v >= streamCount {
		r.fail("unknown stream %d", v)
	}
	return streamID(v)
}

func (r *reader) fixed32() uint32 {
	if len(r.b) < 4 {
		r.fail("unexpected end: %d bytes are left, but a 32-bit integer needs 4", len(r.b))
		return 0
	}
	v := binary.LittleEndian.Uint32(r.b)
	r.b = r.b[4:]
	return v
}
