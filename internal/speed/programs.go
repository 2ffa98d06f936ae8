package speed

import "time"

const (
	programIdle   = 3 * time.Second // Idle time after which a program has ended.
	maxPrograms   = 20000           // Programs that are followed at the same time.
	maxTurns      = 32              // Turns of a program that are told apart; later ones count as the last of these.
	minPrograms   = 5               // Programs after which what they needed is used.
	programWindow = 100             // Programs over which needs are averaged.
)

// Programs learns how much time a program still needs, by the route of its first turn and the number of its turns so far, and how
// many output tokens the turns of a route have. It is not safe for concurrent use.
type Programs struct {
	running map[string]*program
	needs   map[string]*[maxTurns]mean // By route. Milliseconds from a turn's arrival to the program's last turn's end.
	outputs map[string]*mean           // By route. Output tokens of a turn.
	swept   time.Time
}

// program is a program in progress.
type program struct {
	route    string
	lastCall string      // Id of the call of its last turn.
	arrivals []time.Time // Of its turns.
	last     time.Time   // Of its last turn's arrival or end.
}

// mean is a moving average.
type mean struct {
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	m.value += (value - m.value) / float64(min(m.count, programWindow))
}

// NewPrograms returns a Programs that knows nothing.
func NewPrograms() *Programs {
	return &Programs{running: make(map[string]*program), needs: make(map[string]*[maxTurns]mean), outputs: make(map[string]*mean)}
}

// Turn records that a call, which may be placed repeatedly, is a turn of a program. It returns the expected time from now to the
// program's end; 0 if unknown.
func (p *Programs) Turn(now time.Time, id, call, route string) time.Duration {
	p.sweep(now)
	if id == "" {
		return 0
	}
	entry := p.running[id]
	if entry == nil {
		if len(p.running) >= maxPrograms {
			return 0
		}
		entry = &program{route: route}
		p.running[id] = entry
	}
	if len(entry.arrivals) < maxTurns && entry.lastCall != call {
		entry.arrivals = append(entry.arrivals, now)
	}
	entry.last, entry.lastCall = now, call
	need := p.needs[entry.route]
	if need == nil {
		return 0
	}
	m := need[len(entry.arrivals)-1]
	if m.count < minPrograms {
		return 0
	}
	return time.Duration(m.value * float64(time.Millisecond))
}

// Ended records that a turn of a program has ended with the number of output tokens.
func (p *Programs) Ended(now time.Time, id, route string, tokens int) {
	if tokens > 0 {
		m := p.outputs[route]
		if m == nil {
			m = &mean{}
			p.outputs[route] = m
		}
		m.add(float64(tokens))
	}
	if entry := p.running[id]; entry != nil {
		entry.last = now
	}
}

// Output returns the expected output tokens of a turn of the route; 0 if unknown.
func (p *Programs) Output(route string) int {
	m := p.outputs[route]
	if m == nil || m.count < minPrograms {
		return 0
	}
	return int(m.value)
}

// sweep ends idle programs, and learns from them what their turns still needed.
func (p *Programs) sweep(now time.Time) {
	if now.Sub(p.swept) < programIdle/4 {
		return
	}
	p.swept = now
	for id, entry := range p.running {
		if now.Sub(entry.last) < programIdle {
			continue
		}
		delete(p.running, id)
		need := p.needs[entry.route]
		if need == nil {
			need = &[maxTurns]mean{}
			p.needs[entry.route] = need
		}
		for i, at := range entry.arrivals {
			need[i].add(float64(entry.last.Sub(at)) / float64(time.Millisecond))
		}
	}
}
