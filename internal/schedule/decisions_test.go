package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/redwinggauge/redwinggauge/internal/load"
)

const (
	simulatedSeconds = 900.0 // Time during which programs arrive.
	burstAt          = 300.0 // Time of the burst in seconds.
)

var simulatedEngines = map[string]int{load.MixForasFoclo: 12, load.MixAndesmetra: 8}

// baselinePolicy routes by least reported load and runs calls in FIFO order.
func baselinePolicy() modelPolicy {
	queue := unboundedQueue()
	queue.Policy = QueueFIFO
	return modelPolicy{route: RouteLeastLoad, settings: DefaultRouteSettings(), queue: queue}
}

// unboundedQueue returns queue settings without a limit, so that only admission refuses programs. The queues of both
// policies then drop no calls.
func unboundedQueue() QueueSettings {
	queue := DefaultQueueSettings()
	queue.MaxItems = 0
	return queue
}

// defaultPolicy uses the default settings of routing, queueing, holds and admission.
func defaultPolicy() modelPolicy {
	holds := DefaultHoldSettings()
	admission := DefaultAdmission()
	return modelPolicy{route: RouteCacheAware, settings: DefaultRouteSettings(), queue: unboundedQueue(), holds: &holds, admission: &admission, export: true}
}

// minimalDemand sums the engine time in seconds that programs need if they never wait and find every prefix cached.
type minimalDemand struct {
	prefill, slot, memory float64 // Seconds of one engine.
}

// add adds a program and returns its minimal latency in seconds.
func (d *minimalDemand) add(p load.Program) float64 {
	latency := 0.0
	contextTokens := 0
	for _, t := range p.Turns {
		call := float64(t.PromptTokens)/modelPrefill + float64(t.OutputTokens)/modelDecode
		contextTokens += t.PromptTokens + t.OutputTokens
		pause := t.Pause.Seconds()
		for _, b := range t.SubAgents {
			pause = max(pause, d.add(b))
		}
		d.prefill += float64(t.PromptTokens) / modelPrefill
		d.slot += call / modelSlots
		d.memory += float64(contextTokens) * (call + pause) / modelCache
		latency += call + pause
	}
	return latency
}

// demand returns the average seconds of one engine that a program of the mix needs of its most used resource.
func demand(mix string) float64 {
	const samples = 2000
	random := rand.New(rand.NewPCG(11, 13))
	var sum minimalDemand
	for range samples {
		p, err := load.Generate(mix, random)
		if err != nil {
			panic(err)
		}
		sum.add(p)
	}
	return max(sum.prefill, sum.slot, sum.memory) / samples
}

// simulate runs programs that are generated from the seed under one policy.
func simulate(policy modelPolicy, mix string, rate float64, burst int, seed uint64) *model {
	m := newModel(policy, simulatedEngines[mix])
	random := rand.New(rand.NewPCG(seed, 1))
	for at := random.ExpFloat64() / rate; at < simulatedSeconds; at += random.ExpFloat64() / rate {
		p, err := load.Generate(mix, random)
		if err != nil {
			panic(err)
		}
		m.add(p, at)
		m.lowerBounds = append(m.lowerBounds, new(minimalDemand).add(p))
	}
	for i := range burst {
		p := load.ComparisonProgram(random)
		m.add(p, burstAt+float64(i)/10)
		m.lowerBounds = append(m.lowerBounds, new(minimalDemand).add(p))
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
	s := fmt.Sprintf("p50 %.1f p95 %.1f p99 %.1f completed %d refused %v computed %.2f wasted %.2f of %.0fM", quantile(m.all(), .5), quantile(m.all(), .95), quantile(m.all(), .99), len(m.all()), m.refused, m.computed/m.sent, m.wasted/m.held, m.held/1e6)
	for _, class := range []string{load.ClassDrafting, load.ClassComparison, load.ClassReading, load.ClassAnswering} {
		if l := m.latency[class]; len(l) > 0 {
			s += fmt.Sprintf(" | %s %.1f %.1f", class, quantile(l, .5), quantile(l, .95))
		}
	}
	return s
}

// BenchmarkDecisions compares the default policies with a baseline of least reported load and FIFO queues in the model.
func BenchmarkDecisions(b *testing.B) {
	for _, mix := range []string{load.MixForasFoclo, load.MixAndesmetra} {
		for _, share := range []float64{0.85, 1.2} {
			for _, burst := range []int{0, 60} {
				if burst > 0 && (mix != load.MixForasFoclo || share > 1) {
					continue
				}
				b.Run(fmt.Sprintf("%s/%.0f%%/burst-%d", mix, 100*share, burst), func(b *testing.B) {
					rate := share * float64(simulatedEngines[mix]) / demand(mix)
					for b.Loop() {
						comparePolicies(b, mix, rate, burst)
					}
				})
			}
		}
	}
}

func comparePolicies(b *testing.B, mix string, rate float64, burst int) {
	b.Helper()
	var latency, floor, waste, wasteShare, drafting, refused float64
	const seeds = 3
	for seed := range uint64(seeds) {
		baseline := simulate(baselinePolicy(), mix, rate, burst, seed)
		defaults := simulate(defaultPolicy(), mix, rate, burst, seed)
		latency += quantile(defaults.all(), .95) / quantile(baseline.all(), .95) / seeds
		floor += quantile(defaults.lowerBounds, .95) / quantile(baseline.all(), .95) / seeds
		waste += defaults.wasted / baseline.wasted / seeds
		wasteShare += (defaults.wasted / defaults.held) / (baseline.wasted / baseline.held) / seeds
		drafting += quantile(defaults.latency[load.ClassDrafting], .95) / quantile(baseline.latency[load.ClassDrafting], .95) / seeds
		refused += float64(defaults.programRefusals()) / float64(defaults.programRefusals()+len(defaults.all())) / seeds
		b.Logf("seed %d rate %.2f/s\n baseline %s\n default %s", seed, rate, baseline.summary(), defaults.summary())
	}
	b.ReportMetric(latency, "p95-ratio")
	b.ReportMetric(floor, "floor-p95-ratio")
	b.ReportMetric(waste, "waste-ratio")
	b.ReportMetric(wasteShare, "waste-share-ratio")
	b.ReportMetric(drafting, "drafting-p95-ratio")
	b.ReportMetric(refused, "refused-share")
}
