package ratelimit

import (
	"math"
	"sync"
	"time"
)

const (
	// minRate is the rate, in calls a second, at which a server that takes fewer is still called: only an answer tells that its
	// limit has ended.
	minRate = 0.25
	// burstTime is the time whose permits may be used at once.
	burstTime = 250 * time.Millisecond
)

// Limiter issues permits for calls to the servers of a Table, at this process's share of the limits that they name. A server
// without a limit needs none. It is safe for concurrent use.
//
// It answers the load of servers that take fewer calls than callers send, from several gateways: the hub issues the permits of all
// gateways, so that these keep to the limit together. A gateway without the hub has a share so small that all of them together
// stay within the limit.
type Limiter struct {
	table *Table

	mu      sync.Mutex
	share   float64                  // Guarded by mu. Part of each limit that this process may use, above 0 and up to 1.
	buckets map[string]*serverBucket // Guarded by mu. By server id.
}

// serverBucket holds the permits of one run of a server.
type serverBucket struct {
	*Bucket
	born int64
}

// NewLimiter returns a limiter for the whole of the limits in the table.
func NewLimiter(table *Table) *Limiter {
	return &Limiter{table: table, share: 1, buckets: make(map[string]*serverBucket)}
}

// SetShare sets the part of each limit that this process may use. When it rises, the process starts without permits, as those of
// the time before may have been used by others.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share > l.share {
		clear(l.buckets)
	}
	l.share = share
}

// Clear drops the permits that have not been used: another process has issued permits meanwhile.
func (l *Limiter) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.buckets)
}

// IsInUse reports whether any server has a limit.
func (l *Limiter) IsInUse() bool { return l.table.Limited() > 0 }

// IsLimited reports whether calls to the run of the server need a permit.
func (l *Limiter) IsLimited(server string, born int64) bool {
	_, limited := l.table.Limit(server, born)
	return limited
}

// Take takes a permit for a call to the run of the server, and reports whether there was one.
func (l *Limiter) Take(now time.Time, server string, born int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, server, born)
	if b == nil {
		return true
	}
	_, taken := b.Take(now, 0)
	return taken
}

// Charge takes the next permit, also before there is one: later calls wait for it instead.
func (l *Limiter) Charge(now time.Time, server string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.bucket(now, server, born); b != nil {
		b.Bucket.Charge(now)
	}
}

// Wait returns the time until there is a permit for a call to the run of the server, after those for the given number of calls
// ahead of it.
func (l *Limiter) Wait(now time.Time, server string, born int64, ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, server, born)
	if b == nil {
		return 0
	}
	return b.Bucket.Wait(now, float64(ahead+1))
}

// bucket returns the permits for the run of the server at its current limit, or nil if it has none. A new bucket is empty: other
// processes may have used the permits until now. The caller holds mu.
func (l *Limiter) bucket(now time.Time, server string, born int64) *serverBucket {
	limit, limited := l.table.Limit(server, born)
	if !limited {
		delete(l.buckets, server)
		return nil
	}
	perSecond := max(limit, minRate) * l.share
	size := math.Ceil(perSecond * burstTime.Seconds())
	b := l.buckets[server]
	if b == nil || b.born != born {
		b = &serverBucket{Bucket: NewBucket(now, perSecond, size), born: born}
		l.buckets[server] = b
	}
	b.Set(now, perSecond, size)
	return b
}

// Sweep drops the permits of servers whose limit has ended.
func (l *Limiter) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, b := range l.buckets {
		if _, limited := l.table.Limit(server, b.born); !limited {
			delete(l.buckets, server)
		}
	}
}
