package main

import (
	"sync"
	"time"
)

// The case of servers that are cut off from the platform's store, crash behind the cut and start again under their ids with another
// software version (srv_cut, how reborn), while streams run that may go on at another server.
const (
	rebornCallers = 60
	cutTogether   = 2                       // Engines that are cut off together, a share of 0.17; 0.2 is usual.
	cuts          = 5                       // Of other engines each.
	cutGap        = 1600 * time.Millisecond // Between two cuts.
	cutLength     = 5 * time.Second
	crashTime     = 700 * time.Millisecond // Until the engines are back.
	lapseTime     = 3 * pingInterval       // Of silence, after which the store drops an entry.
	pingInterval  = 1200 * time.Millisecond
	mixedAllowed  = 2 // Streams that may hold events of two versions.
)

func playRebornBehindCuts(p *play) (bool, string) {
	engines := p.startEngines()
	defer endAll(engines)
	tally, stop := p.startCallers(rebornCallers)
	time.Sleep(2 * streamBudget)
	var group sync.WaitGroup
	for n := range cuts {
		for _, e := range engines[n*cutTogether : (n+1)*cutTogether] {
			group.Go(func() { p.crashBehindCut(e) })
		}
		time.Sleep(cutGap)
	}
	group.Wait()
	time.Sleep(2 * streamBudget)
	stop()
	tally.mu.Lock()
	defer tally.mu.Unlock()
	return tally.ofTwoVersions > mixedAllowed, tally.summary()
}

// crashBehindCut ends the engine and starts it again as v2. Without the disruption it crashes all the same, but is not cut off, so that it
// lists itself at once.
func (p *play) crashBehindCut(e *engine) {
	began := time.Now()
	p.record.add("%s crashes", e.id)
	e.exit()
	time.Sleep(crashTime)
	e.serve("v2")
	p.record.add("%s has started again as v2", e.id)
	if p.trouble {
		time.Sleep(time.Until(began.Add(lapseTime)))
		p.store.Remove("servers/" + e.id)
		p.record.add("the entry of %s has lapsed", e.id)
		time.Sleep(time.Until(began.Add(cutLength)))
	}
	e.list("ready")
	p.record.add("%s has listed itself as v2", e.id)
}
