package serverconn

import (
	"strconv"
	"strings"
	"time"
)

// longestIdle bounds an announced idle time: one too long to be a time would close every
// connection at once.
const longestIdle = time.Hour

// idleLife says how long a connection may rest, from a Keep-Alive header such
// as "timeout=5, max=100" or "5"; without one, the time otherwise.
func idleLife(keepAlive string, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		part = strings.TrimSpace(part)
		if value, ok := strings.CutPrefix(part, "timeout="); ok {
			part = value
		}
		if seconds, err := strconv.Atoi(part); err == nil {
			seconds = min(max(seconds, 0), int(longestIdle.Seconds()))
			return time.Duration(float64(seconds) * idlePart * float64(time.Second))
		}
	}
	return otherwise
}
