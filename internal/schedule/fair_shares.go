package schedule

import (
	"math"
	"time"
)

const (
	// tokensPerOutputToken is the cost of an output token in prompt tokens: an engine generates a token for each slot and step,
	// and prefills many tokens in a step.
	tokensPerOutputToken = 10
	// priorityLead and startedLead bound how far an organisation may get ahead of its share by the precedence of its priority, and
	// by that of its started programs. They are in calls of average cost for an organisation of mean weight. A usual burst of one
	// kind of call stays below priorityLead. A started program is worth more than a new one, as its cost so far would be lost, and
	// one program makes up to 40 calls.
	priorityLead = 16
	startedLead  = 64
	// averageCostWeight is the weight of one call in the moving average of the costs.
	averageCostWeight = 1.0 / 64
	// reaskTime is how long an organisation whose call left a queue without admission still counts as waiting. Gateways repeat a
	// request to place a call after each hold time.
	reaskTime = 50 * time.Millisecond
	// recentHalfLife is the time in which the weight of a recent call is halved; it is decayed in steps of decayStep. aheadFactor is
	// the multiple of its share from which an organisation counts as ahead. With 1, organisations within their share count as ahead
	// in every small burst; with 2, those that send three times their usual rate do not.
	recentHalfLife = time.Second
	decayStep      = 10 * time.Millisecond
	aheadFactor    = 1.25
)

// CallCost returns the cost of a call at an engine in prompt tokens to prefill. It is at least 1.
func CallCost(uncachedTokens, maxOutputTokens int) float64 {
	return float64(max(max(uncachedTokens, 0)+tokensPerOutputToken*max(maxOutputTokens, 0), 1))
}

// FairShares holds the virtual times of organisations, by which the wait queues of all engines divide the capacity between them
// (start-time fair queueing). The virtual time of an organisation is the cost of its admitted calls divided by its weight. The
// zero value has no organisations, and is disabled. It is not safe for concurrent use.
//
// It answers a load in which one to three organisations send 3 to 7 times as many calls as usual: in the order of arrival they
// would get that share of the capacity, at the expense of all others. State is kept in memory only: a new hub starts at zero for
// all organisations, which is fair from then on.
type FairShares struct {
	enabled       bool
	organisations map[string]*fairShare
	virtual       float64 // Current virtual time. It never decreases.
	recentCost    float64 // Cost of recent calls of all organisations, decayed to recentAt.
	recentAt      time.Time
	activeWeight  float64 // Sum of the weights of the organisations that have recent or waiting calls, as of recentAt.
	averageCost   float64 // Moving average of the costs of admitted calls; 0 before the first.
}

// fairShare is the state of one organisation.
type fairShare struct {
	weight      float64   // The mean over the configured organisations is 1.
	time        float64   // The organisation's virtual time, which is the virtual start time of its next call.
	waiting     int       // First calls of programs in the queues of all engines.
	waitingCost float64   // Their cost.
	recentCost  float64   // Cost of its recent calls, decayed to recentAt of FairShares.
	leftAt      time.Time // When one of them last left a queue without being admitted.
}

// Configure sets the organisations' weights: their rates, or the mean rate for those without one. nil disables fair queueing.
func (s *FairShares) Configure(rates map[string]float64) {
	s.enabled = rates != nil
	weights := OrganisationWeights(rates)
	for name, share := range s.organisations {
		if _, configured := weights[name]; !configured && share.waiting == 0 {
			delete(s.organisations, name)
		}
	}
	for name, weight := range weights {
		s.share(name).weight = weight
	}
}

// OrganisationWeights returns the weight of each organisation: its rate as a multiple of the mean rate of those that have one, or
// 1 if it has none.
func OrganisationWeights(rates map[string]float64) map[string]float64 {
	sum, count := 0.0, 0
	for _, rate := range rates {
		if rate > 0 {
			sum += rate
			count++
		}
	}
	weights := make(map[string]float64, len(rates))
	for name, rate := range rates {
		weights[name] = 1
		if rate > 0 {
			weights[name] = rate * float64(count) / sum
		}
	}
	return weights
}

