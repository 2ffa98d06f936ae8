package schedule

import "time"

// PrefixUse counts how many calls a second share a prefix of their prompts. It is not safe for concurrent use.
//
// It answers a load in which much of the traffic concerns one object or class, whose calls begin with the same long prompt. By the
// cost of a cache miss alone, such calls wait at the engine that has the prompt cached while others have free slots. The prompt is
// prefilled only once at another engine, and then serves all further calls there.
type PrefixUse struct {
	maxPrefixes       int // Prefixes counted in one period; further ones do not count as shared.
	current, previous map[uint64]int
	since             time.Time // Start of the current period.
}

// usePeriod is the length of a period.
const usePeriod = time.Second

// NewPrefixUse returns a PrefixUse without any calls.
func NewPrefixUse(maxPrefixes int) *PrefixUse { return &PrefixUse{maxPrefixes: maxPrefixes} }

// Record counts a call whose prompt begins with the prefix.
func (u *PrefixUse) Record(now time.Time, digest uint64) {
	u.advance(now)
	if _, known := u.current[digest]; known || len(u.current) < u.maxPrefixes {
		u.current[digest]++
	}
}

// Rate returns how many calls of the last second began with the prefix, assuming an even distribution over the previous period.
func (u *PrefixUse) Rate(now time.Time, digest uint64) float64 {
	u.advance(now)
	left := 1 - float64(now.Sub(u.since))/float64(usePeriod)
	return float64(u.current[digest]) + left*float64(u.previous[digest])
}

// advance starts a new period if the current one is over.
func (u *PrefixUse) advance(now time.Time) {
	elapsed := now.Sub(u.since)
	if elapsed < usePeriod {
		return
	}
	u.previous = u.current
	u.since = u.since.Add(usePeriod)
	if elapsed >= 2*usePeriod {
		u.previous = nil
		u.since = now
	}
	u.current = make(map[uint64]int)
}
