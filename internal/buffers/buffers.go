// Package buffers bounds the memory that a process spends on requests and answers that it holds as a whole.
package buffers

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

// ErrExhausted reports that the process holds as many bytes of requests and answers as it may.
var ErrExhausted = errors.New("the process holds too many bytes of requests and answers")

// Pool counts the bytes that all calls of a process hold. Only a part of them may be taken by requests, so that calls that
// are running can still receive their answers while new calls are rejected. It is safe for concurrent use.
type Pool struct {
	limit        int64
	requestLimit int64
	held         atomic.Int64
}

// requestShare is the fraction of the limit up to which requests are accepted.
const requestShare = 0.5

// NewPool returns a Pool that holds at most limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit, requestLimit: int64(float64(limit) * requestShare)}
}

// Held returns the number of bytes that are held.
func (p *Pool) Held() int64 { return p.held.Load() }

// take adds n bytes unless more than limit would be held then.
func (p *Pool) take(n, limit int64) error {
	if p.held.Add(n) > limit {
		p.held.Add(-n)
		return ErrExhausted
	}
	return nil
}

// Account holds the bytes of one call. It is not safe for concurrent use. A nil Account has no limit.
type Account struct {
	pool *Pool
	held int64
}

// NewAccount returns an empty account.
func (p *Pool) NewAccount() *Account { return &Account{pool: p} }

// TakeRequest takes n bytes for a request. It returns ErrExhausted if requests may not take as many.
func (a *Account) TakeRequest(n int64) error {
	if a == nil {
		return nil
	}
	return a.take(n, a.pool.requestLimit)
}

// Take takes n bytes for a call that runs. It returns ErrExhausted if the process may not hold as many.
func (a *Account) Take(n int64) error {
	if a == nil {
		return nil
	}
	return a.take(n, a.pool.limit)
}

func (a *Account) take(n, limit int64) error {
	if err := a.pool.take(n, limit); err != nil {
		return err
	}
	a.held += n
	return nil
}

// Release gives all bytes back.
func (a *Account) Release() {
	a.pool.held.Add(-a.held)
	a.held = 0
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
