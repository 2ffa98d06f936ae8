package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// configApplyTime is the time after which a configuration must be in force at every gateway that reaches the hub or the store.
const configApplyTime = 3 * time.Second

// putKeys stores a configuration in which each key belongs to an organisation of the same name.
func (d *deployment) putKeys(version int64, keys ...string) {
	config := standin.Configuration(version)
	organisations := []any{}
	for _, key := range keys {
		organisations = append(organisations, map[string]any{"name": key, "api_keys": []string{key}})
	}
	config["tenants"] = organisations
	d.store.Put("op/config", config)
}

// keyed sends a call with a key to a gateway on a new connection. It returns the status, 0 if there is no answer.
func keyed(g *gateway, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := standin.Call{ID: id, Address: g.callerAddress, Route: "lookup"}.Request(ctx)
	if err != nil {
		return 0
	}
	req.Close = true
	req.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// startWithKeys starts a deployment whose gateways all require keys.
func startWithKeys(t *testing.T, gateways int, keys ...string) *deployment {
	t.Helper()
	d := newDeployment(t, binary, gateways)
	d.awaitReady()
	d.putKeys(2, keys...)
	for _, g := range d.gateways {
		for keyed(g, "start", "none") != http.StatusUnauthorized || keyed(g, "start", keys[0]) != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return d
}

// TestSuspendedGatewayDoesNotUseARemovedKey guards against calls that a gateway serves by its old configuration when it goes on
// after it was suspended: the hub, a follower, and all gateways at once.
func TestSuspendedGatewayDoesNotUseARemovedKey(t *testing.T) {
	for name, suspended := range map[string][]int{"hub": {0}, "follower": {1}, "all": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startWithKeys(t, 2, "stays", "removed")
			for _, i := range suspended {
				d.gateways[i].signal(syscall.SIGSTOP)
			}
			d.putKeys(3, "stays")
			time.Sleep(configApplyTime + 100*time.Millisecond)
			var group sync.WaitGroup
			for i, g := range d.gateways {
				for n := range 10 {
					group.Go(func() {
						if status := keyed(g, fmt.Sprintf("removed-%d-%d", i, n), "removed"); status != http.StatusUnauthorized {
							t.Errorf("%s: removed key: status %d", g.name, status)
						}
						if status := keyed(g, fmt.Sprintf("stays-%d-%d", i, n), "stays"); status != http.StatusOK {
							t.Errorf("%s: key that stays: status %d", g.name, status)
						}
					})
				}
			}
			time.Sleep(100 * time.Millisecond) // The calls wait in the queues of the suspended processes.
			for _, i := range suspended {
				d.gateways[i].signal(syscall.SIGCONT)
			}
			group.Wait()
		})
	}
}

// keyLife is the time during which a key is in the configuration. Zero times lie in the future.
type keyLife struct {
	key      string
	valid    time.Time // The configuration with the key was stored before.
	expiring time.Time // The configuration without the key is stored afterwards.
	removed  time.Time // It was stored before.
}

// TestKeysHoldUnderFaults guards against keys that are refused although every configuration since the call contains them, and against
// removed keys that are used, while gateways are killed and suspended and lose the store. It also checks what servers see.
func TestKeysHoldUnderFaults(t *testing.T) {
	const seed, length = 1, 15 * time.Second
	random := rand.New(rand.NewPCG(seed, 7))
	d := startWithKeys(t, 3, "stays", "key-0")
	var mu sync.Mutex
	lives := []keyLife{{key: "stays"}, {key: "key-0"}}
	counts := make(map[string]int)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for i := range 9 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				mu.Lock()
				life := lives[random.IntN(len(lives))]
				if random.IntN(3) > 0 {
					life = lives[max(0, len(lives)-1-random.IntN(3))] // Mostly keys that were added or removed lately.
				}
				mu.Unlock()
				g := d.gateways[random.IntN(len(d.gateways))]
				sent := time.Now()
				status := keyed(g, fmt.Sprintf("call-%d-%d", i, n), life.key)
				ended := time.Now()
				mu.Lock()
				counts[fmt.Sprint(status)]++
				index := slices.IndexFunc(lives, func(l keyLife) bool { return l.key == life.key })
				now := lives[index]
				mu.Unlock()
				valid := now.expiring.IsZero() || ended.Before(now.expiring)
				gone := !now.removed.IsZero() && sent.After(now.removed.Add(configApplyTime))
				if status == http.StatusUnauthorized && valid || status == http.StatusOK && gone {
					t.Errorf("%s: key %q: status %d %v after it became valid, removed %v before the call",
						g.name, life.key, status, sent.Sub(now.valid), sent.Sub(now.removed))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		for version := int64(3); ctx.Err() == nil; version++ { // Each version adds a key and removes the one of two versions ago.
			keys := []string{"stays"}
			key := fmt.Sprint("key-", version)
			mu.Lock()
			for _, life := range lives[len(lives)-1:] {
				keys = append(keys, life.key)
			}
			removed := len(lives) - 2
			if removed > 0 {
				lives[removed].expiring = time.Now()
			}
			mu.Unlock()
			d.putKeys(version, append(keys, key)...)
			mu.Lock()
			if removed > 0 {
				lives[removed].removed = time.Now()
			}
			lives = append(lives, keyLife{key: key, valid: time.Now()})
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
			if run.ID != "ready" && (run.Header.Get("Authorization") != "" || len(run.Header.Values("Tenant")) != 1) {
				t.Errorf("server %s: header %v", s.ID, run.Header)
			}
		}
	}
	if counts["200"] < 100 || counts["401"] < 100 {
		t.Errorf("too few calls: %v", counts)
	}
}
