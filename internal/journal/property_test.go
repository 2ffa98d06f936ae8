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
	kind  string
	entry int
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
	t      *rapid.T
	kv     *faultKV
	ring   int
	views  [3]*faultKV
	pacers [3]*Pacer // Of each entry: none, a fast and a slow one.
	tasks  sync.WaitGroup

	mu       sync.Mutex
	clock    int
	owned    [3]*Journal
	states   [3]*listState
	results  map[string]*appendResult
	fences   map[uint64]int // Fencing number to entry.
	failures []string
	openErr  error // Error of the last call of Open that failed.
}

// runStep runs one step and waits for the time that the step states.
func (w *scheduleRun) runStep(s step) {
	switch s.kind {
	case "append":
		for range s.count {
			w.append(s.entry)
			time.Sleep(appendSpacing)
		}
	case "take":
		w.tasks.Go(func() { w.open(s.entry) })
	case "pause":
		w.views[s.entry].pause()
	case "resume":
		w.views[s.entry].resume()
	case "crash", "close":
		w.release(s.entry, s.kind == "crash")
	case "down", "up":
		w.kv.setDown(s.kind == "down")
	case "cut", "join":
		w.views[s.entry].partitioned.Store(s.kind == "cut")
	}
	time.Sleep(s.wait)
}

// append appends a record at the entry, or at another one if this entry does not know that it owns the journal.
func (w *scheduleRun) append(entry int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 0; w.ownsNone(entry); i++ {
		if i == len(w.owned) {
			return
		}
		entry = i
	}
	j, state := w.owned[entry], w.states[entry]
	w.clock++
	record := fmt.Sprint("record-", len(w.results))
	f := &appendResult{appended: w.clock, fence: j.fence}
	w.results[record] = f
	j.AppendAsync([]byte(record), func(err error) { w.noteResult(f, state, record, err) })
}

// ownsNone reports whether the entry does not own the journal as far as it knows. The caller must hold mu.
func (w *scheduleRun) ownsNone(entry int) bool {
	j := w.owned[entry]
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
func (w *scheduleRun) noteResult(f *appendResult, state *listState, record string, err error) {
	var deposed *DeposedError
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		state.add(record)
		w.clock++
		f.acked = w.clock
	case errors.Is(err, ErrUnavailable), errors.As(err, &deposed) && deposed.NotCommitted:
		f.refused = true
	}
}

// open lets the entry open the journal, stopping an ownership that it has, and checks the recovered state.
func (w *scheduleRun) open(entry int) {
	w.release(entry, true)
	w.mu.Lock()
	var before []string
	for record, f := range w.results {
		if f.acked > 0 {
			before = append(before, record)
		}
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	state := &listState{}
	j, err := openList(ctx, w.views[entry], fmt.Sprint("entry-", entry), w.ring, w.pacers[entry], state)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.openErr = err
		if errors.Is(err, ErrCorrupt) {
			w.failures = append(w.failures, err.Error())
		}
		return
	}
	if other, ok := w.fences[j.fence]; ok {
		w.failures = append(w.failures, fmt.Sprintf("entries %d and %d share fencing number %d", other, entry, j.fence))
	}
	w.fences[j.fence] = entry
	w.check(state.list(), before)
	if w.owned[entry] != nil {
		w.tasks.Go(func() { crash(j) }) // A concurrent open at this entry was faster.
		return
	}
	w.owned[entry], w.states[entry] = j, state
}

// release ends the entry's ownership, either as by a crash or by closing the journal.
func (w *scheduleRun) release(entry int, crashes bool) {
	w.mu.Lock()
	j := w.owned[entry]
	w.owned[entry] = nil
	w.mu.Unlock()
	if j == nil {
		return
	}
	w.tasks.Go(func() {
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
func (w *scheduleRun) check(recovered, acked []string) {
	seen := make(map[string]bool)
	lastAppended, lastFence := 0, uint64(0)
	for _, record := range recovered {
		f := w.results[record]
		switch {
		case f.refused:
			w.failures = append(w.failures, record+" was reported as not committed but was recovered")
		case seen[record]:
			w.failures = append(w.failures, record+" was recovered twice")
		case f.fence < lastFence:
			w.failures = append(w.failures, record+" of an earlier owner follows a record of a later owner")
		case f.acked > 0 && f.acked < lastAppended:
			w.failures = append(w.failures, record+" follows a record that was appended after its acknowledgement")
		}
		seen[record] = true
		lastAppended, lastFence = max(lastAppended, f.appended), max(lastFence, f.fence)
	}
	for _, record := range acked {
		if !seen[record] {
			w.failures = append(w.failures, record+" was acknowledged but is lost")
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
	share := rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3})
	kv := newFaultKV(t, rapid.Uint64().Draw(t, "seed"), faults{
		lateEffect:  share.Draw(t, "late"),
		loseAnswer:  share.Draw(t, "lose"),
		dropRequest: share.Draw(t, "drop"),
		delay:       time.Millisecond,
	})
	steps := rapid.SliceOfN(rapid.Custom(drawStep), minSteps, maxSteps).Draw(t, "steps")
	runSchedule(t, kv, steps)
}

// runSchedule runs the steps, waits until all requests and owners have ended and checks the state that a last owner
// recovers.
func runSchedule(t *rapid.T, kv *faultKV, steps []step) {
	w := &scheduleRun{t: t, kv: kv, results: make(map[string]*appendResult), fences: make(map[uint64]int)}
	w.ring = rapid.IntRange(MinRingSlots, 24).Draw(t, "ring")
	for i, writesPerSecond := range []int{0, 150, 20} {
		if writesPerSecond > 0 {
			w.pacers[i], _ = NewPacer(writesPerSecond)
		}
		w.views[i] = kv.view()
	}
	w.open(0)
	for _, s := range steps {
		w.runStep(s)
	}
	kv.setDown(false)
	for i := range w.views {
		w.views[i].resume()
		w.views[i].partitioned.Store(false)
	}
	time.Sleep(time.Minute)
	for i := range w.views {
		w.release(i, false)
	}
	w.tasks.Wait()
	kv.setFaults(faults{})
	w.open(0)
	if w.owned[0] == nil {
		t.Fatalf("cannot open the journal without faults: %v", w.openErr)
	}
	w.release(0, true)
	w.tasks.Wait()
	if len(w.failures) > 0 {
		t.Fatalf("%d failures, first: %s", len(w.failures), slices.MinFunc(w.failures, compareLength))
	}
}

func compareLength(a, b string) int { return len(a) - len(b) }
