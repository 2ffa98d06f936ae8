package entry

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	// retryRatio is the number of retries that one success adds to the budget.
	retryRatio = 0.1
	// maxSavedRetries is the largest number of retries in the budget.
	maxSavedRetries = 50
	// retriesPerSecond is added to the budget regardless of successes, so that an entry with few calls can retry.
	retriesPerSecond = 5
)

// retryBudget limits this entry's retries to a fraction of its successful calls.
type retryBudget struct {
	mu     sync.Mutex // Guards budget.
	budget *schedule.RetryBudget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: schedule.NewRetryBudget(retryRatio, maxSavedRetries, retriesPerSecond, time.Now())}
}

// success adds retryRatio to the budget.
func (r *retryBudget) success() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

// withdraw takes one retry from the budget and reports whether one was available.
func (r *retryBudget) withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw(time.Now())
}

// remaining returns the number of retries in the budget.
func (r *retryBudget) remaining() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Tokens()
}
