package admission

import "sync"

const (
	// retryPart is the number of retries earned by a first attempt.
	retryPart = 0.1
	// mostRetries lets a gateway resume all its streams of one lost server at once.
	mostRetries = 100
)

// Budget bounds retries to a part of the first attempts, so that a failure
// does not multiply load.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: mostRetries} }

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(mostRetries, b.left+retryPart)
}

// Retry takes one retry; false means that there is none left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
