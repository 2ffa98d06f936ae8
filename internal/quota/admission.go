package quota

import (
	"math/rand/v2"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/window"
)

// find returns the program of the call, and whether it is new to the process. The program is nil if the call belongs to none.
func (o *organisation) find(now time.Time, call Call) (p *program, arrived bool) {
	if call.Program == "" {
		return nil, true
	}
	p = o.programs[call.Program]
	if p == nil {
		p = &program{route: call.Route, whole: call.New, first: now}
		o.programs[call.Program] = p
		arrived = true
	}
	if call.FinishIn > 0 {
		p.finishBy = now.Add(call.FinishIn)
	}
	if !call.New {
		p.admitted = true
	}
	p.sampled = false
	return p, arrived
}

// countArrival adds a program that is new to the process to the organisation's demand: with the calls that it is expected to make
// if this is its first one. The caller holds mu.
func (i *Issuer) countArrival(now time.Time, o *organisation, p *program, call Call) {
	o.arrivals.Add(now, 1)
	if p == nil {
		o.addDemand(now, 1)
		return
	}
	if p.whole {
		p.counted, _, _ = i.known.of(call.Route)
		o.addDemand(now, p.counted)
	}
}

// countGranted records a granted call. p may be nil. The caller holds mu.
func (i *Issuer) countGranted(now time.Time, o *organisation, p *program) {
	if p == nil {
		return
	}
	p.admitted = true
	p.calls++
	if excess := float64(p.calls) - p.counted; excess > 0 {
		o.addDemand(now, excess)
		p.counted += excess
	}
}

// addDemand adds calls to the organisation's demand.
func (o *organisation) addDemand(now time.Time, calls float64) {
	o.demand.Add(now, calls)
	o.longDemand.Add(now, calls)
}

// decide is Decide for the organisation and the program, which is nil if the call belongs to none. The caller holds mu.
func (i *Issuer) decide(now time.Time, o *organisation, p *program, call Call) Decision {
	switch {
	case i.mode == alone || i.share <= mainShare:
		return o.take(now, call, ReasonNoShare, true)
	case !i.exceedsQuota(now, o):
		return o.take(now, call, ReasonUsedUp, true)
	case p == nil:
		return o.take(now, call, ReasonUsedUp, false)
	case !p.admitted:
		if wait, fits := i.fits(now, o, p); !fits {
			return o.refuseProgram(now, wait, call, i.known)
		}
	case i.isParked(now, o, p) && o.bucket.Tokens(now) < parkedReserve*o.size:
		o.short = now
		return Decision{Reason: ReasonParked, Retry: spread(now, o.bucket.Wait(now, parkedReserve*o.size), seconds(1/o.rate), &o.nextParked, call)}
	}
	d := o.take(now, call, ReasonUsedUp, false)
	if !d.Granted {
		o.short = now
	}
	return d
}

// exceedsQuota reports whether the organisation's demand exceeds its quota for longer than its bucket can make up for. It is
// assumed not to while few programs have come. The caller holds mu.
func (i *Issuer) exceedsQuota(now time.Time, o *organisation) bool {
	if o.arrivals.Total(now) < minPrograms {
		return false
	}
	return i.exceeds(now, o, &o.demand, shortWindows, shortFactor) || i.exceeds(now, o, &o.longDemand, longWindows, longFactor)
}

// exceeds reports whether the demand over a number of windows is the given multiple of what the quota provides. A new hub compares
// what it has seen with a whole window, as two programs that begin together are much in a shorter time. The caller holds mu.
func (i *Issuer) exceeds(now time.Time, o *organisation, demand *window.Sum, windows time.Duration, factor float64) bool {
	span := min(windows*i.limits.Window, max(now.Sub(i.since), i.limits.Window))
	return demand.Total(now) > factor*o.rate*span.Seconds()+o.size
}

