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

// Limits of what one slot holds, in bytes.
const (
	headerReserve      = 64 << 10                            // Space kept for the header of a slot.
	maxBatchBytes      = ports.MaxValueBytes - headerReserve // Uncompressed records that always fit one slot.
	maxRecordBytes     = 8 << 20                             // Uncompressed size of a record.
	maxDecodedBytes    = maxRecordBytes + headerReserve
	recordOverhead     = 8 // Bytes that a record adds to the header.
	compressionWindow  = 1 << 20
	writeIDBytes       = 9
	codecConcurrency   = 4
	compressionQuality = zstd.SpeedFastest
)

// slotKind names what a slot is for.
type slotKind string

// Kinds of slots.
const (
	kindOpen     slotKind = "open"     // A new owner; the slot's number is its fencing number.
	kindBatch    slotKind = "batch"    // Records.
	kindSnapshot slotKind = "snapshot" // A manifest of chunks that replace the slots up to Cover.
	kindClosed   slotKind = "closed"   // The owner has given the journal up.
)

// header describes a slot. Every slot repeats what a successor has to know, so that the newest slot suffices to find
// the owner and the slots to read.
type header struct {
	Slot     uint64        `json:"slot"`
	Kind     slotKind      `json:"kind"`
	Write    string        `json:"write"` // Unique id of the write.
	Fence    uint64        `json:"fence"` // Slot of the owner's open record.
	Owner    Owner         `json:"owner"`
	Ring     int           `json:"ring"`               // Number of keys in the ring.
	Cover    uint64        `json:"cover,omitempty"`    // Slots up to this one are contained in the snapshot.
	Snapshot uint64        `json:"snapshot,omitempty"` // Slot of the snapshot's manifest; 0 means none.
	Carried  []carriedSlot `json:"carried,omitempty"`
	Stored   int           `json:"stored"`            // Bytes of the ring before this slot, at most.
	Lengths  []int         `json:"lengths,omitempty"` // Lengths of the records that follow, in bytes.
}

// carriedSlot names the chunk that holds a slot which an open record displaced before a snapshot contained it.
type carriedSlot struct {
	Slot  uint64  `json:"slot"`
	Chunk ChunkID `json:"chunk"`
}

// slot is a decoded slot.
type slot struct {
	header
	records  [][]byte
	revision int64
	stored   int // Size of the stored form, in bytes.
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(compressionQuality),
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

// encodeSlot returns the stored form of a slot: a JSON header, a newline and the records, compressed with zstd.
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

// compress returns data compressed, or a TooLargeError when it does not fit into one value.
func compress(data []byte) ([]byte, error) {
	value := encoder.EncodeAll(data, nil)
	if len(value) > ports.MaxValueBytes {
		return nil, &TooLargeError{Bytes: len(value), Limit: ports.MaxValueBytes}
	}
	return value, nil
}

// decodeSlot decodes the value of a ring key.
func decodeSlot(kv ports.KeyValue) (slot, error) {
	raw, err := decoder.DecodeAll(kv.Value, nil)
	if err != nil {
		return slot{}, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("slot does not decompress: %v", err)}
	}
	head, body, found := bytes.Cut(raw, []byte{'\n'})
	if !found {
		return slot{}, &CorruptError{Key: kv.Key, Reason: "slot has no header"}
	}
	s := slot{revision: kv.Revision, stored: len(kv.Value)}
	if err := json.Unmarshal(head, &s.header); err != nil {
		return slot{}, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("slot header: %v", err)}
	}
	for _, n := range s.Lengths {
		if n < 0 || n > len(body) {
			return slot{}, &CorruptError{Key: kv.Key, Reason: "slot is shorter than its header says"}
		}
		s.records = append(s.records, body[:n:n])
		body = body[n:]
	}
	return s, nil
}

// newWriteID returns a unique id for a write.
func newWriteID() string {
	var b [writeIDBytes]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}
