package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// eventsOfStream is the number of events in a whole stream.
const eventsOfStream = 3

// brokenText is the body of broken answers to plain calls.
const brokenText = "text of a broken answer"

// brokenAnswers returns what a server sends that answers with one shape of a broken answer after the other, from a random one on.
func brokenAnswers(random *rand.Rand) func(r *http.Request) string {
	shapes := rawanswers.Broken()
	var next atomic.Int64
	next.Store(random.Int64N(int64(len(shapes))))
	return func(r *http.Request) string {
		shape := shapes[next.Add(1)%int64(len(shapes))]
		fields := "Request-Id: " + r.Header.Get("Request-Id") + "\r\n" + standin.SealLine
		if r.Header.Get("Token-Count") == "" {
			return shape.Bytes(fields, brokenText)
		}
		had := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &had)
		event := fmt.Sprintf("id: %d\ndata: broken\n\n", had+1)
		switch { // What follows a valid head is a part of the stream.
		case shape.HeadIsValid && had < eventsOfStream:
			event = fmt.Sprintf("id: %d\ndata: e%d\n\n", had+1, had+1)
		case shape.HeadIsValid:
			event = ": no more\n\n"
		}
		return shape.Bytes(fields+"Content-Type: text/event-stream\r\n", event)
	}
}

// injectBrokenAnswers makes servers, and now and then the store, send broken answers until the given time. It runs beside the other faults,
// whose order a seed still determines alone.
func (d *deployment) injectBrokenAnswers(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		if random.IntN(4) == 0 {
			d.breakStore(random)
		} else {
			d.breakServer(random)
		}
		sleepRandom(random, 400)
	}
}

// breakServer makes a server send broken answers for a while.
func (d *deployment) breakServer(random *rand.Rand) {
	s := d.servers[random.IntN(len(d.servers))]
	s.SetRawAnswer(brokenAnswers(random))
	sleepRandom(random, 1500)
	s.SetRawAnswer(nil)
}

// storeBroken is the fault of breakStore.
const storeBroken = "store sends broken answers"

// breakStore makes the store send broken answers for a while. Requests have no effect meanwhile.
func (d *deployment) breakStore(random *rand.Rand) {
	defer d.ledger.beginTrouble(storeBroken, nil)()
	shapes := rawanswers.Broken()
	var next atomic.Int64
	next.Store(random.Int64N(int64(len(shapes))))
	d.store.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		shape := shapes[next.Add(1)%int64(len(shapes))]
		standin.SendRaw(w, shape.Bytes("Content-Type: application/json\r\n", `{"rev":1,"current_rev":1,"items":[],"events":[]}`))
		return true
	})
	sleepRandom(random, 500)
	d.store.SetHandler(nil)
}
