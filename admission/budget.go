package admission

import "sync"

const (
	// retriesPerRequest is how many retries each first attempt adds to the budget.
	retriesPerRequest = 0.1
	// maxRetries is the size of the budget: a gateway can resume all its streams of
	// one lost server at once.
	maxRetries = 100
)

// RetryBudget bounds retries to a fraction of the first attempts, so that a failure
// does not multiply load. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
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

// TakeRetry takes one retry from the budget; it returns false if none is left.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
