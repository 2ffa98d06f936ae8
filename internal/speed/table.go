// Package speed learns how fast the backend servers of a deployment are, by kind of work, from the times of calls. It also finds
// servers that stall, and how much time programs still need. Its decisions use no clock and no network.
package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is a kind of work whose time is learned separately.
type Kind int

// Kinds of work.
const (
	Prefill Kind = iota // Milliseconds to prefill a prompt token.
	Output              // Milliseconds of an output token, under the load that the server had.
	Call                // Time of a plain call as a multiple of the typical time of its route.
	kindCount
)

const (
	// halfLife is the time in which the weight of a sample is halved. A server that gets no calls is assumed to be of usual speed
	// again after a few of them, and tried.
	halfLife = 10 * time.Second
	// shrinkage is the number of samples as which the mean of the service counts in the estimate of a server.
	shrinkage  = 4
	minSamples = 4 // Weight of the samples below which a server is assumed to be of usual speed.
	// equalWithin is the deviation, as a logarithm, up to which a server counts as of usual speed. The load of a server changes
	// its times by about as much.
	equalWithin  = 0.12
	sigmas       = 4.0 // Multiple of the standard error up to which a deviation may be chance. With 3, up to 0.8 of 105 equal servers did at any time.
	stickiness   = 0.6 // Factor of both limits for a server that is already known to deviate, so that it does not alternate.
	outlierLimit = 1.4 // Logarithm of the ratio to the expected time beyond which a sample counts as one with that ratio (a factor of 4).
	// unknownVariance is assumed for the logarithms of the samples of a service until varianceSamples are known. It is that of
	// times that are distributed exponentially, rounded up.
	unknownVariance = 1.7
	varianceSamples = 40
	varianceWindow  = 500              // Samples over which the variance is averaged.
	toldFor         = 10 * time.Second // How long what the hub said counts without it.
)

// Speeds are the expected times at one server, 0 where unknown.
type Speeds struct {
	PrefillRate float64 // Prompt tokens prefilled per millisecond.
	OutputTime  float64 // Milliseconds of an output token.
	CallTime    float64 // Milliseconds for which a call occupies the server.
}

// Belief is what is believed of the servers of one service. It is what gateways tell each other.
type Belief struct {
	Means      [kindCount]float64 // Logarithms of the usual values, by kind; NaN if unknown.
	CallTime   float64            // Mean milliseconds of a call; 0 if unknown.
	Deviations map[string]Deviation
}

// Deviation is how one run of a server differs from the mean of its service.
type Deviation struct {
	Born int64 // Start of the run.
	Logs [kindCount]float64
}

// speeds returns the times at the server with the id.
func (b *Belief) speeds(id string, born int64) Speeds {
	d := b.Deviations[id]
	if d.Born != born {
		d = Deviation{}
	}
	value := func(k Kind) float64 {
		if math.IsNaN(b.Means[k]) {
			return 0
		}
		return math.Exp(b.Means[k] + d.Logs[k])
	}
	s := Speeds{OutputTime: value(Output), CallTime: b.CallTime * math.Exp(d.Logs[Call]+d.Logs[Output])}
	if prefill := value(Prefill); prefill > 0 {
		s.PrefillRate = 1 / prefill
	}
	return s
}

// Sample is the mean of the logarithms of count times of one kind of work.
type Sample struct {
	Service, Server string
	Born            int64
	Kind            Kind
	Log             float64
	Load            float64 // Mean calls per slot that the server had when it got the calls.
	Count           float64
}

// Table holds what is known of the speeds. It is not safe for concurrent use.
type Table struct {
	servers  map[string]*server
	services map[string]*service
	told     map[string]toldBelief // By service. What the hub says.
}

// toldBelief is a belief of another gateway.
type toldBelief struct {
	Belief
	at time.Time
}

// server holds the samples of one run of a server.
type server struct {
	service   string
	born      int64
	estimates [kindCount]estimate
}

// estimate holds samples of which older ones weigh less.
type estimate struct {
	weight, sum, loadSum float64   // The sums are those of the weighted logarithms and loads.
	at, newest           time.Time // Up to when the samples have been decayed; when the newest was added.
	deviation            float64   // From the mean of the service; 0 while it may be chance.
}

// service holds what is common to the servers of a service.
type service struct {
	variances [kindCount]variance
	slopes    [kindCount]slope
	callTime  float64 // Moving average in milliseconds.
	callCount int
	belief    Belief
}

// variance is a moving average of the squared deviations of samples from the mean of their server.
type variance struct {
	value float64
	count int
}

// slope is by how much the logarithm of a time grows with the load of a server, from deviations from the means of the same server.
// Without it a server of usual speed that has more calls than others would be taken for slow.
type slope struct {
	covariance, loads variance
}

const (
	minLoadVariance = 0.002 // Of the calls per slot, below which a slope says nothing.
	maxSlope        = 1.5
)

// add includes a sample.
func (s *slope) add(load, value float64) {
	s.covariance.add(load * value)
	s.loads.add(load * load)
}

