package admission

import "sync"

const (
	// retriesPerRequest is the number of retries earned by a first attempt.
	retriesPerRequest = 0.1
	// maxRetries lets a gateway resume all its streams of one lost server at once.
	maxRetries = 100
)

// RetryBudget bounds retries to a part of the first attempts, so that a failure
// does not multiply load.
type RetryBudget struct {
	mu   sync.Mutex
	remaining float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{remaining: maxRetries} }

// FirstAttempt counts a first attempt.
func (b *RetryBudget) FirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = min(maxRetries, b.remaining+retriesPerRequest)
}

// TakeRetry takes one retry; false means that there is none left.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
