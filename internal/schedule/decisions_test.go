package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/redwinggauge/redwinggauge/internal/load"
)

const (
	measureSeconds = 900.0 // Arrivals.
	burstAt        = 300.0
)

var measureEngines = map[string]int{load.MixForasFoclo: 12, load.MixAndesmetra: 8}

func baselinePolicy() modelPolicy {
	queue := unboundedQueue()
	queue.Policy = QueueFIFO
	return modelPolicy{route: RouteLeastLoad, settings: DefaultRouteSettings(), queue: queue}
}

// unboundedQueue leaves refusing to the admission, so that both policies run the same programs.
func unboundedQueue() QueueSettings {
	queue := DefaultQueueSettings()
	queue.MaxItems = 0
	return queue
}

func decidedPolicy() modelPolicy {
	holds := DefaultHoldSettings()
	admission := DefaultAdmission()
	return modelPolicy{route: RouteCacheAware, settings: DefaultRouteSettings(), queue: unboundedQueue(), holds: &holds, admission: &admission, export: true}
}

// usage sums up the seconds that programs need when they never wait and find every prefix cached.
type usage struct {
	prefill, slot, memory float64 // Of one engine.
}

// add adds a program and returns its latency.
func (u *usage) add(p load.Program) float64 {
	latency := 0.0
	own := 0
	for _, t := range p.Turns {
		call := float64(t.PromptTokens)/modelPrefill + float64(t.OutputTokens)/modelDecode
		own += t.PromptTokens + t.OutputTokens
		pause := t.Pause.Seconds()
		for _, b := range t.Branches {
			pause = max(pause, u.add(b))
		}
		u.prefill += float64(t.PromptTokens) / modelPrefill
		u.slot += call / modelSlots
		u.memory += float64(own) * (call + pause) / modelCache
		latency += call + pause
	}
	return latency
}

// demand returns the seconds of one engine that a program takes on average: the largest of its demands.
func demand(mix string) float64 {
	const samples = 2000
	random := rand.New(rand.NewPCG(11, 13))
	var sum usage
	for range samples {
		p, err := load.Generate(mix, random)
		if err != nil {
			panic(err)
		}
		sum.add(p)
	}
	return max(sum.prefill, sum.slot, sum.memory) / samples
}

// measure runs one policy over programs drawn from the seed.
func measure(policy modelPolicy, mix string, rate float64, burst int, seed uint64) *model {
	m := newModel(policy, measureEngines[mix])
	random := rand.New(rand.NewPCG(seed, 1))
	for at := random.ExpFloat64() / rate; at < measureSeconds; at += random.ExpFloat64() / rate {
		p, err := load.Generate(mix, random)
		if err != nil {
			panic(err)
		}
		m.add(p, at)
		m.floor = append(m.floor, new(usage).add(p))
	}
	for i := range burst {
		p := load.Comparison(random)
		m.add(p, burstAt+float64(i)/10)
		m.floor = append(m.floor, new(usage).add(p))
	}
	m.run()
	return m
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (m *model) all() []float64 {
	var all []float64
	for _, l := range m.latency {
		all = append(all, l...)
	}
	return all
}

func (m *model) programRefusals() int {
	n := 0
	for _, refused := range m.refused {
		n += refused
	}
	return n
}

func (m *model) summary() string {
	s := fmt.Sprintf("p50 %.1f p95 %.1f p99 %.1f ended %d refused %v computed %.2f wasted %.2f of %.0fM", quantile(m.all(), .5), quantile(m.all(), .95), quantile(m.all(), .99), len(m.all()), m.refused, m.missed/m.sent, m.wasted/m.held, m.held/1e6)
	for _, class := range []string{load.ClassDrafting, load.ClassComparison, load.ClassReading, load.ClassAnswering} {
		if l := m.latency[class]; len(l) > 0 {
			s += fmt.Sprintf(" | %s %.1f %.1f", class, quantile(l, .5), quantile(l, .95))
		}
	}
	return s
}

// BenchmarkDecisions compares the decisions with least reported load and first come first served in the model.
func BenchmarkDecisions(b *testing.B) {
	for _, mix := range []string{load.MixForasFoclo, load.MixAndesmetra} {
		for _, share := range []float64{0.85, 1.2} {
			for _, burst := range []int{0, 60} {
				if burst > 0 && (mix != load.MixForasFoclo || share > 1) {
					continue
				}
				b.Run(fmt.Sprintf("%s/%.0f%%/burst-%d", mix, 100*share, burst), func(b *testing.B) {
					rate := share * float64(measureEngines[mix]) / demand(mix)
					for b.Loop() {
						compare(b, mix, rate, burst)
					}
				})
			}
		}
	}
}

func compare(b *testing.B, mix string, rate float64, burst int) {
	b.Helper()
	var latency, floor, waste, wasteShare, drafting, refused float64
	const seeds = 3
	for seed := range uint64(seeds) {
		base := measure(baselinePolicy(), mix, rate, burst, seed)
		ours := measure(decidedPolicy(), mix, rate, burst, seed)
		latency += quantile(ours.all(), .95) / quantile(base.all(), .95) / seeds
		floor += quantile(ours.floor, .95) / quantile(base.all(), .95) / seeds
		waste += ours.wasted / base.wasted / seeds
		wasteShare += (ours.wasted / ours.held) / (base.wasted / base.held) / seeds
		drafting += quantile(ours.latency[load.ClassDrafting], .95) / quantile(base.latency[load.ClassDrafting], .95) / seeds
		refused += float64(ours.programRefusals()) / float64(ours.programRefusals()+len(ours.all())) / seeds
		b.Logf("seed %d rate %.2f/s\n base %s\n ours %s", seed, rate, base.summary(), ours.summary())
	}
	b.ReportMetric(latency, "p95-ratio")
	b.ReportMetric(floor, "floor-p95-ratio")
	b.ReportMetric(waste, "waste-ratio")
	b.ReportMetric(wasteShare, "waste-share-ratio")
	b.ReportMetric(drafting, "drafting-p95-ratio")
	b.ReportMetric(refused, "refused-share")
}
