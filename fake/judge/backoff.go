package judge

import (
	"fmt"
	"time"
)

// Backoff bounds the requests that a host may send to a server that has asked it to back off.
type Backoff struct {
	// grace is the time in which requests already in flight may arrive, maxAfterGrace the
	// number that may arrive after it.
	grace         time.Duration
	maxAfterGrace int
	// reuseWithin is how soon after the backoff the server is used again.
	reuseWithin time.Duration
}

// ServerBackoff returns the bound for a server that rejects a request and asks for a backoff.
func ServerBackoff() Backoff {
	return Backoff{grace: 500 * time.Millisecond, maxAfterGrace: 2, reuseWithin: 2 * time.Second}
}

// Again returns how soon after a backoff a server must be used again, if no other server can
// take its place.
func (b Backoff) Again() time.Duration { return b.reuseWithin }

// Check returns an error if too many of the arrivals from a host fall into a backoff that the
// server asked for at the time asked.
func (b Backoff) Check(asked time.Time, backoff time.Duration, arrivals []time.Time) error {
	got := 0
	for _, at := range arrivals {
		if elapsed := at.Sub(asked); elapsed > b.grace && elapsed < backoff {
			got++
		}
	}
	if got > b.maxAfterGrace {
		return fmt.Errorf("%d requests in a backoff of %s asked for at %s, allowed %d", got, backoff, asked.Format("15:04:05.000"), b.maxAfterGrace)
	}
	return nil
}
