package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Bucket is a token bucket. It holds the permits of a server's limit or of an organisation's quota. Between two times it gives out
// at most its size and what flows in between. It is not safe for concurrent use, and the times that it is given must not go back.
type Bucket struct {
	tokens    *rate.Limiter
	perSecond float64
	size      int
	lastFull  time.Time // Last time at which the bucket was seen full.
}

// NewBucket returns a bucket that was empty at the given time and has filled since.
func NewBucket(emptyAt time.Time, perSecond, size float64) *Bucket {
	b := &Bucket{perSecond: perSecond, size: bucketSize(size)}
	b.tokens = rate.NewLimiter(rate.Limit(perSecond), b.size)
	b.tokens.AllowN(emptyAt, b.size)
	return b
}

// bucketSize returns the size as a number of whole tokens, at least one: a smaller bucket could never give out a permit.
func bucketSize(size float64) int { return max(int(math.Floor(size)), 1) }

// Set changes the rate and the size. Tokens beyond the new size are lost.
func (b *Bucket) Set(now time.Time, perSecond, size float64) {
	if n := bucketSize(size); n != b.size {
		b.noteIfFull(now)
		b.size = n
		b.tokens.SetBurstAt(now, n)
	}
	if perSecond != b.perSecond {
		b.perSecond = perSecond
		b.tokens.SetLimitAt(now, rate.Limit(perSecond))
	}
}

// Tokens returns the number of tokens; it is negative if tokens that are yet to flow in have been taken.
func (b *Bucket) Tokens(now time.Time) float64 { return b.tokens.TokensAt(now) }

// Take takes a token if there is one within maxWait, and returns the time until then. Otherwise it takes none and reports false.
func (b *Bucket) Take(now time.Time, maxWait time.Duration) (wait time.Duration, taken bool) {
	wait = b.Wait(now, 1)
	if wait > maxWait {
		return wait, false
	}
	b.Charge(now)
	return wait, true
}

// Charge takes the next token, also before there is one.
func (b *Bucket) Charge(now time.Time) {
	b.noteIfFull(now)
	b.tokens.ReserveN(now, 1)
}

// Wait returns the time until the bucket has n tokens, if none are taken until then.
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	missing := n - b.tokens.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case b.perSecond*maxBucketWait.Seconds() < missing:
		return maxBucketWait
	}
	return time.Duration(missing / b.perSecond * float64(time.Second))
}

// maxBucketWait bounds the waits that Wait returns, also for buckets that do not fill.
const maxBucketWait = time.Hour

// Return puts back a token that was taken at the given time and not used, and reports whether it did. A bucket that has been full
// since then does not take it: had the token not been taken, it would have been lost. So Return never makes the tokens of a time
// exceed what the bucket may give out in it.
func (b *Bucket) Return(now, takenAt time.Time) bool {
	b.noteIfFull(now)
	if !b.lastFull.Before(takenAt) {
		return false
	}
	b.tokens.ReserveN(now, -1)
	return true
}

// Add adds n tokens beyond what flows in, up to the size.
func (b *Bucket) Add(now time.Time, n int) { b.tokens.ReserveN(now, -n) }

// noteIfFull records that the bucket is full.
func (b *Bucket) noteIfFull(now time.Time) {
	if b.tokens.TokensAt(now) >= float64(b.size) {
		b.lastFull = now
	}
}
