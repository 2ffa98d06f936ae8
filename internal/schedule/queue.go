package schedule

import (
	"container/heap"
	"fmt"
	"time"
)

// Item is one queued call.
type Item struct {
	CallID       string
	Root         string // Id of the root program of the call's program.
	Priority     int    // Priority configured by the operators; higher runs first.
	Attained     uint64 // Attained service: tokens that the root program has used so far.
	PromptTokens int    // Prompt tokens to prefill.
	Enqueued     time.Time
}

// Names of queue policies.
const (
	QueueLeastAttained = "least-attained"
	QueueFIFO          = "fifo"
	QueuePriority      = "priority"
)

// QueueSettings configure a Queue.
type QueueSettings struct {
	Policy             string
	MaxItems           int           // Capacity; 0 means no limit.
	AttainedPerSecond  float64       // Attained tokens that cost one second of waiting.
	MaxAttainedPenalty time.Duration // Most waiting time that attained tokens cost.
	PriorityStep       time.Duration // Waiting time that one step of priority saves.
}

// DefaultQueueSettings returns the settings that apply unless the operators configure others.
func DefaultQueueSettings() QueueSettings {
	return QueueSettings{
		Policy:             QueueLeastAttained,
		MaxItems:           512,
		AttainedPerSecond:  20000,
		MaxAttainedPenalty: 30 * time.Second,
		PriorityStep:       time.Minute,
	}
}

// Queue is a bounded priority queue of calls. Push, Pop and Remove take O(log n).
//
// The rank of an item is fixed when it is pushed: its enqueue time, plus a penalty for the attained service of its
// program, minus a bonus for its priority. Both are expressed as waiting times. The item with the lowest rank runs first,
// so an item is overtaken only by items that are pushed within a bounded time after it.
type Queue struct {
	settings QueueSettings
	rank     func(Item) time.Duration
	order    itemHeap // The item that runs next is first.
	shed     itemHeap // The item that is refused next is first. Contains the same items as order.
	byCall   map[string]*queued
	counts   priorityCounts
	epoch    time.Time // Enqueue time of the first item; ranks are relative to it.
	pushes   uint64
}

// queued is an item with its positions in both heaps.
type queued struct {
	item      Item
	rank      time.Duration
	sequence  uint64 // Number of the push; breaks ties in FIFO order.
	positions [2]int // Positions in order and in shed.
}

// NewQueue returns an empty queue with the policy that the settings name.
func NewQueue(settings QueueSettings) (*Queue, error) {
	q := &Queue{settings: settings, byCall: make(map[string]*queued)}
	switch settings.Policy {
	case QueueLeastAttained:
		q.rank = q.rankLeastAttained
	case QueueFIFO:
		q.rank = q.rankFIFO
	case QueuePriority:
		q.rank = q.rankPriority
	default:
		return nil, fmt.Errorf("queue policy %q does not exist", settings.Policy)
	}
	q.order = itemHeap{index: 0, less: runsBefore}
	q.shed = itemHeap{index: 1, less: shedBefore}
	if settings.Policy == QueueFIFO {
		q.shed.less = enqueuedAfter
	}
	return q, nil
}

// Push adds an item. If the queue is full, it returns the refused item, which has not run, and true: either the pushed
// item or a queued one that it displaces. Pushing a call that is already queued has no effect.
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

// Pop removes and returns the item that runs next. It returns false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.order.items) == 0 {
		return Item{}, false
	}
	next := q.order.items[0]
	q.delete(next)
	return next.item, true
}

// Peek returns the item that runs next without removing it. It returns false if the queue is empty.
func (q *Queue) Peek() (Item, bool) {
	if len(q.order.items) == 0 {
		return Item{}, false
	}
	return q.order.items[0].item, true
}

// Remove removes a call that its caller has cancelled. It returns false if the call is not queued.
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

// Tokens returns the sum of the prompt tokens of all queued calls.
func (q *Queue) Tokens() int { return q.counts.atLeast(minPriority).tokens }

func (q *Queue) insert(entry *queued) {
	q.byCall[entry.item.CallID] = entry
	heap.Push(&q.order, entry)
	heap.Push(&q.shed, entry)
	q.counts.add(entry.item.Priority, 1, entry.item.PromptTokens)
}

func (q *Queue) delete(entry *queued) {
	delete(q.byCall, entry.item.CallID)
	heap.Remove(&q.order, entry.positions[q.order.index])
	heap.Remove(&q.shed, entry.positions[q.shed.index])
	q.counts.add(entry.item.Priority, -1, -entry.item.PromptTokens)
}

// rankFIFO ranks by enqueue time.
func (q *Queue) rankFIFO(item Item) time.Duration { return item.Enqueued.Sub(q.epoch) }

// rankPriority ranks by enqueue time and priority.
func (q *Queue) rankPriority(item Item) time.Duration {
	return q.rankFIFO(item) - time.Duration(item.Priority)*q.settings.PriorityStep
}

// rankLeastAttained ranks by enqueue time, priority and attained service.
func (q *Queue) rankLeastAttained(item Item) time.Duration {
	attained := seconds(float64(item.Attained) / q.settings.AttainedPerSecond)
	return q.rankPriority(item) + min(attained, q.settings.MaxAttainedPenalty)
}

// runsBefore orders by rank, then by push order.
func runsBefore(a, b *queued) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// shedBefore orders by priority, lowest first, then by attained service, least first, as that program loses the least
// work, and then by push order, latest first.
func shedBefore(a, b *queued) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority < b.item.Priority
	}
	if a.item.Attained != b.item.Attained {
		return a.item.Attained < b.item.Attained
	}
	return enqueuedAfter(a, b)
}

// enqueuedAfter orders by push order, latest first.
func enqueuedAfter(a, b *queued) bool { return a.sequence > b.sequence }

// itemHeap implements heap.Interface for queued items and updates their positions.
type itemHeap struct {
	items []*queued
	index int // Index of this heap in queued.positions.
	less  func(a, b *queued) bool
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].positions[h.index] = i
	h.items[j].positions[h.index] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	entry := x.(*queued)
	entry.positions[h.index] = len(h.items)
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
