package journal

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// faults are the faults of a faultKV, as probabilities of one request.
type faults struct {
	late  float64 // A write that takes effect after its caller has given up.
	lose  float64 // A write that takes effect and whose answer is lost.
	drop  float64 // A request that is lost on its way.
	delay time.Duration
}

// faultKV is one process's view of a faultService. While the process is paused, none of its requests starts or returns.
type faultKV struct {
	ports.KV // Methods that the journal does not call.
	*faultService
	pauses sync.Mutex
	gate   chan struct{} // Closed while the process runs; guarded by pauses.
	cut    atomic.Bool   // Requests of this process are refused without an effect.
}

// faultService is an in-memory key-value service that injects faults. A request goes on by itself when its caller gives
// up.
type faultService struct {
	requests sync.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	faults       faults
	down         bool // Requests are refused without an effect.
	revision     int64
	keys         map[string]ports.KeyValue
	writes       int // Requests to write, with or without an effect.
	writeTimes   []time.Time
	writtenBytes int
	reads        int
	deleted      []string
}

// newFaultKV returns an empty service. The test ends when every request of it has ended.
func newFaultKV(t interface{ Cleanup(f func()) }, seed uint64, f faults) *faultKV {
	service := &faultService{
		random: rand.New(rand.NewPCG(seed, 1)),
		faults: f,
		keys:   make(map[string]ports.KeyValue),
	}
	t.Cleanup(service.requests.Wait)
	return service.view()
}

// view returns the view of another process.
func (kv *faultService) view() *faultKV {
	view := &faultKV{faultService: kv, gate: make(chan struct{})}
	close(view.gate)
	return view
}

func (kv *faultKV) pause() {
	kv.pauses.Lock()
	defer kv.pauses.Unlock()
	select {
	case <-kv.gate:
		kv.gate = make(chan struct{})
	default: // Paused already.
	}
}

func (kv *faultKV) resume() {
	kv.pauses.Lock()
	defer kv.pauses.Unlock()
	select {
	case <-kv.gate: // Running already.
	default:
		close(kv.gate)
	}
}

// wait returns when the process is not paused.
func (kv *faultKV) wait() {
	kv.pauses.Lock()
	gate := kv.gate
	kv.pauses.Unlock()
	<-gate
}

func (kv *faultService) setDown(down bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.down = down
}

func (kv *faultService) setFaults(f faults) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults = f
}

// plan draws the fate of a request: the delay before its effect, whether it has one, and whether it is answered.
func (kv *faultService) plan() (before time.Duration, effect, answer bool) {
	f := kv.faults
	before = f.delay
	if f.late+f.lose+f.drop == 0 {
		return before, true, true
	}
	before += time.Duration(kv.random.Int64N(int64(2 * time.Millisecond)))
	p := kv.random.Float64()
	switch {
	case p < f.late:
		return before + time.Duration(kv.random.Int64N(int64(8*time.Second))), true, true
	case p < f.late+f.lose:
		return before, true, false
	case p < f.late+f.lose+f.drop:
		return before, false, false
	}
	return before, true, true
}

// do runs one request. The error of an unanswered one is unanswered.
func (kv *faultKV) do(ctx context.Context, unanswered error, request func()) error {
	kv.wait()
	defer kv.wait()
	if ctx.Err() != nil {
		return ports.ErrUnavailable
	}
	kv.mu.Lock()
	before, effect, answer := kv.plan()
	down := kv.down || kv.cut.Load()
	kv.mu.Unlock()
	if down {
		return ports.ErrUnavailable
	}
	answered := make(chan struct{})
	kv.requests.Go(func() {
		time.Sleep(before)
		if effect {
			kv.mu.Lock()
			request()
			kv.mu.Unlock()
		}
		if answer {
			close(answered)
		}
	})
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return unanswered
	}
}

func (kv *faultKV) Get(ctx context.Context, key string) (ports.KeyValue, error) {
	var got ports.KeyValue
	err := kv.do(ctx, ports.ErrUnavailable, func() {
		kv.reads++
		got = kv.keys[key]
	})
	if err != nil {
		return ports.KeyValue{}, err
	}
	return got, nil
}

// List reads the keys at two moments.
func (kv *faultKV) List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]ports.KeyValue, error) {
	var got []ports.KeyValue
	for moment := range byte(2) {
		err := kv.do(ctx, ports.ErrUnavailable, func() {
			kv.reads += int(moment)
			for key, value := range kv.keys {
				if strings.HasPrefix(key, prefix) && key[len(key)-1]%2 == moment {
					got = append(got, value)
				}
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortFunc(got, func(a, b ports.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 {
		got = got[:min(limit, len(got))]
	}
	if keysOnly {
		for i := range got {
			got[i].Value = nil
		}
	}
	return got, nil
}

func (kv *faultKV) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected, lease int64,
) (ports.KeyValue, bool, error) {
	var got ports.KeyValue
	var swapped bool
	err := kv.do(ctx, ports.ErrAmbiguous, func() {
		kv.countWrite(value)
		swapped = kv.keys[key].Revision == expected
		if swapped {
			kv.put(key, value, lease)
		}
		got = kv.keys[key]
	})
	if err != nil {
		return ports.KeyValue{}, false, err
	}
	return got, swapped, nil
}

func (kv *faultService) countWrite(value []byte) {
	kv.writes++
	kv.writeTimes = append(kv.writeTimes, time.Now())
	kv.writtenBytes += len(value)
}

func (kv *faultService) put(key string, value []byte, lease int64) {
	kv.revision++
	kv.keys[key] = ports.KeyValue{Key: key, Value: value, Revision: kv.revision, Lease: lease}
}

func (kv *faultKV) Put(ctx context.Context, key string, value []byte, lease int64) error {
	return kv.do(ctx, ports.ErrAmbiguous, func() {
		kv.countWrite(value)
		kv.put(key, value, lease)
	})
}

func (kv *faultKV) Delete(ctx context.Context, keys ...string) error {
	return kv.do(ctx, ports.ErrAmbiguous, func() {
		kv.countWrite(nil)
		for _, key := range keys {
			delete(kv.keys, key)
			kv.deleted = append(kv.deleted, key)
		}
	})
}

func (kv *faultService) count(prefix string) int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	n := 0
	for key := range kv.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
