package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/speed"
)

// Where the settings ask for it, gateways learn the speeds of the backend servers and judge servers by the outcomes for callers of
// their own failure domain. Package speed describes how.

// serverSpeeds is what loads knows of the speeds of the servers.
type serverSpeeds struct {
	table    *speed.Table
	samples  speed.Recorder // Not yet reported to the hub.
	stalls   *speed.Stalls
	programs *speed.Programs
}

func newServerSpeeds() serverSpeeds {
	return serverSpeeds{table: speed.NewTable(), stalls: speed.NewStalls(), programs: speed.NewPrograms()}
}

// sweep deletes what is known of servers that are no longer listed.
func (s *serverSpeeds) sweep(view *fleet.View) {
	listed := func(id string) bool { return view.Server(id) != nil }
	s.table.Sweep(listed)
	s.stalls.Sweep(listed)
}

// speedRequest is the part of a placeRequest that concerns servers of unequal speed.
type speedRequest struct {
	unequal bool // Servers are told apart by speed and by failure domain of the callers.
	call    string
	needs   *peers.TurnNeeds // nil if unknown.
}

// healthDomain returns the failure domain by whose outcomes servers are judged, or nil if by the outcomes of all.
func (r *placeRequest) healthDomain() *string {
	if !r.unequal {
		return nil
	}
	return &r.failureDomain
}

// turnRequest returns the part of the request to place a turn that concerns engines of unequal speed.
func (s *stream) turnRequest() speedRequest {
	if !s.g.settings.LearnSpeeds {
		return speedRequest{}
	}
	needs := &peers.TurnNeeds{Program: s.programID(), Overdue: s.call.Overdue, Hint: s.call.OutputHint, Max: s.call.MaxOutput}
	if s.call.FinishIn > 0 {
		needs.LeftMS = (s.call.FinishIn - time.Since(s.call.Arrived)).Milliseconds()
		needs.Overdue = needs.Overdue || needs.LeftMS <= 0
		needs.LeftMS = max(needs.LeftMS, 0)
	}
	return speedRequest{call: s.call.ID, needs: needs}
}

// programID returns what tells the turn's program from those of other organisations; empty if the turn belongs to none.
func (s *stream) programID() string {
	if s.call.Program == "" {
		return ""
	}
	return s.account()
}

// turn returns what the choice of an engine depends on. The caller holds mu.
func (l *loads) turn(now time.Time, r *placeRequest) schedule.Turn {
	turn := schedule.Turn{PromptTokens: r.promptTokens}
	if !r.unequal || r.needs == nil {
		return turn
	}
	turn.OutputTokens = r.needs.Hint
	if turn.OutputTokens <= 0 {
		turn.OutputTokens = l.speeds.programs.Output(r.route)
	}
	if r.needs.Max > 0 && (turn.OutputTokens <= 0 || turn.OutputTokens > r.needs.Max) {
		turn.OutputTokens = r.needs.Max
	}
	need := l.speeds.programs.Turn(now, r.needs.Program, r.call, r.route)
	turn.Urgency = schedule.Urgency(time.Duration(r.needs.LeftMS)*time.Millisecond, need, r.needs.Overdue)
	return turn
}

// prepareSpeeds returns the function that adds to a candidate what is known of the speed of the server at a position, and whether it
// has stalled or fails for the caller's failure domain. The caller holds mu.
func (l *loads) prepareSpeeds(
	now time.Time, servers []*fleet.BackendServer, ejected []bool, service fleet.Service, r *placeRequest,
) func(c *schedule.PlacementCandidate, i int) {
	if !r.unequal {
		return func(*schedule.PlacementCandidate, int) {}
	}
	stalled := make([]bool, len(servers))
	if service.Engine == nil {
		ids := make([]string, len(servers))
		for i, s := range servers {
			ids[i] = s.ID
		}
		stalled = l.speeds.stalls.Stalled(now, ids)
	}
	speeds := l.speeds.table.Lookup(now, service.Name)
	return func(c *schedule.PlacementCandidate, i int) {
		s := servers[i]
		load := l.load(s.ID)
		c.Suspended = ejected[i] || stalled[i] || l.ejected[s.ID] || load.domains.Suspended(now, r.failureDomain)
		if speeds != nil {
			known := speeds(s.ID, s.Born)
			c.PrefillRate, c.OutputTime, c.CallTime = known.PrefillRate, known.OutputTime, known.CallTime
		}
	}
}

