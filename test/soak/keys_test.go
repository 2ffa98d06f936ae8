package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// configApplyTime is the time after which a configuration must be in force at every gateway that reaches the hub or the store.
const configApplyTime = 3 * time.Second

// keyConfiguration returns a configuration in which each key belongs to an organisation of the same name.
func keyConfiguration(version int64, keys ...string) map[string]any {
	organisations := make([]standin.Organisation, len(keys))
	for i, key := range keys {
		organisations[i] = standin.Organisation{Name: key, Keys: []string{key}}
	}
	return standin.WithOrganisations(version, organisations...)
}

// keyed sends a call with a key to a gateway, on an open connection if there is one. It returns the status, 0 if there is no answer.
func keyed(g *gateway, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := standin.Call{ID: id, Address: g.callerAddress, Route: "lookup", Key: key}.Request(ctx)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// startWithKeys starts a deployment whose gateways all require keys.
func startWithKeys(t *testing.T, gateways int, keys ...string) *deployment {
	t.Helper()
	d := newDeployment(t, binary, gateways, keyConfiguration(2, keys...))
	d.awaitReady(keys[0])
	d.awaitAnswers()
	return d
}

// awaitAnswers waits until all gateways answer and require keys.
func (d *deployment) awaitAnswers() {
	for _, g := range d.gateways {
		for keyed(g, "start", "none") != http.StatusUnauthorized {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestRemovedKeyIsNotUsedAfterAPause guards against calls that a gateway serves by an old configuration when it goes on after it was
// suspended, also on connections that were open before, or when all gateways are restarted.
func TestRemovedKeyIsNotUsedAfterAPause(t *testing.T) {
	for name, paused := range map[string][]int{"hub": {0}, "follower": {1}, "all": {0, 1}, "restart": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startWithKeys(t, 2, "stays", "removed")
			for _, i := range paused {
				d.gateways[i].signal(syscall.SIGSTOP)
				defer d.gateways[i].signal(syscall.SIGCONT)
			}
			d.store.Put("op/config", keyConfiguration(3, "stays"))
			if name == "restart" {
				faults[1].inject(d, nil, nil) // kill all
				d.awaitAnswers()
			} else {
				time.Sleep(configApplyTime + 100*time.Millisecond)
			}
			var group sync.WaitGroup
			for n := range 40 {
				group.Go(func() {
					key, want := "removed", http.StatusUnauthorized
					if n%4 < 2 {
						key, want = "stays", http.StatusOK
					}
					if status := keyed(d.gateways[n%2], fmt.Sprint("call-", n), key); status != want {
						t.Errorf("gateway-%d, key %q: status %d", n%2, key, status)
					}
				})
			}
			time.Sleep(100 * time.Millisecond) // The calls wait in the queues of the suspended processes.
			for _, i := range paused {
				d.gateways[i].signal(syscall.SIGCONT)
			}
			group.Wait()
		})
	}
}

// storedVersion says when a version of the configuration was stored. Version n has the keys key-n, key-(n-1) and stays.
type storedVersion struct{ begun, stored time.Time }

// TestKeysHoldUnderFaults guards against keys that are refused although every configuration since the call contains them, and against
// removed keys that are used, while gateways are killed and suspended and lose the store. It also checks what servers see.
func TestKeysHoldUnderFaults(t *testing.T) {
	const seed, length = 1, 15 * time.Second
	random := rand.New(rand.NewPCG(seed, 7))
	d := startWithKeys(t, 3, "stays", "key-0")
	var mu sync.Mutex
	versions := []storedVersion{{stored: time.Now()}}
	counts := make(map[int]int)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 9 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				mu.Lock()
				added := max(0, len(versions)-1-random.IntN(5))
				if versions[added].stored.IsZero() {
					added = 0
				}
				mu.Unlock()
				key, g := fmt.Sprint("key-", added), d.gateways[random.IntN(len(d.gateways))]
				if random.IntN(3) == 0 {
					key = "stays"
				}
				sent := time.Now()
				status := keyed(g, fmt.Sprintf("call-%d-%d", i, n), key)
				ended := time.Now()
				mu.Lock()
				counts[status]++
				valid, gone := true, false
				if removed := added + 2; key != "stays" && removed < len(versions) {
					v := versions[removed]
					valid = ended.Before(v.begun)
					gone = !v.stored.IsZero() && sent.After(v.stored.Add(configApplyTime))
				}
				if status == http.StatusUnauthorized && valid || status == http.StatusOK && gone {
					t.Errorf("%s: %s: status %d, sent %v after it became valid", g.name, key, status, sent.Sub(versions[added].stored))
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		for n := 1; ctx.Err() == nil; n++ {
			mu.Lock()
			versions = append(versions, storedVersion{begun: time.Now()})
			mu.Unlock()
			d.store.Put("op/config", keyConfiguration(int64(n)+2, "stays", fmt.Sprint("key-", n-1), fmt.Sprint("key-", n)))
			mu.Lock()
			versions[n].stored = time.Now()
			mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
		}
	})
	kinds := []string{"kill", "kill all", "freeze", "store unavailable", "link dropping data", "link reset"}
	for end := time.Now().Add(length); time.Now().Before(end); {
		kind, g := kinds[random.IntN(len(kinds))], d.gateways[random.IntN(len(d.gateways))]
		t.Logf("%s: %s", kind, g.name)
		faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == kind })].inject(d, g, random)
		time.Sleep(1200 * time.Millisecond) // A gateway must reach the store or the hub again within configApplyTime.
	}
	cancel()
	group.Wait()
	t.Logf("calls by status: %v", counts)
	for _, s := range d.servers {
		for _, run := range s.Runs() {
			if strings.HasPrefix(run.ID, "call-") && (run.HasKey() || len(run.Organisations()) != 1) {
				t.Errorf("server %s: header %v", s.ID, run.Header)
			}
		}
	}
	if counts[http.StatusOK] < 100 || counts[http.StatusUnauthorized] < 100 {
		t.Errorf("too few calls: %v", counts)
	}
}
