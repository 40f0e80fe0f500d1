package serverconn

import (
	"strconv"
	"strings"
	"time"
)

// maxIdleTimeout bounds an announced idle timeout: one that overflows time.Duration would
// close every connection at once.
const maxIdleTimeout = time.Hour

// parseIdleTimeout returns how long a connection may stay idle, from a Keep-Alive header
// such as "timeout=5, max=100" or "5", or fallback if the header has no timeout.
func parseIdleTimeout(keepAlive string, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		part = strings.TrimSpace(part)
		if value, ok := strings.CutPrefix(part, "timeout="); ok {
			part = value
		}
		if seconds, err := strconv.Atoi(part); err == nil {
			seconds = min(max(seconds, 0), int(maxIdleTimeout.Seconds()))
			return time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
		}
	}
	return fallback
}
