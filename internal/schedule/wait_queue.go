package schedule

import (
	"cmp"
	"container/heap"
	"time"
)

// Standing ranks a waiting call by the progress of its program. Calls with lower values are admitted first.
type Standing int

// Standings. A program that has started has cached prompts and has used engine time, which are lost if it fails, so it
// precedes a new one. A program that is past its deadline gains least from being admitted early.
const (
	StandingStarted Standing = iota // A later call of a program that can still finish in time.
	StandingNew                     // The first call of a program.
	StandingLate                    // A call of a program that is past its deadline.
)

// Precedence determines the order in which waiting calls are admitted to an engine: by standing, the organisation's priority, the
// route's priority, and arrival.
type Precedence struct {
	Standing             Standing
	Organisation         string    // Name of the caller's organisation; empty if there is none.
	OrganisationPriority int       // 0 is the highest; 0 for all calls if there are no organisations.
	Priority             int       // Priority of the route, set by the operators; 0 is the highest.
	Since                time.Time // When the call arrived.
}

// compare returns a negative number if a call with precedence p is admitted before one with precedence other.
func (p Precedence) compare(other Precedence) int {
	return cmp.Or(
		cmp.Compare(p.Standing, other.Standing), cmp.Compare(p.OrganisationPriority, other.OrganisationPriority),
		cmp.Compare(p.Priority, other.Priority), p.Since.Compare(other.Since))
}

// WaitQueue is a priority queue of the calls that wait for capacity at an engine, ordered by precedence. Each call carries
// a value of the caller's choice. It is not safe for concurrent use.
//
// It exists for loads beyond the engines' slots: bursts, and the return of all callers after an outage. In the engine's own
// queue the order is fixed when a call is sent, so programs that can no longer finish in time run before those that still
// can. The engine's urgency levels do not solve this: a more urgent call preempts a running one, whose prompt then has to
// be prefilled again.
type WaitQueue[T any] struct{ heap waitHeap[T] }

// WaitingCall is one call in a WaitQueue.
type WaitingCall[T any] struct {
	Precedence Precedence
	Value      T
	Cost       float64   // Cost at the engine, by CallCost; only of calls in a FairQueue.
	GiveUpAt   time.Time // After this time the call is not repeated; zero if that is unknown. Only of calls in a FairQueue.
	first      bool      // Ordered by its organisation's virtual time.
	index      int       // Position in the heap; notQueued after removal.
}

// notQueued is the index of a call that was removed.
const notQueued = -1

// Push adds a call and returns its handle for Remove.
func (q *WaitQueue[T]) Push(precedence Precedence, value T) *WaitingCall[T] {
	w := &WaitingCall[T]{Precedence: precedence, Value: value}
	q.push(w)
	return w
}

// push adds a call.
func (q *WaitQueue[T]) push(w *WaitingCall[T]) { heap.Push(&q.heap, w) }

// First returns the call that is admitted next, or nil if no call waits.
func (q *WaitQueue[T]) First() *WaitingCall[T] {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// Ahead returns the number of waiting calls that would be admitted before a new call with the precedence.
func (q *WaitQueue[T]) Ahead(precedence Precedence) int {
	n := 0
	for _, w := range q.heap {
		if w.Precedence.compare(precedence) <= 0 {
			n++
		}
	}
	return n
}

// Remove removes a call and reports whether it was queued.
func (q *WaitQueue[T]) Remove(w *WaitingCall[T]) bool {
	if w.index == notQueued {
		return false
	}
	heap.Remove(&q.heap, w.index)
	return true
}

// Len returns the number of waiting calls.
func (q *WaitQueue[T]) Len() int { return len(q.heap) }

// waitHeap implements heap.Interface and updates the index of its calls.
type waitHeap[T any] []*WaitingCall[T]

// Len implements heap.Interface.
func (h waitHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waitHeap[T]) Less(i, j int) bool { return h[i].Precedence.compare(h[j].Precedence) < 0 }

// Swap implements heap.Interface.
func (h waitHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap[T]) Push(x any) {
	w := x.(*WaitingCall[T])
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap[T]) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = notQueued
	return w
}