// Enabled reports whether there are organisations.
func (s *FairShares) Enabled() bool { return s.enabled }

// share returns the state of an organisation. One that is not configured, as after a change of the configuration that has not
// reached this process yet, has the mean weight.
func (s *FairShares) share(name string) *fairShare {
	share := s.organisations[name]
	if share == nil {
		share = &fairShare{weight: 1, time: s.virtual}
		if s.organisations == nil {
			s.organisations = make(map[string]*fairShare)
		}
		s.organisations[name] = share
	}
	return share
}

// enter records that the first call of a program waits. An organisation that was idle gains no credit by that.
func (s *FairShares) enter(name string, cost float64) {
	share := s.share(name)
	if share.waiting == 0 {
		share.time = max(share.time, s.virtual)
	}
	share.waiting++
	share.waitingCost += cost
}

// leave records that a call of enter no longer waits. A call that is not admitted is not charged.
func (s *FairShares) leave(now time.Time, name string, cost float64, admitted bool) {
	share := s.share(name)
	share.waiting--
	share.waitingCost -= cost
	if !admitted {
		share.leftAt = now
	}
}

// charge adds the cost of a call that is admitted to an engine to the virtual time of its organisation, and updates the current virtual time. Calls of
// started programs are charged too: they are the larger part of what a program costs.
func (s *FairShares) charge(now time.Time, name string, cost float64) {
	if !s.enabled || cost <= 0 {
		return
	}
	if s.averageCost == 0 {
		s.averageCost = cost
	}
	s.averageCost += averageCostWeight * (cost - s.averageCost)
	share := s.share(name)
	s.decay(now)
	s.recentCost += cost
	share.recentCost += cost
	start := max(share.time, s.virtual)
	share.time = start + cost/share.weight
	lowest := math.Inf(1)
	for _, other := range s.organisations {
		if other.waiting > 0 || now.Sub(other.leftAt) < reaskTime {
			lowest = min(lowest, other.time)
		}
	}
	if math.IsInf(lowest, 1) {
		lowest = start
	}
	s.virtual = max(s.virtual, lowest)
}

// decay reduces the costs of recent calls to those at now.
func (s *FairShares) decay(now time.Time) {
	elapsed := now.Sub(s.recentAt)
	if elapsed < decayStep {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	s.recentCost *= factor
	s.activeWeight = 0
	for _, share := range s.organisations {
		share.recentCost *= factor
		if share.waiting > 0 || share.recentCost > s.averageCost/4 {
			s.activeWeight += share.weight
		}
	}
	s.recentAt = now
}

// isAhead reports whether the organisation has recently used more than its share of the engines among those that used them.
func (s *FairShares) isAhead(name string) bool {
	share := s.organisations[name]
	return share != nil && s.enabled && share.recentCost*s.activeWeight > aheadFactor*share.weight*s.recentCost
}

// timeOf returns the virtual start time of the organisation's next call.
func (s *FairShares) timeOf(name string) float64 {
	if share := s.organisations[name]; share != nil {
		return max(share.time, s.virtual)
	}
	return s.virtual
}

// isBeyondShare reports whether a call with the virtual start time is beyond its organisation's share, which others wait for.
func (s *FairShares) isBeyondShare(name string, start float64) bool {
	for other, share := range s.organisations {
		if other != name && share.waiting > 0 && start > share.time+s.averageCost {
			return true
		}
	}
	return false
}

// Lead returns how far the organisation is ahead of its share, in calls of average cost.
func (s *FairShares) Lead(name string) float64 {
	if s.averageCost == 0 {
		return 0
	}
	return (s.timeOf(name) - s.virtual) / s.averageCost
}
