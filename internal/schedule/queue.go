package schedule

import (
	"container/heap"
	"fmt"
	"time"
)

// Item is one queued call.
type Item struct {
	CallID       string
	Root         string // Root program of the call's program.
	Priority     int    // Operators' priority; higher runs first.
	Attained     uint64 // Tokens that the root program has used.
	PromptTokens int
	Enqueued     time.Time
}

// Names of queue policies.
const (
	QueueLeastAttained = "least-attained"
	QueueFIFO          = "fifo"
	QueuePriority      = "priority"
)

// QueueSettings tune a Queue.
type QueueSettings struct {
	Policy    string
	MaxItems  int
	AgeRate   float64       // Attained tokens that one second of waiting makes up for.
	MaxAge    time.Duration // Most that attained tokens count for, as a time of waiting.
	Promotion time.Duration // Waiting time that makes up for one step of priority.
}

// DefaultQueueSettings returns the settings in force when the operators give none.
func DefaultQueueSettings() QueueSettings {
	return QueueSettings{
		Policy:    QueueLeastAttained,
		MaxItems:  512,
		AgeRate:   20000,
		MaxAge:    30 * time.Second,
		Promotion: time.Minute,
	}
}

// Queue is a bounded priority queue of calls. Push, Pop and Remove take O(log n).
//
// Every item has a rank that is fixed when it enters: the time of entry, plus the wait that its program's attained
// service is worth, minus the wait that its priority is worth. The lowest rank runs first, so an item is overtaken only
// by items that enter within a bounded time after it.
type Queue struct {
	settings QueueSettings
	rank     func(Item) time.Duration
	order    itemHeap // Next to run first.
	shed     itemHeap // Next to refuse first. Holds the same items as order.
	byCall   map[string]*queued
	levels   levels
	epoch    time.Time // Enqueue time of the first item; ranks count from it.
	pushes   uint64
}

// queued is an item with its place in both heaps.
type queued struct {
	item     Item
	rank     time.Duration
	sequence uint64 // Breaks ties in order of entry.
	at       [2]int // Position in order and in shed.
}

// NewQueue returns an empty queue with the policy named in the settings.
func NewQueue(settings QueueSettings) (*Queue, error) {
	q := &Queue{settings: settings, byCall: make(map[string]*queued)}
	switch settings.Policy {
	case QueueLeastAttained:
		q.rank = q.rankLeastAttained
	case QueueFIFO:
		q.rank = q.rankEntry
	case QueuePriority:
		q.rank = q.rankPriority
	default:
		return nil, fmt.Errorf("queue policy %q does not exist", settings.Policy)
	}
	q.order = itemHeap{side: 0, less: runsBefore}
	q.shed = itemHeap{side: 1, less: shedBefore}
	if settings.Policy == QueueFIFO {
		q.shed.less = entersAfter
	}
	return q, nil
}

// Push adds an item. When the queue is full, one item is refused: the pushed one or the one that it displaces. The
// refused item has not run. A call that is already queued stays where it is.
func (q *Queue) Push(item Item) (refused Item, full bool) {
	if _, exists := q.byCall[item.CallID]; exists {
		return Item{}, false
	}
	if len(q.byCall) == 0 {
		q.epoch = item.Enqueued
	}
	q.pushes++
	entry := &queued{item: item, rank: q.rank(item), sequence: q.pushes}
	if q.settings.MaxItems <= 0 || len(q.byCall) < q.settings.MaxItems {
		q.insert(entry)
		return Item{}, false
	}
	worst := q.shed.items[0]
	if q.shed.less(entry, worst) {
		return item, true
	}
	q.delete(worst)
	q.insert(entry)
	return worst.item, true
}

// Pop removes and returns the item that runs next.
func (q *Queue) Pop() (Item, bool) {
	if len(q.order.items) == 0 {
		return Item{}, false
	}
	next := q.order.items[0]
	q.delete(next)
	return next.item, true
}

// Peek returns the item that runs next without removing it.
func (q *Queue) Peek() (Item, bool) {
	if len(q.order.items) == 0 {
		return Item{}, false
	}
	return q.order.items[0].item, true
}

// Remove takes a call out, for a caller that cancels it.
func (q *Queue) Remove(callID string) (Item, bool) {
	entry, ok := q.byCall[callID]
	if !ok {
		return Item{}, false
	}
	q.delete(entry)
	return entry.item, true
}

// Len returns the number of queued calls.
func (q *Queue) Len() int { return len(q.byCall) }

// Tokens returns the prompt tokens of all queued calls.
func (q *Queue) Tokens() int { return q.levels.atLeast(minPriority).tokens }

func (q *Queue) insert(entry *queued) {
	q.byCall[entry.item.CallID] = entry
	heap.Push(&q.order, entry)
	heap.Push(&q.shed, entry)
	q.levels.add(entry.item.Priority, 1, entry.item.PromptTokens)
}

func (q *Queue) delete(entry *queued) {
	delete(q.byCall, entry.item.CallID)
	heap.Remove(&q.order, entry.at[q.order.side])
	heap.Remove(&q.shed, entry.at[q.shed.side])
	q.levels.add(entry.item.Priority, -1, -entry.item.PromptTokens)
}

// rankEntry ranks by time of entry.
func (q *Queue) rankEntry(item Item) time.Duration { return item.Enqueued.Sub(q.epoch) }

// rankPriority ranks by priority, then by time of entry.
func (q *Queue) rankPriority(item Item) time.Duration {
	return q.rankEntry(item) - time.Duration(item.Priority)*q.settings.Promotion
}

// rankLeastAttained ranks by priority, then by attained service with ageing.
func (q *Queue) rankLeastAttained(item Item) time.Duration {
	attained := seconds(float64(item.Attained) / q.settings.AgeRate)
	return q.rankPriority(item) + min(attained, q.settings.MaxAge)
}

// runsBefore orders by rank, then by entry.
func runsBefore(a, b *queued) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// shedBefore puts the lowest priority first; within it the program with the least work done, as it loses least, and
// then the latest entry.
func shedBefore(a, b *queued) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority < b.item.Priority
	}
	if a.item.Attained != b.item.Attained {
		return a.item.Attained < b.item.Attained
	}
	return entersAfter(a, b)
}

// entersAfter puts the latest entry first.
func entersAfter(a, b *queued) bool { return a.sequence > b.sequence }

// itemHeap implements heap.Interface over queued items and keeps their positions.
type itemHeap struct {
	items []*queued
	side  int // Index of this heap in queued.at.
	less  func(a, b *queued) bool
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].at[h.side] = i
	h.items[j].at[h.side] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	entry := x.(*queued)
	entry.at[h.side] = len(h.items)
	h.items = append(h.items, entry)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	entry := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return entry
}
