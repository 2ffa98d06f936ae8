package membership

import (
	"encoding/binary"
	"fmt"
	"math"
)

// selfFact is what an origin publishes about itself.
type selfFact struct {
	address     string
	domain      string
	incarnation string
	leaving     bool
	refutations uint64 // Refutation counter, raised to refute accusations.
}

// Fence is the ownership of a journal under a fencing number. An ownership with a higher number supersedes all lower ones.
type Fence struct {
	Journal int
	Number  uint64
}

// fenceFact states that an origin owns a journal, or has handed it over.
type fenceFact struct {
	number uint64
	held   bool // False after the hand-over.
}

// accusation states that an origin suspects another one or asserts its death.
type accusation struct {
	refutations uint64 // Refutation counter of the accused. The accusation is void once the counter is higher.
	dead        bool   // Asserts the death.
	withdrawn   bool   // The accuser has received a sign of life of the accused since.
}

// Crash counts the crashes of backend servers that were running a request body.
type Crash struct {
	Fingerprint string // Of the request body.
	Crashes     int
	IDs         []string // Ids of the crashes, so that a crash that several entries report is counted once.
}

// Status is the part of a backend server's state that changes rarely.
type Status struct {
	Incarnation   string // Of the sidecar's process.
	Healthy       bool
	Draining      bool
	Silent        bool // The sidecar did not answer the last requests of the watcher.
	Slots         int
	CacheCapacity int     // In tokens.
	PrefillRate   float64 // Tokens per second.
	DecodeRate    float64 // Tokens per second for each sequence.
	Revision      uint64  // Configuration revision that the sidecar knows.
}

// Load is the part of a backend server's state that changes often.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int // Prompt tokens waiting for prefill.
	CacheUsed    int // Tokens held by leases.
}

const (
	maxNameBytes    = 128     // Maximum length of ids, addresses, incarnations and fingerprints.
	maxCrashIDs     = 8       // Maximum number of ids in one crash report.
	maxCrashIDBytes = 256     // Maximum total size of these ids, with a length byte each.
	subkeyLimit     = 1 << 16 // Journals and watch slots at or above this number are ignored.
	flagLeaving     = 1
	flagHealthy     = 1
	flagDraining    = 2
	flagSilent      = 4
	flagHeld        = 1
	flagDead        = 1
	flagWithdrawn   = 2
	maxCountField   = 1 << 40 // Maximum value of a decoded count.
	loadTokenUnit   = 256     // Token counts of a Load are encoded in multiples of this number.
)

// appendString appends the length and the bytes of s. A longer string is truncated to maxNameBytes.
func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), maxNameBytes)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendCount appends n, or 0 if n is negative.
func appendCount(b []byte, n int) []byte { return binary.AppendUvarint(b, uint64(max(0, n))) }

// flag returns the bit if set is true, and 0 otherwise.
func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func (s *selfFact) encode() []byte {
	b := []byte{flag(s.leaving, flagLeaving)}
	b = binary.AppendUvarint(b, s.refutations)
	b = appendString(b, s.address)
	b = appendString(b, s.domain)
	return appendString(b, s.incarnation)
}

func decodeSelf(body []byte) (selfFact, error) {
	r := reader{b: body}
	flags := r.byte()
	s := selfFact{leaving: flags&flagLeaving != 0, refutations: r.uvarint()}
	s.address, s.domain, s.incarnation = r.string(), r.string(), r.string()
	return s, r.wrap("self")
}

func (f fenceFact) encode() []byte {
	return binary.AppendUvarint([]byte{flag(f.held, flagHeld)}, f.number)
}

func decodeFence(body []byte) (fenceFact, error) {
	r := reader{b: body}
	f := fenceFact{held: r.byte()&flagHeld != 0, number: r.uvarint()}
	return f, r.wrap("fence")
}

func (a accusation) encode() []byte {
	return binary.AppendUvarint([]byte{flag(a.dead, flagDead) | flag(a.withdrawn, flagWithdrawn)}, a.refutations)
}

func decodeAccusation(body []byte) (accusation, error) {
	r := reader{b: body}
	flags := r.byte()
	a := accusation{dead: flags&flagDead != 0, withdrawn: flags&flagWithdrawn != 0, refutations: r.uvarint()}
	return a, r.wrap("accusation")
}

