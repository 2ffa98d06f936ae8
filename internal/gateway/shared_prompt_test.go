package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// hotLoad is the traffic of one organisation at eight engines, half of which concerns one object: its calls share a long prompt. A
// call takes 500 ms.
type hotLoad struct {
	slots, prefix int
	spread        bool
	busy          float64 // Share of the engines' slots that are busy on average.
}

// run plays 4 s, of which the last 3 count. It returns the calls, those that found no free slot at their engine although another
// one had one, and those whose shared prompt was not cached.
func (h hotLoad) run(t *testing.T) (calls, waiting, misses int) {
	synctest.Test(t, func(t *testing.T) {
		l, directory := newLoads(), fleet.NewDirectory()
		directory.Configure(fleet.NewConfig(1, nil, map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{}}}, fleet.Limits{}))
		const engines = 8
		for i := range engines {
			directory.Upsert(&fleet.BackendServer{ID: fmt.Sprint("engine-", i), Service: "llm", Slots: h.slots, Revision: int64(i + 1)})
		}
		random := rand.New(rand.NewPCG(1, 2))
		rate := h.busy * float64(engines*h.slots) / 0.5 // Calls a second.
		start := time.Now()
		for time.Since(start) < 4*time.Second {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			r := placeRequest{route: "r", promptTokens: h.prefix + 200, allCallsKnown: true, spreadShared: h.spread}
			hot := random.IntN(2) == 0
			if hot {
				r.prompt = []peers.PromptPrefix{{Digest: 1, Tokens: h.prefix}}
			}
			_, p, err := l.placeAtFirstAvailable(directory.View(), []string{"llm"}, r)
			if err != nil {
				t.Fatal(err)
			}
			prefill := time.Duration(p.ticket.pendingTokens) * time.Millisecond / 40
			time.AfterFunc(prefill, func() { p.ticket.markStarted() })
			time.AfterFunc(500*time.Millisecond, func() { p.ticket.end(outcomeNeutral) })
			if time.Since(start) < time.Second || !hot {
				continue
			}
			calls++
			if p.calls >= h.slots {
				waiting++
			}
			if p.cachedTokens == 0 {
				misses++
			}
		}
		time.Sleep(time.Second)
	})
	return calls, waiting, misses
}

// The calls about one object of one organisation must not wait at the few engines that have the prompt cached, while others have
// free slots.
func TestCallsThatShareAPromptAreSpreadOverEngines(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{24, 64} {
		for _, prefix := range []int{3000, 8000} {
			_, piledUp, _ := hotLoad{slots: slots, prefix: prefix, busy: 0.6}.run(t)
			calls, waiting, misses := hotLoad{slots: slots, prefix: prefix, busy: 0.6, spread: true}.run(t)
			t.Logf("%d slots, prompt of %d tokens: of %d calls %d without a free slot, %d before; %d cache misses", slots, prefix, calls, waiting, piledUp, misses)
			is.True(piledUp > calls/2)
			is.True(waiting <= calls/50)
			is.True(misses <= calls/50)
		}
	}
}

// Calls of a plain service about one object are placed by load alone, also on routes whose servers answer known objects faster.
func TestCallsAboutOneObjectAreSpreadOverPlainServers(t *testing.T) {
	is := is.New(t)
	l, directory := newLoads(), fleet.NewDirectory()
	directory.Configure(fleet.NewConfig(1, nil, map[string]fleet.Service{"app": {Name: "app"}}, fleet.Limits{}))
	for i := range 10 {
		directory.Upsert(&fleet.BackendServer{ID: fmt.Sprint("app-", i), Service: "app", Address: fmt.Sprint(i), Slots: 6, Revision: int64(i + 1)})
	}
	connected := func(address string) bool { return address < "3" }
	for range 45 {
		_, p, err := l.placeAtFirstAvailable(directory.View(), []string{"app"}, placeRequest{route: "lookup", isConnected: connected})
		is.NoErr(err)
		is.True(p.calls < 6) // a free slot
	}
}
