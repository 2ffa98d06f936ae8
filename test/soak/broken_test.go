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

// brokenText is the body of broken answers to plain calls.
const brokenText = "text of a broken answer"

// brokenShapes returns a function that returns one shape of a broken answer after the other, from a random one on.
func brokenShapes(random *rand.Rand) func() rawanswers.Answer {
	shapes := rawanswers.Broken()
	var next atomic.Int64
	next.Store(random.Int64N(int64(len(shapes))))
	return func() rawanswers.Answer { return shapes[next.Add(1)%int64(len(shapes))] }
}

// brokenAnswer returns a server's answer to the request in a shape of a broken one.
func brokenAnswer(shape rawanswers.Answer, r *http.Request) string {
	if !standin.IsTurn(r) {
		return shape.Bytes(standin.AnswerFields(r), brokenText)
	}
	next := standin.LastEvent(r) + 1
	event := fmt.Sprintf("id: %d\ndata: broken\n\n", next)
	switch { // What follows a valid head is a part of the stream.
	case shape.HeadIsValid && next <= standin.EventsOfStream:
		event = fmt.Sprintf("id: %d\ndata: e%d\n\n", next, next)
	case shape.HeadIsValid:
		event = ": no more\n\n"
	}
	return shape.Bytes(standin.AnswerFields(r)+"Content-Type: text/event-stream\r\n", event)
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
	shape := brokenShapes(random)
	s.SetAnswer(func(w http.ResponseWriter, r *http.Request) { rawanswers.Send(w, r, brokenAnswer(shape(), r)) })
	sleepRandom(random, 1500)
	s.SetAnswer(nil)
}

// storeBroken is the fault of breakStore.
const storeBroken = "store sends broken answers"

// breakStore makes the store send broken answers for a while. Requests have no effect meanwhile.
func (d *deployment) breakStore(random *rand.Rand) {
	defer d.ledger.beginTrouble(storeBroken, nil)()
	shape := brokenShapes(random)
	d.store.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		rawanswers.Send(w, r, shape().Bytes("Content-Type: application/json\r\n", `{"rev":1,"current_rev":1,"items":[],"events":[]}`))
		return true
	})
	sleepRandom(random, 500)
	d.store.SetHandler(nil)
}
