package journal

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Limits of a slot, in bytes, and parameters of its compression.
const (
	headerReserve     = 64 << 10                            // Space reserved for the slot's header.
	maxBatchBytes     = ports.MaxValueBytes - headerReserve // Records of this uncompressed size always fit.
	maxRecordBytes    = 8 << 20                             // Largest uncompressed size of a record.
	maxDecodedBytes   = maxRecordBytes + headerReserve      // Memory limit of the decoder.
	recordOverhead    = 8                                   // Bytes that a record adds to the header.
	compressionWindow = 1 << 20
	writeIDBytes      = 9 // Random bytes in the id of a write.
	codecConcurrency  = 4
	compressionLevel  = zstd.SpeedFastest
)

// slotKind is the kind of a slot.
type slotKind string

// Kinds of slots.
const (
	kindOpen     slotKind = "open"     // Written by a new owner; the slot's number is its fencing number.
	kindBatch    slotKind = "batch"    // Contains records.
	kindSnapshot slotKind = "snapshot" // Contains the manifest of the chunks that replace the slots up to Cover.
	kindClosed   slotKind = "closed"   // Written by an owner that closes the journal.
)

// header describes a slot. Every slot repeats all that a successor needs, so that the newest slot alone tells the owner
// and the slots to read.
type header struct {
	Slot     uint64        `json:"slot"`
	Kind     slotKind      `json:"kind"`
	Write    string        `json:"write"` // Unique id of the write.
	Fence    uint64        `json:"fence"` // Fencing number: slot of the owner's open record.
	Owner    Owner         `json:"owner"`
	Ring     int           `json:"ring"`               // Number of keys in the ring.
	Cover    uint64        `json:"cover,omitempty"`    // The snapshot contains the slots up to this one.
	Snapshot uint64        `json:"snapshot,omitempty"` // Slot of the snapshot's manifest; 0 means none.
	Carried  []carriedSlot `json:"carried,omitempty"`  // Overwritten slots that the snapshot does not contain.
	Stored   int           `json:"stored"`             // Upper bound on the ring's stored bytes before this slot.
	Lengths  []int         `json:"lengths,omitempty"`  // Lengths of the records that follow, in bytes.
}

// carriedSlot refers to the chunk with the copy of a slot that an open record overwrote before a snapshot contained it.
type carriedSlot struct {
	Slot  uint64  `json:"slot"`
	Chunk ChunkID `json:"chunk"`
}

// slot is a decoded slot.
type slot struct {
	header
	records     [][]byte
	revision    int64
	storedBytes int // Size of the stored value.
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(compressionLevel),
		zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithWindowSize(compressionWindow),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(fmt.Sprintf("zstd encoder options are invalid: %v", err))
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(codecConcurrency),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		panic(fmt.Sprintf("zstd decoder options are invalid: %v", err))
	}
	return d
}

// encodeSlot returns the stored value of a slot: a JSON header, a newline and the records, compressed with zstd.
func encodeSlot(h header, records [][]byte) ([]byte, error) {
	h.Lengths = make([]int, len(records))
	size := 0
	for i, r := range records {
		h.Lengths[i] = len(r)
		size += len(r)
	}
	head, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode the header of slot %d: %w", h.Slot, err)
	}
	raw := make([]byte, 0, len(head)+1+size)
	raw = append(raw, head...)
	raw = append(raw, '\n')
	for _, r := range records {
		raw = append(raw, r...)
	}
	return compress(raw)
}

// compress returns the compressed data, or a TooLargeError if it does not fit into one stored value.
func compress(data []byte) ([]byte, error) {
	value := encoder.EncodeAll(data, nil)
	if len(value) > ports.MaxValueBytes {
		return nil, &TooLargeError{Bytes: len(value), Limit: ports.MaxValueBytes}
	}
	return value, nil
}

// decodeSlot decodes the stored value of a slot.
func decodeSlot(kv ports.KeyValue) (slot, error) {
	raw, err := decoder.DecodeAll(kv.Value, nil)
	if err != nil {
		return slot{}, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("cannot decompress slot: %v", err)}
	}
	head, body, found := bytes.Cut(raw, []byte{'\n'})
	if !found {
		return slot{}, &CorruptError{Key: kv.Key, Reason: "slot has no header"}
	}
	s := slot{revision: kv.Revision, storedBytes: len(kv.Value)}
	if err := json.Unmarshal(head, &s.header); err != nil {
		return slot{}, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("decode slot header: %v", err)}
	}
	for _, n := range s.Lengths {
		if n < 0 || n > len(body) {
			return slot{}, &CorruptError{Key: kv.Key, Reason: "slot is shorter than the record lengths in its header"}
		}
		s.records = append(s.records, body[:n:n])
		body = body[n:]
	}
	return s, nil
}

// newWriteID returns a unique id, by which a writer recognises its own write.
func newWriteID() string {
	var b [writeIDBytes]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}