// get returns the slope, or 0 while it is unknown.
func (s *slope) get() float64 {
	if s.loads.count < varianceSamples || s.loads.value < minLoadVariance {
		return 0
	}
	return min(max(s.covariance.value/s.loads.value, 0), maxSlope)
}

// NewTable returns a Table that knows nothing.
func NewTable() *Table {
	return &Table{servers: make(map[string]*server), services: make(map[string]*service), told: make(map[string]toldBelief)}
}

// decay reduces the weight of the samples to that at now.
func (e *estimate) decay(now time.Time) {
	if !e.at.IsZero() && now.After(e.at) {
		factor := math.Exp2(-now.Sub(e.at).Seconds() / halfLife.Seconds())
		e.weight *= factor
		e.sum *= factor
		e.loadSum *= factor
	}
	if now.After(e.at) {
		e.at = now
	}
}

// mean returns the mean logarithm of the samples.
func (e *estimate) mean() float64 { return e.sum / e.weight }

// unloaded returns the mean logarithm that the server would have without load.
func (e *estimate) unloaded(slope float64) float64 { return (e.sum - slope*e.loadSum) / e.weight }

// serviceEntry returns the entry of a service, and creates it if there is none.
func (t *Table) serviceEntry(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{belief: Belief{Means: unknownMeans()}}
		t.services[name] = s
	}
	return s
}

func unknownMeans() (means [kindCount]float64) {
	for k := range means {
		means[k] = math.NaN()
	}
	return means
}

// Observe adds samples of a server. Samples of an earlier run than the one that is known are ignored; those of a later one
// replace what is known.
func (t *Table) Observe(now time.Time, sample Sample) {
	if sample.Kind < 0 || sample.Kind >= kindCount || math.IsNaN(sample.Log) || math.IsInf(sample.Log, 0) || !(sample.Count > 0) || sample.Count > maxReportedCount || !(sample.Load >= 0) {
		return
	}
	known := t.servers[sample.Server]
	switch {
	case known == nil || known.born < sample.Born || known.service != sample.Service:
		known = &server{service: sample.Service, born: sample.Born}
		t.servers[sample.Server] = known
	case known.born > sample.Born:
		return
	}
	common := t.serviceEntry(sample.Service)
	e := &known.estimates[sample.Kind]
	e.decay(now)
	value := sample.Log
	if e.weight >= minSamples {
		center := e.mean()
		value = min(max(value, center-outlierLimit), center+outlierLimit)
		common.variances[sample.Kind].add((value - center) * (value - center) * sample.Count)
		common.slopes[sample.Kind].add(sample.Load-e.loadSum/e.weight, value-center)
	} else if center := common.belief.Means[sample.Kind]; !math.IsNaN(center) {
		value = min(max(value, center-outlierLimit), center+outlierLimit)
	}
	e.weight += sample.Count
	e.sum += value * sample.Count
	e.loadSum += sample.Load * sample.Count
	e.newest = now
}

// maxReportedCount bounds the samples that one report may stand for.
const maxReportedCount = 10000

// add includes a squared deviation.
func (v *variance) add(square float64) {
	v.count++
	v.value += (square - v.value) / float64(min(v.count, varianceWindow))
}

// get returns the variance of one sample.
func (v *variance) get() float64 {
	if v.count < varianceSamples {
		return unknownVariance
	}
	return v.value
}

// ObserveTime adds a time for which a call occupied a server of the service.
func (t *Table) ObserveTime(name string, took time.Duration) {
	s := t.serviceEntry(name)
	s.callCount++
	s.callTime += (float64(took)/float64(time.Millisecond) - s.callTime) / float64(min(s.callCount, varianceWindow))
}

// Change is a change of what is believed of a server.
type Change struct {
	Service, Server string
	Kind            Kind
	Before, After   float64       // Time as a multiple of the usual one at the service.
	Samples         float64       // Weight of the samples behind it.
	Age             time.Duration // Of the newest of them.
}

// loggedChange is the change of a deviation, as a logarithm, from which on it is worth a log line.
const loggedChange = 0.2

// Refresh works out the beliefs from the samples so far, and returns what has changed noticeably.
func (t *Table) Refresh(now time.Time) []Change {
	var changes []Change
	members := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		members[t.servers[id].service] = append(members[t.servers[id].service], id)
	}
	for name, common := range t.services {
		belief := Belief{Means: unknownMeans(), CallTime: common.callTime, Deviations: make(map[string]Deviation)}
		for k := range kindCount {
			slope := common.slopes[k].get()
			unloaded, load := t.meanOf(now, members[name], k, slope)
			belief.Means[k] = unloaded + slope*load
			if math.IsNaN(belief.Means[k]) {
				continue
			}
			for _, id := range members[name] {
				e := &t.servers[id].estimates[k]
				before := e.deviation
				e.deviation = deviation(e, e.unloaded(slope)-unloaded, common.variances[k].get())
				if math.Abs(before-e.deviation) >= loggedChange || (before == 0) != (e.deviation == 0) {
					changes = append(changes, Change{name, id, k, math.Exp(before), math.Exp(e.deviation), e.weight, now.Sub(e.newest)})
				}
			}
		}
		for _, id := range members[name] {
			s := t.servers[id]
			d := Deviation{Born: s.born}
			for k := range kindCount {
				d.Logs[k] = s.estimates[k].deviation
			}
			if d.Logs != [kindCount]float64{} {
				belief.Deviations[id] = d
			}
		}
		common.belief = belief
	}
	return changes
}

