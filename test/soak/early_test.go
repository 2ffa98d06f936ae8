package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

const (
	earlyServers   = 4 // Of each service.
	largeUpload    = 3_000_000
	smallUpload    = 200_000 // More than a server takes that does not read.
	uploadCallers  = 8
	partOfAnAnswer = "a part of "
)

// earlyLog records what servers that answer early got. It is safe for concurrent use.
type earlyLog struct {
	mu   sync.Mutex
	sent map[string]int // Guarded by mu. Times that a request reached such a server, by its id.
}

// answer returns what a server with the ending answers to a request: the whole or a part, with neither a length nor chunks.
func (l *earlyLog) answer(r *http.Request, ending rawanswers.Ending) string {
	id := r.Header.Get("Request-Id")
	if id == "" {
		return "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	}
	l.mu.Lock()
	l.sent[id]++
	l.mu.Unlock()
	// Nobody can tell a part from the whole if the connection ends in order after the request has arrived.
	isWhole := ending.IsWhole || !ending.WithoutUpload && r.ContentLength < smallUpload
	body := partOfAnAnswer + "done " + id
	switch next := standin.LastEvent(r) + 1; {
	case standin.IsTurn(r) && isWhole:
		body = events(next, standin.EventsOfStream)
	case standin.IsTurn(r):
		body = events(next, min(next, standin.EventsOfStream))
	case isWhole:
		body = "done " + id + " early"
	}
	return "HTTP/1.1 200 OK\r\n" + standin.AnswerFields(r) + "\r\n" + body
}

// events returns events of the stream of a turn.
func events(first, last int) string {
	var text strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", n, n)
	}
	return text.String()
}

// uploads sends calls with uploads, one after the other, until ctx ends.
func (l *earlyLog) uploads(ctx context.Context, t *testing.T, d *deployment, caller int, random *rand.Rand) (whole int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		route := []string{"order", "lookup", "resume", "turns"}[random.IntN(4)]
		size := []int{1, smallUpload, largeUpload}[random.IntN(3)]
		call := standin.Call{ID: fmt.Sprintf("%s-%d-%d", route, caller, n), Route: route, Address: d.gateways[random.IntN(len(d.gateways))].callerAddress}
		if route == "resume" || route == "turns" {
			call.Program, call.MaxOutput, call.Budget = call.ID, maxOutput, programBudget
		}
		if route == "turns" { // It is stored.
			size = min(size, smallUpload)
		}
		call.Body = strings.Repeat("u", size)
		req, err := call.Request(ctx)
		if err != nil {
			t.Error(err)
			return whole
		}
		req.GetBody = nil // So that the client does not send the request again by itself.
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		whole++
		if isStream := call.MaxOutput > 0; isStream && string(data) != completeStream || !isStream && !strings.HasPrefix(string(data), "done "+call.ID+" ") {
			t.Errorf("MIXED: request %s to route %s with %d bytes got %q as a whole answer", call.ID, route, size, data)
		}
	}
	return whole
}

// Guards against a part of an answer that reaches a caller as the whole, and against a request that runs twice, because servers answer uploads
// before they have read them and end their connections, while gateways end, stop and start again.
func TestPartsOfEarlyAnswersReachNoCaller(t *testing.T) {
	forEachSeed(t, []uint64{1}, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 3))
		configuration := standin.Configuration(1)
		configuration["limits"].(map[string]any)["max_body_bytes"] = 2 * largeUpload
		d := newDeployment(t, binary, *gateways, configuration)
		l := &earlyLog{sent: make(map[string]int)}
		for _, service := range []string{"llm", "app"} {
			for i := range earlyServers {
				ending := rawanswers.Endings[random.IntN(len(rawanswers.Endings))]
				entry := d.servers[0].Entry(service, "ready")
				entry["address"] = rawanswers.ServeEnding(t, ending, func(r *http.Request) string { return l.answer(r, ending) })
				t.Logf("%s: %s-early-%d", ending.Name, service, i)
				d.store.Put(fmt.Sprintf("servers/%s-early-%d", service, i), entry)
			}
		}
		d.awaitReady("")
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		counts := make([]int, uploadCallers)
		for i := range uploadCallers {
			callerRandom := rand.New(rand.NewPCG(seed, uint64(i+10)))
			group.Go(func() { counts[i] = l.uploads(ctx, t, d, i, callerRandom) })
		}
		d.injectFaults(random, time.Now().Add(*faultPeriod))
		cancel()
		group.Wait()
		whole := 0
		for _, n := range counts {
			whole += n
		}
		l.mu.Lock() // Servers may still answer.
		defer l.mu.Unlock()
		for _, server := range d.servers {
			for _, run := range server.Runs() {
				l.sent[run.ID]++
			}
		}
		for id, times := range l.sent {
			if times > 1 && strings.HasPrefix(id, "order-") {
				t.Errorf("TWICE: request %s ran %d times", id, times)
			}
		}
		t.Logf("seed %d: %d requests reached servers, %d whole answers", seed, len(l.sent), whole)
		if whole == 0 {
			t.Error("no request got a whole answer")
		}
	})
}
