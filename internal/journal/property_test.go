package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Parameters of a schedule.
const (
	minSteps      = 30
	maxSteps      = 90
	appendSpacing = 4 * time.Millisecond // Rarely shorter than a write, so that most records get their own slot.
)

// step is one action at an entry, or on the key-value service, in a schedule.
type step struct {
	kind  string        // One of the kinds in runStep.
	entry int           // Index of the entry.
	count int           // Records to append.
	wait  time.Duration // Before the next step.
}

func drawStep(t *rapid.T) step {
	kinds := []string{
		"append", "append", "append", "append", "append", "append",
		"take", "take", "pause", "resume", "resume", "crash", "close", "down", "up", "up", "cut", "join", "join",
	}
	return step{
		kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		entry: rapid.IntRange(0, 2).Draw(t, "entry"),
		count: rapid.IntRange(1, 30).Draw(t, "count"),
		wait:  time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond,
	}
}

// appendResult is the outcome reported for one record. Times are readings of a logical clock that counts events.
type appendResult struct {
	appended, acked int
	fence           uint64
	refused         bool // Reported as not committed.
}

// scheduleRun runs a schedule and records the observations.
type scheduleRun struct {
	t       *rapid.T
	kv      *faultKV
	ring    int // Number of slots.
	clients [3]*faultKV
	pacers  [3]*Pacer // Of each entry: none, a fast and a slow one.
	tasks   sync.WaitGroup

	mu       sync.Mutex
	clock    int
	owned    [3]*Journal
	states   [3]*listState
	results  map[string]*appendResult
	fences   map[uint64]int // Entry by fencing number.
	failures []string
	openErr  error // Error of the last call of Open that failed.
}

// runStep runs one step and waits for the time that the step states.
func (r *scheduleRun) runStep(s step) {
	switch s.kind {
	case "append":
		for range s.count {
			r.append(s.entry)
			time.Sleep(appendSpacing)
		}
	case "take":
		r.tasks.Go(func() { r.open(s.entry) })
	case "pause":
		r.clients[s.entry].pause()
	case "resume":
		r.clients[s.entry].resume()
	case "crash", "close":
		r.release(s.entry, s.kind == "crash")
	case "down", "up":
		r.kv.setDown(s.kind == "down")
	case "cut", "join": // Separates the entry from the key-value service, or reconnects it.
		r.clients[s.entry].partitioned.Store(s.kind == "cut")
	}
	time.Sleep(s.wait)
}

// append appends a record at the entry, or at another one if this entry does not know that it owns the journal.
func (r *scheduleRun) append(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 0; r.ownsNone(entry); i++ {
		if i == len(r.owned) {
			return
		}
		entry = i
	}
	j, state := r.owned[entry], r.states[entry]
	r.clock++
	record := fmt.Sprint("record-", len(r.results))
	result := &appendResult{appended: r.clock, fence: j.fence}
	r.results[record] = result
	j.AppendAsync([]byte(record), func(err error) { r.noteResult(result, state, record, err) })
}

// ownsNone reports whether the entry does not own the journal as far as it knows. The caller must hold mu.
func (r *scheduleRun) ownsNone(entry int) bool {
	j := r.owned[entry]
	if j == nil {
		return true
	}
	select {
	case <-j.Deposed():
		return true
	default:
		return false
	}
}

// noteResult records the outcome of a record and adds a committed one to the state of its owner.
func (r *scheduleRun) noteResult(result *appendResult, state *listState, record string, err error) {
	var deposed *DeposedError
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		state.add(record)
		r.clock++
		result.acked = r.clock
	case errors.Is(err, ErrUnavailable), errors.As(err, &deposed) && deposed.NotCommitted:
		result.refused = true
	}
}