// ticketSpeed is the part of a ticket that concerns the speed of its server.
type ticketSpeed struct {
	domain  string // Failure domain of the gateway that serves the caller.
	service string // Empty if speeds are not learned from the call.
	born    int64
	program string
	stride  int     // Output tokens of an event.
	ahead   int     // Prompt tokens that the server had still to process before those of this call.
	load    float64 // Calls per slot that the server had.
}

// setSpeed records what the times of the call have to be compared with. The caller holds loads.mu.
func (t *ticketSpeed) setSpeed(service fleet.Service, server *fleet.BackendServer, r *placeRequest, calls, ahead int) {
	if !r.unequal || service.Engine == nil {
		return
	}
	t.service, t.born, t.stride, t.ahead, t.load = service.Name, server.Born, service.Engine.TokensPerEvent, ahead, serverLoadOf(server, calls)
	if r.needs != nil {
		t.program = r.needs.Program
	}
}

// serverLoadOf returns the calls per slot of a server.
func serverLoadOf(server *fleet.BackendServer, calls int) float64 {
	return float64(max(calls, 0)) / float64(max(server.Slots, 1))
}

// observeTurn learns from the times of a turn; nil if they are not known.
func (t *ticket) observeTurn(times *peers.TurnTimes) {
	if times == nil || t.service == "" {
		return
	}
	now := time.Now()
	l := t.loads
	l.mu.Lock()
	defer l.mu.Unlock()
	l.speeds.programs.Ended(now, t.program, t.route, times.Tokens)
	observe := func(kind speed.Kind, value float64) {
		if value > 0 {
			l.speeds.table.Observe(now, speed.Sample{
				Service: t.service, Server: t.server, Born: t.born, Kind: kind, Log: math.Log(value), Load: t.load, Count: 1,
			})
		}
	}
	output, prefill := speed.TurnTimes{
		FirstMS: times.FirstMS, OutputMS: times.OutputMS, Tokens: times.Tokens, Stride: t.stride, Pending: t.pendingTokens, Ahead: t.ahead,
		Load: t.load,
	}.PerToken()
	observe(speed.Output, output)
	observe(speed.Prefill, prefill)
	l.speeds.table.ObserveTime(t.service, milliseconds(times.FirstMS+times.OutputMS))
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// judgeAnswer returns the outcome of a call, and its times if it is a turn that was served. Where servers are judged by failure domain, an
// answer that reports a failure of the server (5xx) is a failed call: a server that fails at once would otherwise look fast.
func (x *exchange) judgeAnswer(o outcome, times *peers.TurnTimes) (outcome, *peers.TurnTimes) {
	switch {
	case o != outcomeServed || !x.g.settings.LearnSpeeds:
		return o, nil
	case x.status/100 == 5:
		return outcomeFailed, nil
	case x.status/100 != 2:
		return o, nil
	}
	return o, times
}

// turnMeter measures the times of one attempt of a turn.
type turnMeter struct {
	s             *stream
	resumed       bool
	sent, first   time.Time
	tokensOfEvent int
	times         peers.TurnTimes
	stalled       bool // The caller takes events slowly, so that the times are not those of the server.
}

// newTurnMeter starts the measurement, before the turn is sent. It is nil where speeds are not learned.
func newTurnMeter(s *stream) *turnMeter {
	if !s.g.settings.LearnSpeeds || s.service.Engine == nil {
		return nil
	}
	return &turnMeter{s: s, resumed: s.lastEventID != "", sent: time.Now(), tokensOfEvent: s.service.Engine.TokensPerEvent}
}

// event records that an event is delivered that has arrived at the given time. From the first event on that was read ahead for a slow caller, the turn has no times.
func (m *turnMeter) event(readAhead bool, arrived time.Time) {
	if m == nil || m.stalled {
		return
	}
	if readAhead {
		m.stalled, m.s.times = true, nil
		return
	}
	if m.first.IsZero() {
		m.first = arrived
		if !m.resumed {
			m.times.FirstMS = float64(arrived.Sub(m.sent)) / float64(time.Millisecond)
		}
		m.s.times = &m.times
		return
	}
	m.times.OutputMS = float64(arrived.Sub(m.first)) / float64(time.Millisecond)
	m.times.Tokens += m.tokensOfEvent
}

// watchCall watches a call of a plain service for a stall of its server. The returned function is called when the call has ended, and
// learns from its time.
func (x *exchange) watchCall(p placement) (ended func(err error)) {
	if !x.g.settings.LearnSpeeds {
		return func(error) {}
	}
	l, sent := x.g.loads, time.Now()
	typical := l.typicalTime(x.route.Name)
	l.mu.Lock()
	expected := typical
	if speeds := l.speeds.table.Lookup(sent, x.service.Name); speeds != nil {
		if usual := speeds("", 0).CallTime; usual > 0 {
			expected = time.Duration(float64(typical) * speeds(p.server.ID, p.server.Born).CallTime / usual)
		}
	}
	watch := l.speeds.stalls.Sent(sent, p.server.ID, expected)
	l.mu.Unlock()
	return func(err error) {
		now := time.Now()
		answered := err == nil && x.status/100 == 2
		l.mu.Lock()
		defer l.mu.Unlock()
		l.speeds.stalls.Ended(now, p.server.ID, watch, answered)
		if took := now.Sub(sent); answered && typical > 0 && took > 0 {
			sample := speed.Sample{
				Service: x.service.Name, Server: p.server.ID, Born: p.server.Born, Kind: speed.Call,
				Log: math.Log(float64(took) / float64(typical)), Load: serverLoadOf(p.server, p.calls), Count: 1,
			}
			l.speeds.table.Observe(now, sample)
			l.speeds.samples.Add(sample)
			l.speeds.table.ObserveTime(x.service.Name, took)
		}
	}
}

// speedAttrs returns the part of the call's log line that tells by what its server was chosen among servers of unequal speed.
func (x *exchange) speedAttrs() []slog.Attr {
	if x.placed.server == nil || !x.g.settings.LearnSpeeds {
		return nil
	}
	var attrs []slog.Attr
	if x.placed.urgency > 0 {
		attrs = append(attrs, slog.Float64("urgency", round(x.placed.urgency)))
	}
	x.g.loads.mu.Lock()
	defer x.g.loads.mu.Unlock()
	if speeds := x.g.loads.speeds.table.Lookup(time.Now(), x.service.Name); speeds != nil {
		known := speeds(x.placed.server.ID, x.placed.server.Born)
		attrs = append(attrs, slog.Float64("server_call_ms", round(known.CallTime)))
		if known.OutputTime > 0 {
			attrs = append(attrs, slog.Float64("server_token_ms", round(known.OutputTime)))
		}
	}
	return attrs
}

// speedState is what a gateway tells others, or was told, about speeds.
type speedState struct {
	digest   atomic.Pointer[peers.SpeedDigest] // What this process tells as the hub; nil if there is nothing to tell.
	toldHash atomic.Uint64                     // Of what the hub has told; 0 if nothing.
}

// speedReport returns the part of the report to the hub. The samples in it count as reported.
func (g *Gateway) speedReport() *peers.SpeedReport {
	if !g.settings.LearnSpeeds {
		return nil
	}
	report := &peers.SpeedReport{Hash: g.speedState.toldHash.Load()}
	g.loads.mu.Lock()
	samples := g.loads.speeds.samples.Take()
	g.loads.mu.Unlock()
	for _, s := range samples {
		report.Samples = append(report.Samples, peers.SpeedSample{
			Service: s.Service, Server: s.Server, Born: s.Born, Kind: int(s.Kind), Log: round(s.Log), Load: round(s.Load), Count: s.Count,
		})
	}
	return report
}

// learnSpeeds learns from a member's report; nil if it has none.
func (g *Gateway) learnSpeeds(report *peers.SpeedReport) {
	if report == nil {
		return
	}
	now := time.Now()
	g.loads.mu.Lock()
	defer g.loads.mu.Unlock()
	for _, s := range report.Samples {
		g.loads.speeds.table.Observe(now, speed.Sample{
			Service: s.Service, Server: s.Server, Born: s.Born, Kind: speed.Kind(s.Kind), Log: s.Log, Load: s.Load, Count: s.Count,
		})
	}
}

// speedDigest returns the part of the answer to a report with the given part.
func (g *Gateway) speedDigest(report *peers.SpeedReport) *peers.SpeedDigest {
	digest := g.speedState.digest.Load()
	if report == nil || digest == nil {
		return nil
	}
	if report.Hash == digest.Hash {
		return &peers.SpeedDigest{Hash: digest.Hash}
	}
	return digest
}

// acceptSpeeds takes over what the hub tells; nil if it tells nothing.
func (g *Gateway) acceptSpeeds(digest *peers.SpeedDigest) {
	now := time.Now()
	g.loads.mu.Lock()
	defer g.loads.mu.Unlock()
	table := g.loads.speeds.table
	switch {
	case digest == nil:
		g.speedState.toldHash.Store(0)
		table.SetTold(now, nil)
	case len(digest.Services) == 0 && digest.Hash == g.speedState.toldHash.Load():
		table.ExtendTold(now)
	default:
		g.speedState.toldHash.Store(digest.Hash)
		table.SetTold(now, decodeBeliefs(digest.Services))
	}
}

// becomeSpeedSource drops what only a hub needs to be told. What an earlier hub has told stays in use until it is too old.
func (g *Gateway) becomeSpeedSource() {
	g.speedState.toldHash.Store(0)
	g.loads.mu.Lock()
	defer g.loads.mu.Unlock()
	g.loads.speeds.samples.Take()
}

// round returns the value with two digits after the point: more would change the hash of a digest without need.
func round(v float64) float64 { return math.Round(v*100) / 100 }

// encodeBeliefs returns the beliefs in the form of messages to other gateways, sorted.
func encodeBeliefs(beliefs map[string]speed.Belief) []peers.ServiceSpeed {
	usual := func(log float64) float64 {
		if math.IsNaN(log) {
			return 0
		}
		return math.Exp(math.Round(log*meanSteps) / meanSteps)
	}
	var out []peers.ServiceSpeed
	for _, name := range slices.Sorted(maps.Keys(beliefs)) {
		b := beliefs[name]
		s := peers.ServiceSpeed{
			Service: name, PrefillMS: usual(b.Means[speed.Prefill]), OutputMS: usual(b.Means[speed.Output]),
			CallMS: usual(math.Log(b.CallTime)),
		}
		for _, id := range slices.Sorted(maps.Keys(b.Deviations)) {
			d := b.Deviations[id]
			entry := peers.ServerSpeed{Server: id, Born: d.Born}
			for k, v := range d.Logs {
				entry.Logs[k] = math.Round(v*meanSteps) / meanSteps
			}
			s.Servers = append(s.Servers, entry)
		}
		out = append(out, s)
	}
	return out
}

// meanSteps is the number of steps of a factor e in which usual times and deviations are told.
const meanSteps = 20

// decodeBeliefs returns the beliefs in a message from another gateway.
func decodeBeliefs(list []peers.ServiceSpeed) map[string]speed.Belief {
	out := make(map[string]speed.Belief, len(list))
	for _, s := range list {
		b := speed.Belief{CallTime: max(s.CallMS, 0), Deviations: make(map[string]speed.Deviation, len(s.Servers))}
		b.Means[speed.Prefill], b.Means[speed.Output], b.Means[speed.Call] = logOrUnknown(s.PrefillMS), logOrUnknown(s.OutputMS), math.NaN()
		for _, d := range s.Servers {
			b.Deviations[d.Server] = speed.Deviation{Born: d.Born, Logs: d.Logs}
		}
		out[s.Service] = b
	}
	return out
}

// logOrUnknown returns the logarithm of a time, or NaN if the time is unknown.
func logOrUnknown(ms float64) float64 {
	if ms <= 0 {
		return math.NaN()
	}
	return math.Log(ms)
}

const (
	speedInterval  = 250 * time.Millisecond // Between two passes of speedLoop.
	maxSpeedEvents = 20                     // Log lines about servers in one pass.
)

// speedLoop works out the beliefs about the speeds of servers and logs their changes, until ctx ends.
func (g *Gateway) speedLoop(ctx context.Context) {
	ejected := make(map[string]bool)
	for ctx.Err() == nil {
		pause.For(ctx, speedInterval)
		g.refreshSpeeds(time.Now())
		ejected = g.logEjected(g.directory.View(), ejected)
	}
}

// refreshSpeeds works out the beliefs and prepares what a hub tells others.
func (g *Gateway) refreshSpeeds(now time.Time) {
	g.loads.mu.Lock()
	changes := g.loads.speeds.table.Refresh(now)
	beliefs := g.loads.speeds.table.Beliefs()
	services := encodeBeliefs(beliefs)
	unequal := g.loads.speeds.table.Unequal()
	found, stalls := g.loads.speeds.stalls.Found()
	g.loads.mu.Unlock()
	g.metrics.set.GetOrCreateGauge("redwinggauge_unequal_servers", nil).Set(float64(unequal))
	g.metrics.set.GetOrCreateCounter("redwinggauge_server_stalls_total").Set(uint64(found))
	for _, s := range stalls[:min(len(stalls), maxSpeedEvents)] {
		g.log.LogAttrs(context.Background(), slog.LevelInfo, "server stalled", slog.String("server", s.Server),
			slog.Int64("expected_ms", s.Expected.Milliseconds()), slog.Int64("age_ms", now.Sub(s.At).Milliseconds()))
	}
	for _, c := range changes[:min(len(changes), maxSpeedEvents)] {
		g.log.LogAttrs(context.Background(), slog.LevelInfo, "speed of server changed",
			slog.String("server", c.Server), slog.String("service", c.Service), slog.String("work", c.Kind.String()),
			slog.Float64("time_before", round(c.Before)), slog.Float64("time", round(c.After)), slog.Float64("samples", round(c.Samples)),
			slog.Int64("age_ms", c.Age.Milliseconds()))
	}
	if len(services) == 0 {
		g.speedState.digest.Store(nil)
		return
	}
	data, err := json.Marshal(services)
	if err != nil {
		g.log.Error("speeds of servers cannot be encoded", "error", err)
		g.speedState.digest.Store(nil)
		return
	}
	g.speedState.digest.Store(&peers.SpeedDigest{Hash: xxhash.Sum64(data) | 1, Services: services}) // Never 0, which stands for none.
}

// logEjected logs which servers are ejected and returned for callers of this gateway since the last pass, and returns those that are
// ejected now.
func (g *Gateway) logEjected(view *fleet.View, before map[string]bool) map[string]bool {
	now := make(map[string]bool)
	for _, id := range g.loads.failing(view, g.settings.FailureDomain) {
		now[id] = true
	}
	lines := 0
	for _, id := range slices.Sorted(maps.Keys(now)) {
		if !before[id] && lines < maxSpeedEvents {
			lines++
			g.log.Warn("server ejected", "server", id, "failure_domain", g.settings.FailureDomain)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if !now[id] && lines < maxSpeedEvents {
			lines++
			g.log.Info("server no longer ejected", "server", id, "failure_domain", g.settings.FailureDomain)
		}
	}
	return now
}
