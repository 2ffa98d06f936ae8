package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newTestQueue(policy string, maxItems int) *Queue {
	settings := DefaultQueueSettings()
	settings.Policy = policy
	settings.MaxItems = maxItems
	q, err := NewQueue(settings)
	if err != nil {
		panic(err)
	}
	return q
}

func TestQueueOrder(t *testing.T) {
	items := []Item{
		{CallID: "heavy", Priority: 0, Attained: 50_000, Enqueued: testNow},
		{CallID: "light", Priority: 0, Attained: 100, Enqueued: testNow.Add(time.Second)},
		{CallID: "urgent", Priority: 1, Attained: 90_000, Enqueued: testNow.Add(2 * time.Second)},
		{CallID: "late", Priority: 0, Attained: 0, Enqueued: testNow.Add(time.Minute)},
	}
	want := map[string][]string{
		QueueLeastAttained: {"urgent", "light", "heavy", "late"},
		QueueFIFO:          {"heavy", "light", "urgent", "late"},
		QueuePriority:      {"urgent", "heavy", "light", "late"},
	}
	for policy, order := range want {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			q := newTestQueue(policy, 10)
			for _, item := range items {
				_, full := q.Push(item)
				is.True(!full)
			}
			for _, id := range order {
				item, ok := q.Pop()
				is.True(ok)
				is.Equal(item.CallID, id)
			}
			_, ok := q.Pop()
			is.True(!ok)
		})
	}
}

func TestFullQueueRefusesLowestPriority(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(QueueLeastAttained, 2)
	q.Push(Item{CallID: "low-underway", Attained: 10, PromptTokens: 5, Enqueued: testNow})
	q.Push(Item{CallID: "low-new", PromptTokens: 7, Enqueued: testNow})
	refused, full := q.Push(Item{CallID: "low-newer", Enqueued: testNow})
	is.True(full)
	is.Equal(refused.CallID, "low-newer")
	refused, full = q.Push(Item{CallID: "high", Priority: 1, PromptTokens: 1, Enqueued: testNow})
	is.True(full)
	is.Equal(refused.CallID, "low-new")
	is.Equal(q.Tokens(), 6)
	is.Equal(q.EstimateWait(1, Capacity{Slots: 1, Running: 1, CallTime: time.Second, PrefillRate: 1}), 2*time.Second)
	is.Equal(q.EstimateWait(0, Capacity{Slots: 1, Running: 1, CallTime: time.Second, PrefillRate: 1}), 6*time.Second)
	_, ok := q.Remove("high")
	is.True(ok)
	is.Equal(q.Len(), 1)
}

// TestQueueStarvesNone checks that no item starves: it is overtaken only by items that are pushed within the waiting time
// that offsets its attained service and the priority steps.
func TestQueueStarvesNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultQueueSettings()
		q := newTestQueue(QueueLeastAttained, 0)
		queuedItems := map[string]Item{}
		now := testNow
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Second)
			if rapid.IntRange(0, 2).Draw(t, "push") > 0 {
				item := Item{CallID: fmt.Sprint(n), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Attained: rapid.Uint64Range(0, 1<<22).Draw(t, "attained"), Enqueued: now}
				q.Push(item)
				queuedItems[item.CallID] = item
				continue
			}
			popped, ok := q.Pop()
			if !ok {
				continue
			}
			delete(queuedItems, popped.CallID)
			for _, left := range queuedItems {
				bound := settings.MaxAttainedPenalty + time.Duration(popped.Priority-left.Priority)*settings.PriorityStep
				if popped.Enqueued.Sub(left.Enqueued) > bound {
					t.Fatalf("%+v overtook %+v by more than %s", popped, left, bound)
				}
			}
		}
	})
}

// TestQueueReturnsEachItemOnce checks that every pushed item leaves the queue exactly once: it is popped, removed or
// refused.
func TestQueueReturnsEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 8).Draw(t, "max")
		q := newTestQueue(rapid.SampledFrom([]string{QueueLeastAttained, QueueFIFO, QueuePriority}).Draw(t, "policy"), maximum)
		out := map[string]int{}
		pushed := rapid.IntRange(0, 60).Draw(t, "pushed")
		for n := range pushed {
			item := Item{CallID: fmt.Sprint(n), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Attained: rapid.Uint64Range(0, 9).Draw(t, "attained"), PromptTokens: 3, Enqueued: testNow}
			if refused, full := q.Push(item); full {
				out[refused.CallID]++
				if refused.Priority > item.Priority {
					t.Fatalf("refused %+v for %+v", refused, item)
				}
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				if popped, ok := q.Pop(); ok {
					out[popped.CallID]++
				}
			case 1:
				if removed, ok := q.Remove(item.CallID); ok {
					out[removed.CallID]++
				}
			}
			if q.Len() > maximum || q.Tokens() != 3*q.Len() {
				t.Fatalf("the queue has length %d and %d tokens", q.Len(), q.Tokens())
			}
		}
		for {
			popped, ok := q.Pop()
			if !ok {
				break
			}
			out[popped.CallID]++
		}
		if len(out) != pushed {
			t.Fatalf("%d of %d items left the queue", len(out), pushed)
		}
		for id, n := range out {
			if n != 1 {
				t.Fatalf("item %s left the queue %d times", id, n)
			}
		}
	})
}

func BenchmarkQueuePushPop(b *testing.B) {
	for _, size := range []int{40, 550, 3300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := newTestQueue(QueueLeastAttained, 0)
			ids := make([]string, size+1)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			for i := range size {
				q.Push(Item{CallID: ids[i], Attained: uint64(i * 7919 % 100_000), Priority: i % 3, Enqueued: testNow})
			}
			spare := Item{CallID: ids[size], Enqueued: testNow}
			now := testNow
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				spare.Enqueued = now
				q.Push(spare)
				spare, _ = q.Pop()
			}
		})
	}
}
