package schedule

import (
	"cmp"
	"slices"
	"time"
)

// MaxCrashes is the number of crashes at which a request body is refused, in deployments where a suspect can run alone on a
// server.
const MaxCrashes = 2

// RunMode determines how a request body may run, depending on the crashes that it is suspected of.
type RunMode int

// Run modes.
const (
	RunModeNormal  RunMode = iota // The body is not suspected of any crash.
	RunModeAlone                  // The body was running during a crash: its next attempt must run without concurrent calls.
	RunModeRefused                // The body was running during at least as many crashes as the ledger's limit.
)

// CrashRecord lists the crashes during which a request body was running.
type CrashRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     []string  `json:"crashes"`           // Ids of distinct crashes; sorted, at most as many as the ledger's limit.
	Cleared     []string  `json:"cleared,omitempty"` // Crashes of which a later run alone cleared the body; sorted, at most maxCleared.
	Last        time.Time `json:"last"`              // Time of the latest crash.
}

// maxCleared bounds the number of cleared crashes in a record.
const maxCleared = 64

// SuspectLedger counts the crashes during which each request body, identified by its fingerprint, was running. It holds a
// bounded number of records: those with the most crashes, and of these the ones with the most recent crashes.
//
// Merge takes the union of the crash ids and the later of the two times. Merging is therefore commutative and idempotent,
// and ledgers can be exchanged in any order and any number of times.
type SuspectLedger struct {
	maxRecords int
	refuseAt   int // Number of crashes at which a body is refused.
	records    map[string]CrashRecord
}

// NewSuspectLedger returns an empty ledger for at most maximum fingerprints, which refuses a body at the given number of
// crashes.
func NewSuspectLedger(maximum, crashes int) *SuspectLedger {
	return &SuspectLedger{maxRecords: maximum, refuseAt: crashes, records: make(map[string]CrashRecord)}
}

// Crash records that the body was running when a backend server crashed. The crash id identifies the server and the
// occurrence, so that two reports of the same crash count once.
func (l *SuspectLedger) Crash(fingerprint, crash string, at time.Time) {
	l.mergeRecord(CrashRecord{Fingerprint: fingerprint, Crashes: []string{crash}, Last: at})
	l.evict()
}

// Mode returns how a request body may run.
func (l *SuspectLedger) Mode(fingerprint string) RunMode {
	switch crashes := l.Crashes(fingerprint); {
	case crashes >= l.refuseAt:
		return RunModeRefused
	case crashes > 0:
		return RunModeAlone
	default:
		return RunModeNormal
	}
}

// Crashes returns the number of crashes during which the body was running, at most as many as refuse it.
func (l *SuspectLedger) Crashes(fingerprint string) int { return len(l.records[fingerprint].Crashes) }

// Clear clears the body of its crashes so far, because it has run alone and the backend server did not crash.
func (l *SuspectLedger) Clear(fingerprint string) {
	existing, ok := l.records[fingerprint]
	if ok {
		l.mergeRecord(CrashRecord{Fingerprint: fingerprint, Cleared: existing.Crashes, Last: existing.Last})
	}
}

// Merge merges the records of another ledger.
func (l *SuspectLedger) Merge(records []CrashRecord) {
	for _, r := range records {
		l.mergeRecord(r)
	}
	l.evict()
}

// Records returns all records, the most recent crash first.
func (l *SuspectLedger) Records() []CrashRecord {
	all := l.Select(func(string) bool { return true })
	slices.SortFunc(all, compareRecords)
	return all
}

// Select returns the records of the fingerprints that include accepts, in any order.
func (l *SuspectLedger) Select(include func(fingerprint string) bool) []CrashRecord {
	var out []CrashRecord
	for fingerprint, r := range l.records {
		if include(fingerprint) {
			r.Crashes = slices.Clone(r.Crashes)
			r.Cleared = slices.Clone(r.Cleared)
			out = append(out, r)
		}
	}
	return out
}

// Expire removes the records whose latest crash was before the given time, so that wrong suspicions end.
func (l *SuspectLedger) Expire(before time.Time) {
	for fingerprint, r := range l.records {
		if r.Last.Before(before) {
			delete(l.records, fingerprint)
		}
	}
}

// Len returns the number of fingerprints.
func (l *SuspectLedger) Len() int { return len(l.records) }

// mergeRecord merges one record. Cleared crashes are not counted.
func (l *SuspectLedger) mergeRecord(r CrashRecord) {
	existing := l.records[r.Fingerprint]
	cleared := union(existing.Cleared, r.Cleared)
	cleared = cleared[:min(len(cleared), maxCleared)]
	crashes := slices.DeleteFunc(union(existing.Crashes, r.Crashes), func(id string) bool { return slices.Contains(cleared, id) })
	crashes = crashes[:min(len(crashes), l.refuseAt)]
	if r.Last.Before(existing.Last) {
		r.Last = existing.Last
	}
	l.records[r.Fingerprint] = CrashRecord{Fingerprint: r.Fingerprint, Crashes: crashes, Cleared: cleared, Last: r.Last}
}

// union returns the elements of a and b, sorted and without duplicates.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// evict removes the records with the fewest crashes, of these the ones with the oldest crashes, if there are more than the ledger may
// hold. A server that ends under many calls gives each of them one crash, and must not make the ledger forget those that it refuses.
func (l *SuspectLedger) evict() {
	if len(l.records) <= l.maxRecords {
		return
	}
	all := l.Records()
	slices.SortStableFunc(all, func(a, b CrashRecord) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	for _, r := range all[l.maxRecords:] {
		delete(l.records, r.Fingerprint)
	}
}

// compareRecords orders records by the time of the latest crash, most recent first, then by fingerprint.
func compareRecords(a, b CrashRecord) int {
	if c := b.Last.Compare(a.Last); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}
