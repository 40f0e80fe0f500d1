package judge

import (
	"fmt"
	"time"
)

// Rest bounds what a host may send to a server that has asked it for a rest.
type Rest struct {
	// grace is for requests that were on their way, most how many may come after it.
	grace time.Duration
	most  int
	// again is how soon after the rest the server is used again.
	again time.Duration
}

// ServerRest is the bound of a server that names a rest as it turns a request away.
func ServerRest() Rest {
	return Rest{grace: 500 * time.Millisecond, most: 2, again: 2 * time.Second}
}

// Again returns how soon after a rest a server is used again that others do not need to
// replace.
func (r Rest) Again() time.Duration { return r.again }

// Check returns an error if too many of the arrivals from a host fall into a rest that it
// was asked for at a moment.
func (r Rest) Check(asked time.Time, rest time.Duration, arrivals []time.Time) error {
	got := 0
	for _, at := range arrivals {
		if after := at.Sub(asked); after > r.grace && after < rest {
			got++
		}
	}
	if got > r.most {
		return fmt.Errorf("%d requests in a rest of %s asked for at %s, allowed %d", got, rest, asked.Format("15:04:05.000"), r.most)
	}
	return nil
}
