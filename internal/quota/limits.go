package quota

import "time"

// Quota limits the calls of an organisation.
type Quota struct {
	RatePerSecond float64
	Burst         float64 // Calls beyond RatePerSecond that may be sent at once.
}

// Limits are the deployment's rules about how far the calls of an organisation may exceed its quota.
type Limits struct {
	Window time.Duration // Length of the sliding windows in which calls are counted.
	Excess float64       // Share of the quota by which the calls in a window may exceed it,
	Extra  float64       // and number of calls by which they may exceed it besides.
}

// Allowed returns the largest number of calls in a window.
func (l Limits) Allowed(q Quota) float64 {
	return (q.RatePerSecond*l.Window.Seconds()+q.Burst)*(1+l.Excess) + l.Extra
}

// hubPart is the share of what calls may exceed the quota by that the hub's bucket uses. The rest is for the time in which two
// gateways take themselves for the hub, for gateways without the hub, and for the start of a new hub.
const hubPart = 0.5

// rate returns the permits a second that all gateways together issue.
func (l Limits) rate(q Quota) float64 { return q.RatePerSecond * (1 + hubPart*l.Excess) }

// size returns the permits that the hub may issue at once.
func (l Limits) size(q Quota) float64 { return q.Burst + hubPart*l.Extra }

// startPart is the share of Extra that a new hub may issue at once: it does not know what its predecessor has issued. With 0.25,
// all gateways killed twice and a hub cut off between, within 2 s, exceeded a quota by one call.
const startPart = 0.15

// start returns the permits that a new hub that all gateways follow may issue at once.
func (l Limits) start(q Quota) float64 { return min(q.Burst, startPart*l.Extra) }

// promisedPart is the share of Extra that a hub may promise to calls before it has the permits. The promises of a hub that is cut
// off are kept while the next one issues permits.
const promisedPart = 0.1

// promised returns the permits that a hub that all gateways follow may promise before it has them.
func (l Limits) promised() float64 { return promisedPart * l.Extra }
