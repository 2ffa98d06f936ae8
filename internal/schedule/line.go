package schedule

import (
	"cmp"
	"container/heap"
	"time"
)

// Standing says what a call has going for it when engines are full; lower values go first.
type Standing int

// Standings. A program that has begun holds cached prompts and has spent engine time that is lost if it fails, so it goes
// before a new one. A program whose time is over gains least from going first.
const (
	StandingStarted Standing = iota // A later call of a program that can still finish in time.
	StandingNew                     // The first call of a program.
	StandingLate                    // A call of a program whose time is over.
)

// Claim is a call's claim to a place at an engine.
type Claim struct {
	Standing Standing
	Priority int       // Operators' priority of the route; 0 is the highest.
	Since    time.Time // When the call arrived.
}

// compare orders claims: the one that goes first is lower.
func (c Claim) compare(d Claim) int {
	return cmp.Or(cmp.Compare(c.Standing, d.Standing), cmp.Compare(c.Priority, d.Priority), c.Since.Compare(d.Since))
}

// Line holds the calls that wait for room at an engine, each with a value of the caller's, in the order of their claims.
// It answers the loads beyond the engines' slots: bursts, and the return of all callers after an outage. In an engine's own
// queue the order is fixed when a call is sent: programs that can no longer finish run before those that still can. Levels
// of urgency do not mend that, as a more urgent call preempts one that runs, whose prompt is read again. It is not safe for
// concurrent use.
type Line[T any] struct{ heap lineHeap[T] }

// Waiting is one call in a Line.
type Waiting[T any] struct {
	Claim Claim
	Value T
	index int // In the heap; notInLine after its removal.
}

const notInLine = -1

// Push adds a call.
func (l *Line[T]) Push(c Claim, value T) *Waiting[T] {
	w := &Waiting[T]{Claim: c, Value: value}
	heap.Push(&l.heap, w)
	return w
}

// First returns the call that goes next, or nil.
func (l *Line[T]) First() *Waiting[T] {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0]
}

// Ahead returns how many waiting calls go before one with the claim.
func (l *Line[T]) Ahead(c Claim) int {
	n := 0
	for _, w := range l.heap {
		if w.Claim.compare(c) <= 0 {
			n++
		}
	}
	return n
}

// Remove takes a call out and reports whether it was in the line.
func (l *Line[T]) Remove(w *Waiting[T]) bool {
	if w.index == notInLine {
		return false
	}
	heap.Remove(&l.heap, w.index)
	return true
}

// Len returns the number of waiting calls.
func (l *Line[T]) Len() int { return len(l.heap) }

// lineHeap implements heap.Interface.
type lineHeap[T any] []*Waiting[T]

func (h lineHeap[T]) Len() int           { return len(h) }
func (h lineHeap[T]) Less(i, j int) bool { return h[i].Claim.compare(h[j].Claim) < 0 }

func (h lineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *lineHeap[T]) Push(x any) {
	w := x.(*Waiting[T])
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *lineHeap[T]) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = notInLine
	return w
}
