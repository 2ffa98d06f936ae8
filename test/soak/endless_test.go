package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

const (
	gatewayMemoryMB = 134 // Of a gateway's machine.
	// gatewayProcessors is what the Go runtime uses on a machine with a fraction of one.
	gatewayProcessors = "2"
	calmWaitMS        = 20_000 // So that a busy machine is not taken for a full one.
	calmTries         = 3      // As often as callers send a request again that was refused as not run.
	endlessCallers    = 120    // Concurrent calls to servers that send without end.
	endlessTime       = 1500 * time.Millisecond
)

// endlessBytes are what a faulty server sends: the start, which may name the request, and then the repeated text until its caller closes.
var endlessBytes = map[string]struct{ start, repeated string }{
	"one header":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"headers":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	"body":                  {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\n\r\n", "x"},
	"chunks":                {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	"body of a failure":     {"HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\n\r\n", "x"},
	"one event":             {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
	"lines of one event":    {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"},
	"events":                {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n"},
	"large events":          {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: " + strings.Repeat("x", 900<<10) + "\n\n"},
	"comments":              {"HTTP/1.1 200 OK\r\n" + standin.SealLine + "Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", ": x\n\n"},
	"nothing that is HTTP":  {"", "\x00\xff"},
}

// sendEndlessly returns a handler that sends endlessBytes.
func sendEndlessly(start, repeated string) func(http.ResponseWriter, *http.Request) bool {
	block := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	return func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.Replace(start, "Request-Id: ID", "Request-Id: "+r.Header.Get("Request-Id"), 1))
		for err == nil {
			_, err = conn.Write(block)
		}
		return true
	}
}

// peakMemoryMB returns the largest resident size of the gateway's process so far; 0 if the process has ended.
func (g *gateway) peakMemoryMB() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb >> 10
}

// Guards against a machine that runs out of memory, with the requests of all its clients, because servers send bytes that are no answer
// without end.
func TestEndlessBytesLeaveTheGatewayServing(t *testing.T) {
	t.Setenv("GOMAXPROCS", gatewayProcessors)
	for name, c := range endlessBytes {
		t.Run(name, func(t *testing.T) {
			d := startWithSoundServer(t)
			for _, server := range d.servers {
				server.SetHandler(sendEndlessly(c.start, c.repeated))
			}
			d.serveBesideFlood()
		})
	}
}

// Guards against the same from the store, on whose answers nearly all of the gateway's own calls wait.
func TestEndlessBytesOfTheStoreLeaveTheGatewayServing(t *testing.T) {
	t.Setenv("GOMAXPROCS", gatewayProcessors)
	for _, name := range []string{"headers", "informational answers", "body", "chunks", "nothing that is HTTP"} {
		t.Run(name, func(t *testing.T) {
			d := startWithSoundServer(t)
			d.store.SetHandler(sendEndlessly(endlessBytes[name].start, endlessBytes[name].repeated))
			d.serveBesideFlood()
			d.store.SetHandler(nil)
			call := standin.Call{ID: "after", Route: "turns", Body: "x", Address: d.gateways[0].callerAddress, Program: "p", MaxOutput: 5, Budget: 100}
			for n := 0; ; n++ {
				call.ID = fmt.Sprintf("after-%d", n)
				if status, _ := roundTrip(t.Context(), call); status == http.StatusOK {
					return
				} else if n == 200 {
					t.Fatalf("turns are not served again: status %d", status)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// startWithSoundServer starts a deployment of one gateway with a service, and a route calm to it, whose server stays as it is.
func startWithSoundServer(t *testing.T) *deployment {
	t.Helper()
	configuration := standin.Configuration(1)
	routes := configuration["routes"].([]any)
	calm := maps.Clone(routes[2].(map[string]any)) // As the route lookup.
	calm["name"], calm["prefix"], calm["service"], calm["timeout_ms"] = "calm", "/calm/", "sound", calmWaitMS
	configuration["routes"] = append(routes, calm)
	configuration["services"] = append(configuration["services"].([]any), map[string]any{"name": "sound", "max_conns": 100})
	d := newDeployment(t, binary, 1, configuration)
	sound := standin.NewServer("sound")
	t.Cleanup(sound.Close)
	d.store.Put("servers/sound", sound.Entry("sound", "ready"))
	d.awaitReady("")
	return d
}

// serveBesideFlood sends many concurrent calls to the servers of all other routes, and checks that those of another client to the sound
// server are all served, within the gateway's memory.
func (d *deployment) serveBesideFlood() {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), endlessTime)
	defer cancel()
	address := d.gateways[0].callerAddress
	var group sync.WaitGroup
	var calls atomic.Int64
	for caller := range endlessCallers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				route := []string{"turns", "resume", "sessions", "lookup", "order"}[(caller+n)%5]
				call := standin.Call{ID: fmt.Sprintf("%d-%d", caller, n), Route: route, Body: "x", Address: address}
				if (caller+n)%5 < 3 {
					call.Program, call.MaxOutput, call.Budget = call.ID, maxOutput, 1000
				}
				_, _ = roundTrip(ctx, call)
				calls.Add(1)
			}
		})
	}
	served := 0
	for n := 0; ctx.Err() == nil; n++ {
		call := standin.Call{ID: fmt.Sprintf("calm-%d", n), Route: "calm", Address: address, WaitMS: calmWaitMS}
		status, err := roundTrip(d.t.Context(), call)
		for tries := 1; status == http.StatusServiceUnavailable && tries < calmTries; tries++ { // Not run, as while no connection is accepted.
			time.Sleep(50 * time.Millisecond)
			call.ID = fmt.Sprintf("calm-%d-%d", n, tries)
			status, err = roundTrip(d.t.Context(), call)
		}
		if status != http.StatusOK || err != nil {
			d.t.Errorf("request %s of another client: status %d, %v", call.ID, status, err)
		} else {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	peak := d.gateways[0].peakMemoryMB()
	d.t.Logf("%d calls of the flood, %d of other clients served, peak %d MB", calls.Load(), served, peak)
	if peak == 0 || peak >= gatewayMemoryMB || served == 0 {
		d.t.Errorf("peak memory %d MB of %d (0: the process has ended)", peak, gatewayMemoryMB)
	}
}

// roundTrip sends a call on a connection of its own and reads the answer.
func roundTrip(ctx context.Context, call standin.Call) (status int, err error) {
	req, err := call.Request(ctx)
	if err != nil {
		return 0, err
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