// fits reports whether a program that is about to begin fits into what the organisation's other programs leave, and otherwise the
// time until it does. As long as one program at most has begun, or if nothing is known of the programs of the route and there are
// tokens, it fits. The caller holds mu.
func (i *Issuer) fits(now time.Time, o *organisation, p *program) (wait time.Duration, fits bool) {
	tokens := o.bucket.Tokens(now)
	if tokens >= idleReserve*o.size {
		return 0, true
	}
	calls, length, learned := i.known.of(p.route)
	if !learned && tokens >= 1 && now.Sub(o.short) > shortTime {
		return 0, true
	}
	reserved, running := 0.0, 0
	for _, other := range o.programs {
		if other != p && other.isActive(now) {
			reserved += other.leftWithin(length, i.known)
			running++
		}
	}
	missing := reserved + calls - tokens - o.rate*length.Seconds()
	if running < minPrograms-1 || missing <= 0 && now.Sub(o.short) > shortTime {
		return 0, true
	}
	return max(seconds(missing/o.rate), shortTime), false
}

// isParked reports whether the calls of the program have to wait for those of programs that end earlier. The caller holds mu.
func (i *Issuer) isParked(now time.Time, o *organisation, p *program) bool {
	if now.Sub(o.planned) >= planInterval {
		o.planned = now
		var active []*program
		for _, other := range o.programs {
			other.parked = false
			if other.isActive(now) {
				active = append(active, other)
			}
		}
		parkLatest(now, active, i.known, max(o.bucket.Tokens(now), 0)+o.rate*planHorizon.Seconds())
	}
	return p.parked
}

// take grants the call if there is a permit for it soon. Otherwise, if mayHold is set and the caller can wait for it, the call may
// wait and ask again.
func (o *organisation) take(now time.Time, call Call, reason Reason, mayHold bool) Decision {
	longest := o.longest
	if mayHold {
		longest = max(longest, min(seconds(o.promised/o.rate), call.longestWait()))
	}
	delay, taken := o.bucket.Take(now, longest)
	if taken {
		return Decision{Granted: true, Delay: delay}
	}
	d := o.refuse(now, call, reason, delay)
	d.Hold = mayHold && d.Retry <= call.longestWait()
	return d
}

// refuse refuses a call of a program that has begun. wait is the time until there is a permit for it; several calls are told
// different times, at the rate at which there are permits.
func (o *organisation) refuse(now time.Time, call Call, reason Reason, wait time.Duration) Decision {
	if call.Held {
		return Decision{Reason: reason, Retry: max(wait, minRetry)} // It was told a position before.
	}
	return Decision{Reason: reason, Retry: spread(now, wait, seconds(1/o.rate), &o.nextCall, call)}
}

// refuseProgram refuses a program at its first call. wait is the time until it fits; several programs are told different times, at
// the rate at which programs can be admitted.
func (o *organisation) refuseProgram(now time.Time, wait time.Duration, call Call, known profiles) Decision {
	calls, _, _ := known.of(call.Route)
	return Decision{Reason: ReasonReserved, Retry: spread(now, wait, seconds(calls/o.rate), &o.nextAdmission, call)}
}

// longestWait returns the longest time for which the caller waits for a permit, or returns after.
func (c Call) longestWait() time.Duration { return time.Duration(float64(c.Patience) * patienceShare) }

// spread returns the time after which a refused caller should return: at the next free position after wait, where positions are
// an interval apart. latest is the position given before. Times beyond what callers wait for are of no use: those are spread over
// the second half of that time, and take no position.
func spread(now time.Time, wait, interval time.Duration, latest *time.Time, call Call) time.Duration {
	position := now.Add(wait)
	if next := latest.Add(interval); next.After(position) {
		position = next
	}
	retry, longest := time.Duration(float64(position.Sub(now))*(1+retryJitter*rand.Float64())), call.longestWait()
	if longest > 0 && retry > longest {
		return time.Duration(float64(longest) * (0.5 + 0.5*rand.Float64()))
	}
	*latest = position
	return max(retry, minRetry)
}

// seconds returns a number of seconds as a time, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
