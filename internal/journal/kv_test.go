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

// faults are the probabilities of faults per request, and the delay of every request.
type faults struct {
	lateEffect  float64 // The request takes effect late, mostly after its caller's timeout.
	loseAnswer  float64 // The request takes effect and its answer is lost.
	dropRequest float64 // The request is lost and has no effect.
	delay       time.Duration
}

// faultKV is the client of one process to a faultService. While the process is paused, no request starts or returns.
type faultKV struct {
	ports.KV // nil; for the methods that the journal does not call.
	*faultService
	pauseMu     sync.Mutex
	running     chan struct{} // Closed while the process is not paused; guarded by pauseMu.
	partitioned atomic.Bool   // Requests of this process fail without effect.
}

// faultService is an in-memory key-value service that injects faults. A request continues after its caller's context
// has ended.
type faultService struct {
	requests sync.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	faults       faults
	down         bool // All requests fail without effect.
	revision     int64
	keys         map[string]ports.KeyValue
	writes       int // Number of write requests, with or without effect.
	writeTimes   []time.Time
	writtenBytes int
	reads        int
	deleted      []string
}

// newFaultKV returns a client of a new, empty service. The test's cleanup waits for all requests to end.
func newFaultKV(t interface{ Cleanup(f func()) }, seed uint64, f faults) *faultKV {
	service := &faultService{
		random: rand.New(rand.NewPCG(seed, 1)),
		faults: f,
		keys:   make(map[string]ports.KeyValue),
	}
	t.Cleanup(service.requests.Wait)
	return service.newClient()
}

// newClient returns the client of another process.
func (kv *faultService) newClient() *faultKV {
	client := &faultKV{faultService: kv, running: make(chan struct{})}
	close(client.running)
	return client
}

func (kv *faultKV) pause() {
	kv.pauseMu.Lock()
	defer kv.pauseMu.Unlock()
	select {
	case <-kv.running:
		kv.running = make(chan struct{})
	default: // Already paused.
	}
}

func (kv *faultKV) resume() {
	kv.pauseMu.Lock()
	defer kv.pauseMu.Unlock()
	select {
	case <-kv.running: // Not paused.
	default:
		close(kv.running)
	}
}

// waitRunning returns when the process is not paused.
func (kv *faultKV) waitRunning() {
	kv.pauseMu.Lock()
	running := kv.running
	kv.pauseMu.Unlock()
	<-running
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

// drawFault draws what happens to a request: the delay before its effect, whether it has an effect and whether it is
// answered.
func (kv *faultService) drawFault() (before time.Duration, effect, answer bool) {
	f := kv.faults
	before = f.delay
	if f.lateEffect+f.loseAnswer+f.dropRequest == 0 {
		return before, true, true
	}
	before += time.Duration(kv.random.Int64N(int64(2 * time.Millisecond)))
	p := kv.random.Float64()
	switch {
	case p < f.lateEffect:
		return before + time.Duration(kv.random.Int64N(int64(8*time.Second))), true, true
	case p < f.lateEffect+f.loseAnswer:
		return before, true, false
	case p < f.lateEffect+f.loseAnswer+f.dropRequest:
		return before, false, false
	}
	return before, true, true
}

// request runs one request. It returns the error unanswered if ctx ends before the answer.
func (kv *faultKV) request(ctx context.Context, unanswered error, request func()) error {
	kv.waitRunning()
	defer kv.waitRunning()
	if ctx.Err() != nil {
		return ports.ErrUnavailable
	}
	kv.mu.Lock()
	before, effect, answer := kv.drawFault()
	down := kv.down || kv.partitioned.Load()
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
	err := kv.request(ctx, ports.ErrUnavailable, func() {
		kv.reads++
		got = kv.keys[key]
	})
	if err != nil {
		return ports.KeyValue{}, err
	}
	return got, nil
}

// List is not atomic: it reads the keys with an even last byte before the others.
func (kv *faultKV) List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]ports.KeyValue, error) {
	var got []ports.KeyValue
	for pass := range byte(2) {
		err := kv.request(ctx, ports.ErrUnavailable, func() {
			kv.reads += int(pass)
			for key, value := range kv.keys {
				if strings.HasPrefix(key, prefix) && key[len(key)-1]%2 == pass {
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
	err := kv.request(ctx, ports.ErrAmbiguous, func() {
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
	return kv.request(ctx, ports.ErrAmbiguous, func() {
		kv.countWrite(value)
		kv.put(key, value, lease)
	})
}

func (kv *faultKV) Delete(ctx context.Context, keys ...string) error {
	return kv.request(ctx, ports.ErrAmbiguous, func() {
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
