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

// newServers returns a directory with a number of servers of one service.
func newServers(service fleet.Service, number, slots int) *fleet.Directory {
	directory := fleet.NewDirectory()
	directory.Configure(fleet.NewConfig(1, nil, map[string]fleet.Service{service.Name: service}, fleet.Limits{}))
	for i := range number {
		directory.Upsert(&fleet.BackendServer{ID: fmt.Sprint("server-", i), Service: service.Name, Address: fmt.Sprint(i), Slots: slots, Revision: int64(i + 1)})
	}
	return directory
}

// The calls about one object of one organisation must not wait at the few engines that have the prompt cached, while others have
// free slots. 60 % of the slots of eight engines are busy, and half of the calls share a long prompt.
func TestCallsThatShareAPromptAreSpreadOverEngines(t *testing.T) {
	for _, slots := range []int{24, 64} {
		for _, prefix := range []int{3000, 8000} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, directory := newLoads(), newServers(fleet.Service{Name: "llm", Engine: &fleet.Engine{}}, 8, slots)
				const callTime = 500 * time.Millisecond
				random := rand.New(rand.NewPCG(1, 2))
				calls, waiting, misses := 0, 0, 0
				for start := time.Now(); time.Since(start) < 4*time.Second; {
					time.Sleep(time.Duration(random.ExpFloat64() / (0.6 * float64(8*slots)) * float64(callTime)))
					r := placeRequest{promptTokens: prefix + 200, allCallsKnown: true, spreadShared: true}
					shares := random.IntN(2) == 0
					if shares {
						r.prompt = []peers.PromptPrefix{{Digest: 1, Tokens: prefix}}
					}
					_, p, err := l.placeAtFirstAvailable(directory.View(), []string{"llm"}, r)
					is.NoErr(err)
					time.AfterFunc(time.Duration(p.ticket.pendingTokens)*time.Millisecond/40, func() { p.ticket.markStarted() })
					time.AfterFunc(callTime, func() { p.ticket.end(outcomeNeutral) })
					if !shares || time.Since(start) < time.Second {
						continue
					}
					calls++
					if p.calls >= slots {
						waiting++
					}
					if p.cachedTokens == 0 {
						misses++
					}
				}
				time.Sleep(time.Second)
				t.Logf("%d slots, prompt of %d tokens: of %d calls %d without a free slot, %d cache misses", slots, prefix, calls, waiting, misses)
				is.True(waiting <= calls/10)
				is.True(misses <= calls/50)
			})
		}
	}
}

// Calls of a plain service about one object are placed by load alone, also on routes whose servers answer known objects faster.
func TestCallsAboutOneObjectAreSpreadOverPlainServers(t *testing.T) {
	is := is.New(t)
	l, directory := newLoads(), newServers(fleet.Service{Name: "app"}, 10, 6)
	for range 45 {
		r := placeRequest{isConnected: func(address string) bool { return address < "3" }}
		_, p, err := l.placeAtFirstAvailable(directory.View(), []string{"app"}, r)
		is.NoErr(err)
		is.True(p.calls < 6) // a free slot
	}
}
