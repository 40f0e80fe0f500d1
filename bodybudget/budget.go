// Package bodybudget bounds the memory that the bodies of all requests in progress may take.
package bodybudget

import "sync"

// Budget is a number of bytes shared by all requests. It is safe for concurrent use. A nil Budget
// has no bound.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	held    int64
	refused int64
}

// New returns a budget of limit bytes, or nil if limit is 0: no bound.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Reserve takes n bytes. It returns false, and takes nothing, if they exceed what is left.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.held {
		b.refused++
		return false
	}
	b.held += n
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Held returns the bytes that are taken, and how many reservations were refused.
func (b *Budget) Held() (bytes, refused int64) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.refused
}
