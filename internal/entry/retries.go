package entry

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	// retryRatio is the share of a retry that one success earns.
	retryRatio = 0.1
	// retryReserve is how many retries can be saved up.
	retryReserve = 50
	// retriesPerSecond is earned without successes, so that a quiet entry can retry.
	retriesPerSecond = 5
)

// retries limits this entry's retries to a share of its successes.
type retries struct {
	mu     sync.Mutex // Guards budget.
	budget *schedule.RetryBudget
}

func newRetries() *retries {
	return &retries{budget: schedule.NewRetryBudget(retryRatio, retryReserve, retriesPerSecond, time.Now())}
}

// success earns a share of a retry.
func (r *retries) success() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

// withdraw takes one retry and reports whether there was one.
func (r *retries) withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw(time.Now())
}

// left returns the retries that are left.
func (r *retries) left() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Tokens()
}