// open lets the entry open the journal, stopping an ownership that it has, and checks the recovered state.
func (r *scheduleRun) open(entry int) {
	r.release(entry, true)
	r.mu.Lock()
	var before []string
	for record, result := range r.results {
		if result.acked > 0 {
			before = append(before, record)
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	state := &listState{}
	j, err := openList(ctx, r.clients[entry], fmt.Sprint("entry-", entry), r.ring, r.pacers[entry], state)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.openErr = err
		if errors.Is(err, ErrCorrupt) {
			r.failures = append(r.failures, err.Error())
		}
		return
	}
	if other, ok := r.fences[j.fence]; ok {
		r.failures = append(r.failures, fmt.Sprintf("entries %d and %d share fencing number %d", other, entry, j.fence))
	}
	r.fences[j.fence] = entry
	r.check(state.list(), before)
	if r.owned[entry] != nil {
		r.tasks.Go(func() { crash(j) }) // A concurrent open at this entry was faster.
		return
	}
	r.owned[entry], r.states[entry] = j, state
}

// release ends the entry's ownership, either as by a crash or by closing the journal.
func (r *scheduleRun) release(entry int, crashes bool) {
	r.mu.Lock()
	j := r.owned[entry]
	r.owned[entry] = nil
	r.mu.Unlock()
	if j == nil {
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if crashes {
			cancel()
		}
		_ = j.Close(ctx)
	})
}

// check compares a recovered state with the reported outcomes. The state must contain every record of acked. The caller
// must hold mu.
func (r *scheduleRun) check(recovered, acked []string) {
	seen := make(map[string]bool)
	lastAppended, lastFence := 0, uint64(0)
	for _, record := range recovered {
		result := r.results[record]
		switch {
		case result.refused:
			r.failures = append(r.failures, record+" was reported as not committed but was recovered")
		case seen[record]:
			r.failures = append(r.failures, record+" was recovered twice")
		case result.fence < lastFence:
			r.failures = append(r.failures, record+" of an earlier owner follows a record of a later owner")
		case result.acked > 0 && result.acked < lastAppended:
			r.failures = append(r.failures, record+" follows a record that was appended after its acknowledgement")
		}
		seen[record] = true
		lastAppended, lastFence = max(lastAppended, result.appended), max(lastFence, result.fence)
	}
	for _, record := range acked {
		if !seen[record] {
			r.failures = append(r.failures, record+" was acknowledged but is lost")
		}
	}
}

// TestJournalKeepsWhatItAcknowledged runs random schedules of owners, pauses, crashes, outages, lost answers and late
// writes on a small ring. Every recovery must contain the acknowledged records and none that was reported as not
// committed, without duplicates and in an order consistent with the acknowledgements.
func TestJournalKeepsWhatItAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, checkSchedule) })
}

func checkSchedule(t *rapid.T) {
	probability := rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3})
	kv := newFaultKV(t, rapid.Uint64().Draw(t, "seed"), faults{
		lateEffect:  probability.Draw(t, "late"),
		loseAnswer:  probability.Draw(t, "lose"),
		dropRequest: probability.Draw(t, "drop"),
		delay:       time.Millisecond,
	})
	steps := rapid.SliceOfN(rapid.Custom(drawStep), minSteps, maxSteps).Draw(t, "steps")
	runSchedule(t, kv, steps)
}

// runSchedule runs the steps, waits until all requests and owners have ended and checks the state that a last owner
// recovers.
func runSchedule(t *rapid.T, kv *faultKV, steps []step) {
	r := &scheduleRun{t: t, kv: kv, results: make(map[string]*appendResult), fences: make(map[uint64]int)}
	r.ring = rapid.IntRange(MinRingSlots, 24).Draw(t, "ring")
	for i, writesPerSecond := range []int{0, 150, 20} {
		if writesPerSecond > 0 {
			r.pacers[i], _ = NewPacer(writesPerSecond)
		}
		r.clients[i] = kv.newClient()
	}
	r.open(0)
	for _, s := range steps {
		r.runStep(s)
	}
	kv.setDown(false)
	for i := range r.clients {
		r.clients[i].resume()
		r.clients[i].partitioned.Store(false)
	}
	time.Sleep(time.Minute)
	for i := range r.clients {
		r.release(i, false)
	}
	r.tasks.Wait()
	kv.setFaults(faults{})
	r.open(0)
	if r.owned[0] == nil {
		t.Fatalf("cannot open the journal without faults: %v", r.openErr)
	}
	r.release(0, true)
	r.tasks.Wait()
	if len(r.failures) > 0 {
		t.Fatalf("%d failures, first: %s", len(r.failures), slices.MinFunc(r.failures, compareLength))
	}
}

func compareLength(a, b string) int { return len(a) - len(b) }
