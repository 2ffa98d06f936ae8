package schedule

import (
	"cmp"
	"slices"
	"time"
)

// MaxCrashes is the number of crashes at which a request body is refused where a suspect can run alone on a server.
const MaxCrashes = 2

// Verdict says how a request body may run.
type Verdict int

// Verdicts.
const (
	VerdictRun    Verdict = iota // The body has crashed nothing.
	VerdictAlone                 // The body was running at one crash: its next try runs with no other call beside it.
	VerdictRefuse                // The body was running at as many crashes as the ledger refuses at.
)

// CrashRecord lists the crashes during which a request body was running.
type CrashRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     []string  `json:"crashes"`           // Identities of distinct crashes, sorted, at most as many as the ledger refuses at.
	Cleared     []string  `json:"cleared,omitempty"` // Crashes that a later lone run has shown not to be the body's, sorted, at most maxCleared.
	Last        time.Time `json:"last"`              // Time of the latest crash.
}

// maxCleared bounds the cleared crashes that a record keeps.
const maxCleared = 64

// SuspectLedger counts crashes per fingerprint. It keeps the records with the latest crashes up to a bound.
//
// Merge takes the union of the crash identities and the later time, so that merging is commutative and idempotent, and
// ledgers can be exchanged in any order and any number of times.
type SuspectLedger struct {
	max     int
	crashes int // Crashes at which a body is refused.
	records map[string]CrashRecord
}

// NewSuspectLedger returns an empty ledger for at most maximum fingerprints, which refuses a body at the number of crashes.
func NewSuspectLedger(maximum, crashes int) *SuspectLedger {
	return &SuspectLedger{max: maximum, crashes: crashes, records: make(map[string]CrashRecord)}
}

// Crash records that the body was running when a backend server died. The crash identity names the server and its
// death, so that two reports of one crash count once.
func (l *SuspectLedger) Crash(fingerprint, crash string, at time.Time) {
	l.join(CrashRecord{Fingerprint: fingerprint, Crashes: []string{crash}, Last: at})
	l.evict()
}

// Verdict returns how a request body may run.
func (l *SuspectLedger) Verdict(fingerprint string) Verdict {
	switch crashes := len(l.records[fingerprint].Crashes); {
	case crashes >= l.crashes:
		return VerdictRefuse
	case crashes > 0:
		return VerdictAlone
	default:
		return VerdictRun
	}
}

// Clear takes the crashes so far off the body: it has run alone and the backend server lives.
func (l *SuspectLedger) Clear(fingerprint string) {
	have, ok := l.records[fingerprint]
	if ok {
		l.join(CrashRecord{Fingerprint: fingerprint, Cleared: have.Crashes, Last: have.Last})
	}
}

// Merge joins the records of another ledger.
func (l *SuspectLedger) Merge(records []CrashRecord) {
	for _, r := range records {
		l.join(r)
	}
	l.evict()
}

// Records returns all records, the latest crash first.
func (l *SuspectLedger) Records() []CrashRecord {
	all := l.Select(func(string) bool { return true })
	slices.SortFunc(all, compareRecords)
	return all
}

// Select returns the records of some bodies, in any order.
func (l *SuspectLedger) Select(has func(fingerprint string) bool) []CrashRecord {
	var out []CrashRecord
	for fingerprint, r := range l.records {
		if has(fingerprint) {
			r.Crashes = slices.Clone(r.Crashes)
			r.Cleared = slices.Clone(r.Cleared)
			out = append(out, r)
		}
	}
	return out
}

// Expire forgets the bodies whose latest crash was before the time: a wrong verdict must end.
func (l *SuspectLedger) Expire(before time.Time) {
	for fingerprint, r := range l.records {
		if r.Last.Before(before) {
			delete(l.records, fingerprint)
		}
	}
}

// Len returns the number of fingerprints.
func (l *SuspectLedger) Len() int { return len(l.records) }

func (l *SuspectLedger) join(r CrashRecord) {
	have := l.records[r.Fingerprint]
	cleared := union(have.Cleared, r.Cleared)
	cleared = cleared[:min(len(cleared), maxCleared)]
	crashes := slices.DeleteFunc(union(have.Crashes, r.Crashes), func(id string) bool { return slices.Contains(cleared, id) })
	crashes = crashes[:min(len(crashes), l.crashes)]
	if r.Last.Before(have.Last) {
		r.Last = have.Last
	}
	l.records[r.Fingerprint] = CrashRecord{Fingerprint: r.Fingerprint, Crashes: crashes, Cleared: cleared, Last: r.Last}
}

// union returns the identities of both, sorted.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// evict forgets the records with the oldest crashes beyond the bound.
func (l *SuspectLedger) evict() {
	if len(l.records) <= l.max {
		return
	}
	for _, r := range l.Records()[l.max:] {
		delete(l.records, r.Fingerprint)
	}
}

// compareRecords puts the latest crash first and breaks ties by fingerprint.
func compareRecords(a, b CrashRecord) int {
	if c := b.Last.Compare(a.Last); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}
