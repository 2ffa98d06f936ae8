package membership

import (
	"encoding/binary"
	"fmt"
	"math"
)

// self is an origin's statement about itself.
type self struct {
	address     string
	domain      string
	incarnation string
	leaving     bool
	refutations uint64 // Raised to refute a suspicion.
}

// Fence is an ownership of a journal. Higher numbers depose lower ones.
type Fence struct {
	Journal int
	Number  uint64
}

// fenceFact says that an origin owns or has handed over a journal.
type fenceFact struct {
	number uint64
	held   bool
}

// accusation says that an origin suspects another one, or asserts its death.
type accusation struct {
	refutations uint64 // Of the accused; void once it has raised them.
	dead        bool
	withdrawn   bool
}

// Crash counts the backend servers that died while running a request body.
type Crash struct {
	Fingerprint string
	Crashes     int
	IDs         []string // Names of the crashes, so that reports of one crash count once.
}

// Status is the slowly changing part of a backend server's digest.
type Status struct {
	Incarnation   string // Of the sidecar.
	Healthy       bool
	Draining      bool
	Silent        bool // The watcher had no answer to its last questions.
	Slots         int
	CacheCapacity int     // Tokens.
	PrefillRate   float64 // Tokens per second.
	DecodeRate    float64 // Tokens per second and sequence.
	Revision      uint64  // Configuration revision that the sidecar knows.
}

// Load is the fast changing part of a backend server's digest.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int // Prompt tokens waiting for prefill.
	CacheUsed    int // Tokens that leases hold.
}

const (
	maxNameBytes    = 128 // Ids, addresses, incarnations, fingerprints.
	maxCrashIDs     = 8
	maxCrashIDBytes = 256
	maxSlot         = 1 << 16
	flagLeaving     = 1
	flagHealthy     = 1
	flagDraining    = 2
	flagSilent      = 4
	flagHeld        = 1
	flagDead        = 1
	flagWithdrawn   = 2
	maxCountField   = 1 << 40
	loadTokenUnit   = 256 // Resolution of the tokens in a Load, in tokens.
)

func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), maxNameBytes)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendCount(b []byte, n int) []byte { return binary.AppendUvarint(b, uint64(max(0, n))) }

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func (s *self) encode() []byte {
	b := []byte{flag(s.leaving, flagLeaving)}
	b = binary.AppendUvarint(b, s.refutations)
	b = appendString(b, s.address)
	b = appendString(b, s.domain)
	return appendString(b, s.incarnation)
}

func decodeSelf(body []byte) (self, error) {
	r := reader{b: body}
	flags := r.byte()
	s := self{leaving: flags&flagLeaving != 0, refutations: r.uvarint()}
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

// encode leaves out ids for which there is no room; an id is never cut short, as it would count as another crash.
func (c *Crash) encode() []byte {
	b := appendString(nil, c.Fingerprint)
	b = appendCount(b, c.Crashes)
	room := maxCrashIDBytes
	var ids []string
	for _, id := range c.IDs {
		if len(ids) < maxCrashIDs && len(id) <= maxNameBytes && len(id) < room {
			ids = append(ids, id)
			room -= len(id) + 1
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

// differs reports whether the load has moved by more than a share of the slots since b.
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

// reader takes fields from an encoded value. After the first error every field is zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
	r.b = nil
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.fail("the value ends where a byte is expected")
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail("the value ends where an integer is expected")
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) fixed64() uint64 {
	if len(r.b) < 8 {
		r.fail("%d bytes are left of a key of 8", len(r.b))
		return 0
	}
	v := binary.LittleEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

// count returns an integer that must not exceed limit.
func (r *reader) count(limit uint64) int {
	v := r.uvarint()
	if v > limit {
		r.fail("count %d exceeds %d", v, limit)
		return 0
	}
	return int(v)
}

func (r *reader) float() float64 {
	v := r.uvarint()
	if v > math.MaxUint32 {
		r.fail("number %d does not fit in 32 bits", v)
		return 0
	}
	return float64(math.Float32frombits(uint32(v)))
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.b) {
		r.fail("%d bytes are left of %d", len(r.b), n)
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) string() string { return string(r.bytes(r.count(maxNameBytes))) }

// wrap returns the first error, naming what was decoded.
func (r *reader) wrap(what string) error {
	if r.err == nil {
		return nil
	}
	return fmt.Errorf("decode %s: %w", what, r.err)
}
