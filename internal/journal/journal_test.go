package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// A new owner must recover every acknowledged record with few reads. The former owner must learn from its next write
// that it has been replaced.
func TestSuccessorRecoversWhatWasAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		first, state := mustOpen(t, kv, "a", 64)
		for i := range 25 {
			is.NoErr(appendTo(t.Context(), first, state, fmt.Sprint("record-", i)))
		}
		is.NoErr(first.Verify(t.Context()))
		head, err := Head(t.Context(), kv, 1, 64)
		is.NoErr(err)
		is.Equal(head, HeadInfo{Exists: true, Slot: 26, Fence: 1, Owner: first.options.Owner})

		before := kv.reads
		second, recovered := mustOpen(t, kv, "b", 64)
		is.Equal(kv.reads-before, 3) // The ring's keys, its newest slot, the whole ring.
		is.Equal(recovered.list(), state.list())
		is.Equal(second.Fence().Number, uint64(27))
		is.Equal(second.committer.sizes.unknownCount, 0)
		is.True(errors.Is(first.Verify(t.Context()), ErrDeposed))

		err = first.Append(t.Context(), []byte("late"))
		var deposed *DeposedError
		is.True(errors.As(err, &deposed))
		is.Equal(deposed.NewOwner.Entry, "b")
		is.True(deposed.NotCommitted)
		<-first.Deposed()

		is.NoErr(second.Close(t.Context()))
		head, err = Head(t.Context(), kv, 1, 64)
		is.NoErr(err)
		is.True(head.Closed)
		crash(first)
	})
}

// While the ring wraps, snapshots must contain every overwritten slot and only chunks may be deleted. Recovery must read no
// more than the ring, the current snapshot and the list of chunks.
func TestRingWrapsBehindSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		j, state := mustOpen(t, kv, "a", 16)
		for i := range 500 {
			is.NoErr(appendTo(t.Context(), j, state, fmt.Sprint("record-", i)))
		}
		is.NoErr(j.Close(t.Context()))
		is.Equal(len(state.list()), 500)
		last, err := j.ring.readKeyOf(t.Context(), j.committer.snapshot)
		is.NoErr(err)
		var m manifest
		is.NoErr(json.Unmarshal(last.records[0], &m))
		listed := len(m.Chunks)
		slices.Sort(m.Chunks)
		is.Equal(len(slices.Compact(m.Chunks)), listed) // A chunk that is retained twice is listed once.
		is.Equal(kv.count("journal/1/"), 16+kv.count("journal/1/chunk/"))
		is.True(kv.count("journal/1/chunk/") < 40) // 25 pages, two heads and chunks not deleted before Close.
		for _, key := range kv.deleted {
			is.True(strings.HasPrefix(key, "journal/1/chunk/"))
		}

		before := kv.reads
		next, recovered := mustOpen(t, kv, "b", 16)
		is.Equal(recovered.list(), state.list())
		is.True(kv.reads-before <= 2+16+2+25+1) // Ring view, slots, head chunks, pages, orphan listing.
		is.NoErr(next.Close(t.Context()))
	})
}

// Records that are appended while a write is in progress must share the next write.
func TestRecordsShareWritesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: 3 * time.Millisecond})
		j, _ := mustOpen(t, kv, "a", 64)
		before, committed := kv.writes, 0
		for range 1000 {
			j.AppendAsync([]byte(strings.Repeat("x", 100)), func(err error) {
				is.NoErr(err)
				committed++
			})
		}
		is.NoErr(j.Close(t.Context()))
		is.Equal(committed, 1000)
		is.True(kv.writes-before <= 4) // First record, one or two writes for the rest, closed record.
	})
}

// A record that is rejected or withdrawn during an outage of the key-value service must not be in the journal afterwards.
func TestOutageRefusesAsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		j, state := mustOpen(t, kv, "a", 64)
		kv.setDown(true)
		err := appendTo(t.Context(), j, state, "refused")
		is.True(errors.Is(err, ErrUnavailable))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err = appendTo(ctx, j, state, "withdrawn")
		is.True(errors.Is(err, ErrUnavailable) || errors.Is(err, ErrPending))
		time.Sleep(10 * time.Second)
		kv.setDown(false)
		is.NoErr(appendTo(t.Context(), j, state, "kept"))
		crash(j)
		next, recovered := mustOpen(t, kv, "b", 64)
		is.Equal(recovered.list(), []string{"kept"})
		crash(next)
	})
}

// A record whose write took effect without an answer must be in the journal exactly once: the retried write finds its own
// slot at the key.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		j, state := mustOpen(t, kv, "a", 64)
		kv.setFaults(faults{loseAnswer: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		is.True(errors.Is(appendTo(ctx, j, state, "once"), ErrPending))
		kv.setFaults(faults{})
		is.NoErr(appendTo(t.Context(), j, state, "twice"))
		is.Equal(state.list(), []string{"once", "twice"})
		crash(j)
		next, recovered := mustOpen(t, kv, "b", 64)
		is.Equal(recovered.list(), []string{"once", "twice"})
		crash(next)
	})
}

