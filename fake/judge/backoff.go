package judge

import (
	"fmt"
	"time"
)

// Backoff bounds what a host may send to a server that has asked it to back off.
type Backoff struct {
	// grace is for requests that were on their way, most how many may come after it.
	grace time.Duration
	most  int
	// again is how soon after the backoff the server is used again.
	again time.Duration
}

// ServerBackoff is the bound of a server that asks for a backoff as it turns a request away.
func ServerBackoff() Backoff {
	return Backoff{grace: 500 * time.Millisecond, most: 2, again: 2 * time.Second}
}

// Again returns how soon after a backoff a server is used again that others do not need to
// replace.
func (b Backoff) Again() time.Duration { return b.again }

// Check returns an error if too many of the arrivals from a host fall into a backoff that it
// was asked for at a moment.
func (b Backoff) Check(asked time.Time, backoff time.Duration, arrivals []time.Time) error {
	got := 0
	for _, at := range arrivals {
		if after := at.Sub(asked); after > b.grace && after < backoff {
			got++
		}
	}
	if got > b.most {
		return fmt.Errorf("%d requests in a backoff of %s asked for at %s, allowed %d", got, backoff, asked.Format("15:04:05.000"), b.most)
	}
	return nil
}