// meanOf returns the mean over the middle half of the servers, so that the usual value does not move towards the servers that get
// most calls, nor with a few that are much slower than the others. It is that without load, NaN if there are no samples; load is the
// mean load.
func (t *Table) meanOf(now time.Time, ids []string, k Kind, slope float64) (mean, load float64) {
	var means []float64
	for _, id := range ids {
		e := &t.servers[id].estimates[k]
		e.decay(now)
		if e.weight >= minSamples {
			means = append(means, e.unloaded(slope))
			load += e.loadSum / e.weight
		}
	}
	slices.Sort(means)
	middle := means[len(means)/4 : len(means)-len(means)/4]
	sum := 0.0
	for _, m := range middle {
		sum += m
	}
	return sum / float64(len(middle)), load / float64(len(means)) // 0/0 is NaN.
}

// deviation returns by how much a server is believed to deviate from the mean of its service if its samples do so by d: 0 if that
// may be chance, and otherwise what remains after shrinkage.
func deviation(e *estimate, d, variance float64) float64 {
	if e.weight < minSamples {
		return 0
	}
	limit := max(equalWithin, sigmas*math.Sqrt(variance/e.weight))
	if e.deviation != 0 {
		limit *= stickiness
	}
	if math.Abs(d) < limit {
		return 0
	}
	return d * e.weight / (e.weight + shrinkage)
}

// Lookup returns a function that returns the speeds of the servers of a service, by id and start of the run. It is nil if all
// servers are believed to be of the same speed, so that the constants apply. What the hub says takes precedence while it is
// fresh, as it knows the calls of all gateways.
func (t *Table) Lookup(now time.Time, name string) func(id string, born int64) Speeds {
	if told, ok := t.told[name]; ok && now.Sub(told.at) <= toldFor {
		return told.speeds
	}
	if s := t.services[name]; s != nil && len(s.belief.Deviations) > 0 {
		return s.belief.speeds
	}
	return nil
}

// Beliefs returns this process's beliefs of the services whose servers are of different speeds, by service.
func (t *Table) Beliefs() map[string]Belief {
	out := make(map[string]Belief)
	for name, s := range t.services {
		if len(s.belief.Deviations) > 0 {
			out[name] = s.belief
		}
	}
	return out
}

// SetTold replaces what the hub says. Services that it does not name are forgotten.
func (t *Table) SetTold(now time.Time, beliefs map[string]Belief) {
	clear(t.told)
	for name, b := range beliefs {
		t.told[name] = toldBelief{b, now}
	}
}

// ExtendTold records that the hub still says the same.
func (t *Table) ExtendTold(now time.Time) {
	for name, told := range t.told {
		told.at = now
		t.told[name] = told
	}
}

// Sweep deletes servers that are no longer listed.
func (t *Table) Sweep(listed func(id string) bool) {
	maps.DeleteFunc(t.servers, func(id string, _ *server) bool { return !listed(id) })
}

// Unequal returns the number of servers that are believed to be of another speed than usual at their service.
func (t *Table) Unequal() int {
	n := 0
	for _, s := range t.services {
		n += len(s.belief.Deviations)
	}
	return n
}

// Recorder collects samples for the next report to the hub. It is not safe for concurrent use.
type Recorder struct {
	sums map[recordKey]*Sample
}

// recordKey identifies what samples are summed up.
type recordKey struct {
	server string
	born   int64
	kind   Kind
}

// Add adds a sample.
func (r *Recorder) Add(s Sample) {
	if r.sums == nil {
		r.sums = make(map[recordKey]*Sample)
	}
	key := recordKey{s.Server, s.Born, s.Kind}
	sum := r.sums[key]
	if sum == nil {
		sum = &Sample{Service: s.Service, Server: s.Server, Born: s.Born, Kind: s.Kind}
		r.sums[key] = sum
	}
	sum.Log = (sum.Log*sum.Count + s.Log*s.Count) / (sum.Count + s.Count)
	sum.Load = (sum.Load*sum.Count + s.Load*s.Count) / (sum.Count + s.Count)
	sum.Count += s.Count
}

// Take returns and clears the samples, sorted by server.
func (r *Recorder) Take() []Sample {
	var out []Sample
	for _, s := range r.sums {
		out = append(out, *s)
	}
	clear(r.sums)
	slices.SortFunc(out, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Prefill:
		return "prefill"
	case Output:
		return "output"
	case Call:
		return "call"
	}
	return "unknown"
}
