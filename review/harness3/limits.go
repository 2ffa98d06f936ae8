package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// The case of a server in need whose entry lapses, as it is cut off from the platform's store for a while, and comes back: settings of
// duillin-serve, calls of slip-verify (312 ms of work, time budget 6 s, one retry).
const (
	limitGateways  = 4
	limitServers   = 10
	serverLimit    = 2.0 // Requests a second that each server names.
	verifyWork     = 312 * time.Millisecond
	verifyBudget   = 6 * time.Second
	verifyRate     = 100.0 // Calls a second of all requesters.
	contactTime    = 3 * time.Second
	pingInterval   = 1200 * time.Millisecond
	lapseTime      = 3 * pingInterval // Of silence, after which the store drops an entry.
	cutLength      = 5 * time.Second
	cutGap         = 11 * time.Second // Between the cuts of two servers.
	cutServers     = 3                // One at a time: a share of 0.1; 0.2 is usual.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitExtra     = 5
	knownBefore    = 500 * time.Millisecond // Machines that passed on an answer with the limit earlier than that count.
	calmBeforeCuts = 5 * time.Second
)

// arrival is a request that a server got.
type arrival struct {
	gateway int
	at      time.Time
}

// limitTally records what servers got, and when machines first passed on an answer that named a limit.
type limitTally struct {
	mu       sync.Mutex
	arrivals map[string][]arrival         // By server.
	named    map[string]time.Time         // When a server first named its limit.
	passedOn map[string]map[int]time.Time // By server and machine.
	statuses map[int]int
	sent     int
}

func playForgottenLimits(p *play) (bool, string) {
	p.start(upgradeConfiguration(), limitGateways, bounds{memoryMB: 134, drainMS: 2000, capacity: 0.304})
	tally := &limitTally{
		arrivals: make(map[string][]arrival), named: make(map[string]time.Time), passedOn: make(map[string]map[int]time.Time),
		statuses: make(map[int]int),
	}
	var servers []*standin.Server
	for i := range limitServers {
		s := standin.NewServer(fmt.Sprintf("app-%d", i))
		defer s.Close()
		s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			tally.arrive(s.ID, r.Header.Get("Request-Id"))
			p.record.add("%s: runs at %s", r.Header.Get("Request-Id"), s.ID)
			w.Header().Set("Instance-Id", s.ID)
			time.Sleep(verifyWork)
			return false
		})
		s.SetLimit(serverLimit)
		servers = append(servers, s)
		p.store.Put("servers/"+s.ID, s.Entry("app", "ready"))
	}
	p.awaitReady()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			group.Go(func() { p.verify(n, tally) })
			sleep(ctx, time.Duration(rand.ExpFloat64()/verifyRate*float64(time.Second)))
		}
	})
	time.Sleep(contactTime + calmBeforeCuts)
	for _, s := range servers[:cutServers] {
		p.cutOff(s)
		time.Sleep(cutGap - cutLength)
	}
	cancel()
	group.Wait()
	return tally.judge(p.record)
}

// cutOff cuts a server off from the store, whose entry lapses meanwhile and is written again with the server's next ping after the cut.
func (p *play) cutOff(s *standin.Server) {
	if !p.trouble {
		time.Sleep(cutLength)
		return
	}
	p.record.add("%s is cut off from the store", s.ID)
	time.Sleep(lapseTime)
	p.store.Remove("servers/" + s.ID)
	p.record.add("the entry of %s has lapsed", s.ID)
	time.Sleep(cutLength - lapseTime)
	time.Sleep(pingInterval)
	p.store.Put("servers/"+s.ID, s.Entry("app", "ready"))
	p.record.add("%s has listed itself again", s.ID)
}

// verify sends a call, and once more if it is refused, at the time that the refusal names.
func (p *play) verify(n int, tally *limitTally) {
	until := time.Now().Add(verifyBudget)
	for try := range 2 {
		gateway := (n + try) % limitGateways
		left := time.Until(until)
		call := standin.Call{
			ID: fmt.Sprintf("g%d-%d-%d", gateway, n, try), Address: p.gateways[gateway].callers, Route: "order", Body: "verify",
			WaitMS: int(left.Milliseconds()),
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		status, retryAfter := p.send(ctx, call, gateway, tally)
		cancel()
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable || retryAfter > time.Until(until)/3 {
			return
		}
		time.Sleep(retryAfter)
	}
}

// send sends a call and returns the status of its answer, 0 without any, and the time after which it may be sent again.
func (p *play) send(ctx context.Context, call standin.Call, gateway int, tally *limitTally) (status int, retryAfter time.Duration) {
	req, err := call.Request(ctx)
	must(err)
	p.record.add("%s: sent to front-%d", call.ID, gateway+1)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		p.record.add("%s: answered %d, Retry-After %q, Server-Limit %q", call.ID, status, resp.Header.Get("Retry-After"), resp.Header.Get("Server-Limit"))
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.sent++
	tally.statuses[status]++
	if status == http.StatusOK && resp.Header.Get("Server-Limit") != "" {
		server := resp.Header.Get("Instance-Id")
		if tally.passedOn[server] == nil {
			tally.passedOn[server] = make(map[int]time.Time)
		}
		if _, known := tally.passedOn[server][gateway]; !known {
			tally.passedOn[server][gateway] = time.Now()
		}
	}
	return status, retryAfter
}

// arrive records a request at a server.
func (t *limitTally) arrive(server, id string) {
	var gateway int
	if _, err := fmt.Sscanf(id, "g%d-", &gateway); err != nil {
		return // A list of the cache.
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.named[server].IsZero() {
		t.named[server] = now.Add(verifyWork)
	}
	t.arrivals[server] = append(t.arrivals[server], arrival{gateway, now})
}

// judge applies the rule on the limits that servers name.
func (t *limitTally) judge(r *record) (bool, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := int(limitFactor*serverLimit*limitWindow.Seconds()) + limitExtra
	worst, over := 0, 0
	for _, server := range slices.Sorted(func(yield func(string) bool) {
		for name := range t.arrivals {
			if !yield(name) {
				return
			}
		}
	}) {
		var counted []time.Time
		for _, a := range t.arrivals[server] {
			since, knows := t.passedOn[server][a.gateway]
			if knows && !a.at.Before(since.Add(knownBefore)) && !a.at.Before(t.named[server].Add(contactTime)) {
				counted = append(counted, a.at)
			}
		}
		most, at := 0, time.Time{}
		for i := range counted {
			n := 1
			for n < len(counted)-i && counted[i+n].Sub(counted[i]) < limitWindow {
				n++
			}
			if n > most {
				most, at = n, counted[i]
			}
		}
		if most > allowed {
			over++
		}
		worst = max(worst, most)
		r.add("%s: %d requests, %d at most in %v, from %.3f s on; %d allowed", server, len(t.arrivals[server]), most, limitWindow, at.Sub(r.began).Seconds(), allowed)
	}
	return over > 0, fmt.Sprintf("%d of %d servers got more than the %d requests that they take in 4 s, at most %d; %d calls sent, answers %v",
		over, len(t.arrivals), allowed, worst, t.sent, t.statuses)
}