// Owners that end before they write a snapshot fill the ring with their open records. A slot that no snapshot contains must
// be carried over to a chunk before an open record overwrites it.
func TestOpenRecordsNeverDisplaceUncoveredSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		var want []string
		for i := range 30 { // More owners than slots; none of them writes a snapshot.
			state := &listState{failing: true}
			j, err := openList(t.Context(), kv, fmt.Sprint("entry-", i), 8, nil, state)
			is.NoErr(err)
			is.Equal(state.list(), want)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			if record := fmt.Sprint("record-", i); appendTo(ctx, j, state, record) == nil {
				want = append(want, record)
			}
			cancel()
			crash(j)
		}
		is.True(len(want) > 0)
		j, state := mustOpen(t, kv, "last", 8)
		is.Equal(state.list(), want)
		for i := range 20 {
			is.NoErr(appendTo(t.Context(), j, state, fmt.Sprint("more-", i)))
		}
		is.NoErr(j.Close(t.Context()))
		next, recovered := mustOpen(t, kv, "next", 8)
		is.Equal(recovered.list(), state.list())
		is.Equal(len(next.committer.carried), 0)
		crash(next)
	})
}

// A record that fits into a slot only after compression must be accepted. One above maxRecordBytes must be
// rejected.
func TestRecordsThatNeverFitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j, _ := mustOpen(t, newFaultKV(t, 1, faults{}), "a", 64)
		is.NoErr(j.Append(t.Context(), make([]byte, 4*ports.MaxValueBytes))) // Fits after compression.
		err := j.Append(t.Context(), make([]byte, maxRecordBytes+1))
		is.True(errors.Is(err, ErrTooLarge))
		crash(j)
		is.True(errors.Is(j.Append(t.Context(), nil), ErrUnavailable))
	})
}

// A new owner must delete the unreferenced chunks of earlier owners and keep those that may belong to a successor.
func TestOrphanChunksOfFormerOwnersAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		j, state := mustOpen(t, kv, "a", 8)
		for i := range 50 {
			is.NoErr(appendTo(t.Context(), j, state, fmt.Sprint("record-", i)))
		}
		crash(j)
		j, _ = mustOpen(t, kv, "b", 8)
		time.Sleep(time.Second)
		chunkCount := kv.count("journal/1/chunk/")
		crash(j)
		orphan, successors := j.ring.chunkKey(newChunkID(j.fence, "ff")), j.ring.chunkKey(newChunkID(j.fence+9, "1"))
		is.NoErr(kv.Put(t.Context(), orphan, nil, 0))
		is.NoErr(kv.Put(t.Context(), successors, nil, 0))
		j, recovered := mustOpen(t, kv, "c", 8)
		time.Sleep(time.Second)
		crash(j)
		is.Equal(kv.count("journal/1/chunk/"), chunkCount+1) // The chunk with a later fencing number is kept.
		is.Equal(kv.count(orphan), 0)
		is.Equal(recovered.list(), state.list())
	})
}

// An owner that was paused while another one took the journal must fail its next write instead of overwriting the new
// owner's slots, even after the ring has wrapped past the slot that it writes.
func TestPausedOwnerStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: time.Millisecond})
		client := kv.newClient()
		state := &listState{}
		paused, err := openList(t.Context(), client, "paused", 8, nil, state)
		is.NoErr(err)
		is.NoErr(appendTo(t.Context(), paused, state, "before"))

		client.pause()
		outcome := make(chan error, 1)
		paused.AppendAsync([]byte("frozen"), func(err error) { outcome <- err })
		synctest.Wait()
		next, recovered := mustOpen(t, kv, "next", 8)
		is.Equal(recovered.list(), []string{"before"})
		for i := range 50 { // Wraps the ring several times.
			is.NoErr(appendTo(t.Context(), next, recovered, fmt.Sprint("record-", i)))
		}
		client.resume()
		err = <-outcome
		var deposed *DeposedError
		is.True(errors.As(err, &deposed))
		is.Equal(deposed.NewOwner.Entry, "next")
		is.True(!deposed.NotCommitted) // The ring has wrapped past the slot, so this cannot be proved.
		<-paused.Deposed()
		is.NoErr(next.Verify(t.Context()))
		is.True(errors.Is(paused.Close(t.Context()), ErrDeposed))
		is.NoErr(next.Close(t.Context()))
	})
}

// A key-value service that answers later than the write timeout must delay commits but not prevent them.
func TestSlowServiceDelaysCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := newFaultKV(t, 1, faults{delay: 3 * DefaultWriteTimeout})
		j, state := mustOpen(t, kv, "a", 64)
		before := kv.writes
		for i := range 20 {
			is.NoErr(appendTo(t.Context(), j, state, fmt.Sprint("record-", i)))
		}
		is.True(kv.writes-before <= 20+2) // Only the first write is retried; its timeout is then long enough.
		is.NoErr(j.Close(t.Context()))
		next, recovered := mustOpen(t, kv, "b", 64)
		is.Equal(recovered.list(), state.list())
		is.NoErr(next.Close(t.Context()))
	})
}
