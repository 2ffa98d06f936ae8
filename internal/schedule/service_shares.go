package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/window"
)

const (
	// shortageWindow is the time over which calls are counted, in windowSlots steps.
	shortageWindow = time.Second
	windowSlots    = 10
	// shortageShare is the share of calls rejected for lack of capacity above which a service is short of it, and
	// minShortageCalls the calls below which that share says nothing.
	shortageShare    = 0.05
	minShortageCalls = 20
	// levelInterval is the time for which a computed level is used: the counts of other processes are 250 ms old on average.
	levelInterval = 50 * time.Millisecond
	// minShareWait and maxShareWait bound the time after which a refused call may return.
	minShareWait = 300 * time.Millisecond
	maxShareWait = 2 * time.Second
)

// ServiceShares divides the calls of plain services between organisations while a service rejects calls for lack of capacity. The
// servers of a plain service reject what exceeds their slots, so that no queue can be ordered: a flooding organisation gets the
// share of the slots that it has of the calls, and the others are rejected with it. While a service is short of capacity, an
// organisation that has had its share of the service's calls in the last second gets no more for new programs. An organisation's
// share is its max-min fair share, by weight, of as many calls as the service ran. The zero value has no organisations. It is not
// safe for concurrent use.
type ServiceShares struct {
	weights   map[string]float64
	byService map[string]*serviceShare
}

// serviceShare counts the calls of one service.
type serviceShare struct {
	ran, rejected  window.Sum
	organisations  map[string]*organisationCalls
	level          float64 // Calls a window that an organisation of weight 1 may have; infinite if the service is not short.
	levelAt        time.Time
	short          bool
	rejectedAtTime float64 // Share of rejected calls at levelAt.
}

// organisationCalls counts the calls of an organisation to one service.
type organisationCalls struct{ asked, granted window.Sum }

// newCount returns a count of events in the last shortageWindow.
func newCount() window.Sum { return window.NewSum(shortageWindow, windowSlots) }

// Configure sets the organisations' weights by their rates, as FairShares.Configure does, and forgets other organisations.
func (s *ServiceShares) Configure(rates map[string]float64) {
	s.weights = OrganisationWeights(rates)
	for _, service := range s.byService {
		for name := range service.organisations {
			if _, configured := s.weights[name]; !configured {
				delete(service.organisations, name)
			}
		}
	}
}

// AddOutcomes counts calls that servers of the service have run, and attempts that they rejected for lack of capacity.
func (s *ServiceShares) AddOutcomes(now time.Time, service string, ran, rejected int) {
	state := s.service(service)
	state.ran.Add(now, float64(ran))
	state.rejected.Add(now, float64(rejected))
}

// ShareDecision is the answer to whether a call may use a service.
type ShareDecision struct {
	Granted    bool
	RetryAfter time.Duration // If not granted.
	Short      bool          // The service is short of capacity.
	Changed    bool          // Short has changed with this call.
	Rejected   float64       // Share of calls rejected for lack of capacity.
	Calls      int           // Calls that the organisation was granted in the last second.
	Allowed    float64       // Its share of the service's calls, in calls a second; infinite unless the service is short.
}

// Ask decides whether a call of the organisation may use the service, and counts it. started means that its program has started.
func (s *ServiceShares) Ask(now time.Time, organisation, service string, started bool) ShareDecision {
	state := s.service(service)
	calls := state.organisations[organisation]
	if calls == nil {
		calls = &organisationCalls{asked: newCount(), granted: newCount()}
		state.organisations[organisation] = calls
	}
	calls.asked.Add(now, 1)
	wasShort := state.short
	if now.Sub(state.levelAt) >= levelInterval {
		s.updateLevel(now, state)
	}
	d := ShareDecision{
		Short: state.short, Changed: state.short != wasShort, Rejected: state.rejectedAtTime,
		Calls: int(calls.granted.Total(now)), Allowed: s.weight(organisation) * state.level,
	}
	d.Granted = started || !state.short || float64(d.Calls) < d.Allowed
	if d.Granted {
		calls.granted.Add(now, 1)
		return d
	}
	d.RetryAfter = d.wait()
	return d
}

// AskProgram decides whether a new program of the organisation may begin whose later calls may use any of the services. It counts
// nothing. It answers the load of programs that begin at engines with capacity and then fail at a plain service without.
func (s *ServiceShares) AskProgram(now time.Time, organisation string) (service string, d ShareDecision) {
	for name, state := range s.byService {
		calls := state.organisations[organisation]
		if calls == nil {
			continue
		}
		if now.Sub(state.levelAt) >= levelInterval {
			s.updateLevel(now, state)
		}
		allowed := s.weight(organisation) * state.level
		if granted := int(calls.granted.Total(now)); state.short && float64(granted) >= allowed {
			d := ShareDecision{Short: true, Rejected: state.rejectedAtTime, Calls: granted, Allowed: allowed}
			d.RetryAfter = d.wait()
			return name, d
		}
	}
	return "", ShareDecision{Granted: true}
}

// wait returns the time after which a refused call may return: the larger the excess, the longer.
func (d ShareDecision) wait() time.Duration {
	excess := (float64(d.Calls) - d.Allowed + 1) / max(d.Allowed, 1)
	return min(max(time.Duration(excess*float64(shortageWindow)), minShareWait), maxShareWait)
}

// service returns the state of a service.
func (s *ServiceShares) service(name string) *serviceShare {
	state := s.byService[name]
	if state == nil {
		if s.byService == nil {
			s.byService = make(map[string]*serviceShare)
		}
		state = &serviceShare{ran: newCount(), rejected: newCount(), organisations: make(map[string]*organisationCalls), level: math.Inf(1)}
		s.byService[name] = state
	}
	return state
}

// weight returns the weight of an organisation. One that is not configured, as for an instant after a change, has the mean weight.
func (s *ServiceShares) weight(organisation string) float64 {
	if weight, configured := s.weights[organisation]; configured {
		return weight
	}
	return 1
}

// updateLevel computes whether the service is short of capacity, and the calls that an organisation of weight 1 may have then:
// with this level, the organisations together have as many calls as the service ran.
func (s *ServiceShares) updateLevel(now time.Time, state *serviceShare) {
	ran, rejected := state.ran.Total(now), state.rejected.Total(now)
	state.levelAt, state.level, state.rejectedAtTime = now, math.Inf(1), 0
	if ran+rejected > 0 {
		state.rejectedAtTime = rejected / (ran + rejected)
	}
	state.short = ran+rejected >= minShortageCalls && state.rejectedAtTime > shortageShare
	type demand struct{ calls, weight float64 }
	var demands []demand
	granted, weights := 0.0, 0.0
	for name, calls := range state.organisations {
		asked := calls.asked.Total(now)
		if asked == 0 {
			delete(state.organisations, name)
			continue
		}
		demands = append(demands, demand{asked, s.weight(name)})
		granted += calls.granted.Total(now)
		weights += s.weight(name)
	}
	if !state.short {
		return
	}
	capacity := granted * (1 - state.rejectedAtTime)
	slices.SortFunc(demands, func(a, b demand) int {
		if a.calls*b.weight < b.calls*a.weight {
			return -1
		}
		return 1
	})
	for _, d := range demands { // Those that ask for less than the level leave the rest to the others.
		state.level = capacity / weights
		if d.calls >= d.weight*state.level {
			return
		}
		capacity -= d.calls
		weights -= d.weight
	}
	state.level = math.Inf(1)
}
