package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// The case of many changes of a large configuration: an installation with machines of 112 MB, 1,400 more routes (big_config), and storms
// of changes (config_storm) of 1.5 s with a change each 0.06 s.
const (
	changesGateways = 4
	changesCallers  = 12 // For each gateway.
	changesWork     = 300 * time.Millisecond
	moreRoutes      = 1400
	stormLength     = 1500 * time.Millisecond
	stormGap        = 60 * time.Millisecond
	stormPause      = 500 * time.Millisecond
	calmGap         = 10 * time.Second // Between changes, without the disruption.
	changesLength   = 50 * time.Second
	requestTimeout  = 6 * time.Second
	lostAllowed     = 3 // Requests that one machine may leave without an answer.
)

// largeConfiguration returns the version of a configuration with moreRoutes that carry no traffic. One of these differs in each version.
func largeConfiguration(version int64) map[string]any {
	config := standin.Configuration(version)
	routes := config["routes"].([]any)
	for i := range moreRoutes {
		timeout := 2000
		if int64(i) == version%moreRoutes {
			timeout = 2100
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-idle%04d", i), "host": fmt.Sprintf("ficu%02d.example", i%40), "prefix": fmt.Sprintf("/pufi%04d/", i),
			"kind": "idempotent", "timeout_ms": timeout, "target_latency_ms": 400, "priority": 2, "service": "app", "attempts": 2,
			"stateful": false, "retain_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 250,
		})
	}
	config["routes"] = routes
	return config
}

// lostCounter counts the requests that a gateway has passed on from kept channels and left without an answer.
type lostCounter struct {
	mu    sync.Mutex
	lost  map[string]int
	fine  int
	other int
}

func playConfigurationChanges(p *play) (bool, string) {
	p.start(largeConfiguration(1), changesGateways, bounds{memoryMB: 112, drainMS: 4000, capacity: 0.144})
	p.record.add("the configuration has %d bytes", sizeOf(largeConfiguration(1)))
	var ran sync.Map // Ids of the requests that a server has run.
	for i := range 6 {
		s := standin.NewServer(fmt.Sprintf("app-%d", i))
		defer s.Close()
		s.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			ran.Store(r.Header.Get("Request-Id"), true)
			p.record.add("%s: runs at %s", r.Header.Get("Request-Id"), s.ID)
			time.Sleep(changesWork)
			return false
		})
		p.store.Put("servers/"+s.ID, s.Entry("app", "ready"))
	}
	p.awaitReady()

	ctx, cancel := context.WithTimeout(context.Background(), changesLength)
	defer cancel()
	var group sync.WaitGroup
	counter := &lostCounter{lost: make(map[string]int)}
	for _, g := range p.gateways {
		for i := range changesCallers {
			group.Go(func() { p.sendOrders(ctx, g, fmt.Sprintf("%s-%d", g.name, i), &ran, counter) })
		}
	}
	versions := p.changeConfiguration(ctx)
	group.Wait()

	broken, kills := 0, 0
	for _, g := range p.gateways {
		at, peak := g.killed()
		kills += len(at)
		p.record.add("%s: killed %d times because of its memory, most memory %d MB, %d requests passed on and never answered", g.name, len(at), peak, counter.lost[g.name])
		if counter.lost[g.name] > lostAllowed {
			broken++
		}
	}
	return broken > 0, fmt.Sprintf(
		"%d changes of the configuration, %d processes killed because of their memory; %d of %d machines left more than %d requests of kept channels without an answer after passing them on (%d answered, %d not passed on)",
		versions, kills, broken, changesGateways, lostAllowed, counter.fine, counter.other)
}

// changeConfiguration writes new versions until ctx ends, and returns their number.
func (p *play) changeConfiguration(ctx context.Context) (versions int) {
	put := func() {
		versions++
		p.store.Put("op/config", largeConfiguration(int64(versions+1)))
	}
	for ctx.Err() == nil {
		if !p.trouble {
			put()
			sleep(ctx, calmGap)
			continue
		}
		p.record.add("storm of changes from version %d", versions+2)
		next := time.Now()
		for end := next.Add(stormLength); next.Before(end) && ctx.Err() == nil; {
			put()
			next = next.Add(stormGap)
			sleep(ctx, time.Until(next))
		}
		sleep(ctx, stormPause)
	}
	return versions
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendOrders sends requests that may run once, one after the other, on a channel that it keeps as long as it can.
func (p *play) sendOrders(ctx context.Context, g *gatewayProcess, name string, ran *sync.Map, counter *lostCounter) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		call := standin.Call{ID: id, Address: g.callers, Route: "order", Body: "order " + id, WaitMS: int(requestTimeout.Milliseconds())}
		var kept atomic.Bool
		traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { kept.Store(info.Reused) },
		})
		req, err := call.Request(traced)
		must(err)
		req.GetBody = nil // net/http must not send it again.
		p.record.add("%s: sent to %s", id, g.name)
		resp, err := client.Do(req)
		if err == nil {
			p.record.add("%s: answered %d", id, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		_, hasRun := ran.Load(id)
		counter.mu.Lock()
		switch {
		case err == nil:
			counter.fine++
		case hasRun && kept.Load() && !strings.Contains(err.Error(), "Timeout"):
			counter.lost[g.name]++
			p.record.add("%s: sent on a kept channel, run by a server, channel ended without an answer: %v", id, err)
		default:
			counter.other++
		}
		counter.mu.Unlock()
		if err != nil {
			sleep(ctx, 100*time.Millisecond)
		}
	}
}
