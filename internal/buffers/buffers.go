// Package buffers bounds the memory that a process spends on requests and answers that it holds as a whole.
package buffers

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrExhausted reports that the process holds as many bytes of requests and answers as it may.
var ErrExhausted = errors.New("the process holds too many bytes of requests and answers")

// Pool counts the bytes that all calls of a process hold. Only a part of them may be taken by requests, so that calls that are
// running can still receive their answers while new calls are rejected. Large calls leave room for small ones, so that the many
// small ones are served while large ones wait for slow callers. It is safe for concurrent use.
type Pool struct {
	limit    int64
	held     atomic.Int64
	requests atomic.Int64 // Of held, the bytes of requests.
	waiting  atomic.Int64 // Calls that wait until a transfer may count as slow.

	mu        sync.Mutex
	transfers map[*Account]*transfer // Guarded by mu. Calls whose bytes are being transferred from or to their callers.
}

// Fractions of the limit up to which bytes are taken. They count all bytes that are held, except requestShare.
const (
	requestShare      = 0.5 // All requests together, and requests of large calls.
	largeAnswerShare  = 0.8
	smallRequestShare = 0.9
	spareShare        = 0.5 // What is read ahead for slow callers.
)

// largeCall is the number of bytes above which a call is large. Most calls, with their answers, hold far less.
const largeCall = 16 << 10

// NewPool returns a Pool that holds at most limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit, transfers: make(map[*Account]*transfer)}
}

// Held returns the number of bytes that are held.
func (p *Pool) Held() int64 { return p.held.Load() }

// kind is what bytes are taken for.
type kind int

const (
	request kind = iota
	answer
	spare
)

// limitOf returns the limit of all held bytes for a call that holds the given number.
func (p *Pool) limitOf(k kind, held int64) int64 {
	large := held > largeCall
	share := 1.0
	switch {
	case k == spare:
		share = spareShare
	case k == request && large:
		share = requestShare
	case k == request:
		share = smallRequestShare
	case large:
		share = largeAnswerShare
	}
	return int64(float64(p.limit) * share)
}

// tryTake adds n bytes for a call that holds held, unless too many would be held then.
func (p *Pool) tryTake(k kind, n, held int64) bool {
	if k == request && p.requests.Add(n) > int64(float64(p.limit)*requestShare) {
		p.requests.Add(-n)
		return false
	}
	if p.held.Add(n) <= p.limitOf(k, held+n) {
		return true
	}
	p.held.Add(-n)
	if k == request {
		p.requests.Add(-n)
	}
	return false
}

// take is tryTake for an account. If there is no room, it ends the slow transfers, and waits for those that may become slow.
func (p *Pool) take(a *Account, k kind, n int64) error {
	for began := time.Now(); !a.ended.Load(); {
		if p.tryTake(k, n, a.held.Load()) {
			return nil
		}
		ended, wait := p.endSlowest(a, time.Now())
		if ended {
			continue
		}
		if wait == 0 || time.Since(began) >= maxWait || !p.await(a, wait) {
			return ErrExhausted
		}
	}
	return ErrSlowest
}

// Account holds the bytes of one call. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	pool     *Pool
	held     atomic.Int64
	requests atomic.Int64 // Of held, the bytes of the request.
	ended    atomic.Bool  // The call was ended as the slowest.
	waits    atomic.Bool  // The call waits for memory, not for its caller.
}

// NewAccount returns an empty account.
func (p *Pool) NewAccount() *Account { return &Account{pool: p} }

// TakeRequest takes n bytes for a request. It returns ErrExhausted if requests may not take as many.
func (a *Account) TakeRequest(n int64) error { return a.take(request, n) }

// Take takes n bytes for a call that runs. It returns ErrExhausted if the process may not hold as many.
func (a *Account) Take(n int64) error { return a.take(answer, n) }

// TakeSpare takes n bytes if plenty are left, and reports whether it did. It ends no transfer.
func (a *Account) TakeSpare(n int64) bool {
	if a == nil {
		return true
	}
	if a.ended.Load() || !a.pool.tryTake(spare, n, a.held.Load()) {
		return false
	}
	a.held.Add(n)
	if a.ended.Load() {
		a.giveAll()
		return false
	}
	return true
}

func (a *Account) take(k kind, n int64) error {
	if a == nil {
		return nil
	}
	if err := a.pool.take(a, k, n); err != nil {
		return err
	}
	if k == request {
		a.requests.Add(n)
	}
	a.held.Add(n)
	if a.ended.Load() { // In the meantime: the bytes held before are given back already.
		a.giveAll()
		return ErrSlowest
	}
	return nil
}

// giveAll gives all bytes back and returns their number.
func (a *Account) giveAll() int64 {
	a.pool.requests.Add(-a.requests.Swap(0))
	held := a.held.Swap(0)
	a.pool.held.Add(-held)
	return held
}

// Give gives n bytes back that were taken with Take or TakeSpare.
func (a *Account) Give(n int64) {
	if a == nil {
		return
	}
	for held := a.held.Load(); ; held = a.held.Load() {
		n = min(n, held) // Nothing is held after the call was ended as the slowest.
		if a.held.CompareAndSwap(held, held-n) {
			a.pool.held.Add(-n)
			return
		}
	}
}

// Release gives all bytes back and ends the transfer, if there is one.
func (a *Account) Release() {
	a.EndTransfer()
	a.giveAll()
}

const (
	minBuffer        = 512
	maxInitialBuffer = 64 << 10 // Allocated before any byte has arrived: the stated size may be wrong.
)

// ReadAll reads r to its end. size is the expected number of bytes; -1 if unknown. The memory is taken with take, a method of
// an Account, before it is allocated; its error ends the reading.
func ReadAll(r io.Reader, size int64, take func(n int64) error) ([]byte, error) {
	grow := min(max(size+1, minBuffer), maxInitialBuffer)
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if left := size + 1 - int64(cap(buffer)); left > 0 {
				grow = min(grow, left)
			}
			if err := take(grow); err != nil {
				return nil, err
			}
			buffer = slices.Grow(buffer, int(grow))
			grow = int64(cap(buffer))
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
