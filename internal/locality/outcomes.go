package locality

import (
	"math"
	"time"
)

// Outcomes counts the outcomes of calls between failure domains. Their weight decays, so that a direction that failed is used again.
// It is not safe for concurrent use.
type Outcomes struct{ byPair map[Pair]*outcomes }

type outcomes struct {
	served, failed float64
	at             time.Time // Time up to which the weights have been decayed.
}

const (
	outcomeHalfLife = 3 * time.Second // As for single servers.
	// minFailed and failingShare are higher than for single servers, so that one or two servers that fail do not end the traffic
	// to their whole domain.
	minFailed    = 3
	failingShare = 0.3
)

// Add counts a call that was served or failed.
func (o *Outcomes) Add(now time.Time, key Pair, failed bool) {
	if o.byPair == nil {
		o.byPair = make(map[Pair]*outcomes)
	}
	c := o.byPair[key]
	if c == nil {
		c = &outcomes{at: now}
		o.byPair[key] = c
	}
	c.decay(now)
	if failed {
		c.failed++
	} else {
		c.served++
	}
}

// Failing returns the directions in which too many calls fail.
func (o *Outcomes) Failing(now time.Time) map[Pair]bool {
	failing := make(map[Pair]bool)
	for key, c := range o.byPair {
		c.decay(now)
		if c.failed >= minFailed && c.failed >= failingShare*(c.failed+c.served) {
			failing[key] = true
		}
	}
	return failing
}

func (c *outcomes) decay(now time.Time) {
	weight := math.Exp2(-now.Sub(c.at).Seconds() / outcomeHalfLife.Seconds())
	c.served, c.failed, c.at = c.served*weight, c.failed*weight, now
}