// encode omits ids that do not fit. It never truncates an id, since a truncated id would be counted as another crash.
func (c *Crash) encode() []byte {
	b := appendString(nil, c.Fingerprint)
	b = appendCount(b, c.Crashes)
	remaining := maxCrashIDBytes
	var ids []string
	for _, id := range c.IDs {
		if len(ids) < maxCrashIDs && len(id) <= maxNameBytes && len(id) < remaining {
			ids = append(ids, id)
			remaining -= len(id) + 1
		}
	}
	b = appendCount(b, len(ids))
	for _, id := range ids {
		b = appendString(b, id)
	}
	return b
}

func decodeCrash(body []byte) (Crash, error) {
	r := reader{b: body}
	c := Crash{Fingerprint: r.string(), Crashes: r.count(maxCountField)}
	for range r.count(maxCrashIDs) {
		c.IDs = append(c.IDs, r.string())
	}
	return c, r.wrap("crash")
}

func (s *Status) encode() []byte {
	b := []byte{flag(s.Healthy, flagHealthy) | flag(s.Draining, flagDraining) | flag(s.Silent, flagSilent)}
	b = appendCount(b, s.Slots)
	b = appendCount(b, s.CacheCapacity)
	b = binary.AppendUvarint(b, uint64(math.Float32bits(float32(s.PrefillRate))))
	b = binary.AppendUvarint(b, uint64(math.Float32bits(float32(s.DecodeRate))))
	b = binary.AppendUvarint(b, s.Revision)
	return appendString(b, s.Incarnation)
}

func decodeStatus(body []byte) (Status, error) {
	r := reader{b: body}
	flags := r.byte()
	s := Status{Healthy: flags&flagHealthy != 0, Draining: flags&flagDraining != 0, Silent: flags&flagSilent != 0}
	s.Slots, s.CacheCapacity = r.count(maxCountField), r.count(maxCountField)
	s.PrefillRate, s.DecodeRate = r.float(), r.float()
	s.Revision = r.uvarint()
	s.Incarnation = r.string()
	return s, r.wrap("status")
}

func (l *Load) encode() []byte {
	b := appendCount(nil, l.Running)
	b = appendCount(b, l.Queued)
	b = appendCount(b, l.QueuedTokens/loadTokenUnit)
	return appendCount(b, l.CacheUsed/loadTokenUnit)
}

// differs reports whether the numbers of running and queued calls have changed since b by at least a sixteenth of the
// slots in total, or the server has become idle or busy.
func (l *Load) differs(b *Load, slots int) bool {
	const share = 16
	step := max(1, slots/share)
	moved := max(l.Running-b.Running, b.Running-l.Running) + max(l.Queued-b.Queued, b.Queued-l.Queued)
	return moved >= step || (l.Running+l.Queued == 0) != (b.Running+b.Queued == 0)
}

func decodeLoad(body []byte) (Load, error) {
	r := reader{b: body}
	l := Load{
		Running: r.count(maxCountField), Queued: r.count(maxCountField),
		QueuedTokens: loadTokenUnit * r.count(maxCountField), CacheUsed: loadTokenUnit * r.count(maxCountField),
	}
	return l, r.wrap("load")
}

// reader reads fields from an encoded value. After the first error it returns zero values.
type reader struct {
	b   []byte
	err error
}

// fail records the first error and discards the remaining bytes.
func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
	r.b = nil
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.fail("unexpected end: no byte is left")
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail("integer is missing, truncated or too large")
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) fixed64() uint64 {
	if len(r.b) < 8 {
		r.fail("unexpected end: %d bytes are left, but a 64-bit integer needs 8", len(r.b))
		return 0
	}
	v := binary.LittleEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

// count reads an integer that must not exceed limit.
func (r *reader) count(limit uint64) int {
	v := r.uvarint()
	if v > limit {
		r.fail("count %d exceeds the limit of %d", v, limit)
		return 0
	}
	return int(v)
}

func (r *reader) float() float64 {
	v := r.uvarint()
	if v > math.MaxUint32 {
		r.fail("encoded float %d does not fit in 32 bits", v)
		return 0
	}
	return float64(math.Float32frombits(uint32(v)))
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.b) {
		r.fail("unexpected end: %d bytes are left, but a field needs %d", len(r.b), n)
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) string() string { return string(r.bytes(r.count(maxNameBytes))) }

// wrap returns the first error with the name of the decoded value added, or nil.
func (r *reader) wrap(what string) error {
	if r.err == nil {
		return nil
	}
	return fmt.Errorf("decode %s: %w", what, r.err)
}
